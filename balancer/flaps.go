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
	flapTold = 10 * second // a flap is told for so long
	flapKept = 60 * second // and known for so long, to tell the next one

	recordsKept = 4096 // records of a damper at most
)

// damper keeps one record for each key, which is a server or a zone. The zero value is ready.
type damper struct{ records map[string]*record }

// record is the record of one key. Flaps alternate: one that leads where the last one led is the same, seen
// late.
type record struct {
	start   int64 // the key's own; another begins a new record
	down    bool  // where the last flap that counted led
	last    int64 // when it was first seen
	votes   []vote
	penalty float64
	at      int64 // when the penalty was that
	since   int64 // damped from then on; 0: not damped
	fresh   bool  // a flap has counted since damped was asked
}

// vote is the newest flap against the last one that counted, as one observer saw it.
type vote struct {
	observer string
	at       int64
}

// saw takes a flap of a key with the given start, seen by an observer at some time; it tells whether this one
// makes it count.
func (d *damper) saw(now int64, key string, start int64, down bool, observer string, at int64,
	enough int) bool {
	r := d.records[key]
	if r == nil || start > r.start && !sameTime(start, r.start) {
		if d.tidy(now); r == nil && len(d.records) >= recordsKept || !down {
			return false // a record begins with a fall
		}
		r = &record{start: start, last: at - flapWindow, at: now}
		if d.records == nil {
			d.records = map[string]*record{}
		}
		d.records[key] = r
	}
	return sameTime(start, r.start) && r.counts(now, down, vote{observer, at}, enough)
}

// left is the penalty now.
func (r *record) left(now int64) float64 {
	return r.penalty * math.Exp2(-float64(now-r.at)/float64(flapHalf))
}

// damped tells whether a key that began at start is to get its steady share now, and since when.
func (d *damper) damped(now int64, key string, start int64) (since int64, is bool) {
	r := d.records[key]
	if r == nil || !sameTime(r.start, start) {
		return 0, false
	}
	is = r.steady(now)
	return r.since, is
}

// tidy forgets the records that have come to rest.
func (d *damper) tidy(now int64) {
	for key, r := range d.records {
		if r.rested(now) {
			delete(d.records, key)
		}
	}
}

// flap is the latest flap of a server's health as this copy saw it.
type flap struct {
	launched int64
	down     bool
	cause    Fault // of the latest fall
	at       int64
	times    float64
}

// flapped notes that a server is bad or healthy, if that is another than before.
func (b *Balancer) flapped(now int64, s *server, down bool, cause Fault) {
	f := b.flaps[s.ID]
	if f.launched != s.StartTime {
		f = flap{launched: s.StartTime}
	}
	if f.down == down {
		return
	}
	if f.down, f.at, f.times = down, now, f.times+1; down {
		f.cause = cause
	}
	if b.flaps == nil {
		b.flaps = map[string]flap{}
	}
	b.flaps[s.ID] = f
}

// leaseEnded is a cause that only this copy's books have: it is told as none.
const leaseEnded Fault = -1

// tellFlaps is what this copy tells of flaps.
func (b *Balancer) tellFlaps(now int64) (out []Report) {
	for _, id := range slices.Sorted(maps.Keys(b.flaps)) {
		f := b.flaps[id]
		if now-f.at > flapKept {
			delete(b.flaps, id)
		} else if now-f.at <= flapTold {
			n := Report{Kind: ReportServerFlap, Fault: max(f.cause, NoFault), ObserverZone: b.s.Zone, Server: id,
				StartTime: f.launched, Calls: f.times, BadFraction: partOf(f.down), LastObserved: f.at}
			if r := b.damper.records[id]; r != nil {
				n.Value = r.left(now)
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
		if s.since, s.damped = b.damper.damped(now, s.ID, s.StartTime); s.damped {
			flapping = append(flapping, s)
		}
	}
	slices.SortFunc(flapping, longerDamped)
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
			out = append(out, DampedServer{s.ID, b.damper.records[s.ID].left(now), s.since})
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
	h.Log(DampedServersChanged{Servers: names, WeightFraction: dampedPart})
}
