package balancer

import (
	"cmp"
	"slices"
)

// The data that verdicts and zones are decided by: what this copy saw and tells, the sum of what all tell,
// and how zones stand. What here decides, or why it does not: docs/policy.md.

// open opens the books that are needed to tell others and to hear them.
func (b *Balancer) open() {
	if len(b.zones) == b.s.ZoneCount {
		return
	}
	b.zones = make([]zone, b.s.ZoneCount)
	for i := range b.zones {
		b.zones[i].ZoneState = ZoneState{Zone: i, WeightFraction: 1}
		if b.drained[i] {
			b.zones[i].Phase, b.zones[i].WeightFraction = ZoneDrained, 0
		}
	}
	b.relist()
}

// note takes the end of an attempt as evidence on its server and zone.
func (b *Balancer) note(now int64, a *attempt, cause Fault) {
	z := cmp.Or(b.zone(a.zone), &zone{})
	if cause == NoFault {
		a.server.okAt = now
	}
	if a.quiet && cause == NoFault {
		a.server.seen.retractBad()
		z.fresh.retractBad()
		z.long.retractBad()
	}
	if a.quiet {
		return
	}
	a.server.seen.record(now, recentDecay, maxServerCalls, cause)
	z.fresh.record(now, recentDecay, maxZoneCalls, faultForZone[cause])
	z.long.record(now, longTermDecay, maxZoneCalls, faultForZone[cause])
}

// listen notes calls that are out for too long.
func (b *Balancer) listen(now int64) {
	for _, q := range b.reqs {
		for _, a := range q.attempts {
			if a.pending && a.counted && !a.responseStarted && !a.quiet && b.quiet(now, q.Class, a) {
				b.note(now, a, FaultUnresponsive)
				a.quiet = true
			}
		}
	}
}

// tried counts the servers that this copy tried, and those of them that it tried very lately.
type zoneSample struct{ servers, unhealthy, unhealthyZones, recent, recentUnhealthy int }

// Seen is what this copy tells others now; what is not said again is taken back. It is also what this copy
// itself goes by, as the others do.
func (b *Balancer) Reports(now int64) []Report {
	b.open()
	b.listen(now)
	b.tells = nil
	var sum zoneSample
	of := map[int]zoneSample{}
	for _, s := range b.all {
		if s.State != ServerReady || !s.seen.seenWithin(now, serverReportTTL) {
			continue
		}
		t := of[s.Zone]
		_, _, span := cmp.Or(b.zone(s.Zone), &zone{}).recentStats(now)
		late := int(indicator(s.seen.seenWithin(now, span)))
		t.servers, t.recent = t.servers+1, t.recent+late
		b.detectFlap(now, s)
		n := Report{ObserverZone: b.s.Zone, Server: s.ID, StartTime: s.StartTime, Calls: s.seen.calls,
			BadFraction: s.seen.badFraction()}
		says := false
		if n.Kind, n.Fault, n.LastObserved, says = s.healthReport(now); says {
			b.tells = append(b.tells, n)
		}
		if n.Kind == ReportServerUnhealthy {
			t.unhealthy, t.recentUnhealthy = t.unhealthy+1, t.recentUnhealthy+late
		}
		of[s.Zone] = t
	}
	for i := range b.zones {
		if n, ok := b.tellZone(now, &b.zones[i], of[i]); ok || b.zones[i].Transitions > 0 {
			b.tells = append(b.tells, n)
		}
	}
	for _, t := range of {
		sum.servers, sum.unhealthy, sum.unhealthyZones = sum.servers+t.servers, sum.unhealthy+t.unhealthy, sum.unhealthyZones+int(indicator(t.unhealthy > 0))
	}
	b.tells = append(append(b.tells, b.tellFlaps(now)...), b.tellLoads(now)...)
	if b.ownLink(now, sum) {
		b.tells = nil
	}
	return slices.Clone(b.tells)
}

// Peers takes what others tell now.
func (b *Balancer) HandlePeerReports(now int64, h Host, p PeerReports) {
	b.open()
	if p.LiveReplicasInZone = max(p.LiveReplicasInZone, 1); p.Isolated {
		p.Reports, p.LiveReplicasInZone = nil, max(p.LiveReplicasInZone, b.peers.LiveReplicasInZone)
	}
	b.peers = p
	b.condemn(now)
	b.reportDamped(now, h)
	b.tune(now)
	b.sumZones(minZoneCalls, maxZoneCalls)
	changed := false
	for i := range b.zones {
		z := &b.zones[i]
		was := z.Phase
		b.lookAt(now, h, z)
		changed = changed || (was == ZoneEvacuated) != (z.Phase == ZoneEvacuated)
	}
	if changed {
		b.relist()
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

// notices are those of others and this copy's own, that those that hear each other decide by the same.
func (b *Balancer) notices(yield func(Report) bool) {
	for _, list := range [][]Report{b.tells, b.peers.Reports} {
		for _, n := range list {
			if !yield(n) {
				return
			}
		}
	}
}

// sameStart tells whether a notice is of the server's present process; its start is by another's clock.
func sameProcess(s *server, n Report) bool { return sameStartTime(s.StartTime, n.StartTime) }

func sameStartTime(x, y int64) bool { return max(x-y, y-x) < second }

// within is a number that others told, kept between 0 and most.
func bounded(x, most float64) float64 {
	if !(x >= 0) {
		return 0
	}
	return min(x, most)
}
