package run

import (
	"context"
	"fmt"
	"time"

	"merlinpick/internal/faultlab/catalog"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/sleep"
	"merlinpick/internal/faultlab/stubserver"
)

func (t *timeline) strikeServer(ctx context.Context, s plan.Strike, turn plan.Turn) error {
	srv, f := t.server(turn.Target), s.Fault
	hamper := func(h stubserver.Hamper) error {
		end := srv.Hamper(h)
		t.hold(ctx, s, turn.At)
		end()
		return nil
	}
	switch f.Kind {
	case "nodo_kill":
		if err := t.down(srv); err != nil || s.For <= 0 || !t.until(ctx, turn.At+s.For) {
			return err
		}
		return t.up(srv)
	case "nodo_silent":
		end, err := t.net.Apply(to(turn.Target), link.Silent)
		if err != nil {
			return err
		}
		t.hold(ctx, s, turn.At)
		t.net.Reset(to(turn.Target))
		return end()
	case "nodo_hang":
		return hamper(stubserver.Hamper{Hang: true})
	case "nodo_slow":
		return hamper(stubserver.Hamper{Slow: f.Factor})
	case "nodo_errors":
		return hamper(stubserver.Hamper{Errors: f.Part})
	case "nodo_garble":
		return hamper(stubserver.Hamper{Garble: f.Part})
	case "nodo_drain", "nodo_replace":
		return t.drain(ctx, s, turn, srv)
	}
	return fmt.Errorf("fault %d: no nodos' fault %q", s.N, f.Kind)
}

// drain has a server drain, end, and come back cold; or another, cold, take its place at once.
func (t *timeline) drain(ctx context.Context, s plan.Strike, turn plan.Turn, srv *server) error {
	if s.Fault.Kind == "nodo_replace" {
		next := srv.node
		next.Name += "-r"
		t.mu.Lock()
		n := len(t.servers)
		t.mu.Unlock()
		fresh, err := t.addServer(next, n, time.Now(), true)
		if err != nil {
			return err
		}
		t.notify(fresh, catalog.Serving)
	}
	srv.Drain(true)
	t.notify(srv, catalog.Draining)
	sleep.For(ctx, drainTime)
	if err := t.down(srv); err != nil || s.Fault.Kind == "nodo_replace" || s.For <= 0 || !t.until(ctx, turn.At+s.For) {
		return err
	}
	return t.up(srv)
}
