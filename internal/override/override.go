// Package override manages the servers and zones that operators have taken out of service: those stored in
// the proxy's own directory, and those that other proxies have announced. It passes each change to the single
// reader of Sets, which must then stop sending requests there. It never chooses servers itself, and takes
// none out of service without an operator's call.
//
// The goroutine in Run follows the directory. Operators' calls may come from any goroutine.
package override

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"
)

// An operator's call must be answered and take effect within 1 s, the protocol's bound for any deployment.
const (
	// pollInterval is how often the directory is read: another process of this proxy may have changed it.
	pollInterval     = 200 * time.Millisecond
	applyTimeout     = 800 * time.Millisecond // for a set to be acknowledged
	storeTimeout     = 800 * time.Millisecond // for a change to be stored
	maxPendingWrites = 16                     // writes in progress on a slow disk; further calls fail
)

// Config is the configuration of Overrides.
type Config struct {
	Dir          string          // directory of the stored overrides; it must exist
	KnownServers *NameSet        // servers that may be suspended
	KnownZones   *NameSet        // zones that may be drained; nil: none
	Stopped      <-chan struct{} // closed when sets are no longer read: calls then return at once
	Logger       *slog.Logger

	// ServingZones returns the zones with servers that accept requests. It is required with KnownZones and
	// must be safe for concurrent use. The result is not modified.
	ServingZones func() map[string]bool

	// Notify is called after each override is stored or removed, before the change takes effect. A zone is
	// given by its ZoneKey. Notify may call SetRemote, which then takes effect at the same time. Its error is
	// returned from the operator's call. It must be safe for concurrent use. nil: no notification.
	Notify func(id string, suspended bool) error
}

// Set is the complete set of servers, and zones by ZoneKey, that are out of service. The reader must not
// modify it.
type Set struct {
	IDs          map[string]bool
	acknowledged chan struct{}
}

// Acknowledge confirms that this set is in effect. It must be called exactly once for each set.
func (s Set) Acknowledge() { close(s.acknowledged) }

// Overrides manages the servers and zones that are out of service.
type Overrides struct {
	cfg           Config
	store         store
	sets          chan Set
	pendingWrites chan struct{} // semaphore: one value for each write in progress
	wake          chan struct{} // holds a value if Run must reload before the next poll

	mu     sync.Mutex      // serializes reads of the store, so that sets are delivered in order
	stored map[string]bool // result of the last read

	drainMu sync.Mutex // serializes DrainZone

	remoteMu sync.Mutex
	remote   map[string]bool // never modified, only replaced
}

// Open reads the stored overrides. The caller must apply Current before it sends any request, and call Run to
// follow changes.
func Open(cfg Config) (*Overrides, error) {
	o := &Overrides{cfg: cfg, store: store{dir: cfg.Dir}, sets: make(chan Set), wake: make(chan struct{}, 1),
		pendingWrites: make(chan struct{}, maxPendingWrites)}
	var err error
	if o.stored, err = o.store.load(); err != nil {
		return nil, err
	}
	return o, nil
}

// Sets returns the channel of complete sets. A set is sent whenever it may have changed.
func (o *Overrides) Sets() <-chan Set { return o.sets }

// Current returns the set that must be in effect now. It waits while a set is being delivered, so the reader
// of Sets must not call it.
func (o *Overrides) Current() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.withRemote(o.stored)
}

// withRemote returns the union of the stored and remote overrides.
func (o *Overrides) withRemote(stored map[string]bool) map[string]bool {
	ids := maps.Clone(stored)
	o.remoteMu.Lock()
	defer o.remoteMu.Unlock()
	maps.Copy(ids, o.remote)
	return ids
}

// SetRemote replaces the overrides that other proxies have announced. It does not wait: Run delivers the new
// union. The reader of Sets may call it.
func (o *Overrides) SetRemote(ids map[string]bool) {
	remote := maps.Clone(ids)
	maps.DeleteFunc(remote, func(_ string, suspended bool) bool { return !suspended })
	o.remoteMu.Lock()
	unchanged := maps.Equal(remote, o.remote)
	o.remote = remote
	o.remoteMu.Unlock()
	if unchanged {
		return
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Run delivers changes of the directory and of SetRemote until the context ends.
func (o *Overrides) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for failing := false; ; {
		select {
		case <-ticker.C:
		case <-o.wake:
		case <-ctx.Done():
			return
		}
		err := o.reload()
		if err != nil && !failing { // log once, not at every poll
			o.cfg.Logger.Error("failed to update the set of suspended servers and zones", "error", err)
		}
		failing = err != nil
	}
}

// reload reads the store and returns once the union with the remote overrides is in effect. If the store
// cannot be read, the previous result is used for its part.
func (o *Overrides) reload() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	stored, err := o.store.load()
	if err == nil {
		o.stored = stored
	}
	return errors.Join(err, o.deliver(o.withRemote(o.stored)))
}

// deliver sends a set to the reader and returns once it is acknowledged, or a *NotAppliedError after
// applyTimeout.
func (o *Overrides) deliver(ids map[string]bool) error {
	set := Set{ids, make(chan struct{})}
	timeout := time.NewTimer(applyTimeout)
	defer timeout.Stop()
	select {
	case o.sets <- set:
	case <-o.cfg.Stopped:
		return nil
	case <-timeout.C:
		return &NotAppliedError{applyTimeout}
	}
	select {
	case <-set.acknowledged:
		return nil
	case <-o.cfg.Stopped:
		return nil
	case <-timeout.C:
		return &NotAppliedError{applyTimeout}
	}
}
