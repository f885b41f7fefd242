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

const drainTime = 2 * time.Second // from the start of draining until the server deregisters

// server is a hollow server. It runs one instance at a time; each start creates a new instance, and
// generation counts them.
type server struct {
	Server
	lease  int64 // milliseconds
	client *registrar.Client
	record func(Change)
	fail   func(name string, err error)

	alive atomic.Bool

	mu             sync.Mutex // held by one command at a time
	registration   state.Record
	generation     int
	stopRenewals   context.CancelFunc // nil: no instance is running
	tasks          sync.WaitGroup
	registeredOnce sync.Once
	registered     chan struct{} // closed after the first registration
}

func newServer(c *Config, n Server, note func(Change), fail func(string, error)) *server {
	return &server{Server: n, lease: c.LeaseMs, client: registrar.New(n.RegistryMembers), record: note,
		fail: fail, registered: make(chan struct{})}
}

// start starts an instance, which registers and renews its lease until it stops. It does nothing if one runs.
func (n *server) start(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopRenewals == nil {
		n.startLocked(ctx)
	}
}

func (n *server) startLocked(ctx context.Context) {
	n.generation++
	asked := time.Now()
	since := int64(0)
	if n.generation > 1 {
		since = asked.UnixMilli()
	}
	n.registration = state.Record{Endpoint: state.Endpoint{Name: n.Name, Address: n.Address, Zone: n.Zone, Type: "hollow",
		Status: state.StatusServing,
		Weight: 1, StartedAtMs: since}, Instance: fmt.Sprint(asked.UnixNano(), "-", n.generation), LeaseMs: n.lease}
	here, die := context.WithCancel(ctx)
	n.stopRenewals = die
	n.alive.Store(true)
	rec, begun := n.registration, asked.UnixNano()
	n.tasks.Go(func() {
		err := n.client.KeepRegistered(here, rec, func(t api.Accepted) {
			if begun != 0 { // not a change: a later registration repeats the same instance after a lost lease
				n.record(Change{t.Version, begun, unixNano()})
			}
			begun = 0
			n.registeredOnce.Do(func() { close(n.registered) })
		})
		if here.Err() == nil {
			n.fail(n.Name, err)
		}
	})
}

// die stops the current instance without deregistering it.
func (n *server) die() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endLocked()
}

func (n *server) endLocked() {
	if n.stopRenewals != nil {
		n.stopRenewals()
		n.stopRenewals = nil
		n.alive.Store(false)
	}
}

// replace drains and deregisters the current instance and starts another.
func (n *server) replace(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopRenewals == nil {
		return nil
	}
	ref := state.InstanceRef{Name: n.registration.Name, Instance: n.registration.Instance}
	if err := n.callUntilAnswered(ctx, ref, n.client.Drain); err != nil {
		return err
	}
	select {
	case <-time.After(drainTime):
	case <-ctx.Done():
		return nil
	}
	n.endLocked()
	if err := n.callUntilAnswered(ctx, ref, n.client.Deregister); err != nil {
		return err
	}
	n.startLocked(ctx)
	return nil
}

// callUntilAnswered makes a call that the registrar repeats until it is answered, and records the change. A
// rejection because the registry no longer knows the instance is no error: the lease has expired.
func (n *server) callUntilAnswered(ctx context.Context, ref state.InstanceRef,
	call func(context.Context, state.InstanceRef) (api.Accepted, error)) error {
	asked := unixNano()
	t, err := call(ctx, ref)
	var no *registrar.RejectedError
	switch {
	case err == nil:
		n.record(Change{t.Version, asked, unixNano()})
	case errors.As(err, &no) && (no.Code == state.ResultUnknown || no.Code == state.ResultEnded), ctx.Err() != nil:
	default:
		return err
	}
	return nil
}

// close stops the current instance and waits for its end.
func (n *server) close() {
	n.die()
	n.tasks.Wait()
	n.client.Close()
}
