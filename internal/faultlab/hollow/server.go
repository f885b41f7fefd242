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
	leaseMs int64
	client  *registrar.Client
	record  func(Change)
	fail    func(name string, err error)

	alive atomic.Bool

	mu             sync.Mutex // held by one command at a time
	registration   state.Record
	generation     int
	stopRenewals   context.CancelFunc // nil: no instance is running
	tasks          sync.WaitGroup
	registeredOnce sync.Once
	registered     chan struct{} // closed after the first registration
}

// newServer returns a hollow server that is not started. It passes its confirmed changes to record and a
// failure to fail.
func newServer(c *Config, n Server, record func(Change), fail func(string, error)) *server {
	return &server{Server: n, leaseMs: c.LeaseMs, client: registrar.New(n.RegistryMembers), record: record,
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

// startLocked starts an instance, with a new instance id and, except for the first, a new start time.
func (n *server) startLocked(ctx context.Context) {
	n.generation++
	requestedAt := time.Now()
	since := int64(0)
	if n.generation > 1 {
		since = requestedAt.UnixMilli()
	}
	n.registration = state.Record{Endpoint: state.Endpoint{Name: n.Name, Address: n.Address, Zone: n.Zone,
		Type: "hollow", Status: state.StatusServing, Weight: 1, StartedAtMs: since},
		Instance: fmt.Sprint(requestedAt.UnixNano(), "-", n.generation), LeaseMs: n.leaseMs}
	instanceCtx, cancel := context.WithCancel(ctx)
	n.stopRenewals = cancel
	n.alive.Store(true)
	rec, registerStart := n.registration, requestedAt.UnixNano()
	n.tasks.Go(func() {
		err := n.client.KeepRegistered(instanceCtx, rec, func(t api.Accepted) {
			// Later registrations are not changes: they repeat the same instance after a lost lease.
			if registerStart != 0 {
				n.record(Change{t.Version, registerStart, unixNano()})
			}
			registerStart = 0
			n.registeredOnce.Do(func() { close(n.registered) })
		})
		if instanceCtx.Err() == nil {
			n.fail(n.Name, err)
		}
	})
}

// die stops the current instance without deregistering it.
func (n *server) die() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopLocked()
}

// stopLocked stops the renewals of the current instance, if there is one.
func (n *server) stopLocked() {
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
	n.stopLocked()
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
	requestedAt := unixNano()
	t, err := call(ctx, ref)
	var rejected *registrar.RejectedError
	switch {
	case err == nil:
		n.record(Change{t.Version, requestedAt, unixNano()})
	case errors.As(err, &rejected) &&
		(rejected.Code == state.ResultUnknown || rejected.Code == state.ResultEnded), ctx.Err() != nil:
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
