package hollow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"merlinpick/internal/registry/api"
	"merlinpick/internal/registry/registrar"
	"merlinpick/internal/registry/state"
)

const drainTime = 2 * time.Second // from a nodo's draining to its end

// nodo is a hollow nodo over all its processes: one at a time.
type nodo struct {
	Nodo
	lease  int64
	client *registrar.Client
	note   func(Change)
	fail   func(name string, err error)

	lives atomic.Bool

	mu    sync.Mutex // of one act at a time
	rec   state.Record
	life  int
	die   context.CancelFunc // of the renewals; nil: it is dead
	all   sync.WaitGroup
	first sync.Once
	known chan struct{} // closed once it was in the list
}

func newNodo(c *Config, n Nodo, note func(Change), fail func(string, error)) *nodo {
	return &nodo{Nodo: n, lease: c.LeaseMs, client: registrar.New(n.Lists), note: note, fail: fail, known: make(chan struct{})}
}

// start begins a process: it registers and renews until it dies.
func (n *nodo) start(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.die == nil {
		n.startLocked(ctx)
	}
}

func (n *nodo) startLocked(ctx context.Context) {
	n.life++
	asked := time.Now()
	since := int64(0)
	if n.life > 1 {
		since = asked.UnixMilli()
	}
	n.rec = state.Record{Endpoint: state.Endpoint{Name: n.Name, Address: n.Address, Zone: n.Zone, Type: "hollow", Status: state.StatusServing,
		Weight: 1, StartedAtMs: since}, Instance: fmt.Sprint(asked.UnixNano(), "-", n.life), LeaseMs: n.lease}
	here, die := context.WithCancel(ctx)
	n.die = die
	n.lives.Store(true)
	rec, begun := n.rec, asked.UnixNano()
	n.all.Go(func() {
		err := n.client.KeepRegistered(here, rec, func(t api.Accepted) {
			if begun != 0 { // a later one is the service's doing, or the network's
				n.note(Change{t.Version, begun, nanos()})
			}
			begun = 0
			n.first.Do(func() { close(n.known) })
		})
		if here.Err() == nil {
			n.fail(n.Name, err)
		}
	})
}

// dead ends the process without a word.
func (n *nodo) dead() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endLocked()
}

func (n *nodo) endLocked() {
	if n.die != nil {
		n.die()
		n.die = nil
		n.lives.Store(false)
	}
}

// replace has the process drain and go, and another take its place.
func (n *nodo) replace(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.die == nil {
		return nil
	}
	ref := state.InstanceRef{Name: n.rec.Name, Instance: n.rec.Instance}
	if err := n.say(ctx, ref, n.client.Drain); err != nil {
		return err
	}
	select {
	case <-time.After(drainTime):
	case <-ctx.Done():
		return nil
	}
	n.endLocked()
	if err := n.say(ctx, ref, n.client.Deregister); err != nil {
		return err
	}
	n.startLocked(ctx)
	return nil
}

// say makes a call until it is answered. That the service knows the process no more is an answer too: its lease has ended.
func (n *nodo) say(ctx context.Context, ref state.InstanceRef, call func(context.Context, state.InstanceRef) (api.Accepted, error)) error {
	asked := nanos()
	t, err := call(ctx, ref)
	var no *registrar.RejectedError
	switch {
	case err == nil:
		n.note(Change{t.Version, asked, nanos()})
	case errors.As(err, &no) && (no.Code == state.ResultUnknown || no.Code == state.ResultEnded), ctx.Err() != nil:
	default:
		return err
	}
	return nil
}

func (n *nodo) close() {
	n.dead()
	n.all.Wait()
	n.client.Close()
}
