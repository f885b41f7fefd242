package proxy

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/management"
	"merlinpick/internal/proxy/proxytest"
)

// TestSuccessorTakesOverWithoutErrors checks that no request is lost when a successor takes over while
// clients send on new and kept connections. The predecessor sends Connection: close on its kept connections,
// and exits.
func TestSuccessorTakesOverWithoutErrors(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	d := startDiscovery(t)
	known := listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing))
	state := t.TempDir()
	first := startProxyAt(t, d.addr, 400, known, state)
	proxytest.WaitUntil(t, func() bool { return first.handover.Load() != nil })
	kept := connect(t, first)
	kept.Send(t, proxytest.LookRequest("kept", 4000))
	kept.ReadResponse(t)

	var id, bad, rejected atomic.Int64
	over := make(chan struct{})
	var clients sync.WaitGroup
	end := sync.OnceFunc(func() { close(over); clients.Wait() })
	defer end()
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-over:
					return
				case <-time.After(10 * time.Millisecond): // keeps the rate within the tenant's quota
				}
				switch status := requestOnce(first.Addr(), proxytest.LookRequest(fmt.Sprint("n", id.Add(1)), 4000)); status {
				case 200:
				case 503: // rejected by the balancer, since calls are slow on a busy machine
					rejected.Add(1)
				default:
					bad.Add(1)
					t.Logf("got status %d", status)
				}
			}
		})
	}
	// One response for each process.
	d.responses <- listJSON(2, true, endpointJSON("a", b.Addr, discovery.StatusServing))
	d.responses <- listJSON(2, true, endpointJSON("a", b.Addr, discovery.StatusServing))
	second := startProxyAt(t, d.addr, 400, known, state)
	if second.Addr() != first.Addr() {
		t.Fatalf("the successor listens on %s, want %s", second.Addr(), first.Addr())
	}
	proxytest.WaitUntil(t, second.Ready)
	proxytest.WaitUntil(t, func() bool { return first.handover.Load().SuccessorServing() })
	kept.Send(t, proxytest.LookRequest("kept to the end", 4000))
	if resp, _ := kept.ReadResponse(t); resp.StatusCode != 200 || resp.Close {
		t.Errorf("kept connection before the drain: got %s, close %v, want 200 and no close",
			resp.Status, resp.Close)
	}
	first.stop()
	proxytest.WaitUntil(t, first.frontend.IsClosing)
	kept.Send(t, proxytest.LookRequest("kept on", 4000))
	if resp, _ := kept.ReadResponse(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("kept connection during the drain: got %s, close %v, want 200 and a close",
			resp.Status, resp.Close)
	}
	if err := proxytest.Receive(t, "end of the predecessor", first.done); err != nil {
		t.Error(err)
	}
	first.done <- nil
	before := id.Load()
	proxytest.WaitUntil(t, func() bool { return id.Load() > before+50 })
	end()
	if n := bad.Load(); n > 0 || rejected.Load() > id.Load()/2 {
		t.Errorf("%d of %d requests failed, want none; %d were rejected, want at most half",
			n, id.Load(), rejected.Load())
	}
	all, _, _ := second.config.connLimits(false)
	proxytest.WaitUntil(t, func() bool { return connLimit(second) == all })
	third := startProxyAt(t, d.addr, 400, known, state) // the successor can hand over in turn
	if third.predecessor == nil {
		t.Error("the successor did not hand over to a third process")
	}
}

// requestOnce sends one request on a new connection and returns the status of the response, or 0 if there is
// none.
func requestOnce(addr, text string) int {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(proxytest.Timeout))
	var status int
	if _, err := fmt.Fprint(c, text); err != nil {
		return 0
	}
	if _, err := fmt.Fscanf(c, "HTTP/1.1 %d", &status); err != nil {
		return 0
	}
	return status
}

// TestTwoProcessesShareTheLimits checks that each process uses at most half of the limits while both run, and
// that the predecessor uses all of them again when the successor has exited.
func TestTwoProcessesShareTheLimits(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	d := startDiscovery(t)
	known := listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing))
	state := t.TempDir()
	first := startProxyAt(t, d.addr, 400, known, state)
	proxytest.WaitUntil(t, func() bool { return first.handover.Load() != nil })
	half, backends, over := first.config.connLimits(true)
	if all := 2 * (half + backends + over + reservedDescriptorsShared + management.MaxConns + 1); all > 400 {
		t.Errorf("two processes may use %d descriptors, want at most 400", all)
	}
	second := startProxyAt(t, d.addr, 400, known, state)
	for _, p := range []*runningProxy{first, second} {
		proxytest.WaitUntil(t, func() bool { return connLimit(p) == half })
	}
	second.stop()
	all, _, _ := first.config.connLimits(false)
	proxytest.WaitUntil(t, func() bool { return connLimit(first) == all })
	if status := requestOnce(first.Addr(), proxytest.LookRequest("1", 4000)); status != 200 {
		t.Errorf("after the successor's exit: got status %d, want 200", status)
	}
}

// TestStaleHandoverSocketDoesNotBlockStart checks that a process starts although a dead predecessor has left
// its socket file, or a hung one does not answer.
func TestStaleHandoverSocketDoesNotBlockStart(t *testing.T) {
	for name, leave := range map[string]func(t *testing.T, path string){
		"a file": func(t *testing.T, path string) {
			if err := os.WriteFile(path, nil, 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"a dead socket": func(t *testing.T, path string) {
			l, err := net.ListenUnix("unix", &net.UnixAddr{Net: "unix", Name: path})
			if err != nil {
				t.Fatal(err)
			}
			l.SetUnlinkOnClose(false)
			l.Close()
		},
		"a mute process": func(t *testing.T, path string) {
			l, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := t.TempDir()
			leave(t, filepath.Join(state, "handover.sock"))
			b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
			p := startProxyAt(t, startDiscovery(t).addr, 400, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)), state)
			if p.predecessor != nil {
				t.Error("the process found a predecessor, want none")
			}
			if status := requestOnce(p.Addr(), proxytest.LookRequest("1", 4000)); status != 200 {
				t.Errorf("got status %d, want 200", status)
			}
		})
	}
}
