// Package bans keeps the servers that on-call staff has taken out by hand, and says which are out now: those in the
// proxy's own folder and those that others have told of. It has one goroutine, Run, which its caller starts; calls
// come from any. Who sends nothing to those servers takes each whole set from Sets and confirms it.
package override

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"
)

// Both follow from the 1 s in which a call on a server is to hold, which is the protocol's for any deployment.
const (
	pollInterval = 200 * time.Millisecond // a call at the other process of an upgrade binds this one within 1 s
	applyTimeout = 800 * time.Millisecond // for a call to hold; its answer is owed in 1 s

	storeTimeout     = 800 * time.Millisecond // for the disk to keep it
	maxPendingWrites = 16                     // that the disk may be busy with, as many as there are callers
)

// Config is what Bans are told at the start.
type Config struct {
	Dir          string          // folder of the bans; it exists
	KnownServers *NameSet        // servers that there may be calls on
	KnownZones   *NameSet        // zones that there may be calls on; nil for none
	Stopped      <-chan struct{} // closed once no set is taken any more, since nothing is sent: calls then hold
	Logger       *slog.Logger

	// Serving gives the zones that have servers to send to; with Zones. It is called from many goroutines, and the
	// result is not changed.
	ServingZones func() map[string]bool

	// Told hears of each call here that was kept, before it holds, of zones by OfZone; nil for nobody. It may set Outside,
	// and the call then holds with that. An error of it is the call's. It is called from many goroutines.
	Notify func(id string, suspended bool) error
}

// Set is the whole set of servers and, by OfZone, of zones that are out. Its reader must not change it.
type Set struct {
	IDs          map[string]bool
	acknowledged chan struct{}
}

// Holds confirms that the set, and no other, is acted on; once for each.
func (s Set) Acknowledge() { close(s.acknowledged) }

// Bans are the servers that are out.
type Overrides struct {
	cfg           Config
	store         store
	sets          chan Set
	pendingWrites chan struct{} // one for each change that the disk is busy with
	wake          chan struct{} // holds a value when Run is to look before its time

	mu     sync.Mutex      // one reading of the store at a time, handed on in order
	stored map[string]bool // the store's when it was last read

	drainMu sync.Mutex // one call at a time that takes a zone out

	remoteMu sync.Mutex
	remote   map[string]bool // replaced, never changed
}

// Open reads what is kept. Present is to hold before anything is sent; Run follows it.
func Open(cfg Config) (*Overrides, error) {
	b := &Overrides{cfg: cfg, store: store{dir: cfg.Dir}, sets: make(chan Set), wake: make(chan struct{}, 1),
		pendingWrites: make(chan struct{}, maxPendingWrites)}
	var err error
	if b.stored, err = b.store.load(); err != nil {
		return nil, err
	}
	return b, nil
}

// Sets gives the whole set each time that it may have changed.
func (b *Overrides) Sets() <-chan Set { return b.sets }

// Present is the set that is to hold now. It waits for a set that is on its way, so it is not for the reader of Sets.
func (b *Overrides) Current() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.withRemote(b.stored)
}

// with is the union of what is kept and what comes from outside.
func (b *Overrides) withRemote(kept map[string]bool) map[string]bool {
	ids := maps.Clone(kept)
	b.remoteMu.Lock()
	defer b.remoteMu.Unlock()
	maps.Copy(ids, b.remote)
	return ids
}

// Outside has these servers out beside those that are kept here, in place of the former such set. It does not wait,
// so that even the reader of Sets may call it: Run hands the union on.
func (b *Overrides) SetRemote(ids map[string]bool) {
	out := maps.Clone(ids)
	maps.DeleteFunc(out, func(_ string, is bool) bool { return !is })
	b.remoteMu.Lock()
	same := maps.Equal(out, b.remote)
	b.remote = out
	b.remoteMu.Unlock()
	if same {
		return
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run follows the store and what comes from outside until the context ends: another process of this proxy may
// change the store.
func (b *Overrides) Run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for failed := false; ; {
		select {
		case <-tick.C:
		case <-b.wake:
		case <-ctx.Done():
			return
		}
		err := b.reload()
		if err != nil && !failed { // once, not five times a second
			b.cfg.Logger.Error("bans stand as they were", "error", err)
		}
		failed = err != nil
	}
}

// apply reads the store and returns once the union holds. Where the store cannot be read its part stands as it was.
func (b *Overrides) reload() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept, err := b.store.load()
	if err == nil {
		b.stored = kept
	}
	return errors.Join(err, b.deliver(b.withRemote(b.stored)))
}

// hand gives a set to its reader and returns once it holds, or a *LateError.
func (b *Overrides) deliver(ids map[string]bool) error {
	s := Set{ids, make(chan struct{})}
	late := time.NewTimer(applyTimeout)
	defer late.Stop()
	select {
	case b.sets <- s:
	case <-b.cfg.Stopped:
		return nil
	case <-late.C:
		return &NotAppliedError{applyTimeout}
	}
	select {
	case <-s.acknowledged:
		return nil
	case <-b.cfg.Stopped:
		return nil
	case <-late.C:
		return &NotAppliedError{applyTimeout}
	}
}

// Suspend takes a server out until Resume, here or at another process with this folder. It returns once that is
// kept and holds. Its errors are *UnknownError, *StoreError, *SlowError, *LateError and those of Config.Told; after each of the
// others than the first the call may be repeated.
func (b *Overrides) SuspendServer(nodo string) error { return b.changeServer(nodo, true) }

// Resume ends that, with the same errors. What comes from outside stands until Outside says otherwise.
func (b *Overrides) ResumeServer(nodo string) error { return b.changeServer(nodo, false) }

// Lift ends what is kept here of a suspension that all the others ended, without a word to them.
func (b *Overrides) ClearLocal(nodo string) error {
	if !b.store.has(nodo) {
		return nil
	}
	if err := b.store.remove(nodo); err != nil {
		return err
	}
	return b.reload()
}

// callNodo lets a call on a server through that a list has named, or that is out.
func (b *Overrides) changeServer(nodo string, suspended bool) error {
	if _, zone := zoneOfKey(nodo); zone || !b.cfg.KnownServers.Has(nodo) && !b.isSet(nodo) {
		return &UnknownServerError{nodo}
	}
	return b.change(nodo, suspended)
}

func (b *Overrides) change(id string, suspended bool) error {
	keep := b.store.remove
	if suspended {
		keep = b.store.add
	}
	if err := b.storeInTime(id, keep); err != nil {
		return err
	}
	var untold error
	if b.cfg.Notify != nil {
		untold = b.cfg.Notify(id, suspended)
	}
	return errors.Join(untold, b.reload()) // it is kept: it holds here even if others were not told
}

// inTime changes the store, and waits for that no longer than the call's answer may take. A change that the disk is still
// busy with goes on: what it makes of the folder is seen by Run.
func (b *Overrides) storeInTime(id string, change func(string) error) error {
	select {
	case b.pendingWrites <- struct{}{}:
	default:
		return &StoreTimeoutError{storeTimeout}
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-b.pendingWrites }()
		done <- change(id)
	}()
	late := time.NewTimer(storeTimeout)
	defer late.Stop()
	select {
	case err := <-done:
		return err
	case <-late.C:
		return &StoreTimeoutError{storeTimeout}
	}
}

// out tells whether a server, or a zone, is out here or by others.
func (b *Overrides) isSet(id string) bool {
	if b.store.has(id) {
		return true
	}
	b.remoteMu.Lock()
	defer b.remoteMu.Unlock()
	return b.remote[id]
}
