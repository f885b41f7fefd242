// Package lease decides when an endpoint that no longer renews its lease is removed. It runs on the leader
// only, and the caller passes in the time. It does not change the list: its decisions become commands of
// package state, so that those of a deposed leader have no effect.
//
// Times are monotonic and never compared between members: a new leader restarts every lease when its
// leadership begins. Time in which this process did not run (suspended, starved) does not count, since
// renewals could not reach it.
//
// Loss of contact is not loss of servers. A few expired leases mean that servers died; many of one zone at
// the same time mean a fault of the network or of the registry. If more than Config.HoldThreshold of a zone's
// leases expire within the zone's longest lease duration, the zone is held: its endpoints stay in the list
// and are removed one at a time, the one whose lease expired first going first, at Config.ReleaseRate. So a
// zone that is lost for good is removed after 1/ReleaseRate lease durations, whatever its size. A renewal
// takes its endpoint out of that order. The hold ends when no lease of the zone is expired.
//
// A hold covers one zone, not the whole list: among the leases of all zones, those of a lost zone could stay
// below the threshold.
package lease

import (
	"cmp"
	"slices"
	"time"

	"merlinpick/internal/registry/state"
)

// Config holds the settings of a table.
type Config struct {
	// HoldThreshold is the fraction of a zone's leases that may expire within a lease duration without a
	// hold. A single lease may always expire without a hold.
	HoldThreshold float64
	// ReleaseRate is the fraction of a held zone's leases that are released in one lease duration.
	ReleaseRate float64
	// MaxSweepGap is the longest time between two sweeps that counts towards leases.
	MaxSweepGap time.Duration
}

// DefaultConfig returns the documented default values.
func DefaultConfig() Config {
	return Config{HoldThreshold: 0.25, ReleaseRate: 0.1, MaxSweepGap: time.Second}
}

// entry is the lease of one endpoint.
type entry struct {
	ref       state.InstanceRef
	zone      string
	duration  time.Duration
	expiresAt time.Time
}

// zone is the state of a zone that is held or in which leases expired within its longest lease duration.
type zone struct {
	recentExpiries []time.Time // within the zone's longest lease duration
	held           bool
	sizeAtHold     int       // number of leases when the hold began
	nextRelease    time.Time // when a held zone's next endpoint is removed
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

// Reset replaces all leases by those of the records. Each lasts its full duration from now on.
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

// Renew restarts a lease, and returns false if the instance has none.
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

// Remaining returns the remaining time of an endpoint's lease, and false if the endpoint has none. The time
// is negative if the lease has expired and its zone is held.
func (t *Table) Remaining(now time.Time, name string) (time.Duration, bool) {
	lease := t.leases[name]
	if lease == nil {
		return 0, false
	}
	return lease.expiresAt.Sub(now), true
}

// Sweep is the result of checking all leases once.
type Sweep struct {
	Expired      []state.InstanceRef // the caller has to remove them from the list
	HoldsStarted []string            // names of zones, ordered
	HoldsEnded   []string            // names of zones, ordered
	HeldLeases   int                 // expired leases whose endpoints stay in the list
	HeldZones    int
	Paused       time.Duration // time since the previous sweep if it did not count; otherwise 0
}

// Sweep returns which endpoints have to be removed, and drops their leases. If an endpoint could not be
// removed, the caller restarts its lease with Put.
func (t *Table) Sweep(now time.Time) (out Sweep) {
	if gap := now.Sub(t.lastSweep); !t.lastSweep.IsZero() && gap > t.cfg.MaxSweepGap {
		out.Paused = gap
		t.postpone(gap)
	}
	t.lastSweep = now
	tallies := t.tallyZones(now)
	for name, z := range t.zones {
		if tallies[name] == nil { // the zone has no lease left
			if z.held {
				out.HoldsEnded = append(out.HoldsEnded, name)
			}
			delete(t.zones, name)
		}
	}
	for name, tally := range tallies {
		if len(tally.expired) > 0 && t.zones[name] == nil {
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

// postpone moves all times forward by a gap in which the process did not run.
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

// zoneTally counts a zone's leases at the time of a sweep.
type zoneTally struct {
	expired      []*entry
	size         int
	longestLease time.Duration
}

// tallyZones returns the tally of each zone that has leases, by name.
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
			tally.expired = append(tally.expired, lease)
		}
	}
	return tallies
}

// sweepZone adds a zone's expired leases to the result, or holds the zone and releases its next endpoint when
// due.
func (t *Table) sweepZone(out *Sweep, now time.Time, name string, tally *zoneTally) {
	z := t.zones[name]
	z.recentExpiries = slices.DeleteFunc(z.recentExpiries, func(at time.Time) bool { return now.Sub(at) >= tally.longestLease })
	recent := len(z.recentExpiries)
	switch {
	case len(tally.expired) == 0:
		if z.held {
			out.HoldsEnded = append(out.HoldsEnded, name)
		}
		z.held = false
		if recent == 0 {
			delete(t.zones, name)
		}
	case !z.held && recent+len(tally.expired) <= t.maxExpiriesAtOnce(tally.size+recent):
		t.expire(out, z, now, tally.expired)
	default:
		t.holdZone(out, now, name, tally)
	}
}

// holdZone begins or continues a hold, and releases the endpoint whose lease expired first when it is due.
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
	out.HeldLeases += len(tally.expired)
	if !now.Before(z.nextRelease) {
		z.nextRelease = now.Add(releaseInterval)
		slices.SortFunc(tally.expired, func(a, b *entry) int {
			return cmp.Or(a.expiresAt.Compare(b.expiresAt), cmp.Compare(a.ref.Name, b.ref.Name))
		})
		t.expire(out, z, now, tally.expired[:1])
	}
}

// maxExpiriesAtOnce returns how many of a zone's leases may expire within a lease duration without a hold.
func (t *Table) maxExpiriesAtOnce(size int) int {
	return max(1, int(t.cfg.HoldThreshold*float64(size)))
}

// expire adds leases to the result's Expired and drops them from the table.
func (t *Table) expire(out *Sweep, z *zone, now time.Time, expired []*entry) {
	for _, lease := range expired {
		delete(t.leases, lease.ref.Name)
		out.Expired = append(out.Expired, lease.ref)
		z.recentExpiries = append(z.recentExpiries, now)
	}
}
