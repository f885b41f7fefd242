// Package lease decides when a nodo that has stopped renewing is gone. It runs on the leader alone and is told the
// time; what it decides becomes a command like any other, so that a leader that no longer is one decides nothing.
//
// Times are monotonic, and never compared between members: a new leader counts each lease afresh from the moment it
// leads. The same holds for time in which this process did not run (stopped, starved): renewals could not reach it, and
// none of it counts.
//
// Loss of contact is not loss of nodos. A few leases that end are nodos that died; many of one zone that end together
// are a network, or this service. Where more than Part of a zone's leases end within the zone's longest lease, the
// zone is held: its entries stay, and are let go one at a time, Pace of the zone in a lease's time, the longest silent
// first: a zone of any size that is gone for good is gone after 1/Pace lease times. A renewal takes its entry out of the
// line. The hold ends when no lease of the zone is over.
//
// Rejected: to hold the whole list rather than a zone (a real loss of one zone's nodos would be hidden by the others'
// size); to never let go (a zone that is gone for good would stay for ever).
package lease

import (
	"cmp"
	"slices"
	"time"

	"merlinpick/internal/registry/state"
)

// Config is what a table goes by.
type Config struct {
	HoldThreshold float64       // of a zone's leases that may end within one lease time and go at once; one always may
	ReleaseRate   float64       // of a held zone, in one lease time, that are let go
	MaxSweepGap   time.Duration // a gap between two looks over this is time that did not count
}

// Defaults are the stated figures.
func DefaultConfig() Config {
	return Config{HoldThreshold: 0.25, ReleaseRate: 0.1, MaxSweepGap: time.Second}
}

type entry struct {
	ref       state.InstanceRef
	zone      string
	duration  time.Duration
	expiresAt time.Time
}

type zone struct {
	recentExpiries []time.Time // when leases ended, of the last lease time
	held           bool
	sizeAtHold     int       // when the hold began
	nextRelease    time.Time // when a held one is let go
}

// Table is the leases. Its owner allows no two calls at once.
type Table struct {
	cfg       Config
	leases    map[string]*entry // by name
	zones     map[string]*zone
	lastSweep time.Time // of the last look
}

// New is a table without leases.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, leases: map[string]*entry{}, zones: map[string]*zone{}}
}

// Reset has the table hold these, each with its whole lease from now on.
func (t *Table) Reset(now time.Time, records []state.Record) {
	clear(t.leases)
	clear(t.zones)
	t.lastSweep = now
	for _, r := range records {
		t.Put(now, r)
	}
}

// Put begins a lease, or another in its place.
func (t *Table) Put(now time.Time, r state.Record) {
	lease := time.Duration(r.LeaseMs) * time.Millisecond
	t.leases[r.Name] = &entry{state.InstanceRef{Name: r.Name, Instance: r.Instance}, r.Zone, lease, now.Add(lease)}
}

// Renew has a lease last from now on; false if there is none.
func (t *Table) Renew(now time.Time, ref state.InstanceRef) bool {
	l := t.leases[ref.Name]
	if l == nil || l.ref != ref {
		return false
	}
	l.expiresAt = now.Add(l.duration)
	return true
}

// Remove ends a lease whose nodo has gone from the list.
func (t *Table) Remove(name string) { delete(t.leases, name) }

// Left tells how long a lease lasts; negative if it is over and its nodo is held.
func (t *Table) Remaining(now time.Time, name string) (time.Duration, bool) {
	l := t.leases[name]
	if l == nil {
		return 0, false
	}
	return l.expiresAt.Sub(now), true
}

// Look is what a look at the table came to.
type Sweep struct {
	Expired      []state.InstanceRef // to be let go now
	HoldsStarted []string            // zones that are held from now on
	HoldsEnded   []string            // and that no longer are
	HeldLeases   int                 // leases that are over and held
	HeldZones    int                 // zones held
	Paused       time.Duration       // that did not count
}

// Look tells which nodos have to go. Their leases are no more: where one could not be let go after all, Put begins another.
func (t *Table) Sweep(now time.Time) (out Sweep) {
	if gap := now.Sub(t.lastSweep); !t.lastSweep.IsZero() && gap > t.cfg.MaxSweepGap {
		out.Paused = gap
		for _, l := range t.leases {
			l.expiresAt = l.expiresAt.Add(gap)
		}
		for _, z := range t.zones {
			z.nextRelease = z.nextRelease.Add(gap)
			for i := range z.recentExpiries {
				z.recentExpiries[i] = z.recentExpiries[i].Add(gap)
			}
		}
	}
	t.lastSweep = now
	type tally struct {
		over    []*entry
		size    int
		longest time.Duration
	}
	zones := map[string]*tally{}
	for _, l := range t.leases {
		z := zones[l.zone]
		if z == nil {
			z = &tally{}
			zones[l.zone] = z
		}
		z.size++
		z.longest = max(z.longest, l.duration)
		if !now.Before(l.expiresAt) {
			z.over = append(z.over, l)
		}
	}
	for name, z := range t.zones {
		if zones[name] == nil { // its last lease has gone
			if z.held {
				out.HoldsEnded = append(out.HoldsEnded, name)
			}
			delete(t.zones, name)
		}
	}
	for name, in := range zones {
		z := t.zones[name]
		if z == nil {
			if len(in.over) == 0 {
				continue
			}
			z = &zone{}
			t.zones[name] = z
		}
		z.recentExpiries = slices.DeleteFunc(z.recentExpiries, func(at time.Time) bool { return now.Sub(at) >= in.longest })
		switch {
		case len(in.over) == 0:
			if z.held {
				out.HoldsEnded = append(out.HoldsEnded, name)
			}
			z.held = false
			if len(z.recentExpiries) == 0 {
				delete(t.zones, name)
			}
			continue
		case !z.held && len(z.recentExpiries)+len(in.over) <= t.maxExpiriesAtOnce(in.size+len(z.recentExpiries)):
			t.expire(&out, z, now, in.over)
			continue
		}
		if !z.held {
			z.sizeAtHold = in.size
		}
		pause := time.Duration(float64(in.longest) / (t.cfg.ReleaseRate * float64(z.sizeAtHold)))
		if !z.held {
			z.held, z.nextRelease = true, now.Add(pause)
			out.HoldsStarted = append(out.HoldsStarted, name)
		}
		out.HeldZones++
		out.HeldLeases += len(in.over)
		if !now.Before(z.nextRelease) {
			z.nextRelease = now.Add(pause)
			slices.SortFunc(in.over, func(a, b *entry) int {
				return cmp.Or(a.expiresAt.Compare(b.expiresAt), cmp.Compare(a.ref.Name, b.ref.Name))
			})
			t.expire(&out, z, now, in.over[:1])
		}
	}
	slices.Sort(out.HoldsStarted)
	slices.Sort(out.HoldsEnded)
	return out
}

func (t *Table) maxExpiriesAtOnce(size int) int {
	return max(1, int(t.cfg.HoldThreshold*float64(size)))
}

func (t *Table) expire(out *Sweep, z *zone, now time.Time, over []*entry) {
	for _, l := range over {
		delete(t.leases, l.ref.Name)
		out.Expired = append(out.Expired, l.ref)
		z.recentExpiries = append(z.recentExpiries, now)
	}
}
