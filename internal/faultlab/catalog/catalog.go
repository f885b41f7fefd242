// Package catalog is the stand-in list service: the platform's discovery protocol, handled in turn, told late, kept in a
// file that a power loss tears.
//
// One goroutine, run, owns the list and answers all calls one after another; connections hand their calls to it and
// wait.
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

// Entry is a server as the list has it; its address is each proxy's own.
type Entry struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Type   string `json:"type"`
	Group  int    `json:"group"`
	Status string `json:"status"`
	Since  int64  `json:"since_ms"`
}

// The words of Status.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Config is what the service is.
type Config struct {
	NotificationDelay time.Duration // from a change to its being told
	CallWork          time.Duration // of the service for a call
	EntryWork         time.Duration // and for a line of an answer
	QueueTimeout      time.Duration // in line, at most
	SyncInterval      time.Duration // between syncs of the file
	RetainedChanges   int           // changes kept for watches
	MaxWaitingCalls   int           // calls that are held, watches that wait included
	Seed              uint64
	// Address is where a proxy finds a server.
	Address func(proxy, nodo string) string
}

const (
	maxHoldTime     = 60 * time.Second
	minStepInterval = 100 * time.Microsecond

	reregisterDelay = 3 * time.Second        // after a loss of versions
	continueWindow  = 200 * time.Millisecond // a watch that comes later than this after the last answer is a new one
)

// Catalog is the service.
type Catalog struct {
	config  Config
	referee *referee.Referee
	actions chan func()
	done    chan struct{}

	// What follows is run's alone.
	file           *faultdisk.File
	version        int64
	answeredCalls  int64 // calls
	entries        map[string]Entry
	changes        []versionRecord // of the last versions, in order
	pending        []pendingChange // changes not told yet
	watches        []*pollCall     // watches with nothing to tell
	queue          []*pollCall     // calls in line
	busyUntil      time.Time
	slowdown       float64
	downFaults     int // faults that hold, as of the next
	staleFaults    int
	diskFullFaults int
	syncedAt       time.Time
	lastAnswers    map[string]time.Time // when each proxy's last watch was answered
	rng            *rand.Rand

	mu               sync.Mutex
	notifiedVersions map[string]int64 // the version that each proxy was last told
}

type pendingChange struct {
	dueAt time.Time
	entry Entry
}

// New is a service that holds these entries as versions of long ago.
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

func (c *Catalog) run(f func()) {
	did := make(chan struct{})
	select {
	case c.actions <- func() { f(); close(did) }:
		<-did
	case <-c.done:
	}
}

// Change has the list hold an entry, and tells it after the lag.
func (c *Catalog) Change(entry Entry) {
	c.run(func() {
		c.pending = append(c.pending, pendingChange{time.Now().Add(c.config.NotificationDelay), entry})
	})
}

// Down ends all calls, and has those that come end too, until end is called. Several add up, as do those below.
func (c *Catalog) TakeDown() (end func()) {
	c.run(func() { c.downFaults++; c.failCalls() })
	return func() { c.run(func() { c.downFaults-- }) }
}

// Slow has calls take so many times as long until end is called.
func (c *Catalog) SlowDown(factor float64) (end func()) {
	c.run(func() { c.slowdown *= factor })
	return func() { c.run(func() { c.slowdown /= factor }) }
}

// Stale has it tell nothing new until end is called.
func (c *Catalog) Freeze() (end func()) {
	c.run(func() { c.staleFaults++ })
	return func() { c.run(func() { c.staleFaults-- }) }
}

// Rollback takes the last versions back, with what they told. Watches end: the service was restored from a copy. The
// servers that lost their entries by it register again some time later, under versions that were used before.
func (c *Catalog) Rollback(versions int) {
	c.run(func() { c.rollBack(c.readRecords(c.file.Bytes()), c.version-int64(versions)) })
}

// PowerLoss loses what the file had not synced, and reads what is left. The versions go back by as much. It comes with
// Down. It tells how many versions were lost.
func (c *Catalog) PowerLoss() (lost int64) {
	c.run(func() {
		before := c.version
		c.file.PowerLoss(c.rng)
		c.rollBack(c.readRecords(c.file.Bytes()), before)
		lost = before - c.version
	})
	return lost
}

// Full has the disk of its file full until end is called: a change that cannot be kept is not told.
func (c *Catalog) FillDisk() (end func()) {
	c.run(func() { c.diskFullFaults++; c.file.SetFull(true) })
	return func() { c.run(func() { c.diskFullFaults--; c.file.SetFull(c.diskFullFaults > 0) }) }
}

// note keeps the version that a proxy was told.
func (c *Catalog) recordVersion(proxy string, index int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifiedVersions[proxy] = index
}

// lastHeld is the version that a proxy was last told; false if it never was.
func (c *Catalog) lastVersion(proxy string) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index, ok := c.notifiedVersions[proxy]
	return index, ok
}

// Snapshot is the list as a proxy is told it at its start, with what the referee notes of it: as its former process last had
// it, as on the platform, or as it is now.
func (c *Catalog) Snapshot(proxy string, part float64, r *rand.Rand) (list json.RawMessage, told []referee.Entry) {
	c.run(func() {
		entries, version := c.entries, c.version
		if held, ok := c.lastVersion(proxy); ok && held < c.version {
			entries, version = c.entriesAt(held), held
		}
		lines, noted := c.snapshot(proxy, entries)
		whole, kept := len(lines), lines[:0]
		for i, l := range lines {
			if r.Float64() < part {
				kept = append(kept, l)
				told = append(told, noted[i])
			}
		}
		if len(kept) < whole { // no version of the list looked so: a caller must not go on from it
			version = -1
		}
		list = encode(version, true, kept)
	})
	return list, told
}
