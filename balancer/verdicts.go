package balancer

import (
	"cmp"
	"slices"
)

// What this copy calls bad when it tells others, and what the verdicts of others do to a server's weight.

const (
	recentDecay, longTermDecay = 2 * second / 5, 2 * second // evidence fades over this; that of trials over that

	zoneStatsTTL, trialStatsTTL = second, 4 * second // evidence on a zone is told so long after a call, or a trial

	serverReportTTL      = 5 * second // evidence on a server is told for so long after the latest call
	maxServerCalls       = 5.0        // evidence on a server is that of about its last so many calls
	unhealthyBadFraction = 0.5        // part of bad calls from which a server is called bad

	maxCallsPerReport  = 10.0      // calls of one copy count as no more than this
	maxEjectedFraction = 1.0 / 3.0 // of a tier's or a zone's ready servers: verdicts take out no more

	ownLinkMinServers, ownLinkBadFraction = 3, 0.6 // bad ones, over two zones, and their part of all: it is the link

	silentAfterMeans, minSilentAfter = 3.0, second / 10 // a call out for so many mean times, and so long, is bad

	minUnhealthyVotes, minBadCalls = 2, 3.0 // copies that must call a server bad, and the bad calls they saw
)

// causeOf is how an attempt that ended so counts as evidence on its server.
var faultOfStatus = [...]Fault{StatusOK: NoFault, StatusError: FaultErrors, StatusRejected: FaultSaturated, StatusTimedOut: FaultUnresponsive,
	StatusConnectFailed: FaultUnresponsive, StatusReset: FaultUnresponsive, StatusCancelled: FaultUnresponsive, StatusNotSent: FaultUnresponsive}

// zoneCause is how a cause counts for the zone: a server that turned a call away is there, and has no room.
var faultForZone = [...]Fault{FaultErrors: FaultErrors, FaultUnresponsive: FaultUnresponsive, FaultSlow: FaultSlow, FaultSaturated: NoFault}

// quiet tells whether a call is out for far longer than calls take. A time-out may come seconds later.
func (b *Balancer) quiet(now int64, class int, a *attempt) bool {
	return now-a.sentAt > max(minSilentAfter, int64(silentAfterMeans*b.classes[class].mean))
}

func (s *server) isUnhealthy() bool {
	return s.seen.badFraction() >= unhealthyBadFraction || s.whole.score < healthyScore && s.seen.lastBadAt > s.okAt
}

// says is what this copy says of a server, if anything: that it is bad, or healthy where others call it bad.
func (s *server) healthReport(now int64) (kind ReportKind, cause Fault, at int64, ok bool) {
	if s.isUnhealthy() {
		return ReportServerUnhealthy, s.seen.fault, s.seen.lastBadAt, true
	}
	return ReportServerHealthy, NoFault, s.okAt, s.verdict.unhealthyByPeers > 0 && now-s.okAt <= serverReportTTL
}

// lately is what this copy has lately seen of a zone, if anything, and for how long a server counts as tried.
func (z *zone) recentStats(now int64) (e callStats, ok bool, tried int64) {
	e, span, tried := z.fresh, zoneStatsTTL, zoneStatsTTL/2
	if z.Phase == ZoneEvacuated {
		e, span, tried = z.long, trialStatsTTL, trialStatsTTL
	}
	return e, e.seenWithin(now, span), tried
}

// sayOf says of a zone that it is bad if most calls are, at half of its servers. Leaving is not yet left.
func (b *Balancer) sayOf(z *zone, n *Report, e callStats, ok bool, t zoneSample) {
	n.Kind, n.Value = ReportZoneHealthy, max(z.WeightFraction, indicator(z.Phase == ZoneEvacuating))
	if ok && e.badFraction() >= zoneUnhealthyFraction && t.recentUnhealthy > 0 && 2*t.recentUnhealthy >= t.recent {
		n.Kind, n.Fault = ReportZoneUnhealthy, e.fault
	} else if z.Zone == b.s.Zone && b.spill > saturationSpillover {
		n.Fault = FaultSlow
	}
}

// ownLink tells whether what this copy sees is more likely a bad link of its own: then it condemns nobody.
func (b *Balancer) ownLink(now int64, t zoneSample) bool {
	for i := range b.zones {
		if e, ok, _ := b.zones[i].recentStats(now); ok && e.badFraction() < zoneUnhealthyFraction {
			return false
		}
	}
	return t.unhealthy >= ownLinkMinServers && t.unhealthyZones > 1 && float64(t.unhealthy) > ownLinkBadFraction*float64(t.servers)
}

// sameStart tells whether a notice is of the server's present process; its start is by another's clock.
func sameProcess(s *server, n Report) bool { return sameStartTime(s.StartTime, n.StartTime) }

func sameStartTime(x, y int64) bool { return max(x-y, y-x) < second }

// condemn leaves trials at most to servers that enough copies call bad, the worst first, within the budget.
// What this copy was answered since tells more. Silence is told of a way: only that of its own zone counts.
func (b *Balancer) condemn(now int64) {
	b.sumServers(now, func(n Report) bool { return n.Fault != FaultUnresponsive || n.ObserverZone == b.s.Zone }, maxCallsPerReport)
	var bad []*server
	in := map[int]int{}
	for _, s := range b.ready {
		v := &s.verdict
		s.told = 1
		in[s.Zone]++
		if v.unhealthyByPeers > 0 && v.unhealthy >= min(minUnhealthyVotes, b.peers.LiveReplicas-1) && v.unhealthy > v.healthy &&
			v.badCalls >= minBadCalls && s.okAt <= v.lastUnhealthyAt {
			bad = append(bad, s)
		}
	}
	slices.SortFunc(bad, func(x, y *server) int {
		return cmp.Or(cmp.Compare(y.verdict.badCalls, x.verdict.badCalls), cmp.Compare(x.ID, y.ID))
	})
	left, out := b.damp(now)
	for _, s := range bad {
		if !s.damped && left > 0 && out[s.Zone] < ejectionBudget(in[s.Zone]) {
			left, out[s.Zone], s.told = left-1, out[s.Zone]+1, minHealthScore
		}
	}
}

// longerDamped orders servers by which keep their steady share where the budget is short.
func byDampedSince(x, y *server) int {
	return cmp.Or(cmp.Compare(x.since, y.since), cmp.Compare(x.ID, y.ID))
}

// budget is how many of so many servers verdicts may take out: never the only one.
func ejectionBudget(ready int) int {
	return min(ready-1, max(1, int(maxEjectedFraction*float64(ready))))
}
