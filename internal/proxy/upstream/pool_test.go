package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/socket"
)

// TestConnectionClosedByBackendIsNotReused checks that an idle connection that the backend has closed is not
// used again. http.Transport sent a request that met such a connection a second time.
func TestConnectionClosedByBackendIsNotReused(t *testing.T) {
	// The backend closes its connections without having sent Connection: close.
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, false))
	p := poolWith(4, b.Addr)
	for n := range 3 {
		if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK {
			t.Fatalf("attempt %d: got %v, want %v", n, res.Status, balancer.StatusOK)
		}
		proxytest.Receive(t, "close of the connection", b.Closed)
		proxytest.WaitUntil(t, func() bool { // the close has reached the pool's socket
			p.mu.Lock()
			defer p.mu.Unlock()
			return !socket.IsIdle(p.byName["a"].idleConns[0].Conn)
		})
	}
	if b.Requests.Load() != 3 || b.Conns.Load() != 3 {
		t.Errorf("the backend got %d requests on %d connections, want 3 on 3",
			b.Requests.Load(), b.Conns.Load())
	}
	p.SweepIdle(time.Now())
	if p.openConns != 0 {
		t.Errorf("%d connections are open after the sweep, want none", p.openConns)
	}
}

// TestBackendCloseCrossingRequestIsOneReset checks that a request is sent exactly once if the backend closes
// the connection while the request is on its way, and that it counts as reset, since it may have been
// executed.
func TestBackendCloseCrossingRequestIsOneReset(t *testing.T) {
	b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			_, _ = io.WriteString(w, proxytest.OKResponse)
		}
		return n == 1
	})
	p := poolWith(4, b.Addr)
	p.SetReuseDelay(0, 0)
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK {
		t.Fatalf("first request: got %v, want success", res.Status)
	}
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusReset {
		t.Errorf("got %v, want %v", res.Status, balancer.StatusReset)
	}
	if b.Requests.Load() != 2 || b.Conns.Load() != 1 {
		t.Errorf("the backend got %d requests on %d connections, want 2 on 1",
			b.Requests.Load(), b.Conns.Load())
	}
}

// TestPoolReusesMostRecentAndClosesOld checks that the most recently used connection is reused first, and
// that SweepIdle closes connections that have been idle for the idle timeout.
func TestPoolReusesMostRecentAndClosesOld(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := poolWith(4, b.Addr)
	p.SetReuseDelay(0, 0)
	e := p.byName["a"]
	var two []*conn
	for range 2 {
		c, err := p.dial(context.Background(), e, b.Addr, e.generation)
		if err != nil {
			t.Fatal(err)
		}
		two = append(two, c)
	}
	p.putIdle(two[0])
	p.putIdle(two[1])
	if c := p.takeIdle(e, e.generation, false); c != two[1] {
		t.Error("takeIdle did not return the most recently used connection")
	}
	p.putIdle(two[1])
	p.SweepIdle(time.Now().Add(p.idleTimeout))
	if len(e.idleConns) != 0 || p.openConns != 0 {
		t.Errorf("after the sweep: %d idle and %d open connections, want none", len(e.idleConns), p.openConns)
	}
}

// TestConnLimitClosesIdleOrOpensNone checks that, at the connection limit, a new connection replaces an idle
// one, and that an attempt is not sent if none is idle.
func TestConnLimitClosesIdleOrOpensNone(t *testing.T) {
	quick, slow := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true)), proxytest.StartBackend(t, proxytest.NeverRespond(t))
	p := poolWith(1, quick.Addr, slow.Addr)
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK {
		t.Fatalf("first request: got %v, want success", res.Status)
	}
	held := newAttempt(p, "b", proxytest.Timeout)
	results := make(chan Result, 1)
	go func() { results <- held.Run() }()
	proxytest.Receive(t, "close of the idle connection", quick.Closed)
	proxytest.WaitUntil(t, func() bool { return slow.Requests.Load() == 1 })
	// The limit is the proxy's, not the backend's fault.
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusNotSent {
		t.Errorf("at the limit: got %v, want %v", res.Status, balancer.StatusNotSent)
	}
	held.cancel()
	proxytest.Receive(t, "result", results)
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK {
		t.Errorf("below the limit again: got %v, want %v", res.Status, balancer.StatusOK)
	}
}

// TestAnyDialErrorIsConnectFailed checks that an unknown dial error is reported as a failed connect.
func TestAnyDialErrorIsConnectFailed(t *testing.T) {
	p := poolWith(4, "127.0.0.1:1")
	p.dialContext = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("too many open files") }
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusConnectFailed || p.openConns != 0 {
		t.Errorf("got %v with %d open connections, want %v with none",
			res.Status, p.openConns, balancer.StatusConnectFailed)
	}
}

// TestBackendExitDoesNotShortenIdleTimeout checks that a reused connection that broke because its backend
// exited does not shorten the idle timeout of other connections.
func TestBackendExitDoesNotShortenIdleTimeout(t *testing.T) {
	b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 2 {
			return false
		}
		_, _ = io.WriteString(w, proxytest.OKResponse)
		return true
	})
	p := poolWith(10, b.Addr)
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK {
		t.Fatalf("first request: got %v, want success", res.Status)
	}
	p.byName["a"].idleConns[0].idleSince = time.Now().Add(-time.Second)
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusReset {
		t.Fatalf("got %v, want a reset", res.Status)
	}
	if span := p.idleTracker.MaxIdle(time.Now(), p.idleTimeout, false); span > 600*time.Millisecond {
		t.Fatalf("longest idle time is %v after a connection broke at 1 s, want at most 600 ms", span)
	}
	p.dialContext = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusConnectFailed {
		t.Fatalf("got %v, want a refused connection", res.Status)
	}
	if span := p.idleTracker.MaxIdle(time.Now(), p.idleTimeout, false); span != p.idleTimeout {
		t.Errorf("longest idle time is %v although the backend had exited, want %v", span, p.idleTimeout)
	}
}

// TestStaleReuseShortensIdleTimeout checks that connections are reused only after shorter idle times once a
// reused connection has broken. A connection that its backend closes without notice fails the next request on
// it, if that request must not be executed twice; the proxy kept reusing every idle connection.
func TestStaleReuseShortensIdleTimeout(t *testing.T) {
	b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 2 {
			return false // closes without a response
		}
		_, _ = io.WriteString(w, proxytest.OKResponse)
		return true
	})
	p := poolWith(10, b.Addr)
	p.SetReuseDelay(0, 0)
	do := func(idle time.Duration, unsafe bool) balancer.Status {
		t.Helper()
		p.mu.Lock()
		for _, c := range p.byName["a"].idleConns {
			c.idleSince = time.Now().Add(-idle)
		}
		p.mu.Unlock()
		a := newAttempt(p, "a", proxytest.Timeout)
		a.request.NonIdempotent = unsafe
		return a.Run().Status
	}
	for i, step := range []struct {
		idle   time.Duration
		unsafe bool
		want   balancer.Status
		conns  int32
	}{
		{0, true, balancer.StatusOK, 1},
		{time.Second, true, balancer.StatusReset, 1}, // reused, since none has broken yet
		{0, true, balancer.StatusOK, 2},
		{600 * time.Millisecond, true, balancer.StatusOK, 3},
		{5 * time.Millisecond, true, balancer.StatusOK, 3}, // idle only briefly: reused
	} {
		if got := do(step.idle, step.unsafe); got != step.want || b.Conns.Load() != step.conns {
			t.Errorf("step %d: got %v on %d connections, want %v on %d",
				i, got, b.Conns.Load(), step.want, step.conns)
		}
	}
}
