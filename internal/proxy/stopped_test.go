package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/proxytest"
)

// A request that is stopped while it is written has not run, and that is no fault of its server.
func TestAttemptCancelledDuringWriteNeverExecuted(t *testing.T) {
	p := poolWith(4, "127.0.0.1:1")
	near, far := net.Pipe()
	p.dialContext = func(context.Context, string, string) (net.Conn, error) { return near, nil }
	a := newAttempt(p, "a", proxytest.Timeout)
	a.request.method, a.request.bufferedBody = http.MethodPost, bytes.Repeat([]byte("x"), 1<<20)
	go func() {
		_, _ = io.ReadFull(far, make([]byte, 1<<10))
		a.cancel()
	}()
	if res := a.run(); res.status != balancer.StatusNotSent || p.openConns != 0 {
		t.Errorf("got %v with %d open", res.status, p.openConns)
	}
}
