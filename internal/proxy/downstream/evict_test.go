package downstream

import (
	"testing"

	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/socket"
)

// Guards against the eviction of a new connection whose request waits in the kernel's receive buffer, not
// read yet because the connection's goroutine has not run: it seems to have sent nothing.
func TestNewConnectionWithUnreadRequestIsNotEvicted(t *testing.T) {
	f, h, _ := startHooked(t, 4, "ok")
	gate := make(chan struct{})
	once(&h.reading, func() { <-gate })
	c := connect(t, f)
	proxytest.WaitUntil(t, func() bool { return f.OpenConns() == 1 })
	c.Send(t, proxytest.LookRequest("1", 4000))
	f.mu.Lock()
	for conn := range f.conns {
		proxytest.WaitUntil(t, func() bool {
			return conn.(*clientconn.Conn).SinceLastReceived() > 2*minNewSilence && !socket.Quiet(conn)
		})
	}
	f.mu.Unlock()
	f.MakeRoom()
	f.closeIdle(0, 0, true)
	close(gate)
	if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s %q, want a 200 \"ok\"", resp.Status, body)
	}
}
