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

// TestExtraResponseIsNotTakenForNextRequest guards against a second response to one request that is served as
// the response to the next one. During the reuse delay, which is longer for backends of other zones, the
// connection is not used; when the extra response arrives, the connection has unexpected data to read and is
// closed.
func TestExtraResponseIsNotTakenForNextRequest(t *testing.T) {
	const tolerant = time.Second // tolerates pauses of a busy machine
	for _, test := range []struct {
		name, localZone          string
		reuseDelay, interZoneOne time.Duration
	}{
		{"backend of the local zone", backendZone, tolerant, 0},
		{"backend of another zone", "b", 0, tolerant},
		{"local zone unknown", "", 0, tolerant},
	} {
		t.Run(test.name, func(t *testing.T) {
			next, spoilt := make(chan struct{}), make(chan struct{})
			b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
				if n == 2 {
					proxytest.Receive(t, "second response to the first request", spoilt)
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
			p.SetLocalZone(test.localZone)
			p.SetReuseDelay(test.reuseDelay, test.interZoneOne)
			for n := range 2 {
				if n == 1 {
					close(next)
				}
				if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK || string(res.Body) != "ok" {
					t.Fatalf("request %d: got %v %q, want %v \"ok\"", n+1, res.Status, res.Body, balancer.StatusOK)
				}
			}
			if b.Conns.Load() != 2 || p.openConns != 1 {
				t.Errorf("%d connections, of which %d are open, want 2 and 1", b.Conns.Load(), p.openConns)
			}
		})
	}
}

// TestReuseDelayCoversJitter checks the delays of a new pool against the figures of the operators' pages: a
// second response leaves some milliseconds late, and the network between zones takes up to 20 ms one way, 0.3
// of that more or less under jitter.
func TestReuseDelayCoversJitter(t *testing.T) {
	const delay, latency, jitter = 10 * time.Millisecond, 20 * time.Millisecond, 0.3
	p := poolWith(4)
	if p.reuseDelay != idletimeout.ReuseDelay || p.interZoneReuseDelay != idletimeout.InterZoneReuseDelay {
		t.Errorf("reuse delays are %v and %v, want %v and %v",
			p.reuseDelay, p.interZoneReuseDelay, idletimeout.ReuseDelay, idletimeout.InterZoneReuseDelay)
	}
	if p.reuseDelay < delay {
		t.Errorf("reuse delay is %v in the local zone, want %v or more", p.reuseDelay, delay)
	}
	want := delay + time.Duration(2*jitter*float64(latency))
	if p.interZoneReuseDelay < want {
		t.Errorf("reuse delay is %v between zones, want %v or more", p.interZoneReuseDelay, want)
	}
	if least := idletimeout.MinIdleTimeout - idletimeout.ReuseDelay; least <= 0 {
		t.Errorf("the lowest bound on idle time leaves %v for reuse, want more than 0", least)
	}
}

// TestInterZoneConnectionIsReusedAfterItsDelay checks that a connection to another zone is still reused where
// broken reuses have lowered the bound on idle time below its reuse delay.
func TestInterZoneConnectionIsReusedAfterItsDelay(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := poolWith(4, b.Addr)
	p.SetLocalZone("b")
	p.SetReuseDelay(0, time.Second)
	e := p.byName["a"]
	for range 20 {
		p.idleTracker.RecordBrokenReuse(time.Now(), "other", idletimeout.MinIdleTimeout, p.idleTimeout)
	}
	c, err := p.dial(context.Background(), e, b.Addr, e.generation)
	if err != nil {
		t.Fatal(err)
	}
	p.putIdle(c)
	c.idleSince = c.idleSince.Add(-time.Second)
	if got := p.takeIdle(e, e.generation, false); got != c {
		t.Error("takeIdle did not return a connection that has just passed its reuse delay")
	}
}

// TestAttemptWaitsOutReuseDelay checks that an attempt that finds only connections within their reuse delay
// waits for the one whose delay ends first, and that only one attempt waits for each connection.
func TestAttemptWaitsOutReuseDelay(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := poolWith(4, b.Addr)
	p.reuseDelay = 200 * time.Millisecond
	for n := range 3 {
		began := time.Now()
		if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK || b.Conns.Load() != 1 {
			t.Fatalf("request %d: got %v on %d connections, want %v on 1",
				n+1, res.Status, b.Conns.Load(), balancer.StatusOK)
		}
		if took := time.Since(began); n > 0 && took < p.reuseDelay/2 {
			t.Errorf("request %d took %v, want at least %v", n+1, took, p.reuseDelay/2)
		}
	}
	p.reuseDelay = proxytest.Timeout
	first := newAttempt(p, "a", 2*proxytest.Timeout)
	results := make(chan Result, 1)
	go func() { results <- first.Run() }()
	proxytest.WaitUntil(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(first.backend.idleConns) == 0 })
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK || b.Conns.Load() != 2 {
		t.Errorf("attempt while another waits: got %v on %d connections, want %v on 2",
			res.Status, b.Conns.Load(), balancer.StatusOK)
	}
	first.cancel()
	if res := proxytest.Receive(t, "result", results); res.Status != balancer.StatusNotSent || b.Requests.Load() != 4 {
		t.Errorf("attempt cancelled during the delay: got %v after %d requests, want %v after 4",
			res.Status, b.Requests.Load(), balancer.StatusNotSent)
	}
}

// TestReusableConnectionFoundBehindDelayedOnes checks that a connection past its reuse delay is reused,
// although more recently used ones are still within theirs.
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
		t.Error("takeIdle did not return the connection that is past its reuse delay")
	}
	if c := p.takeIdle(e, e.generation, false); c != nil || len(e.idleConns) != 1 || p.openConns != 2 {
		t.Errorf("takeIdle returned a connection within its reuse delay, or closed one: %d idle, %d open, "+
			"want 1 and 2", len(e.idleConns), p.openConns)
	}
}
