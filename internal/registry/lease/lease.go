// Package lease decides when an endpoint that no longer renews is gone. It runs on the leader alone and is given the time.
// It changes no list: what it decides becomes a command of package state, so that a deposed leader decides nothing.
//
// Times are monotonic and never compared between members: a new leader restarts every lease when its leadership begins.
// Time in which this process did not run (suspended, starved) does not count, since renewals could not reach it.
//
// Loss of contact is not loss of servers. A few expiries are servers that died; many of one zone together are a network or
// this service. Where more than Config.HoldThreshold of a zone's leases expire within the zone's longest lease, the zone is
// held: its endpoints stay in the list and are released one at a time, the longest silent first, at Config.ReleaseRate. So
// a zone that is gone for good is gone after 1/ReleaseRate lease durations, whatever its size. A renewal takes its endpoint
// out of that order. The hold ends when no lease of the zone is over.
//
// A hold covers a zone, not the list: the other zones' size would hide the loss of a zone's servers.
package lease

import (
	"cmp"
	"slices"
	"time"

	"merlinpick/internal/registry/state"
)

// Config configures a table.
type Config struct {
	HoldThreshold float64       // fraction of a zone's leases that may expire at once within a lease duration; one always may
	ReleaseRate   float64       // fraction of a held zone that is released in one lease duration
	MaxSweepGap   time.Duration // a longer time between two sweeps does not count
}

// DefaultConfig returns the documented values.
func DefaultConfig() Config {
	return Config{HoldThreshold: 0.25, ReleaseRate: 0.1, MaxSweepGap: time.Second}
}

type entry struct {
	ref       state.InstanceRef
	zone      string
	duration  time.Duration
	expiresAt time.Time
}

// zone is the state of a zone with expiries in its last lease duration.
type zone struct {
	recentExpiries []time.Time // within the zone's longest lease duration
	held           bool
	sizeAtHold     int       // leases when the hold began
	nextRelease    time.Time // while held
}

// Table holds the leases. It is not safe for concurrent use.
type Table struct {
	cfg       Config
	leases    map[string]*entry // by endpoint name
	zones     map[string]*zone
	lastSweep time.Time
}

// New returns a table without leases.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, leases: map[string]*entry{}, zones: map[string]*zone{}}
}

// Reset replaces all leases by those of the records, each with its full duration from now on.
func (t *Table) Reset(now time.Time, records []state.Record) {
	clear(t.leases)
	clear(t.zones)
	t.lastSweep = now
	for _, r := range records {
		t.Put(now, r)
	}
}

// Put starts an endpoint's lease, or restarts it.
func (t *Table) Put(now time.Time, r state.Record) {
	duration := time.Duration(r.LeaseMs) * time.Millisecond
	t.leases[r.Name] = &entry{state.InstanceRef{Name: r.Name, Instance: r.Instance}, r.Zone, duration, now.Add(duration)}
}

// Renew restarts a lease; false if the instance has none.
func (t *Table) Renew(now time.Time, ref state.InstanceRef) bool {
	lease := t.leases[ref.Name]
	if lease == nil || lease.ref != ref {
		return false
	}
	lease.expiresAt = now.Add(lease.duration)
	return true
}

// Remove drops the lease of an endpoint that is no longer in the list.
func (t *Table) Remove(name string) { delete(t.leases, name) }

// Remaining returns the time left of a lease; negative if it is over and its endpoint is held.
func (t *Table) Remaining(now time.Time, name string) (time.Duration, bool) {
	lease := t.leases[name]
	if lease == nil {
		return 0, false
	}
	return lease.expiresAt.Sub(now), true
}

// Sweep is the result of a sweep over all leases.
type Sweep struct {
	Expired      []state.InstanceRef // to be removed from the list now
	HoldsStarted []string            // zones, ordered
	HoldsEnded   []string            // zones, ordered
	HeldLeases   int                 // over, and their endpoints kept in the list
	HeldZones    int
	Paused       time.Duration // time since the last sweep that did not count; 0 if it did
}

// Sweep returns which endpoints have to be removed, and forgets their leases. The caller restarts the lease of one that
// could not be removed with Put.
func (t *Table) Sweep(now time.Time) (out Sweep) {
	if gap := now.Sub(t.lastSweep); !t.lastSweep.IsZero() && gap > t.cfg.MaxSweepGap {
		out.Paused = gap
		t.postpone(gap)
	}
	t.lastSweep = now
	tallies := t.tallyZones(now)
	for name, z := range t.zones {
		if tallies[name] == nil { // its last lease is gone
			if z.held {
				out.HoldsEnded = append(out.HoldsEnded, name)
			}
			delete(t.zones, name)
		}
	}
	for name, tally := range tallies {
		if len(tally.over) > 0 && t.zones[name] == nil {
			t.zones[name] = &zone{}
		}
		if t.zones[name] != nil {
			t.sweepZone(&out, now, name, tally)
		}
	}
	slices.Sort(out.HoldsStarted)
	slices.Sort(out.HoldsEnded)
	return out
}

// postpone moves all times by a gap in which the process did not run.
func (t *Table) postpone(gap time.Duration) {
	for _, lease := range t.leases {
		lease.expiresAt = lease.expiresAt.Add(gap)
	}
	for _, z := range t.zones {
		z.nextRelease = z.nextRelease.Add(gap)
		for i := range z.recentExpiries {
			z.recentExpiries[i] = z.recentExpiries[i].Add(gap)
		}
	}
}

// zoneTally is a zone's leases at one moment.
type zoneTally struct {
	over         []*entry
	size         int
	longestLease time.Duration
}

func (t *Table) tallyZones(now time.Time) map[string]*zoneTally {
	tallies := map[string]*zoneTally{}
	for _, lease := range t.leases {
		tally := tallies[lease.zone]
		if tally == nil {
			tally = &zoneTally{}
			tallies[lease.zone] = tally
		}
		tally.size++
		tally.longestLease = max(tally.longestLease, lease.duration)
		if !now.Before(lease.expiresAt) {
			tally.over = append(tally.over, lease)
		}
	}
	return tallies
}

// sweepZone expires the leases of a zone that are over, or holds the zone and releases its next endpoint.
func (t *Table) sweepZone(out *Sweep, now time.Time, name string, tally *zoneTally) {
	z := t.zones[name]
	z.recentExpiries = slices.DeleteFunc(z.recentExpiries, func(at time.Time) bool { return now.Sub(at) >= tally.longestLease })
	recent := len(z.recentExpiries)
	switch {
	case len(tally.over) == 0:
		if z.held {
			out.HoldsEnded = append(out.HoldsEnded, name)
		}
		z.held = false
		if recent == 0 {
			delete(t.zones, name)
		}
	case !z.held && recent+len(tally.over) <= t.maxExpiriesAtOnce(tally.size+recent):
		t.expire(out, z, now, tally.over)
	default:
		t.holdZone(out, now, name, tally)
	}
}

// holdZone begins or continues a hold, and releases the longest silent endpoint when it is due.
func (t *Table) holdZone(out *Sweep, now time.Time, name string, tally *zoneTally) {
	z := t.zones[name]
	begins := !z.held
	if begins {
		z.held, z.sizeAtHold = true, tally.size
		out.HoldsStarted = append(out.HoldsStarted, name)
	}
	releaseInterval := time.Duration(float64(tally.longestLease) / (t.cfg.ReleaseRate * float64(z.sizeAtHold)))
	if begins {
		z.nextRelease = now.Add(releaseInterval)
	}
	out.HeldZones++
	out.HeldLeases += len(tally.over)
	if !now.Before(z.nextRelease) {
		z.nextRelease = now.Add(releaseInterval)
		slices.SortFunc(tally.over, func(a, b *entry) int {
			return cmp.Or(a.expiresAt.Compare(b.expiresAt), cmp.Compare(a.ref.Name, b.ref.Name))
		})
		t.expire(out, z, now, tally.over[:1])
	}
}

// maxExpiriesAtOnce is how many of a zone's leases may expire within a lease duration without a hold.
func (t *Table) maxExpiriesAtOnce(size int) int {
	return max(1, int(t.cfg.HoldThreshold*float64(size)))
}

func (t *Table) expire(out *Sweep, z *zone, now time.Time, over []*entry) {
	for _, lease := range over {
		delete(t.leases, lease.ref.Name)
		out.Expired = append(out.Expired, lease.ref)
		z.recentExpiries = append(z.recentExpiries, now)
	}
}
