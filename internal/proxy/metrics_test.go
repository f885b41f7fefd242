package proxy

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"merlinpick/internal/management"
	"merlinpick/internal/proxy/proxytest"
)

// TestEveryRequestIsCountedOnce checks that each accepted request is counted as ended exactly once, however
// it ends, and as in flight before that.
func TestEveryRequestIsCountedOnce(t *testing.T) {
	served := proxytest.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	failed := proxytest.RespondWith("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", true)
	stuck := proxytest.NeverRespond(t)
	reached := make(chan struct{}, 10)
	p, _ := startServing(t, func(w io.Writer, r *http.Request, n int) bool {
		switch r.Header.Get("Request-Id") {
		case "1", "2":
			return served(w, r, n)
		case "3":
			return failed(w, r, n)
		}
		reached <- struct{}{}
		return stuck(w, r, n)
	})
	ends := func() (n int64, f management.Metrics) {
		f = p.Metrics()
		for _, e := range f.Classes {
			n += e.Succeeded + e.Rejected + e.Failed
		}
		return n, f
	}
	post := func(id string) string {
		return "POST /post HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Class: post\r\n" +
			"Request-Timeout-Ms: 7000\r\nContent-Length: 0\r\n\r\n"
	}
	c := connect(t, p)
	for _, id := range []string{"1", "2", "3"} {
		c.Send(t, post(id))
		c.ReadResponse(t)
	}
	c.Send(t, "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n") // has no class and is not counted
	c.ReadResponse(t)
	proxytest.WaitUntil(t, func() bool { n, _ := ends(); return n == 3 })
	leaving := connect(t, p)
	leaving.Send(t, post("4"))
	proxytest.Receive(t, "request at the backend", reached)
	// The backend may read it before it is counted.
	proxytest.WaitUntil(t, func() bool { return p.Metrics().Forwarded == 4 })
	if n, f := ends(); n != 3 || f.InFlight != 1 {
		t.Errorf("with one request in flight: %d ended, want 3; metrics %+v", n, f)
	}
	leaving.Close()
	proxytest.WaitUntil(t, func() bool { n, _ := ends(); return n == 4 })
	_, f := ends()
	if e := f.Classes["post"]; f.InFlight != 0 || e.Succeeded != 2 || e.Failed != 2 || f.ListedServers != 1 {
		t.Errorf("after all requests: got %+v, want 2 succeeded and 2 failed of class post, none in flight "+
			"and 1 listed server", f)
	}
}

// TestRequestFinishCountsOnce checks that only the first call of finish counts, and that the number of
// classes is limited.
func TestRequestFinishCountsOnce(t *testing.T) {
	f := newMetrics([]string{"a"})
	one, two := f.requestStarted("a"), f.requestStarted("b")
	one.finish(http.StatusServiceUnavailable)
	one.finish(0)
	got := f.snapshot()
	if got.Classes["a"] != (management.RequestCounts{Rejected: 1}) || got.InFlight != 1 {
		t.Errorf("after finishing the first request: got %+v, want 1 rejected of class a and 1 in flight",
			got)
	}
	two.finish(0)
	if got = f.snapshot(); got.Classes["b"] != (management.RequestCounts{Failed: 1}) || got.InFlight != 0 {
		t.Errorf("after finishing both requests: got %+v, want 1 failed of class b and none in flight", got)
	}
	for range 3 * maxClasses {
		f.setClasses([]string{string(bytes.Repeat([]byte("x"), len(f.classes)+1))})
	}
	if len(f.classes) > maxClasses {
		t.Errorf("%d classes are counted, want at most %d", len(f.classes), maxClasses)
	}
}
