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

// The backend closes a kept connection; a request that ran into it was sent a second time by http.Transport.
func TestConnectionClosedByBackendIsNotReused(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, false)) // promises to stay, then closes
	p := poolWith(4, b.Addr)
	for n := range 3 {
		if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK {
			t.Fatalf("attempt %d: got %v", n, res.Status)
		}
		proxytest.Receive(t, "close", b.Closed)
		proxytest.WaitUntil(t, func() bool { // the news has reached this end
			p.mu.Lock()
			defer p.mu.Unlock()
			return !socket.IsIdle(p.byName["a"].idleConns[0].Conn)
		})
	}
	if b.Requests.Load() != 3 || b.Conns.Load() != 3 {
		t.Errorf("%d requests on %d connections", b.Requests.Load(), b.Conns.Load())
	}
	p.SweepIdle(time.Now())
	if p.openConns != 0 {
		t.Errorf("%d connections open after the sweep", p.openConns)
	}
}

// The close crosses the request: it is sent exactly once, and may have been executed.
func TestBackendCloseCrossingRequestIsOneReset(t *testing.T) {
	b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			_, _ = io.WriteString(w, proxytest.OKResponse)
		}
		return n == 1
	})
	p := poolWith(4, b.Addr)
	p.SetReuseDelay(0)
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK {
		t.Fatalf("got %v", res.Status)
	}
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusReset {
		t.Errorf("got %v", res.Status)
	}
	if b.Requests.Load() != 2 || b.Conns.Load() != 1 {
		t.Errorf("%d requests on %d connections", b.Requests.Load(), b.Conns.Load())
	}
}

func TestPoolReusesMostRecentAndClosesOld(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := poolWith(4, b.Addr)
	p.SetReuseDelay(0)
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
		t.Error("not the most recent one")
	}
	p.putIdle(two[1])
	p.SweepIdle(time.Now().Add(p.idleTimeout))
	if len(e.idleConns) != 0 || p.openConns != 0 {
		t.Errorf("%d idle, %d open", len(e.idleConns), p.openConns)
	}
}

func TestConnLimitClosesIdleOrOpensNone(t *testing.T) {
	quick, slow := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true)), proxytest.StartBackend(t, proxytest.NeverRespond(t))
	p := poolWith(1, quick.Addr, slow.Addr)
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK {
		t.Fatalf("got %v", res.Status)
	}
	held := newAttempt(p, "b", proxytest.Timeout)
	results := make(chan Result, 1)
	go func() { results <- held.Run() }()
	proxytest.Receive(t, "close of the idle connection", quick.Closed)
	proxytest.WaitUntil(t, func() bool { return slow.Requests.Load() == 1 })
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusNotSent { // the limit is the proxy's own, and no backend's fault
		t.Errorf("over the limit: got %v", res.Status)
	}
	held.cancel()
	proxytest.Receive(t, "result", results)
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK {
		t.Errorf("with room again: got %v", res.Status)
	}
}

func TestAnyDialErrorIsConnectFailed(t *testing.T) {
	p := poolWith(4, "127.0.0.1:1")
	p.dialContext = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("too many open files") }
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusConnectFailed || p.openConns != 0 {
		t.Errorf("got %v with %d open", res.Status, p.openConns)
	}
}

// A reused connection that broke since its backend exited does not shorten the idle timeout of others.
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
		t.Fatalf("got %v", res.Status)
	}
	p.byName["a"].idleConns[0].idleSince = time.Now().Add(-time.Second)
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusReset {
		t.Fatalf("got %v, want a reset", res.Status)
	}
	if span := p.idleTracker.MaxIdle(time.Now(), p.idleTimeout, false); span > 600*time.Millisecond {
		t.Fatalf("trusted for %v after a break at 1 s", span)
	}
	p.dialContext = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusConnectFailed {
		t.Fatalf("got %v, want a refused connection", res.Status)
	}
	if span := p.idleTracker.MaxIdle(time.Now(), p.idleTimeout, false); span != p.idleTimeout {
		t.Errorf("trusted for %v though the backend had died, want %v", span, p.idleTimeout)
	}
}

// A kept connection that its backend closes unannounced breaks under its next request, which fails it if it must not be
// executed twice. The proxy went on reusing every idle connection.
func TestStaleReuseShortensIdleTimeout(t *testing.T) {
	b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 2 {
			return false // closed without an answer
		}
		_, _ = io.WriteString(w, proxytest.OKResponse)
		return true
	})
	p := poolWith(10, b.Addr)
	p.SetReuseDelay(0)
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
		{time.Second, true, balancer.StatusReset, 1}, // trusted until now
		{0, true, balancer.StatusOK, 2},
		{600 * time.Millisecond, true, balancer.StatusOK, 3},
		{5 * time.Millisecond, true, balancer.StatusOK, 3}, // fresh enough
	} {
		if got := do(step.idle, step.unsafe); got != step.want || b.Conns.Load() != step.conns {
			t.Errorf("step %d: %v on %d connections, want %v on %d", i, got, b.Conns.Load(), step.want, step.conns)
		}
	}
}
