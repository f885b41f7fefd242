package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
)

// The data that removals are damped by. What here decides, or why it does not: docs/policy.md.

const (
	flapReportTTL = 10 * second // a flap is told for so long
	flapMemory    = 60 * second // and known for so long, to tell the next one

	maxRecords = 4096 // records of a damper at most
)

// damper keeps one record for each key, which is a server or a zone. The zero value is ready.
type flapDamper struct{ records map[string]*flapRecord }

// record is the record of one key. Flaps alternate: one that leads where the last one led is the same, seen
// late.
type flapRecord struct {
	startTime   int64 // the key's own; another begins a new record
	down        bool  // where the last flap that counted led
	lastFlapAt  int64 // when it was first seen
	votes       []flapVote
	penalty     float64
	penaltyAt   int64 // when the penalty was that
	dampedSince int64 // damped from then on; 0: not damped
	newFlap     bool  // a flap has counted since damped was asked
}

// vote is the newest flap against the last one that counted, as one observer saw it.
type flapVote struct {
	observer string
	at       int64
}

// saw takes a flap of a key with the given start, seen by an observer at some time; it tells whether this one
// makes it count.
func (d *flapDamper) recordFlap(now int64, key string, start int64, down bool, observer string, at int64,
	enough int) bool {
	r := d.records[key]
	if r == nil || start > r.startTime && !sameStartTime(start, r.startTime) {
		if d.removeRested(now); r == nil && len(d.records) >= maxRecords || !down {
			return false // a record begins with a fall
		}
		r = &flapRecord{startTime: start, lastFlapAt: at - flapVoteWindow, penaltyAt: now}
		if d.records == nil {
			d.records = map[string]*flapRecord{}
		}
		d.records[key] = r
	}
	return sameStartTime(start, r.startTime) && r.accept(now, down, flapVote{observer, at}, enough)
}

// left is the penalty now.
func (r *flapRecord) currentPenalty(now int64) float64 {
	return r.penalty * math.Exp2(-float64(now-r.penaltyAt)/float64(penaltyHalfLife))
}

// damped tells whether a key that began at start is to get its steady share now, and since when.
func (d *flapDamper) dampedSince(now int64, key string, start int64) (since int64, is bool) {
	r := d.records[key]
	if r == nil || !sameStartTime(r.startTime, start) {
		return 0, false
	}
	is = r.updateDamped(now)
	return r.dampedSince, is
}

// tidy forgets the records that have come to rest.
func (d *flapDamper) removeRested(now int64) {
	for key, r := range d.records {
		if r.rested(now) {
			delete(d.records, key)
		}
	}
}

// flap is the latest flap of a server's health as this copy saw it.
type observedFlap struct {
	startTime int64
	down      bool
	fault     Fault // of the latest fall
	at        int64
	count     float64
}

// flapped notes that a server is bad or healthy, if that is another than before.
func (b *Balancer) flapped(now int64, s *server, down bool, cause Fault) {
	f := b.flaps[s.ID]
	if f.startTime != s.StartTime {
		f = observedFlap{startTime: s.StartTime}
	}
	if f.down == down {
		return
	}
	if f.down, f.at, f.count = down, now, f.count+1; down {
		f.fault = cause
	}
	if b.flaps == nil {
		b.flaps = map[string]observedFlap{}
	}
	b.flaps[s.ID] = f
}

// leaseEnded is a cause that only this copy's books have: it is told as none.
const faultDelisted Fault = -1

// tellFlaps is what this copy tells of flaps.
func (b *Balancer) tellFlaps(now int64) (out []Report) {
	for _, id := range slices.Sorted(maps.Keys(b.flaps)) {
		f := b.flaps[id]
		if now-f.at > flapMemory {
			delete(b.flaps, id)
		} else if now-f.at <= flapReportTTL {
			n := Report{Kind: ReportServerFlap, Fault: max(f.fault, NoFault), ObserverZone: b.s.Zone, Server: id,
				StartTime: f.startTime, Calls: f.count, BadFraction: indicator(f.down), LastObserved: f.at}
			if r := b.damper.records[id]; r != nil {
				n.Value = r.currentPenalty(now)
			}
			out = append(out, n)
		}
	}
	return out
}

// flapping are the ready servers that the damper has damped, the longest so first, and how many are ready in
// each zone.
func (b *Balancer) flapping(now int64) (flapping []*server, in map[int]int) {
	in = map[int]int{}
	for _, s := range b.ready {
		in[s.Zone]++
		if s.since, s.damped = b.damper.dampedSince(now, s.ID, s.StartTime); s.damped {
			flapping = append(flapping, s)
		}
	}
	slices.SortFunc(flapping, byDampedSince)
	return flapping, in
}

// DampedState tells on-call staff and figures of a server whose removals and returns are not acted on.
type DampedServer struct {
	Server      string
	Penalty     float64
	DampedSince int64
}

// Damped are the servers that get their steady small share now, the longest so first.
func (b *Balancer) DampedServers(now int64) (out []DampedServer) {
	for _, s := range b.ready {
		if s.damped {
			out = append(out, DampedServer{s.ID, b.damper.records[s.ID].currentPenalty(now), s.since})
		}
	}
	slices.SortFunc(out, func(x, y DampedServer) int {
		return cmp.Or(cmp.Compare(x.DampedSince, y.DampedSince), cmp.Compare(x.Server, y.Server))
	})
	return out
}

// reportDamped tells on-call staff which servers are damped when that has changed, once a second at most.
func (b *Balancer) reportDamped(now int64, h Host) {
	var names []string
	for _, d := range b.DampedServers(now) {
		names = append(names, d.Server)
	}
	all := strings.Join(names, " ")
	if all == b.dampedSaid || now-b.dampedAt < second {
		return
	}
	b.dampedSaid, b.dampedAt = all, now
	h.Log(DampedServersChanged{Servers: names, WeightFraction: dampedWeight})
}
