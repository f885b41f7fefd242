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
	Lag    time.Duration // from a change to its being told
	Call   time.Duration // of the service for a call
	Line   time.Duration // and for a line of an answer
	Wait   time.Duration // in line, at most
	Sync   time.Duration // between syncs of the file
	Retain int           // changes kept for watches
	Most   int           // calls that are held, watches that wait included
	Seed   uint64
	// Address is where a proxy finds a server.
	Address func(proxy, nodo string) string
}

const (
	maxHold = 60 * time.Second
	minWait = 100 * time.Microsecond

	registerAgain = 3 * time.Second        // after a loss of versions
	continueTime  = 200 * time.Millisecond // a watch that comes later than this after the last answer is a new one
)

// Catalog is the service.
type Catalog struct {
	cfg  Config
	ref  *referee.Referee
	do   chan func()
	done chan struct{}

	// What follows is run's alone.
	file     *faultdisk.File
	index    int64
	answered int64 // calls
	entries  map[string]Entry
	changes  []change // of the last versions, in order
	pending  []due    // changes not told yet
	waiting  []*call  // watches with nothing to tell
	line     []*call  // calls in line
	busy     time.Time
	slow     float64
	down     int // faults that hold, as of the next
	stale    int
	full     int
	synced   time.Time
	ended    map[string]time.Time // when each proxy's last watch was answered
	rng      *rand.Rand

	mu   sync.Mutex
	held map[string]int64 // the version that each proxy was last told
}

type due struct {
	at    time.Time
	entry Entry
}

// New is a service that holds these entries as versions of long ago.
func New(cfg Config, ref *referee.Referee, entries []Entry) *Catalog {
	c := &Catalog{cfg: cfg, ref: ref, do: make(chan func()), done: make(chan struct{}), file: &faultdisk.File{},
		entries: map[string]Entry{}, slow: 1, ended: map[string]time.Time{}, rng: rand.New(rand.NewPCG(cfg.Seed, 11)), held: map[string]int64{}}
	for _, e := range entries {
		c.notify(e)
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
		case f := <-c.do:
			f()
		case <-timer.C:
		case <-ctx.Done():
			c.drop()
			return
		}
		timer.Reset(c.step(time.Now()))
	}
}

func (c *Catalog) on(f func()) {
	did := make(chan struct{})
	select {
	case c.do <- func() { f(); close(did) }:
		<-did
	case <-c.done:
	}
}

// Change has the list hold an entry, and tells it after the lag.
func (c *Catalog) Change(e Entry) {
	c.on(func() { c.pending = append(c.pending, due{time.Now().Add(c.cfg.Lag), e}) })
}

// Down ends all calls, and has those that come end too, until end is called. Several add up, as do those below.
func (c *Catalog) Down() (end func()) {
	c.on(func() { c.down++; c.drop() })
	return func() { c.on(func() { c.down-- }) }
}

// Slow has calls take so many times as long until end is called.
func (c *Catalog) Slow(factor float64) (end func()) {
	c.on(func() { c.slow *= factor })
	return func() { c.on(func() { c.slow /= factor }) }
}

// Stale has it tell nothing new until end is called.
func (c *Catalog) Stale() (end func()) {
	c.on(func() { c.stale++ })
	return func() { c.on(func() { c.stale-- }) }
}

// Rollback takes the last versions back, with what they told. Watches end: the service was restored from a copy. The
// servers that lost their entries by it register again some time later, under versions that were used before.
func (c *Catalog) Rollback(versions int) {
	c.on(func() { c.back(c.read(c.file.Bytes()), c.index-int64(versions)) })
}

// PowerLoss loses what the file had not synced, and reads what is left. The versions go back by as much. It comes with
// Down. It tells how many versions were lost.
func (c *Catalog) PowerLoss() (lost int64) {
	c.on(func() {
		before := c.index
		c.file.PowerLoss(c.rng)
		c.back(c.read(c.file.Bytes()), before)
		lost = before - c.index
	})
	return lost
}

// Full has the disk of its file full until end is called: a change that cannot be kept is not told.
func (c *Catalog) Full() (end func()) {
	c.on(func() { c.full++; c.file.SetFull(true) })
	return func() { c.on(func() { c.full--; c.file.SetFull(c.full > 0) }) }
}

// note keeps the version that a proxy was told.
func (c *Catalog) note(proxy string, index int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[proxy] = index
}

// lastHeld is the version that a proxy was last told; false if it never was.
func (c *Catalog) lastHeld(proxy string) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index, ok := c.held[proxy]
	return index, ok
}

// Snapshot is the list as a proxy is told it at its start, with what the referee notes of it: as its former process last had
// it, as on the platform, or as it is now.
func (c *Catalog) Snapshot(proxy string, part float64, r *rand.Rand) (list json.RawMessage, told []referee.Entry) {
	c.on(func() {
		entries, version := c.entries, c.index
		if held, ok := c.lastHeld(proxy); ok && held < c.index {
			entries, version = c.asOf(held), held
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
