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

// A request that waits for a connection to a backend which drains, goes or restarts meanwhile does not wait on: nothing
// could be sent on it. Nor is a dial begun that nothing could be sent on.
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
			p.dialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { // it never comes up
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
				t.Errorf("got %v", res.Status)
			}
			began := time.Now()
			if res := late.Run(); res.Status != balancer.StatusNotSent || len(dials) != 0 {
				t.Errorf("after the change: got %v after %v, with %d dials", res.Status, time.Since(began), len(dials))
			}
			if p.openConns != 0 || len(a.backend.pendingDials) != 0 {
				t.Errorf("%d connections and %d dials still counted", p.openConns, len(a.backend.pendingDials))
			}
		})
	}
}

// A response that is under way when its backend drains comes to its end; the connection is closed then.
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
	p.SetLimits(1, 1)
	close(goOn)
	if res := proxytest.Receive(t, "result", results); res.Status != balancer.StatusOK || string(res.Body) != "ok" || p.openConns != 0 {
		t.Errorf("got %v %q with %d open", res.Status, res.Body, p.openConns)
	}
	proxytest.Receive(t, "close", b.Closed)
}

// A connection that a request uses is not closed by what closes idle ones.
func TestConnectionInUseIsNotEvicted(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := poolWith(1, b.Addr)
	p.SetReuseDelay(0)
	a := newAttempt(p, "a", proxytest.Timeout)
	if res := a.Run(); res.Status != balancer.StatusOK {
		t.Fatalf("got %v", res.Status)
	}
	c := p.takeIdle(a.backend, a.generation, false)
	p.SweepIdle(time.Now().Add(2 * p.idleTimeout))
	p.SetLimits(1, 1)
	if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusNotSent { // no room, and none is made of this one
		t.Errorf("a second one: got %v", res.Status)
	}
	if res, keep := a.exchange(c); res.Status != balancer.StatusOK || !keep || b.Conns.Load() != 1 {
		t.Errorf("got %v, kept %v, on %d connections", res.Status, keep, b.Conns.Load())
	}
}
