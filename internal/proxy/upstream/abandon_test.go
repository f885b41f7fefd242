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

// TestAbandonedRequestIsNotDeliveredLater checks that a request that was written but not yet delivered when
// its attempt ended is never delivered. Without this, a server that hung or was cut off executed it later.
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
			err = c.(*net.TCPConn).SetWriteBuffer(4 << 20) // holds all data that the server has not received
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
		t.Fatalf("got %v, want a timeout after the request was written completely", res.Status)
	}
	c := proxytest.Receive(t, "connection", taken)
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(proxytest.Timeout))
	if n, err := io.Copy(io.Discard, c); err == nil {
		t.Errorf("the server got %d bytes and an orderly close after the attempt had ended, want a reset", n)
	}
}
