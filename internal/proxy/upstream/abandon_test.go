package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/proxytest"
)

// A request that was written but not yet delivered when its attempt was given up is never delivered: a server that hung,
// or was cut off, executed it after that.
func TestAbandonedRequestIsNotDeliveredLater(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := poolWith(4, l.Addr().String())
	dial := p.dialContext
	p.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(4 << 20) // holds all that the server has not taken
		}
		return c, err
	}
	taken := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			taken <- c
		}
	}()
	a := newAttempt(p, "a", time.Second)
	a.request.Method, a.request.Body = http.MethodPost, bytes.Repeat([]byte("x"), 2<<20)
	if res := a.Run(); res.Status != balancer.StatusTimedOut {
		t.Fatalf("got %v, want it written whole and then timed out", res.Status)
	}
	c := proxytest.Receive(t, "connection", taken)
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(proxytest.Timeout))
	if n, err := io.Copy(io.Discard, c); err == nil {
		t.Errorf("%d bytes and an end came after the attempt had been given up", n)
	}
}
