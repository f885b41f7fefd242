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

// A successor takes over while clients come on new and kept connections: no request is lost, the predecessor's kept
// connections get Connection: close, and it ends.
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

	var id, bad, refused atomic.Int64
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
				case <-time.After(10 * time.Millisecond): // within the tenant's share
				}
				switch status := requestOnce(first.Addr(), proxytest.LookRequest(fmt.Sprint("n", id.Add(1)), 4000)); status {
				case 200:
				case 503: // heard, and refused by the module: a busy machine makes calls slow
					refused.Add(1)
				default:
					bad.Add(1)
					t.Logf("a request was answered with %d", status)
				}
			}
		})
	}
	d.responses <- listJSON(2, true, endpointJSON("a", b.Addr, discovery.StatusServing)) // whoever asks: the successor too
	d.responses <- listJSON(2, true, endpointJSON("a", b.Addr, discovery.StatusServing))
	second := startProxyAt(t, d.addr, 400, known, state)
	if second.Addr() != first.Addr() {
		t.Fatalf("the successor listens at %s and not %s", second.Addr(), first.Addr())
	}
	proxytest.WaitUntil(t, second.Ready)
	proxytest.WaitUntil(t, func() bool { return first.handover.Load().SuccessorServing() })
	kept.Send(t, proxytest.LookRequest("kept to the end", 4000))
	if resp, _ := kept.ReadResponse(t); resp.StatusCode != 200 || resp.Close {
		t.Errorf("before the end: %s, close %v", resp.Status, resp.Close)
	}
	first.stop()
	proxytest.WaitUntil(t, first.frontend.IsClosing)
	kept.Send(t, proxytest.LookRequest("kept on", 4000))
	if resp, _ := kept.ReadResponse(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("on a kept connection: %s, close %v", resp.Status, resp.Close)
	}
	if err := proxytest.Receive(t, "end of the predecessor", first.done); err != nil {
		t.Error(err)
	}
	first.done <- nil
	before := id.Load()
	proxytest.WaitUntil(t, func() bool { return id.Load() > before+50 })
	end()
	if n := bad.Load(); n > 0 || refused.Load() > id.Load()/2 {
		t.Errorf("%d of %d requests went wrong, %d were refused", n, id.Load(), refused.Load())
	}
	all, _, _ := second.config.connLimits(false)
	proxytest.WaitUntil(t, func() bool { return connLimit(second) == all })
	third := startProxyAt(t, d.addr, 400, known, state) // and the successor can be succeeded
	if third.predecessor == nil {
		t.Error("the successor hands nothing over")
	}
}

// requestOnce sends one request on a connection of its own, and returns the response's status; 0 without a complete
// response.
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

// While both processes run each keeps to its half; when the successor dies the other has all again.
func TestTwoProcessesShareTheLimits(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	d := startDiscovery(t)
	known := listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing))
	state := t.TempDir()
	first := startProxyAt(t, d.addr, 400, known, state)
	proxytest.WaitUntil(t, func() bool { return first.handover.Load() != nil })
	half, backends, over := first.config.connLimits(true)
	if all := 2 * (half + backends + over + reservedDescriptorsShared + management.MaxConns + 1); all > 400 {
		t.Errorf("two processes may hold %d descriptors", all)
	}
	second := startProxyAt(t, d.addr, 400, known, state)
	for _, p := range []*running{first, second} {
		proxytest.WaitUntil(t, func() bool { return connLimit(p) == half })
	}
	second.stop()
	all, _, _ := first.config.connLimits(false)
	proxytest.WaitUntil(t, func() bool { return connLimit(first) == all })
	if status := requestOnce(first.Addr(), proxytest.LookRequest("1", 4000)); status != 200 {
		t.Errorf("after the successor's end: %d", status)
	}
}

// What a dead or hung predecessor left behind does not keep a process from starting.
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
				t.Error("it takes itself for a successor")
			}
			if status := requestOnce(p.Addr(), proxytest.LookRequest("1", 4000)); status != 200 {
				t.Errorf("got %d", status)
			}
		})
	}
}
