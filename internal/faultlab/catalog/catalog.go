// Package catalog is a stub of the registry. It speaks the platform's discovery protocol and has delays, a
// queue of calls, and a file that a power loss can damage. It never checks what proxies do with the list.
//
// The goroutine of Run owns the list and answers all calls one after another; connections pass their calls to
// it.
package catalog

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"merlinpick/internal/faultlab/faultdisk"
	"merlinpick/internal/faultlab/referee"
)

// Entry is a server in the list. It has no address, since each proxy reaches the server at a different one.
type Entry struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Type   string `json:"type"`
	Group  int    `json:"group"`
	Status string `json:"status"`
	Since  int64  `json:"since_ms"`
}

// Values of Status.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Config configures a Catalog.
type Config struct {
	NotificationDelay time.Duration // from a change until it is announced
	CallWork          time.Duration // service time of a call
	EntryWork         time.Duration // additional service time for each entry of an answer
	QueueTimeout      time.Duration // longest time that a call waits in the queue
	SyncInterval      time.Duration // between syncs of the file
	RetainedChanges   int           // number of changes from which a watch can continue
	MaxWaitingCalls   int           // limit of the calls in the queue and the watches together
	Seed              uint64
	// Address returns the address at which a proxy reaches a server.
	Address func(proxy, nodo string) string
}

const (
	maxHoldTime     = 60 * time.Second // of a watch
	minStepInterval = 100 * time.Microsecond

	reregisterDelay = 3 * time.Second        // until a server whose entry was lost registers again
	continueWindow  = 200 * time.Millisecond // a watch that arrives later after the last answer counts as new
)

// Catalog is a stub registry.
type Catalog struct {
	config  Config
	referee *referee.Referee
	actions chan func()
	done    chan struct{}

	// The fields up to mu are used by the goroutine of Run only.
	file           *faultdisk.File
	version        int64
	answeredCalls  int64
	entries        map[string]Entry
	changes        []versionRecord // the last RetainedChanges versions, in order
	pending        []pendingChange // changes not announced yet
	watches        []*pollCall     // answered at the next change or the end of their hold time
	queue          []*pollCall     // calls not answered yet
	busyUntil      time.Time       // end of the service time of the last answered call
	slowdown       float64         // factor of the service times
	downFaults     int             // number of active faults of TakeDown
	staleFaults    int             // number of active faults of Freeze
	diskFullFaults int             // number of active faults of FillDisk
	syncedAt       time.Time
	lastAnswers    map[string]time.Time // time of the last answer, by proxy
	rng            *rand.Rand

	mu               sync.Mutex
	notifiedVersions map[string]int64 // last version that each proxy was notified of
}

// pendingChange is a change and the time at which it is announced.
type pendingChange struct {
	dueAt time.Time
	entry Entry
}

// New returns a catalog whose list holds the entries. Their versions are already synced to the file.
func New(cfg Config, ref *referee.Referee, entries []Entry) *Catalog {
	c := &Catalog{config: cfg, referee: ref, actions: make(chan func()), done: make(chan struct{}), file: &faultdisk.File{},
		entries: map[string]Entry{}, slowdown: 1, lastAnswers: map[string]time.Time{}, rng: rand.New(rand.NewPCG(cfg.Seed, 11)), notifiedVersions: map[string]int64{}}
	for _, entry := range entries {
		c.commit(entry)
	}
	c.file.Sync()
	return c
}

// Run serves until the context ends.
func (c *Catalog) Run(ctx context.Context) {
	defer close(c.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case f := <-c.actions:
			f()
		case <-timer.C:
		case <-ctx.Done():
			c.failCalls()
			return
		}
		timer.Reset(c.advance(time.Now()))
	}
}

// runInLoop calls f in the catalog's goroutine and waits for its end. It does nothing after the end of Run.
func (c *Catalog) runInLoop(f func()) {
	called := make(chan struct{})
	select {
	case c.actions <- func() { f(); close(called) }:
		<-called
	case <-c.done:
	}
}

// Change changes the list by an entry, which is announced after NotificationDelay.
func (c *Catalog) Change(entry Entry) {
	c.runInLoop(func() {
		c.pending = append(c.pending, pendingChange{time.Now().Add(c.config.NotificationDelay), entry})
	})
}

// TakeDown fails all calls until end is called. Several such faults can be active at a time, as with the
// faults below.
func (c *Catalog) TakeDown() (end func()) {
	c.runInLoop(func() { c.downFaults++; c.failCalls() })
	return func() { c.runInLoop(func() { c.downFaults-- }) }
}

// SlowDown multiplies the service time of calls until end is called.
func (c *Catalog) SlowDown(factor float64) (end func()) {
	c.runInLoop(func() { c.slowdown *= factor })
	return func() { c.runInLoop(func() { c.slowdown /= factor }) }
}

// Freeze announces no change until end is called.
func (c *Catalog) Freeze() (end func()) {
	c.runInLoop(func() { c.staleFaults++ })
	return func() { c.runInLoop(func() { c.staleFaults-- }) }
}

// Rollback removes the given number of last versions, as a restore from a backup does. All waiting calls
// fail, and servers whose entries were lost register again after reregisterDelay, under version numbers that
// were used before.
func (c *Catalog) Rollback(versions int) {
	c.runInLoop(func() { c.rollBackTo(c.readRecords(c.file.Bytes()), c.version-int64(versions)) })
}

// PowerLoss loses data that was not synced to the file, and returns the number of lost versions. It is used
// while the catalog is down.
func (c *Catalog) PowerLoss() (lost int64) {
	c.runInLoop(func() {
		before := c.version
		c.file.PowerLoss(c.rng)
		c.rollBackTo(c.readRecords(c.file.Bytes()), before)
		lost = before - c.version
	})
	return lost
}

// FillDisk makes writes to the file fail until end is called. A change that cannot be stored is not
// announced.
func (c *Catalog) FillDisk() (end func()) {
	c.runInLoop(func() { c.diskFullFaults++; c.file.SetFull(true) })
	return func() { c.runInLoop(func() { c.diskFullFaults--; c.file.SetFull(c.diskFullFaults > 0) }) }
}

// recordVersion records the last version that a proxy was notified of.
func (c *Catalog) recordVersion(proxy string, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifiedVersions[proxy] = version
}

// lastVersion returns the last version that a proxy was notified of; false if there is none.
func (c *Catalog) lastVersion(proxy string) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version, ok := c.notifiedVersions[proxy]
	return version, ok
}

// Snapshot returns the list for a proxy's configuration, as JSON and as the referee records it. As on the
// platform it is the list that the proxy's former process received last, or else the current one. Each entry
// is kept with a probability of fraction.
func (c *Catalog) Snapshot(proxy string, fraction float64, random *rand.Rand) (list json.RawMessage, known []referee.Entry) {
	c.runInLoop(func() {
		entries, version := c.entries, c.version
		if notified, ok := c.lastVersion(proxy); ok && notified < c.version {
			entries, version = c.entriesAt(notified), notified
		}
		wireEntries, allKnown := c.snapshot(proxy, entries)
		total, kept := len(wireEntries), wireEntries[:0]
		for i, l := range wireEntries {
			if random.Float64() < fraction {
				kept = append(kept, l)
				known = append(known, allKnown[i])
			}
		}
		if len(kept) < total { // an incomplete list is not a version: a watch must not continue from it
			version = -1
		}
		list = encode(version, true, kept)
	})
	return list, known
}
