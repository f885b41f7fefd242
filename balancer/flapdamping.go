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

// enough is how many observers must have seen a flap where so many live: one's own link can be bad.
func requiredFlapVotes(living int) int { return min(maxRequiredVotes, 1+living/4) }

// counts tells whether a flap, seen by one observer more, now counts: enough saw it, and it leads back.
func (r *flapRecord) accept(now int64, down bool, v flapVote, enough int) bool {
	if down == r.down || v.at <= r.lastFlapAt || v.at > now {
		return false
	}
	r.votes = slices.DeleteFunc(r.votes, func(o flapVote) bool {
		return o.observer == v.observer || v.at-o.at > flapVoteWindow
	})
	if r.votes = append(r.votes, v); len(r.votes) < enough {
		return false
	}
	r.down, r.lastFlapAt, r.votes = down, v.at, nil
	r.penalty, r.penaltyAt, r.newFlap = min(r.currentPenalty(now)+1, maxPenalty), now, true
	return true
}

// rested tells whether a record may be forgotten.
func (r *flapRecord) rested(now int64) bool {
	return r.currentPenalty(now) < reuseThreshold/2 && now-r.lastFlapAt > penaltyHalfLife
}

// steady tells whether a key is to get its steady share now.
func (r *flapRecord) updateDamped(now int64) bool {
	if left := r.currentPenalty(now); r.dampedSince != 0 && (left < reuseThreshold || now-r.dampedSince >= maxDamping) {
		r.dampedSince = 0
	} else if r.dampedSince == 0 && r.newFlap && left > dampingThreshold {
		r.dampedSince = now
	}
	r.newFlap = false
	return r.dampedSince != 0
}

// detectFlap looks whether a server that was healthy is bad or the other way round. Slow calls are no
// flap, nor is having no room, or a crowd would damp its tier; a single failure is, if others show it, too.
func (b *Balancer) detectFlap(now int64, s *server) {
	left := s.whole.score
	for _, c := range s.classes {
		left = min(left, s.whole.score*c.score)
	}
	if s.isUnhealthy() && s.seen.fault != FaultSaturated && (left <= fallenScore || left < healthyScore && s.told < 1) {
		b.flapped(now, s, true, s.seen.fault)
	} else if s.seen.badFraction() <= recoveredBadFraction && s.whole.score >= healthyScore && s.told == 1 {
		b.flapped(now, s, false, NoFault)
	}
}

// leases has a server that the list has no longer fall: one that comes back with the same start flaps.
func (b *Balancer) leases(now int64) {
	for _, s := range b.all {
		if f := b.flaps[s.ID]; b.zones != nil && (s.State == ServerRemoved || f.down && f.fault == faultDelisted) {
			b.flapped(now, s, s.State == ServerRemoved, faultDelisted)
		}
	}
}

// damp damps servers by the flaps that copies tell of, the longest damped first, within the budget for
// removals, alone this zone's part of it; it returns what is left and each zone's use. No ban is overruled.
func (b *Balancer) damp(now int64) (left int, out map[int]int) {
	need := requiredFlapVotes(b.peers.LiveReplicasInZone)
	for n := range b.notices {
		if n.Kind == ReportServerFlap && !b.s.DisableFlapDamping && (n.Fault != FaultUnresponsive || n.ObserverZone == b.s.Zone) {
			b.damper.recordFlap(now, n.Server, n.StartTime, n.BadFraction >= unhealthyBadFraction, n.Observer, n.LastObserved, need)
		}
	}
	if left, out = ejectionBudget(len(b.ready)), map[int]int{}; b.peers.Isolated {
		left = left * b.peers.LiveReplicasInZone / max(b.peers.LiveReplicas, b.peers.LiveReplicasInZone)
	}
	flapping, in := b.flapping(now)
	for _, s := range flapping {
		if s.damped = left > 0 && out[s.Zone] < ejectionBudget(in[s.Zone]); s.damped {
			left, out[s.Zone] = left-1, out[s.Zone]+1
		}
	}
	return left, out
}

// longerDamped orders servers by which keep their steady share where the budget is short.
func byDampedSince(x, y *server) int {
	return cmp.Or(cmp.Compare(x.since, y.since), cmp.Compare(x.ID, y.ID))
}

// Removals and returns that follow each other fast do more harm than the server does: each moves load, costs
// handshakes and starts the next one elsewhere. So what flaps gets one steady, small share until it rests.
const (
	penaltyHalfLife  = 20 * second // a penalty halves in this time
	maxPenalty       = 5.0         // and is no more than this: what has rested is back within 2.4 half times
	maxDamping       = 60 * second // damped for no longer; the next flap then damps again
	flapVoteWindow   = 2 * second  // flaps that several observers saw within this are one
	maxRequiredVotes = 3           // observers that must have seen one; fewer where fewer live, see enough
	dampedWeight     = 0.1         // of its share is left to a server that flaps

	fallenScore, recoveredBadFraction = 0.1, 0.2 // health of one that fell: two failures; bad part of one that is back

	dampingThreshold, reuseThreshold = 2.2, 1.0 // over it damps: the third flap, 10 s apart or less; under this ends
)
