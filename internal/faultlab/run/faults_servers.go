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
func (t *timeline) injectServerFault(ctx context.Context, planned plan.PlannedFault, target plan.Target) error {
	server, fault := t.server(target.Name), planned.Fault
	apply := func(behavior stubserver.Fault) error {
		end := server.ApplyFault(behavior)
		t.waitForFaultEnd(ctx, planned, target.At)
		end()
		return nil
	}
	switch fault.Kind {
	case "nodo_kill":
		if err := t.takeDown(server); err != nil || planned.Duration <= 0 ||
			!t.waitUntil(ctx, target.At+planned.Duration) {
			return err
		}
		return t.bringUp(server)
	case "nodo_silent":
		end, err := t.net.Apply(linksToServer(target.Name), link.Silent)
		if err != nil {
			return err
		}
		t.waitForFaultEnd(ctx, planned, target.At)
		t.net.Reset(linksToServer(target.Name))
		return end()
	case "nodo_hang":
		return apply(stubserver.Fault{Hangs: true})
	case "nodo_slow":
		return apply(stubserver.Fault{Slowdown: fault.Factor})
	case "nodo_errors":
		return apply(stubserver.Fault{ErrorFraction: fault.Fraction})
	case "nodo_garble":
		return apply(stubserver.Fault{GarbleFraction: fault.Fraction})
	case "nodo_drain", "nodo_replace":
		return t.drain(ctx, planned, target, server)
	}
	return unknownFault(planned, "nodos")
}

// drain drains and stops a server, and starts it again with slow start after the fault's duration. For
// nodo_replace a new server takes its place at once instead.
func (t *timeline) drain(ctx context.Context, planned plan.PlannedFault, target plan.Target, server *server) error {
	if planned.Fault.Kind == "nodo_replace" {
		newNode := server.node
		newNode.Name += "-r"
		t.mu.Lock()
		n := len(t.servers)
		t.mu.Unlock()
		replacement, err := t.addServer(newNode, n, time.Now(), true)
		if err != nil {
			return err
		}
		t.setStatus(replacement, catalog.Serving)
	}
	server.Drain(true)
	t.setStatus(server, catalog.Draining)
	sleep.For(ctx, drainDuration)
	if err := t.takeDown(server); err != nil || planned.Fault.Kind == "nodo_replace" ||
		planned.Duration <= 0 || !t.waitUntil(ctx, target.At+planned.Duration) {
		return err
	}
	return t.bringUp(server)
}
