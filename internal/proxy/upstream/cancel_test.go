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

// TestAttemptCancelledDuringWriteNeverExecuted checks that an attempt that is cancelled while its request is
// being written counts as not sent, since the server cannot have executed it and is not at fault.
func TestAttemptCancelledDuringWriteNeverExecuted(t *testing.T) {
	p := poolWith(4, "127.0.0.1:1")
	near, far := net.Pipe()
	p.dialContext = func(context.Context, string, string) (net.Conn, error) { return near, nil }
	a := newAttempt(p, "a", proxytest.Timeout)
	a.request.Method, a.request.Body = http.MethodPost, bytes.Repeat([]byte("x"), 1<<20)
	go func() {
		_, _ = io.ReadFull(far, make([]byte, 1<<10))
		a.cancel()
	}()
	if res := a.Run(); res.Status != balancer.StatusNotSent || p.openConns != 0 {
		t.Errorf("got %v with %d open connections, want %v with none",
			res.Status, p.openConns, balancer.StatusNotSent)
	}
}

// TestCancelledWriteBlamesNobody checks that an attempt that is cancelled before any byte of its request is
// accepted counts as not sent, since the server is not at fault, and that its connection is not reused.
func TestCancelledWriteBlamesNobody(t *testing.T) {
	near, far := net.Pipe() // accepts no data until it is read from
	defer far.Close()
	pool := poolWith(5)
	pool.openConns = 1
	ctx, stop := context.WithCancel(context.Background())
	a := &Attempt{request: &Request{Method: "GET", URI: "/", Header: http.Header{}}, deadline: time.Now().Add(proxytest.Timeout),
		pool: pool, ctx: ctx, cancel: stop}
	writes := make(chan struct{})
	c := &conn{Conn: writeNotifyingConn{near, writes}, backend: &backend{}}
	go func() { <-writes; stop() }()
	if res, keep := a.exchange(c); res.Status != balancer.StatusNotSent || keep {
		t.Errorf("got %v, reusable %v, want %v, false", res.Status, keep, balancer.StatusNotSent)
	}
}

// writeNotifyingConn is a connection that closes seen when Write is called.
type writeNotifyingConn struct {
	net.Conn
	seen chan struct{}
}

func (w writeNotifyingConn) Write(p []byte) (int, error) { close(w.seen); return w.Conn.Write(p) }
