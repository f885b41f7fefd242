package management

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/override"
)

const testTimeout = 20 * time.Second // reached only by a failing test

// fakeProxy answers with fixed values and records the last operator call that it accepted.
type fakeProxy struct {
	notReadyReason string
	metrics        Metrics
	lastCall       string
}

func (p *fakeProxy) NotReadyReason() string { return p.notReadyReason }
func (p *fakeProxy) Metrics() Metrics       { return p.metrics }

func (p *fakeProxy) SuspendServer(server string) error { return p.recordCall("suspend", server) }
func (p *fakeProxy) ResumeServer(server string) error  { return p.recordCall("resume", server) }

func (p *fakeProxy) DrainZone(zone string) error   { return p.recordCall("drain", zone) }
func (p *fakeProxy) RestoreZone(zone string) error { return p.recordCall("restore", zone) }
func (p *fakeProxy) Zones() []Zone                 { return p.metrics.Zones }

// recordCall records a call. It fails for some names of servers and zones instead.
func (p *fakeProxy) recordCall(action, target string) error {
	switch target {
	case "nowhere":
		return &override.UnknownZoneError{Zone: target}
	case "last":
		return &override.LastZoneError{Zone: target, Drained: []string{"other"}}
	case "stranger":
		return &override.UnknownServerError{Server: target}
	case "stuck":
		return errors.New("no room")
	}
	p.lastCall = action + " " + target
	return nil
}

// startServer serves the management API of p on a loopback address until the test ends.
func startServer(t *testing.T, p Proxy) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", p, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s
}

// dial opens a connection to the server, which is closed when the test ends.
func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// call sends one call, given as the text of its HTTP request, and returns the status and the body of the
// response. It checks that the server then closes the connection.
func call(t *testing.T, s *Server, text string) (int, string) {
	t.Helper()
	c := dial(t, s)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if !resp.Close {
		t.Errorf("%q: the response does not close the connection", text)
	}
	return resp.StatusCode, string(body)
}

// request returns the text of an HTTP request without a body, with further header lines.
func request(line, headers string) string {
	return line + " HTTP/1.1\r\nHost: proxy\r\n" + headers + "\r\n"
}

// TestReadyAndMetrics checks the responses of the readiness and metrics endpoints.
func TestReadyAndMetrics(t *testing.T) {
	p := &fakeProxy{metrics: Metrics{Classes: map[string]RequestCounts{"look": {1, 2, 3}, "buy": {4, 5, 6}},
		InFlight: 7, Forwarded: 8, ListedServers: 9, EjectedServers: 10, ReloadsApplied: 11, ReloadsRejected: 12}}
	s := startServer(t, p)
	if status, _ := call(t, s, request("GET /v1/readyz", "")); status != 200 {
		t.Errorf("GET /v1/readyz of a ready proxy: status %d, want 200", status)
	}
	p.notReadyReason = "no list"
	if status, text := call(t, s, request("GET /v1/readyz", "")); status != 503 || text != "not ready: no list\n" {
		t.Errorf("GET /v1/readyz of a proxy that is not ready: status %d, body %q", status, text)
	}
	want := "app.succeeded.buy=4\napp.declined.buy=5\napp.aborted.buy=6\n" +
		"app.succeeded.look=1\napp.declined.look=2\napp.aborted.look=3\n" +
		"app.outstanding=7\napp.forwards=8\napp.discovered=9\napp.ejected=10\n" +
		"app.sighup_applied=11\napp.sighup_rejected=12\n"
	if status, text := call(t, s, request("GET /v1/metrics", "")); status != 200 || text != want {
		t.Errorf("GET /v1/metrics: status %d\ngot\n%s\nwant\n%s", status, text, want)
	}
}

// TestClusterFiguresOnlyInACluster checks that the cluster metrics are exported only by a proxy that has
// them.
func TestClusterFiguresOnlyInACluster(t *testing.T) {
	if text := string((&Metrics{}).encode()); strings.Contains(text, "fleet") {
		t.Errorf("a proxy without a cluster exports cluster metrics:\n%s", text)
	}
	text := string((&Metrics{Cluster: &Cluster{Open: true, LiveMembers: 3, LiveMembersInZone: 2, Isolated: true, OldestEntry: 1500 * time.Millisecond,
		Rejected: map[string]int64{"late": 5, "label": 4}}}).encode())
	for _, want := range []string{"app.fleet_open=1\n", "app.fleet_living=3\n", "app.fleet_near=2\n", "app.fleet_alone=1\n",
		"app.fleet_oldest_ms=1500\n", "app.fleet_refused.label=4\napp.fleet_refused.late=5\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in the metrics:\n%s", want, text)
		}
	}
}

// TestUnknownCallsAreRejected checks that unknown paths and methods and malformed or too large calls get an
// error status.
func TestUnknownCallsAreRejected(t *testing.T) {
	s := startServer(t, &fakeProxy{})
	for _, text := range []string{
		request("GET /", ""), request("GET /v1/ready", ""), request("POST /v1/readyz", "Content-Length: 0\r\n"),
		request("GET /v1//readyz", ""), request("GET /v1/readyz/", ""), "nonsense\r\n\r\n",
		request("GET /v1/readyz", "Content-Length: 5000\r\n") + strings.Repeat("x", 5000),
		request("GET /v1/readyz", "Long: "+strings.Repeat("x", 20000)+"\r\n"),
	} {
		if status, _ := call(t, s, text); status < 400 || status > 599 {
			t.Errorf("%.60q: status %d, want 400 to 599", text, status)
		}
	}
}

// TestIncompleteCallsDoNotBlockOthers checks that connections without a complete call, however many, block no
// other caller and are closed in the end.
func TestIncompleteCallsDoNotBlockOthers(t *testing.T) {
	s := startServer(t, &fakeProxy{})
	var conns []net.Conn
	for i := range 3 * MaxConns {
		c := dial(t, s)
		if i%2 == 0 {
			if _, err := io.WriteString(c, "GET /v1/rea"); err != nil {
				t.Fatal(err)
			}
		}
		conns = append(conns, c)
		if i%8 == 0 {
			if status, _ := call(t, s, request("GET /v1/readyz", "")); status != 200 {
				t.Fatalf("with %d incomplete calls open: status %d, want 200", i, status)
			}
		}
	}
	for i, c := range conns {
		if _, err := io.ReadAll(c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Fatalf("connection %d with an incomplete call is still open", i)
		}
	}
}

// TestPartialCallHasNoEffect checks that a call that announces a body has no effect before the whole body was
// received.
func TestPartialCallHasNoEffect(t *testing.T) {
	s := startServer(t, &fakeProxy{})
	c := dial(t, s)
	if _, err := io.WriteString(c, request("GET /v1/readyz", "Content-Length: 3\r\n")+"x"); err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(c)
	if strings.Contains(string(text), "200 OK") {
		t.Errorf("a partial call got the response %q", text)
	}
}

// TestServerCalls checks the operator calls that suspend and resume a server.
func TestServerCalls(t *testing.T) {
	p := &fakeProxy{}
	s := startServer(t, p)
	post := func(path string) string { return request("POST "+path, "Content-Length: 0\r\n") }
	for _, c := range []struct {
		text     string
		status   int
		wantCall string
	}{
		{post("/v1/nodos/s-1/suspend"), 200, "suspend s-1"},
		{post("/v1/nodos/s-1/resume"), 200, "resume s-1"},
		{post("/v1/nodos/a%2Fb/suspend"), 200, "suspend a/b"},
		{post("/v1/nodos/stranger/suspend"), 404, ""},
		{post("/v1/nodos/stuck/resume"), 503, ""},
		{post("/v1/nodos//suspend"), 404, ""},
		{post("/v1/nodos/s-1/stop"), 404, ""},
		{request("GET /v1/nodos/s-1/suspend", ""), 405, ""},
		// A call without Content-Length is complete as well.
		{request("POST /v1/nodos/s-1/suspend", ""), 200, "suspend s-1"},
	} {
		p.lastCall = ""
		if status, _ := call(t, s, c.text); status != c.status || p.lastCall != c.wantCall {
			t.Errorf("%q: status %d, call %q; want %d, %q", c.text, status, p.lastCall, c.status, c.wantCall)
		}
	}
}
