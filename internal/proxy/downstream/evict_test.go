package downstream

import (
	"testing"

	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/socket"
)

// TestNewConnectionWithUnreadRequestIsNotEvicted guards against the eviction of a new connection whose
// request waits in the kernel's receive buffer, not read yet because the connection's goroutine has not run:
// it seems to have sent nothing.
func TestNewConnectionWithUnreadRequestIsNotEvicted(t *testing.T) {
	srv, h, _ := startHooked(t, 4, "ok")
	gate := make(chan struct{})
	setHook(&h.reading, func() { <-gate })
	c := connect(t, srv)
	proxytest.WaitUntil(t, func() bool { return srv.OpenConns() == 1 })
	c.Send(t, proxytest.LookRequest("1", 4000))
	srv.mu.Lock()
	for conn := range srv.conns {
		proxytest.WaitUntil(t, func() bool {
			return conn.(*clientconn.Conn).SinceLastReceived() > 2*minNewSilence && !socket.IsIdle(conn)
		})
	}
	srv.mu.Unlock()
	srv.MakeRoom()
	srv.closeIdle(0, 0, true)
	close(gate)
	if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s %q, want a 200 \"ok\"", resp.Status, body)
	}
}
