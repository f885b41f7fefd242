package proxy

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/proxytest"
)

// TestRepeatedIDIsNotExecutedTwice guards against a request that runs twice: a request that must not be repeated comes
// again under the same ID, after its client has disconnected or has got its response.
func TestRepeatedIDIsNotExecutedTwice(t *testing.T) {
	post := proxytest.PostRequest("again", "Content-Length: 1") + "x"
	for _, tt := range []struct {
		name       string
		text       string
		responds   bool // the first time
		executions int32
		status     int // of the second response
	}{
		{"after its client has gone", post, false, 1, http.StatusConflict},
		{"after its response", post, true, 1, http.StatusConflict},
		{"idempotent, after its client has gone", proxytest.LookRequest("again", 4000), false, 2, http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var executions atomic.Int32
			received, release := make(chan struct{}, 2), make(chan struct{})
			b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
				first := executions.Add(1) == 1
				received <- struct{}{}
				if first && !tt.responds {
					<-release
				}
				_, _ = io.WriteString(w, proxytest.OKResponse)
				return true
			})
			defer close(release)
			p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
			cl := connect(t, p)
			cl.Send(t, tt.text)
			proxytest.Receive(t, "the first execution", received)
			if tt.responds {
				cl.ReadResponse(t)
			}
			cl.Close()
			proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == 0 && p.frontend.OpenConns() == 0 })
			again := connect(t, p)
			again.Send(t, tt.text)
			resp, _ := again.ReadResponse(t)
			if resp.StatusCode != tt.status {
				t.Errorf("the second request: got %s, want %d", resp.Status, tt.status)
			}
			if n := executions.Load(); n != tt.executions {
				t.Errorf("executed %d times, want %d", n, tt.executions)
			}
		})
	}
}
