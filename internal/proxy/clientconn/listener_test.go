package clientconn

import (
	"io"
	"log/slog"
	"net"
	"testing"
)

// TestResetConnectionTakesNoSlot guards against clients that connect and reset at full speed: each of their connections
// took a slot, a goroutine and a buffer, and others were refused meanwhile.
func TestResetConnectionTakesNoSlot(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(inner, ListenerConfig{MakeRoom: func() {}, Logger: slog.New(slog.DiscardHandler)})
	defer l.Close()
	l.SetLimit(1)
	for range 20 {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "POST /half-a-head")
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	sound, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sound.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, want := c.RemoteAddr().String(), sound.LocalAddr().String(); got != want {
		t.Errorf("accepted the connection from %s, want the one from %s that is open", got, want)
	}
	if !l.IsFull() {
		t.Error("the open connection takes no slot")
	}
}
