package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/idletimeout"
	"merlinpick/internal/proxy/proxytest"
)

// An extra response that comes after the next request has come here is not that one's: the connection stays unused until
// it has come, is found to have bytes that nobody asked for, and is closed.
func TestExtraResponseIsNotTakenForNextRequest(t *testing.T) {
	next, spoilt := make(chan struct{}), make(chan struct{})
	b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 2 {
			proxytest.Receive(t, "second answer to the first request", spoilt)
		}
		_, _ = io.WriteString(w, proxytest.OKResponse)
		if n == 1 {
			go func() {
				<-next
				_, _ = io.WriteString(w, strings.Replace(proxytest.OKResponse, "ok", "no", 1))
				close(spoilt)
			}()
		}
		return true
	})
	p := poolWith(4, b.Addr)
	if p.reuseDelay != idletimeout.ReuseDelay {
		t.Errorf("connections rest for %v", p.reuseDelay)
	}
	p.reuseDelay = time.Second // for a machine that stands still now and then
	for n := range 2 {
		if n == 1 {
			close(next)
		}
		if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK || string(res.Body) != "ok" {
			t.Fatalf("request %d: got %v %q", n+1, res.Status, res.Body)
		}
	}
	if b.Conns.Load() != 2 || p.openConns != 1 {
		t.Errorf("%d connections, %d open", b.Conns.Load(), p.openConns)
	}
}

// An attempt that finds only connections within their reuse delay waits for the one whose delay ends first; only one
// attempt does.
func TestAttemptWaitsOutReuseDelay(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := poolWith(4, b.Addr)
	p.reuseDelay = 200 * time.Millisecond
	for n := range 3 {
		began := time.Now()
		if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK || b.Conns.Load() != 1 {
			t.Fatalf("request %d: got %v on %d connections", n+1, res.Status, b.Conns.Load())
		}
		if took := time.Since(began); n > 0 && took < p.reuseDelay/2 {
			t.Errorf("request %d took %v", n+1, took)
		}
	}
	p.reuseDelay = proxytest.Timeout
	first := newAttempt(p, "a", 2*proxytest.Timeout)
	results := make(chan Result, 1)
	go func() { results <- first.Run() }()
	proxytest.WaitUntil(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(first.backend.idleConns) == 0 })
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK || b.Conns.Load() != 2 {
		t.Errorf("beside one that waits: got %v on %d connections", res.Status, b.Conns.Load())
	}
	first.cancel()
	if res := proxytest.Receive(t, "result", results); res.Status != balancer.StatusNotSent || b.Requests.Load() != 4 {
		t.Errorf("stopped in the rest: got %v after %d requests", res.Status, b.Requests.Load())
	}
}

// A connection past its reuse delay is used before a new one is opened, though others are more recent.
func TestReusableConnectionFoundBehindDelayedOnes(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := poolWith(4, b.Addr)
	e := p.byName["a"]
	var two []*conn
	for range 2 {
		c, err := p.dial(context.Background(), e, b.Addr, e.generation)
		if err != nil {
			t.Fatal(err)
		}
		two = append(two, c)
		p.putIdle(c)
	}
	p.reuseDelay = proxytest.Timeout
	two[0].idleSince = two[0].idleSince.Add(-proxytest.Timeout)
	if c := p.takeIdle(e, e.generation, false); c != two[0] {
		t.Error("not the one that has rested")
	}
	if c := p.takeIdle(e, e.generation, false); c != nil || len(e.idleConns) != 1 || p.openConns != 2 {
		t.Errorf("%d idle and %d open beside one that rests", len(e.idleConns), p.openConns)
	}
}
