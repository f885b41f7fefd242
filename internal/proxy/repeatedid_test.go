package proxy

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

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

// connectTo returns a client of a process that shares its listener with another one.
func connectTo(t *testing.T, p *runningProxy) *proxytest.Client {
	t.Helper()
	for range 1000 {
		before := p.frontend.OpenConns()
		c := connect(t, p)
		for end := time.Now().Add(20 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if p.frontend.OpenConns() > before {
				return c
			}
		}
		c.Close()
	}
	t.Fatal("no connection was accepted by this process")
	return nil
}

// TestRepeatedIDIsNotExecutedAtOtherProcess guards against a request that runs at both processes of an upgrade: it comes
// again under the same ID at the other process, after its client has disconnected.
func TestRepeatedIDIsNotExecutedAtOtherProcess(t *testing.T) {
	var executions atomic.Int32
	received, release := make(chan struct{}, 10), make(chan struct{})
	b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		executions.Add(1)
		received <- struct{}{}
		<-release
		_, _ = io.WriteString(w, proxytest.OKResponse)
		return true
	})
	defer close(release)
	d := startDiscovery(t)
	known := listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing))
	state := t.TempDir()
	first := startProxyAt(t, d.addr, 400, known, state)
	proxytest.WaitUntil(t, func() bool { return first.handover.Load() != nil })
	post := func(id string) string { return proxytest.PostRequest(id, "Content-Length: 1") + "x" }
	executeAndLeave := func(p *runningProxy, id string) {
		c := connectTo(t, p)
		c.Send(t, post(id))
		proxytest.Receive(t, "the first execution", received)
		c.Close()
	}
	executeAndLeave(first, "before the upgrade")
	// One response for each process.
	d.responses <- listJSON(2, true, endpointJSON("a", b.Addr, discovery.StatusServing))
	d.responses <- listJSON(2, true, endpointJSON("a", b.Addr, discovery.StatusServing))
	second := startProxyAt(t, d.addr, 400, known, state)
	proxytest.WaitUntil(t, second.Ready)
	proxytest.WaitUntil(t, func() bool { return first.handover.Load().SuccessorServing() })
	executeAndLeave(first, "at the predecessor")
	executeAndLeave(second, "at the successor")
	for id, p := range map[string]*runningProxy{"before the upgrade": second, "at the predecessor": second, "at the successor": first} {
		again := connectTo(t, p)
		again.Send(t, post(id))
		if resp, _ := again.ReadResponse(t); resp.StatusCode != http.StatusConflict {
			t.Errorf("%s: the second request got %s, want 409", id, resp.Status)
		}
	}
	if n := executions.Load(); n != 3 {
		t.Errorf("3 requests were executed %d times", n)
	}
}
