package run

import (
	"context"
	"time"

	"merlinpick/internal/faultlab/catalog"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/sleep"
	"merlinpick/internal/faultlab/stubserver"
)

// injectServerFault injects a fault into one server.
func (t *timeline) injectServerFault(ctx context.Context, strike plan.Strike, turn plan.Turn) error {
	server, fault := t.server(turn.Target), strike.Fault
	hamper := func(h stubserver.Fault) error {
		end := server.ApplyFault(h)
		t.holdFault(ctx, strike, turn.At)
		end()
		return nil
	}
	switch fault.Kind {
	case "nodo_kill":
		if err := t.takeDown(server); err != nil || strike.For <= 0 || !t.waitUntil(ctx, turn.At+strike.For) {
			return err
		}
		return t.bringUp(server)
	case "nodo_silent":
		end, err := t.net.Apply(serverLinksTo(turn.Target), link.Silent)
		if err != nil {
			return err
		}
		t.holdFault(ctx, strike, turn.At)
		t.net.Reset(serverLinksTo(turn.Target))
		return end()
	case "nodo_hang":
		return hamper(stubserver.Fault{Hangs: true})
	case "nodo_slow":
		return hamper(stubserver.Fault{Slowdown: fault.Factor})
	case "nodo_errors":
		return hamper(stubserver.Fault{ErrorFraction: fault.Fraction})
	case "nodo_garble":
		return hamper(stubserver.Fault{GarbleFraction: fault.Fraction})
	case "nodo_drain", "nodo_replace":
		return t.drain(ctx, strike, turn, server)
	}
	return unknownFault(strike, "nodos")
}

// drain drains and ends a server, and brings it back with slow start; for nodo_replace another one takes its place at once.
func (t *timeline) drain(ctx context.Context, strike plan.Strike, turn plan.Turn, server *server) error {
	if strike.Fault.Kind == "nodo_replace" {
		next := server.node
		next.Name += "-r"
		t.mu.Lock()
		n := len(t.servers)
		t.mu.Unlock()
		fresh, err := t.addServer(next, n, time.Now(), true)
		if err != nil {
			return err
		}
		t.setStatus(fresh, catalog.Serving)
	}
	server.Drain(true)
	t.setStatus(server, catalog.Draining)
	sleep.For(ctx, drainDuration)
	if err := t.takeDown(server); err != nil || strike.Fault.Kind == "nodo_replace" || strike.For <= 0 || !t.waitUntil(ctx, turn.At+strike.For) {
		return err
	}
	return t.bringUp(server)
}
