// Package override holds the servers and zones that operators have taken out of service: those stored in the proxy's own
// directory and those that other proxies have announced. It hands each change to the one reader of Sets, which has to stop
// sending there. It never chooses servers itself, and takes none out without an operator's call.
//
// One goroutine, Run, follows the directory; calls may come from any goroutine.
package override

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"
)

// An operator's call has to be answered and to take effect within 1 s: the protocol's bound for any deployment.
const (
	pollInterval     = 200 * time.Millisecond // of the directory, which another process of this proxy may have changed
	applyTimeout     = 800 * time.Millisecond // for a set to be acknowledged
	storeTimeout     = 800 * time.Millisecond // for a change to be stored
	maxPendingWrites = 16                     // that a slow disk may hold up
)

// Config is the configuration of Overrides.
type Config struct {
	Dir          string          // where overrides are stored; it has to exist
	KnownServers *NameSet        // that may be suspended
	KnownZones   *NameSet        // that may be drained; nil: none
	Stopped      <-chan struct{} // closed once no set is read any more: calls then take effect at once
	Logger       *slog.Logger

	// ServingZones returns the zones that have servers to send to. It is needed with KnownZones, has to be safe for
	// concurrent use, and its result is not changed.
	ServingZones func() map[string]bool

	// Notify is called with each override that was stored, before it takes effect; a zone is given by its ZoneKey. It may
	// call SetRemote, which then takes effect with it. Its error becomes that of the operator's call. It has to be safe for
	// concurrent use. nil: nobody is notified.
	Notify func(id string, suspended bool) error
}

// Set is a complete set of servers, and zones by ZoneKey, that are out of service. Its reader must not change it.
type Set struct {
	IDs          map[string]bool
	acknowledged chan struct{}
}

// Acknowledge confirms that this set is in effect. It has to be called once for each set.
func (s Set) Acknowledge() { close(s.acknowledged) }

// Overrides are the servers and zones that are out of service.
type Overrides struct {
	cfg           Config
	store         store
	sets          chan Set
	pendingWrites chan struct{} // one value for each
	wake          chan struct{} // holds a value if Run has to read the directory before its interval

	mu     sync.Mutex      // one read of the store at a time, delivered in order
	stored map[string]bool // as read last

	drainMu sync.Mutex // one call of DrainZone at a time

	remoteMu sync.Mutex
	remote   map[string]bool // replaced, never changed
}

// Open reads the stored overrides. Current has to be in effect before anything is sent; Run follows changes.
func Open(cfg Config) (*Overrides, error) {
	o := &Overrides{cfg: cfg, store: store{dir: cfg.Dir}, sets: make(chan Set), wake: make(chan struct{}, 1),
		pendingWrites: make(chan struct{}, maxPendingWrites)}
	var err error
	if o.stored, err = o.store.load(); err != nil {
		return nil, err
	}
	return o, nil
}

// Sets returns the channel of complete sets, one for each time that it may have changed.
func (o *Overrides) Sets() <-chan Set { return o.sets }

// Current returns the set that has to be in effect now. It waits for one that is being delivered, so the reader of Sets must
// not call it.
func (o *Overrides) Current() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.withRemote(o.stored)
}

// withRemote returns the union of stored and remote overrides.
func (o *Overrides) withRemote(stored map[string]bool) map[string]bool {
	ids := maps.Clone(stored)
	o.remoteMu.Lock()
	defer o.remoteMu.Unlock()
	maps.Copy(ids, o.remote)
	return ids
}

// SetRemote replaces the overrides that other proxies have announced. It does not wait: Run delivers the union. The reader
// of Sets may call it.
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
		if err != nil && !failing { // once, not at each poll
			o.cfg.Logger.Error("overrides not updated", "error", err)
		}
		failing = err != nil
	}
}

// reload reads the store and returns once the union is in effect. If the store cannot be read its part stays unchanged.
func (o *Overrides) reload() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	stored, err := o.store.load()
	if err == nil {
		o.stored = stored
	}
	return errors.Join(err, o.deliver(o.withRemote(o.stored)))
}

// deliver sends a set to its reader and returns once it is acknowledged, or a *NotAppliedError.
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
