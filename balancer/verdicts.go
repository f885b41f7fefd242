package balancer

import (
	"cmp"
	"slices"
)

// What this copy calls bad when it tells others, and what the verdicts of others do to a server's weight.

const (
	freshSpan, trialSpan = 2 * second / 5, 2 * second // evidence fades over this; that of trials over that

	zoneFresh, trialFresh = second, 4 * second // evidence on a zone is told so long after a call, or a trial

	serverFresh = 5 * second // evidence on a server is told for so long after the latest call
	serverCalls = 5.0        // evidence on a server is that of about its last so many calls
	badServer   = 0.5        // part of bad calls from which a server is called bad

	verdictMost = 10.0      // calls of one copy count as no more than this
	verdictPart = 1.0 / 3.0 // of a tier's or a zone's ready servers: verdicts take out no more

	linkServers, linkPart = 3, 0.6 // bad ones, over two zones, and their part of all: it is the link

	quietMeans, quietLeast = 3.0, second / 10 // a call out for so many mean times, and so long, is bad

	verdictOthers, verdictCalls = 2, 3.0 // copies that must call a server bad, and the bad calls they saw
)

// causeOf is how an attempt that ended so counts as evidence on its server.
var causeOf = [...]Fault{StatusOK: NoFault, StatusError: FaultErrors, StatusRejected: FaultSaturated, StatusTimedOut: FaultUnresponsive,
	StatusConnectFailed: FaultUnresponsive, StatusReset: FaultUnresponsive, StatusCancelled: FaultUnresponsive, StatusNotSent: FaultUnresponsive}

// zoneCause is how a cause counts for the zone: a server that turned a call away is there, and has no room.
var zoneCause = [...]Fault{FaultErrors: FaultErrors, FaultUnresponsive: FaultUnresponsive, FaultSlow: FaultSlow, FaultSaturated: NoFault}

// quiet tells whether a call is out for far longer than calls take. A time-out may come seconds later.
func (b *Balancer) quiet(now int64, class int, a *attempt) bool {
	return now-a.sent > max(quietLeast, int64(quietMeans*b.classes[class].mean))
}

func (s *server) callsBad() bool {
	return s.seen.part() >= badServer || s.whole.left < healthyPart && s.seen.badAt > s.okAt
}

// says is what this copy says of a server, if anything: that it is bad, or healthy where others call it bad.
func (s *server) says(now int64) (kind ReportKind, cause Fault, at int64, ok bool) {
	if s.callsBad() {
		return ReportServerUnhealthy, s.seen.cause, s.seen.badAt, true
	}
	return ReportServerHealthy, NoFault, s.okAt, s.verdict.others > 0 && now-s.okAt <= serverFresh
}

// lately is what this copy has lately seen of a zone, if anything, and for how long a server counts as tried.
func (z *zone) lately(now int64) (e evidence, ok bool, tried int64) {
	e, span, tried := z.fresh, zoneFresh, zoneFresh/2
	if z.Phase == ZoneEvacuated {
		e, span, tried = z.long, trialFresh, trialFresh
	}
	return e, e.since(now, span), tried
}

// sayOf says of a zone that it is bad if most calls are, at half of its servers. Leaving is not yet left.
func (b *Balancer) sayOf(z *zone, n *Report, e evidence, ok bool, t tried) {
	n.Kind, n.Value = ReportZoneHealthy, max(z.WeightFraction, partOf(z.Phase == ZoneEvacuating))
	if ok && e.part() >= zoneBad && t.lateBad > 0 && 2*t.lateBad >= t.late {
		n.Kind, n.Fault = ReportZoneUnhealthy, e.cause
	} else if z.Zone == b.s.Zone && b.spill > pressBar {
		n.Fault = FaultSlow
	}
}

// ownLink tells whether what this copy sees is more likely a bad link of its own: then it condemns nobody.
func (b *Balancer) ownLink(now int64, t tried) bool {
	for i := range b.zones {
		if e, ok, _ := b.zones[i].lately(now); ok && e.part() < zoneBad {
			return false
		}
	}
	return t.bad >= linkServers && t.badZones > 1 && float64(t.bad) > linkPart*float64(t.all)
}

// sameStart tells whether a notice is of the server's present process; its start is by another's clock.
func sameStart(s *server, n Report) bool { return sameTime(s.StartTime, n.StartTime) }

func sameTime(x, y int64) bool { return max(x-y, y-x) < second }

// condemn leaves trials at most to servers that enough copies call bad, the worst first, within the budget.
// What this copy was answered since tells more. Silence is told of a way: only that of its own zone counts.
func (b *Balancer) condemn(now int64) {
	b.sumServers(now, func(n Report) bool { return n.Fault != FaultUnresponsive || n.ObserverZone == b.s.Zone }, verdictMost)
	var bad []*server
	in := map[int]int{}
	for _, s := range b.ready {
		v := &s.verdict
		s.told = 1
		in[s.Zone]++
		if v.others > 0 && v.bad >= min(verdictOthers, b.peers.LiveReplicas-1) && v.bad > v.healthy &&
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

// longerDamped orders servers by which keep their steady share where the budget is short.
func longerDamped(x, y *server) int {
	return cmp.Or(cmp.Compare(x.since, y.since), cmp.Compare(x.ID, y.ID))
}

// budget is how many of so many servers verdicts may take out: never the only one.
func budget(ready int) int { return min(ready-1, max(1, int(verdictPart*float64(ready)))) }
