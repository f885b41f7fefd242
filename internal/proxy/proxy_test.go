package proxy

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/settings"
)

// fakeDiscovery answers the calls in the order of its answers and then holds every watch.
type fakeDiscovery struct {
	addr      string
	responses chan string   // the next answers; "" breaks the connection
	calls     chan string   // the queries that came
	stop      chan struct{} // ends the held calls
}

func startDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{responses: make(chan string, 10), calls: make(chan string, 1000), stop: make(chan struct{})}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls <- r.URL.RawQuery
		select {
		case text := <-d.responses:
			if text == "" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, text)
		case <-d.stop:
		case <-r.Context().Done():
		}
	}))
	d.addr = strings.TrimPrefix(s.URL, "http://")
	t.Cleanup(func() { close(d.stop); s.Close() })
	return d
}

func listJSON(index int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, full, strings.Join(entries, ","))
}

func endpointJSON(name, addr, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":1,"status":%q,"weight":1,"since_ms":0}`,
		name, addr, status)
}

// running is a proxy at work; stop is SIGTERM to it, done gives what Run returned.
type running struct {
	*Proxy
	stop context.CancelFunc
	done chan error

	breaksRules bool // the test has it break a rule
}

func startProxy(t *testing.T, list string, sockets int, known string) *running {
	t.Helper()
	return startProxyAt(t, list, sockets, known, t.TempDir())
}

// startProxyAt starts a proxy with a state directory.
func startProxyAt(t *testing.T, list string, sockets int, known, state string) *running {
	t.Helper()
	return startSite(t, proxytest.SiteJSON, list, sockets, known, state)
}

func startSite(t *testing.T, text, list string, sockets int, known, state string) *running {
	t.Helper()
	return startWithSyncTimeout(t, text, list, sockets, known, state, 0)
}

// startSiteWaiting starts a proxy that waits so long for discovery to confirm its list.
func startSiteWaiting(t *testing.T, text, list, known string, patience time.Duration) *running {
	t.Helper()
	return startWithSyncTimeout(t, text, list, 200, known, t.TempDir(), patience)
}

func startWithSyncTimeout(t *testing.T, text, list string, sockets int, known, state string, patience time.Duration) *running {
	t.Helper()
	site, err := settings.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Listen: "127.0.0.1:0", Discovery: discovery.Source{Address: list}, Seed: 7, MaxDescriptors: sockets, Site: site,
		Managed: true, StateDir: state, Logger: slog.New(slog.DiscardHandler)}
	if known != "" {
		if cfg.InitialList, err = discovery.Parse([]byte(known)); err != nil {
			t.Fatal(err)
		}
	}
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	p.syncTimeout = patience
	ctx, stop := context.WithCancel(context.Background())
	r := &running{Proxy: p, stop: stop, done: make(chan error, 1)}
	ended := make(chan struct{})
	go func() { defer close(ended); r.done <- p.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		proxytest.Receive(t, "end of the proxy", ended)
		for rule, n := range p.Metrics().RuleViolations { // whatever the test is about
			if n > 0 && !r.breaksRules {
				t.Errorf("the proxy broke the rule %s, %d times", rule, n)
			}
		}
	})
	return r
}

// startServing starts a proxy with one backend.
func startServing(t *testing.T, reply func(io.Writer, *http.Request, int) bool) (*running, *proxytest.Backend) {
	t.Helper()
	b := proxytest.StartBackend(t, reply)
	return startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing))), b
}

// connLimit is how many connections of clients a proxy serves.
func connLimit(p *running) int {
	conns, _ := p.frontend.Limits()
	return conns
}

// bufferedHeads is how many bytes a proxy has buffered of heads, and of bodies' first bytes.
func bufferedHeads(p *running) int {
	_, heads := p.frontend.BufferedBytes()
	return heads
}

// connect opens a client's connection to a proxy.
func connect(t *testing.T, p *running) *proxytest.Client {
	t.Helper()
	return proxytest.Connect(t, p.Addr())
}

func TestRequestsOfAllClassesAreServed(t *testing.T) {
	p, b := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p.loop.pool.SetReuseDelay(0)
	c := connect(t, p)
	for i, text := range []string{proxytest.LookRequest("1", 4000),
		"POST /rate/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 2\r\nRequest-Class: rate\r\nIdempotency-Key: x\r\nContent-Length: 3\r\n\r\nabc",
		"POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		c.Send(t, text)
		if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" {
			t.Errorf("request %d: got %s %q", i, resp.Status, body)
		}
	}
	if b.Requests.Load() != 3 || b.Conns.Load() != 1 {
		t.Errorf("%d requests on %d connections", b.Requests.Load(), b.Conns.Load())
	}
}

// What makes no sense is answered, never forwarded, and the connection still serves.
func TestBadRequestsAreNotForwarded(t *testing.T) {
	p, b := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	for name, c := range map[string]struct {
		text string
		want int
		keep bool
	}{
		"no class":      {"GET /look/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n", 400, true},
		"unknown class": {strings.ReplaceAll(proxytest.LookRequest("1", 9), "look", "leap"), 400, true},
		"other path":    {strings.Replace(proxytest.LookRequest("1", 9), "/look", "/rate", 1), 400, true},
		"full address":  {strings.Replace(proxytest.LookRequest("1", 9), "/look", "http://h/look", 1), 400, true},
		"no id":         {strings.Replace(proxytest.LookRequest("1", 9), "Request-Id", "Other", 1), 400, true},
		"two ids":       {strings.Replace(proxytest.LookRequest("1", 9), "Tenant: acme", "Request-Id: 2", 1), 400, true},
		"wrong method":  {strings.Replace(proxytest.LookRequest("1", 9), "GET", "PUT", 1), 405, true},
		"needless key":  {strings.Replace(proxytest.LookRequest("1", 9), "Tenant", "Idempotency-Key", 1), 400, true},
		"missing key":   {"POST /rate/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 2\r\nRequest-Class: rate\r\nContent-Length: 0\r\n\r\n", 400, true},
		"body on a GET": {strings.Replace(proxytest.LookRequest("1", 9), "Tenant: acme", "Content-Length: 2", 1) + "ab", 400, true},
		"too large":     {"POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\nContent-Length: " + strconv.Itoa(downstream.MaxRequestBodyBytes+1) + "\r\n\r\n", 413, false},
		"no HTTP":       {"what is this\r\n\r\n", 400, false},
		"huge head":     {"GET /look/k HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 4*clientconn.MaxHeadBytes) + "\r\n\r\n", 431, false},
	} {
		t.Run(name, func(t *testing.T) {
			cl := connect(t, p)
			cl.Send(t, c.text)
			if resp, _ := cl.ReadResponse(t); resp.StatusCode != c.want {
				t.Errorf("got %s", resp.Status)
			}
			if c.keep {
				came := b.Requests.Load()
				cl.Send(t, proxytest.LookRequest("9", 4000))
				if resp, body := cl.ReadResponse(t); resp.StatusCode != 200 || body != "ok" || b.Requests.Load() != came+1 {
					t.Errorf("then got %s", resp.Status)
				}
			}
		})
	}
}

// The balancer's rejection comes at once with a Retry-After.
func TestRejectionIsAnsweredAtOnce(t *testing.T) {
	p, b := startServing(t, proxytest.RespondWith("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", true))
	c := connect(t, p)
	c.Send(t, proxytest.LookRequest("1", 8000))
	resp, _ := c.ReadResponse(t)
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %s %v", resp.Status, resp.Header)
	}
	if n := b.Requests.Load(); n < 1 || n > 3 {
		t.Errorf("%d attempts", n)
	}
}

func TestHungBackendStillGivesClientAnAnswer(t *testing.T) {
	p, b := startServing(t, proxytest.NeverRespond(t))
	c := connect(t, p)
	start := time.Now()
	c.Send(t, "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 1000\r\nContent-Length: 0\r\n\r\n")
	resp, _ := c.ReadResponse(t)
	if resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got %s after %v", resp.Status, time.Since(start))
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("an unsafe request went out %d times", n)
	}
}

func TestClientGoneCancelsAttempt(t *testing.T) {
	came := make(chan struct{}, 1)
	gone := make(chan struct{}, 1)
	p, _ := startServing(t, func(w io.Writer, _ *http.Request, _ int) bool {
		came <- struct{}{}
		_, _ = w.(net.Conn).Read(make([]byte, 1))
		gone <- struct{}{}
		return false
	})
	c := connect(t, p)
	c.Send(t, proxytest.LookRequest("1", 8000))
	proxytest.Receive(t, "request", came)
	c.Close()
	proxytest.Receive(t, "end of the attempt", gone)
	proxytest.WaitUntil(t, func() bool { // nothing is left of it
		left := make(chan int, 1)
		p.loop.post(func() { left <- len(p.loop.requests) })
		return proxytest.Receive(t, "word of the loop", left) == 0
	})
}

func TestClientGoneMidRequestLeavesNothing(t *testing.T) {
	p, b := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	c := connect(t, p)
	c.Send(t, "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\nContent-Length: 9\r\n\r\nabc")
	proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() == 1 })
	c.Close()
	proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() == 0 })
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests went on", n)
	}
}

// Two requests under one ID could not be distinguished; the second was never answered.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	p, b := startServing(t, proxytest.NeverRespond(t))
	first, second := connect(t, p), connect(t, p)
	first.Send(t, proxytest.LookRequest("1", 8000))
	proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	second.Send(t, proxytest.LookRequest("1", 8000))
	if resp, _ := second.ReadResponse(t); resp.StatusCode != 400 {
		t.Errorf("got %s", resp.Status)
	}
}

// A flood of requests ended in too many open files; those over the limit are rejected.
func TestRequestsOverInFlightLimitAreRejected(t *testing.T) {
	release := make(chan struct{})
	b := proxytest.StartBackend(t, func(w io.Writer, r *http.Request, n int) bool {
		proxytest.Receive(t, "the end of the flood", release)
		return proxytest.RespondWith(proxytest.OKResponse, true)(w, r, n)
	})
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 120, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	_, most := p.frontend.Limits()
	var conns []*proxytest.Client
	for i := range most {
		conns = append(conns, connect(t, p))
		conns[i].Send(t, proxytest.LookRequest(fmt.Sprint("f", i), 8000))
	}
	proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == int64(most) })
	over := connect(t, p)
	over.Send(t, proxytest.LookRequest("1", 4000))
	resp, _ := over.ReadResponse(t)
	if resp.StatusCode != 503 || !resp.Close || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %s %v", resp.Status, resp.Header)
	}
	close(release)
	for _, c := range conns {
		if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 && resp.StatusCode != 503 {
			t.Errorf("got %s", resp.Status)
		}
	}
	next := connect(t, p)
	next.Send(t, proxytest.LookRequest("2", 4000))
	if resp, _ := next.ReadResponse(t); resp.StatusCode != 200 {
		t.Errorf("got %s", resp.Status)
	}
}

// Connections without a request are no reason to reject one.
func TestIdleConnectionsCauseNoRejection(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := startProxy(t, startDiscovery(t).addr, 120, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	for range connLimit(p) + 2 {
		connect(t, p)
	}
	c := connect(t, p)
	c.Send(t, proxytest.LookRequest("1", 4000))
	if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 || !resp.Close { // its connection makes room
		t.Errorf("got %s, close %v", resp.Status, resp.Close)
	}
}

// Each response is applied; a malformed or broken one changes nothing, and the next call asks for the whole list.
func TestListWatchSurvivesMalformedAndBrokenResponses(t *testing.T) {
	a, b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true)), proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 200, "")
	health := func() int {
		c := connect(t, p)
		c.Send(t, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _ := c.ReadResponse(t)
		return resp.StatusCode
	}
	ask := func(id string) int {
		c := connect(t, p)
		c.Send(t, proxytest.LookRequest(id, 4000))
		resp, _ := c.ReadResponse(t)
		return resp.StatusCode
	}
	query := func(want string) {
		t.Helper()
		if got, _, _ := strings.Cut(proxytest.Receive(t, "call", d.calls), "&hold_ms="); got != want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	query("")
	if got := health(); got != 503 {
		t.Errorf("healthy without a list: %d", got)
	}
	d.responses <- listJSON(5, true, endpointJSON("a", a.Addr, discovery.StatusServing))
	query("from=5")
	if got := health(); got != 200 {
		t.Errorf("not healthy with a list: %d", got)
	}
	for _, nonsense := range []string{`{"index":6,"snap`, listJSON(6, false, endpointJSON("a", "nowhere", discovery.StatusServing)),
		listJSON(6, false, endpointJSON("a", a.Addr, "RESTING")), ""} {
		d.responses <- nonsense
		if nonsense == "" {
			query("from=5") // net/http asks once more by itself; a question may be put twice
		} else {
			query("")
		}
		d.responses <- listJSON(5, true, endpointJSON("a", a.Addr, discovery.StatusServing))
		query("from=5")
		if got := ask("x"); got != 200 {
			t.Errorf("after %q: %d", nonsense, got)
		}
	}
	d.responses <- listJSON(7, false, endpointJSON("a", a.Addr, discovery.StatusDraining), endpointJSON("b", b.Addr, discovery.StatusServing))
	query("from=7")
	served := a.Requests.Load()
	for i := range 20 {
		if got := ask(fmt.Sprint("y", i)); got != 200 {
			t.Errorf("after the drain: %d", got)
		}
	}
	if a.Requests.Load() != served || b.Requests.Load() != 20 {
		t.Errorf("%d requests to a draining backend", a.Requests.Load()-served)
	}
}
