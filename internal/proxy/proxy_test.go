package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/proxytest"
)

// TestRequestsOfAllClassesAreServed checks that requests of all classes are served on one connection to the
// backend.
func TestRequestsOfAllClassesAreServed(t *testing.T) {
	p, b := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p.loop.pool.SetReuseDelay(0, 0)
	c := connect(t, p)
	for i, text := range []string{proxytest.LookRequest("1", 4000),
		"POST /rate/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 2\r\nRequest-Class: rate\r\nIdempotency-Key: x\r\nContent-Length: 3\r\n\r\nabc",
		"POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		c.Send(t, text)
		if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" {
			t.Errorf("request %d: got %s %q, want 200 \"ok\"", i, resp.Status, body)
		}
	}
	if b.Requests.Load() != 3 || b.Conns.Load() != 1 {
		t.Errorf("backend got %d requests on %d connections, want 3 on 1", b.Requests.Load(), b.Conns.Load())
	}
}

// TestBadRequestsAreNotForwarded checks that invalid requests get an error response and are not forwarded,
// and that the connection stays usable where keep is set.
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
				t.Errorf("got %s, want %d", resp.Status, c.want)
			}
			if c.keep {
				came := b.Requests.Load()
				cl.Send(t, proxytest.LookRequest("9", 4000))
				if resp, body := cl.ReadResponse(t); resp.StatusCode != 200 || body != "ok" || b.Requests.Load() != came+1 {
					t.Errorf("valid request on the same connection: got %s, want 200", resp.Status)
				}
			}
		})
	}
}

// TestRejectionIsAnsweredAtOnce checks that a rejection by the balancer is sent at once, with a Retry-After.
func TestRejectionIsAnsweredAtOnce(t *testing.T) {
	p, b := startServing(t, proxytest.RespondWith("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", true))
	c := connect(t, p)
	c.Send(t, proxytest.LookRequest("1", 8000))
	resp, _ := c.ReadResponse(t)
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %s with header %v, want 503 with Retry-After", resp.Status, resp.Header)
	}
	if n := b.Requests.Load(); n < 1 || n > 3 {
		t.Errorf("got %d attempts, want 1 to 3", n)
	}
}

// TestHungBackendStillGivesClientAnAnswer checks that a request to a hung backend ends in time with a 502 or
// 504, and that a non-idempotent request is not retried.
func TestHungBackendStillGivesClientAnAnswer(t *testing.T) {
	p, b := startServing(t, proxytest.NeverRespond(t))
	c := connect(t, p)
	start := time.Now()
	c.Send(t, "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 1000\r\nContent-Length: 0\r\n\r\n")
	resp, _ := c.ReadResponse(t)
	if resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got %s after %v, want 502 or 504", resp.Status, time.Since(start))
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("a non-idempotent request was sent %d times, want once", n)
	}
}

// TestClientGoneCancelsAttempt checks that a client's disconnect cancels its attempt and removes its request
// from the loop.
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
	proxytest.WaitUntil(t, func() bool { // the loop has removed the request
		left := make(chan int, 1)
		p.loop.post(func() { left <- len(p.loop.requests) })
		return proxytest.Receive(t, "number of requests in the loop", left) == 0
	})
}

// TestClientGoneMidRequestLeavesNothing checks that a request whose client disconnects in the middle of the
// body is not forwarded, and that its connection is closed.
func TestClientGoneMidRequestLeavesNothing(t *testing.T) {
	p, b := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	c := connect(t, p)
	c.Send(t, "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\nContent-Length: 9\r\n\r\nabc")
	proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() == 1 })
	c.Close()
	proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() == 0 })
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the backend, want none", n)
	}
}

// TestDuplicateRequestIDIsRejected checks that the second of two requests with the same ID is rejected. Since
// the two could not be told apart, the second never got a response.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	p, b := startServing(t, proxytest.NeverRespond(t))
	first, second := connect(t, p), connect(t, p)
	first.Send(t, proxytest.LookRequest("1", 8000))
	proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	second.Send(t, proxytest.LookRequest("1", 8000))
	if resp, _ := second.ReadResponse(t); resp.StatusCode != 400 {
		t.Errorf("got %s, want 400", resp.Status)
	}
}

// TestRequestsOverInFlightLimitAreRejected checks that requests over the limit of requests in flight are
// rejected. Without the limit, a flood of requests failed with "too many open files".
func TestRequestsOverInFlightLimitAreRejected(t *testing.T) {
	release := make(chan struct{})
	b := proxytest.StartBackend(t, func(w io.Writer, r *http.Request, n int) bool {
		proxytest.Receive(t, "signal after the flood", release)
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
		t.Errorf("request over the limit: got %s, close %v, header %v, want 503 with a close and Retry-After",
			resp.Status, resp.Close, resp.Header)
	}
	close(release)
	for _, c := range conns {
		if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 && resp.StatusCode != 503 {
			t.Errorf("request within the limit: got %s, want 200 or 503", resp.Status)
		}
	}
	next := connect(t, p)
	next.Send(t, proxytest.LookRequest("2", 4000))
	if resp, _ := next.ReadResponse(t); resp.StatusCode != 200 {
		t.Errorf("request after the flood: got %s, want 200", resp.Status)
	}
}

// TestIdleConnectionsCauseNoRejection checks that no request is rejected because of connections without a
// request.
func TestIdleConnectionsCauseNoRejection(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := startProxy(t, startDiscovery(t).addr, 120, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	for range connLimit(p) + 2 {
		connect(t, p)
	}
	c := connect(t, p)
	c.Send(t, proxytest.LookRequest("1", 4000))
	// The connection is closed to make room for another.
	if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("got %s, close %v, want 200 and a close", resp.Status, resp.Close)
	}
}

// TestListWatchSurvivesMalformedAndBrokenResponses checks that each valid response of discovery is applied,
// that a malformed one changes nothing, and that the next call asks for the complete list.
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
			t.Errorf("got the query %q, want %q", got, want)
		}
	}
	query("")
	if got := health(); got != 503 {
		t.Errorf("health check without a list: got %d, want 503", got)
	}
	d.responses <- listJSON(5, true, endpointJSON("a", a.Addr, discovery.StatusServing))
	query("from=5")
	if got := health(); got != 200 {
		t.Errorf("health check with a list: got %d, want 200", got)
	}
	for _, nonsense := range []string{`{"index":6,"snap`, listJSON(6, false, endpointJSON("a", "nowhere", discovery.StatusServing)),
		listJSON(6, false, endpointJSON("a", a.Addr, "RESTING")), ""} {
		d.responses <- nonsense
		if nonsense == "" {
			query("from=5") // net/http resends the call by itself, which is allowed
		} else {
			query("")
		}
		d.responses <- listJSON(5, true, endpointJSON("a", a.Addr, discovery.StatusServing))
		query("from=5")
		if got := ask("x"); got != 200 {
			t.Errorf("request after the response %q: got %d, want 200", nonsense, got)
		}
	}
	d.responses <- listJSON(7, false, endpointJSON("a", a.Addr, discovery.StatusDraining), endpointJSON("b", b.Addr, discovery.StatusServing))
	query("from=7")
	served := a.Requests.Load()
	for i := range 20 {
		if got := ask(fmt.Sprint("y", i)); got != 200 {
			t.Errorf("request after the drain: got %d, want 200", got)
		}
	}
	if a.Requests.Load() != served || b.Requests.Load() != 20 {
		t.Errorf("%d requests reached the draining backend, want none; %d the other, want 20",
			a.Requests.Load()-served, b.Requests.Load())
	}
}
