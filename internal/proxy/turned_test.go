package proxy

import (
	"context"
	"net"
	"testing"
	"time"

	"fernlanding/internal/discovery"
	"fernlanding/logic"
)

// A request that waits for a connection to a backend which drains, goes or restarts meanwhile does not wait for it to come
// up: nothing could be sent on it. Nor is one begun that nothing could be sent on.
func TestADialEndsWithItsBackendsEpoch(t *testing.T) {
	restarted := entry("a", "127.0.0.1:1", discovery.Serving)
	restarted.SinceMs = 7
	for name, turn := range map[string]func(p *backends){
		"drained":   func(p *backends) { p.apply(false, []discovery.Endpoint{entry("a", "127.0.0.1:1", discovery.Draining)}) },
		"gone":      func(p *backends) { p.apply(true, nil) },
		"restarted": func(p *backends) { p.apply(false, []discovery.Endpoint{restarted}) },
		"banned":    func(p *backends) { p.ban(map[string]bool{"a": true}) },
	} {
		t.Run(name, func(t *testing.T) {
			p := poolWith(4, "127.0.0.1:1")
			dials := make(chan bool, 9)
			p.dialer = func(ctx context.Context, _, _ string) (net.Conn, error) { // it never comes up
				dials <- true
				<-ctx.Done()
				return nil, ctx.Err()
			}
			a, late := newAttempt(p, "a", 2*patience), newAttempt(p, "a", 2*patience)
			results := make(chan result, 1)
			go func() { results <- a.run() }()
			wait(t, "dial", dials)
			turn(p)
			if res := wait(t, "result", results); res.status != logic.Moot || a.ctx.Err() != nil {
				t.Errorf("got %v", res.status)
			}
			began := time.Now()
			if res := late.run(); res.status != logic.Moot || len(dials) != 0 {
				t.Errorf("after the turn: got %v after %v, with %d dials", res.status, time.Since(began), len(dials))
			}
			if p.open != 0 || len(a.backend.dials) != 0 {
				t.Errorf("%d connections and %d dials still counted", p.open, len(a.backend.dials))
			}
		})
	}
}
