package logic

import (
	"cmp"
	"math"
	"slices"
)

// What this copy tells others of servers and zones, and what the verdicts of others do to a server's weight.

const (
	freshSpan   = 2 * second / 5 // evidence on a zone that stands well, and on a server, fades over this
	trialSpan   = 2 * second     // the same of a zone that gets trials only
	zoneFresh   = second         // evidence on a zone is told for so long after the latest call
	trialFresh  = 4 * second     // the same of a zone that gets trials only
	serverFresh = 5 * second     // the same of a server
	quietMeans  = 3.0            // a call that is out for so many mean times counts as bad until it ends
	quietLeast  = second / 10    // but for so long at least
	serverCalls = 5.0            // evidence on a server is that of about its last so many calls
	badServer   = 0.5            // part of bad calls from which a server is called bad

	verdictOthers = 2         // copies that must call a server bad before that touches its weight
	verdictCalls  = 3.0       // and the bad calls that they must have seen together
	verdictMost   = 10.0      // calls of one copy count as no more than this
	verdictPart   = 1.0 / 3.0 // of a tier's or a zone's ready servers: verdicts take out no more
	linkServers   = 3         // a copy that sees so many servers bad over two zones or more, and none well in
	linkPart      = 0.6       // most of what it tried, has a bad link of its own and tells nothing
)

// causeOf is how an attempt that ended so counts as evidence.
func causeOf(s Status) Cause {
	switch s {
	case OK:
		return NoCause
	case Error:
		return Failing
	case FullUp:
		return Crowded
	}
	return Silent
}

// note takes the end of an attempt as evidence on its server and zone. One that was turned away says nothing
// of a zone: it is there, and has no room.
func (b *Balancer) note(now int64, a *attempt, cause Cause) {
	z := cmp.Or(b.zone(a.zone), &zone{})
	if cause == NoCause {
		a.srv.okAt, a.srv.told = now, 1
		if a.quiet {
			a.srv.seen.amend()
			z.fresh.amend()
			z.long.amend()
		}
	}
	if a.quiet {
		return
	}
	a.srv.seen.add(now, freshSpan, serverCalls, cause)
	if cause == Crowded {
		cause = NoCause
	}
	z.fresh.add(now, freshSpan, zoneMost, cause)
	z.long.add(now, trialSpan, zoneMost, cause)
}

// listen counts calls as bad when they are out for far longer than calls take: of one that must not run twice,
// the time-out comes seconds later.
func (b *Balancer) listen(now int64) {
	for _, q := range b.reqs {
		for _, a := range q.attempts {
			long := max(quietLeast, int64(quietMeans*b.classes[q.Class].mean))
			if a.out && a.counted && !a.started && !a.quiet && now-a.sent > long {
				b.note(now, a, Silent)
				a.quiet = true
			}
		}
	}
}

// Seen is what this copy tells others now; what is not said again is taken back.
func (b *Balancer) Seen(now int64) []Notice {
	b.open()
	b.listen(now)
	b.tells = nil
	tried, bad, badIn := 0, 0, map[int]bool{}
	triedIn, badOf := make([]int, len(b.zones)+1), make([]int, len(b.zones)+1)
	for _, s := range b.all {
		if s.State != Ready || s.seen.last == 0 || now-s.seen.last > serverFresh {
			continue
		}
		i := len(b.zones)
		if s.Zone >= 0 && s.Zone < i {
			i = s.Zone
		}
		tried, triedIn[i] = tried+1, triedIn[i]+1
		n := Notice{Zone: b.s.Zone, Server: s.ID, Launched: s.Launched, Calls: s.seen.calls, Bad: s.seen.part()}
		isBad := n.Bad >= badServer || s.whole.left < wellPart && s.seen.badAt > s.okAt
		if b.swings(now, s, isBad, n.Bad); isBad {
			bad, badOf[i], badIn[s.Zone] = bad+1, badOf[i]+1, true
			n.Kind, n.Cause, n.At = ServerBad, s.seen.cause, s.seen.badAt
			b.tells = append(b.tells, n)
		} else if s.verdict.others > 0 && now-s.okAt <= serverFresh {
			n.Kind, n.At = ServerWell, s.okAt
			b.tells = append(b.tells, n)
		}
	}
	if bad >= linkServers && len(badIn) > 1 && float64(bad) > linkPart*float64(tried) && !b.anyWell(now) {
		b.tells = nil
		return nil
	}
	b.tells = append(b.tells, b.tellSwings(now)...)
	for i := range b.zones {
		if n, ok := b.tellZone(now, i, 2*badOf[i] >= triedIn[i] && badOf[i] > 0); ok {
			b.tells = append(b.tells, n)
		}
	}
	return slices.Clone(b.tells)
}

// evidenceOn is what this copy has lately seen of a zone, if anything.
func (b *Balancer) evidenceOn(now int64, i int) (e evidence, ok bool) {
	z := &b.zones[i]
	if z.Standing == Away {
		return z.long, z.long.last != 0 && now-z.long.last <= trialFresh
	}
	return z.fresh, z.fresh.last != 0 && now-z.fresh.last <= zoneFresh
}

// anyWell tells whether this copy is answered by any zone.
func (b *Balancer) anyWell(now int64) bool {
	for i := range b.zones {
		if e, ok := b.evidenceOn(now, i); ok && e.part() < zoneBad {
			return true
		}
	}
	return false
}

// tellZone is what this copy tells of a zone: bad where most calls and at least half of the servers are.
func (b *Balancer) tellZone(now int64, i int, servers bool) (n Notice, ok bool) {
	e, ok := b.evidenceOn(now, i)
	n = Notice{Kind: ZoneWell, Zone: b.s.Zone, Of: i, Value: b.zones[i].Share, At: now}
	if ok {
		n.Calls, n.Bad, n.At = e.calls, e.part(), e.last
	}
	if b.zones[i].Standing == Leaving { // not yet left
		n.Value = 1
	}
	if ok && n.Bad >= zoneBad && servers {
		n.Kind, n.Cause = ZoneBad, e.cause
	} else if i == b.s.Zone && b.spill > pressBar {
		n.Cause = Slow
	}
	return n, ok || n.Value < 1
}

// Peers takes what others tell now.
func (b *Balancer) Peers(now int64, h Host, p Peers) {
	b.open()
	if p.Near = max(p.Near, 1); p.Alone {
		p.Notices, p.Near = nil, max(p.Near, b.peers.Near)
	}
	b.peers = p
	b.condemn(now)
	b.reportDamped(now, h)
	b.lookAtZones(now, h)
}

// condemn leaves trials at most to servers that enough others call bad, the worst first, as far as the budget
// goes. What this copy was answered since tells more. Silence is told of a way, not of a server: only that of
// copies in this zone counts.
func (b *Balancer) condemn(now int64) {
	b.sumServers(func(n Notice) bool { return n.Cause != Silent || n.Zone == b.s.Zone }, verdictMost)
	var bad []*server
	in := map[int]int{}
	for _, s := range b.ready {
		v := &s.verdict
		s.told = 1
		in[s.Zone]++
		if v.others > 0 && v.bad >= min(verdictOthers, b.peers.Living-1) && v.bad > v.well &&
			v.calls >= verdictCalls && s.okAt <= v.at {
			bad = append(bad, s)
		}
	}
	slices.SortFunc(bad, func(x, y *server) int {
		return cmp.Or(cmp.Compare(y.verdict.calls, x.verdict.calls), cmp.Compare(x.ID, y.ID))
	})
	left, out := b.damp(now)
	for _, s := range bad {
		if !s.damped && left > 0 && out[s.Zone] < budget(in[s.Zone]) {
			left, out[s.Zone], s.told = left-1, out[s.Zone]+1, healthFloor
		}
	}
}

// budget is how many of so many servers verdicts may take out.
func budget(ready int) int {
	if ready < 2 {
		return 0
	}
	return max(1, int(math.Floor(verdictPart*float64(ready))))
}
