package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/proxytest"
)

// TestDialEndsWithBackendGeneration checks that an attempt stops waiting for a dial when its backend drains,
// is removed, restarts or is suspended, since nothing may be sent on the connection, and that a later attempt
// with the old generation starts no dial.
func TestDialEndsWithBackendGeneration(t *testing.T) {
	restarted := proxytest.Endpoint("a", "127.0.0.1:1", discovery.StatusServing)
	restarted.StartedAtMs = 7
	for name, change := range map[string]func(p *Pool){
		"drained": func(p *Pool) {
			p.UpdateEndpoints(false, []discovery.Endpoint{proxytest.Endpoint("a", "127.0.0.1:1", discovery.StatusDraining)})
		},
		"gone":      func(p *Pool) { p.UpdateEndpoints(true, nil) },
		"restarted": func(p *Pool) { p.UpdateEndpoints(false, []discovery.Endpoint{restarted}) },
		"banned":    func(p *Pool) { p.SetSuspended(map[string]bool{"a": true}) },
	} {
		t.Run(name, func(t *testing.T) {
			p := poolWith(4, "127.0.0.1:1")
			dials := make(chan bool, 9)
			p.dialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { // never connects
				dials <- true
				<-ctx.Done()
				return nil, ctx.Err()
			}
			a, late := newAttempt(p, "a", 2*proxytest.Timeout), newAttempt(p, "a", 2*proxytest.Timeout)
			results := make(chan Result, 1)
			go func() { results <- a.Run() }()
			proxytest.Receive(t, "dial", dials)
			change(p)
			if res := proxytest.Receive(t, "result", results); res.Status != balancer.StatusNotSent || a.ctx.Err() != nil {
				t.Errorf("got %v and context error %v, want %v and none",
					res.Status, a.ctx.Err(), balancer.StatusNotSent)
			}
			began := time.Now()
			if res := late.Run(); res.Status != balancer.StatusNotSent || len(dials) != 0 {
				t.Errorf("attempt after the change: got %v after %v, with %d dials, want %v without a dial",
					res.Status, time.Since(began), len(dials), balancer.StatusNotSent)
			}
			if p.openConns != 0 || len(a.backend.pendingDials) != 0 {
				t.Errorf("%d connections and %d dials are still counted, want none",
					p.openConns, len(a.backend.pendingDials))
			}
		})
	}
}

// TestResponseInFlightSurvivesBackendDrain checks that a request in flight when its backend drains gets its
// whole response, and that the connection is closed after it.
func TestResponseInFlightSurvivesBackendDrain(t *testing.T) {
	came, goOn := make(chan bool, 1), make(chan bool)
	b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		came <- true
		<-goOn
		_, _ = io.WriteString(w, proxytest.OKResponse)
		return true
	})
	p := poolWith(4, b.Addr)
	results := make(chan Result, 1)
	go func() { results <- newAttempt(p, "a", proxytest.Timeout).Run() }()
	proxytest.Receive(t, "request", came)
	p.UpdateEndpoints(false, []discovery.Endpoint{proxytest.Endpoint("a", b.Addr, discovery.StatusDraining)})
	p.SweepIdle(time.Now().Add(p.idleTimeout))
	p.SetLimits(Limits{MaxOpen: 1, ResponseBytes: 1})
	close(goOn)
	if res := proxytest.Receive(t, "result", results); res.Status != balancer.StatusOK || string(res.Body) != "ok" || p.openConns != 0 {
		t.Errorf("got %v %q with %d open connections, want %v \"ok\" with none",
			res.Status, res.Body, p.openConns, balancer.StatusOK)
	}
	proxytest.Receive(t, "close of the connection", b.Closed)
}

// TestConnectionInUseIsNotEvicted checks that sweeps and lower limits, which close idle connections, do not
// close one that a request uses.
func TestConnectionInUseIsNotEvicted(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := poolWith(1, b.Addr)
	p.SetReuseDelay(0, 0)
	a := newAttempt(p, "a", proxytest.Timeout)
	if res := a.Run(); res.Status != balancer.StatusOK {
		t.Fatalf("got %v, want %v", res.Status, balancer.StatusOK)
	}
	c := p.takeIdle(a.backend, a.generation, false)
	p.SweepIdle(time.Now().Add(2 * p.idleTimeout))
	p.SetLimits(Limits{MaxOpen: 1, ResponseBytes: 1})
	// At the limit: the connection in use is not closed.
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusNotSent {
		t.Errorf("second attempt: got %v, want %v", res.Status, balancer.StatusNotSent)
	}
	if res, keep := a.exchange(c); res.Status != balancer.StatusOK || !keep || b.Conns.Load() != 1 {
		t.Errorf("first attempt: got %v, reusable %v, on %d connections, want %v, true, on 1",
			res.Status, keep, b.Conns.Load(), balancer.StatusOK)
	}
}
