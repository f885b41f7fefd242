package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/proxytest"
)

// A further attempt is decided inside the window for repeats, and its connection may come up when that is over. Nobody
// knows the key any more then: nothing goes out. In time it does.
func TestRetryKeepsDedupWindowDespiteSlowDial(t *testing.T) {
	const window = time.Second
	for _, c := range []struct {
		name     string
		late     bool
		requests int32
		status   int
	}{{"in time", false, 2, 200}, {"late", true, 1, 502}} {
		t.Run(c.name, func(t *testing.T) {
			b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
				if n > 1 {
					_, _ = io.WriteString(w, proxytest.OKResponse)
				}
				return n > 1 // the first ends without an answer: it may have run
			})
			known := listJSON(1, true, endpointJSON("a", b.Addr, "SERVING"))
			text := strings.Replace(siteText, `"dedup_window_us":9000000`, `"dedup_window_us":1000000`, 1)
			p := startSite(t, text, startDiscovery(t).addr, 200, known, t.TempDir())
			pool, first := p.loop.pool, make(chan time.Time, 9)
			pool.mu.Lock()
			dial := pool.dialContext
			pool.dialContext = func(_ context.Context, network, addr string) (net.Conn, error) {
				if first <- time.Now(); c.late && len(first) > 1 {
					time.Sleep(window) // the first attempt was sent before it dialled
				}
				return dial(context.Background(), network, addr)
			}
			pool.mu.Unlock()
			cl := connect(t, p)
			cl.send(t, "POST /rate/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 2\r\nRequest-Class: rate\r\nTenant: acme\r\nIdempotency-Key: x\r\nContent-Length: 3\r\n\r\nabc")
			if resp, _ := cl.readResponse(t); resp.StatusCode != c.status || b.Requests.Load() != c.requests || len(first) != 2 {
				t.Errorf("got %s after %d requests and %d dials, want %d", resp.Status, b.Requests.Load(), len(first), c.requests)
			}
		})
	}
}

// What cannot be written whole inside the window is broken off there, which proves that it never ran.
func TestWritePastSendWindowIsAborted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and reads nothing
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, uploading := range []bool{false, true} {
		a := newAttempt(poolWith(4, l.Addr().String()), "a", proxytest.Timeout)
		a.sendDeadline = time.Now().Add(200 * time.Millisecond)
		a.request.method, a.request.bufferedBody, a.request.contentLength = http.MethodPost, make([]byte, 16<<20), 16<<20
		if uploading {
			a.bodyComplete, a.request.bodyRemainder = make(chan time.Time, 1), strings.NewReader("")
		}
		if res := a.run(); res.status != balancer.StatusConnectFailed || time.Since(a.sendDeadline) > streamStallTimeout/2 {
			t.Errorf("uploading %v: got %v", uploading, res.status)
		}
	}
}
