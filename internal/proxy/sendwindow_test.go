package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/upstream"
)

// TestRetryKeepsDedupWindowDespiteSlowDial checks that a retry decided within the deduplication window is not
// sent if its connection is established after the window, when servers may have forgotten the idempotency
// key. If it is established in time, the retry is sent.
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
				return n > 1 // the first ends without a response: it may have been executed
			})
			known := listJSON(1, true, endpointJSON("a", b.Addr, "SERVING"))
			text := strings.Replace(proxytest.SiteJSON, `"dedup_window_us":9000000`, `"dedup_window_us":1000000`, 1)
			p := startSite(t, text, startDiscovery(t).addr, 200, known, t.TempDir())
			first := make(chan time.Time, 9)
			p.loop.pool.WrapDial(func(dial upstream.DialFunc) upstream.DialFunc {
				return func(_ context.Context, network, addr string) (net.Conn, error) {
					if first <- time.Now(); c.late && len(first) > 1 {
						// The window is over: the first attempt was sent before this dial started.
						time.Sleep(window)
					}
					return dial(context.Background(), network, addr)
				}
			})
			cl := connect(t, p)
			cl.Send(t, "POST /rate/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 2\r\nRequest-Class: rate\r\nTenant: acme\r\nIdempotency-Key: x\r\nContent-Length: 3\r\n\r\nabc")
			if resp, _ := cl.ReadResponse(t); resp.StatusCode != c.status || b.Requests.Load() != c.requests || len(first) != 2 {
				t.Errorf("got %s after %d requests and %d dials, want %d requests, 2 dials and status %d",
					resp.Status, b.Requests.Load(), len(first), c.requests, c.status)
			}
		})
	}
}
