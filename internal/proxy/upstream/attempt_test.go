package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/proxytest"
)

// backendZone is the zone of the backends of proxytest.Endpoint.
const backendZone = "a"

// poolWith returns a pool with backends named a, b, and so on, at the given addresses.
func poolWith(maxOpen int, addresses ...string) *Pool {
	p := NewPool(Config{DialTimeout: 5 * time.Second, IdleClose: 40 * time.Second, MaxOpen: maxOpen, LocalZone: backendZone})
	var list []discovery.Endpoint
	for i, address := range addresses {
		list = append(list, proxytest.Endpoint(string(rune('a'+i)), address, discovery.StatusServing))
	}
	p.UpdateEndpoints(true, list)
	return p
}

// newAttempt creates an attempt of a GET request at the named backend.
func newAttempt(p *Pool, name string, timeout time.Duration) *Attempt {
	a, ok := p.NewAttempt(context.Background(), name, Params{Deadline: time.Now().Add(timeout),
		Request: &Request{ID: "1", Method: http.MethodGet, URI: "/look/k%2f1?x=%20y", Host: "backend.local",
			Header: http.Header{"Request-Id": {"1"}, "User-Agent": {""}}}})
	if !ok {
		panic("no such backend")
	}
	return a
}

// TestOutcomeTable checks the status that each kind of response is reported with, on which it depends whether
// the balancer may retry the request.
func TestOutcomeTable(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       balancer.Status
	}{
		{"served", proxytest.OKResponse, balancer.StatusOK},
		{"served in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.StatusOK},
		{"early word first", "HTTP/1.1 100 Continue\r\n\r\n" + proxytest.OKResponse, balancer.StatusOK},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balancer.StatusError},
		{"an error is never full", "HTTP/1.1 500 Oops\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", balancer.StatusError},
		{"not found", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", balancer.StatusError},
		{"full", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", balancer.StatusRejected},
		{"over already", "HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", balancer.StatusRejected},
		{"503 without the proof", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", balancer.StatusError},
		{"504 without the proof", "HTTP/1.1 504 No\r\nNot-Started: 0\r\nContent-Length: 0\r\n\r\n", balancer.StatusError},
		{"closed", "", balancer.StatusReset},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-", balancer.StatusReset},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", balancer.StatusReset},
		{"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", balancer.StatusReset},
		{"ended by the close", "HTTP/1.1 200 OK\r\n\r\nok", balancer.StatusOK},
		{"chunks and a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n1\r\no\r\n1;a=b\r\nk\r\n0\r\nX: y\r\n\r\n", balancer.StatusOK},
		{"a long error", "HTTP/1.1 500 Oops\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", MaxBufferedResponse+1), balancer.StatusError},
		{"no HTTP", "SSH-2.0-x\r\n\r\n", balancer.StatusReset},
		{"chunks and a length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.StatusReset},
		{"length twice", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", balancer.StatusReset},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.StatusReset},
		{"a folded line", "HTTP/1.1 200 OK\r\nX: y\r\n z\r\nContent-Length: 2\r\n\r\nok", balancer.StatusReset},
		{"a bare LF", "HTTP/1.1 200 OK\r\nX: y\nContent-Length: 2\r\n\r\nok", balancer.StatusReset},
		{"endless head", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxResponseHeadBytes) + "\r\n\r\n", balancer.StatusReset},
		{"long head", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\nok", balancer.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := proxytest.StartBackend(t, proxytest.RespondWith(c.text, false))
			p := poolWith(4, b.Addr)
			res := newAttempt(p, "a", proxytest.Timeout).Run()
			if res.Status != c.want || c.want == balancer.StatusOK && string(res.Body) != "ok" {
				t.Errorf("got %v %q, want %v", res.Status, res.Body, c.want)
			}
			if n := b.Requests.Load(); n != 1 {
				t.Errorf("the backend got %d requests, want 1", n)
			}
		})
	}
}

// TestRefusedConnectionIsConnectFailed checks that a refused connection is reported as a failed connect and
// not counted as open.
func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	p := poolWith(4, l.Addr().String())
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusConnectFailed {
		t.Errorf("got %v, want %v", res.Status, balancer.StatusConnectFailed)
	}
	if p.openConns != 0 {
		t.Errorf("%d connections are counted as open, want none", p.openConns)
	}
}

// TestHungBackendTimesOutAndConnectionIsClosed checks that an attempt at a hung backend times out and that
// its connection is not reused.
func TestHungBackendTimesOutAndConnectionIsClosed(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.NeverRespond(t))
	p := poolWith(4, b.Addr)
	if res := newAttempt(p, "a", 50*time.Millisecond).Run(); res.Status != balancer.StatusTimedOut {
		t.Errorf("got %v, want %v", res.Status, balancer.StatusTimedOut)
	}
	if p.openConns != 0 || len(p.byName["a"].idleConns) != 0 {
		t.Error("the connection is still open")
	}
}

// TestCancelledAttemptClosesItsConnection checks that cancelling an attempt in flight ends it and closes its
// connection.
func TestCancelledAttemptClosesItsConnection(t *testing.T) {
	came := make(chan struct{}, 1)
	gone := make(chan error, 1)
	b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		came <- struct{}{}
		_, err := w.(net.Conn).Read(make([]byte, 1))
		gone <- err
		return false
	})
	p := poolWith(4, b.Addr)
	a := newAttempt(p, "a", proxytest.Timeout)
	results := make(chan Result, 1)
	go func() { results <- a.Run() }()
	proxytest.Receive(t, "request", came)
	a.cancel()
	if res := proxytest.Receive(t, "result", results); res.Status != balancer.StatusCancelled {
		t.Errorf("got %v, want %v", res.Status, balancer.StatusCancelled)
	}
	if err := proxytest.Receive(t, "end of the connection", gone); err == nil {
		t.Error("the connection is still open")
	}
}

// TestNothingIsSentAfterSlowDial checks that nothing is sent if the backend drains or changes, or the attempt
// is cancelled or passes its deadline, during the dial.
func TestNothingIsSentAfterSlowDial(t *testing.T) {
	for name, change := range map[string]func(p *Pool, a *Attempt){
		"drained": func(p *Pool, a *Attempt) {
			p.UpdateEndpoints(false, []discovery.Endpoint{proxytest.Endpoint("a", a.address, discovery.StatusDraining)})
		},
		"gone": func(p *Pool, a *Attempt) { p.UpdateEndpoints(true, nil) },
		"restarted": func(p *Pool, a *Attempt) {
			e := proxytest.Endpoint("a", a.address, discovery.StatusServing)
			e.StartedAtMs = 7
			p.UpdateEndpoints(false, []discovery.Endpoint{e})
		},
		"stopped": func(_ *Pool, a *Attempt) { a.cancel() },
		"late":    func(_ *Pool, a *Attempt) { a.deadline = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
			p := poolWith(4, b.Addr)
			a := newAttempt(p, "a", proxytest.Timeout)
			dial := p.dialContext
			p.dialContext = func(_ context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(context.Background(), network, addr)
				change(p, a)
				return c, err
			}
			if res := a.Run(); res.Status != balancer.StatusNotSent {
				t.Errorf("got %v, want %v", res.Status, balancer.StatusNotSent)
			}
			p.UpdateEndpoints(true, nil) // closes idle connections
			proxytest.Receive(t, "close of the connection", b.Closed)
			if b.Requests.Load() != 0 || p.openConns != 0 {
				t.Errorf("the backend got %d requests, and %d connections are open, want none",
					b.Requests.Load(), p.openConns)
			}
		})
	}
}

// TestPartiallyWrittenRequestNeverExecuted checks that a write that fails before the last byte is reported as
// a failed connect, since the backend cannot have executed the request.
func TestPartiallyWrittenRequestNeverExecuted(t *testing.T) {
	p := poolWith(4, "127.0.0.1:1")
	p.dialContext = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _, _ = io.ReadFull(far, make([]byte, 5)); far.Close() }()
		return near, nil
	}
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusConnectFailed {
		t.Errorf("got %v, want %v", res.Status, balancer.StatusConnectFailed)
	}
}

// TestForwardedBytesAreUnchanged checks that the path, the query and the header are forwarded unchanged, and
// that Request-Timeout-Ms holds the remaining time.
func TestForwardedBytesAreUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	b := proxytest.StartBackend(t, func(w io.Writer, r *http.Request, _ int) bool {
		got <- r
		_, _ = io.WriteString(w, proxytest.OKResponse)
		return true
	})
	newAttempt(poolWith(4, b.Addr), "a", 900*time.Millisecond+proxytest.Timeout).Run()
	r := proxytest.Receive(t, "request", got)
	if r.RequestURI != "/look/k%2f1?x=%20y" || r.Host != "backend.local" || r.Header.Get("Request-Id") != "1" {
		t.Errorf("got the URI %s, host %s and header %v, want them unchanged", r.RequestURI, r.Host, r.Header)
	}
	if ms := r.Header.Get("Request-Timeout-Ms"); len(ms) != 5 || ms > "20900" {
		t.Errorf("got Request-Timeout-Ms %q, want five digits and at most 20900", ms)
	}
}
