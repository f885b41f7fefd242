package balancer

import "slices"

// The sum of what all copies tell. What here decides, or why it does not: docs/policy.md.

// verdict is what copies say of a server: how many call it bad or healthy, on what evidence and when.
type serverReports struct {
	unhealthy, healthy int
	unhealthyByPeers   int // of bad
	badCalls           float64
	lastUnhealthyAt    int64
}

// zoneSum is the evidence of all copies of this zone on another.
type zoneReports struct {
	calls, bad float64
	replicas, unhealthyVotes,
	saturatedVotes int // copies with evidence, those of them that call it bad, and those that find it slow
	fault            Fault
	unhealthyServers int       // ready servers of it that a copy of this zone calls bad
	readyServers     int       // its ready servers
	peerFractions    []float64 // what each of the other copies gives it
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

// sumServers gathers the verdicts of all copies on each server.
func (b *Balancer) sumServers(now int64, counts func(Report) bool, most float64) {
	for _, s := range b.all {
		s.verdict = serverReports{}
	}
	for n := range b.notices {
		s := b.byID[n.Server]
		if n.Kind != ReportServerUnhealthy && n.Kind != ReportServerHealthy || s == nil || !sameProcess(s, n) || !counts(n) {
			continue
		}
		v := &s.verdict
		if n.Kind == ReportServerHealthy {
			v.healthy++
			continue
		}
		v.unhealthy++
		v.unhealthyByPeers += int(indicator(n.Observer != ""))
		v.badCalls += bounded(n.Calls, most) * bounded(n.BadFraction, 1)
		v.lastUnhealthyAt = max(v.lastUnhealthyAt, min(n.LastObserved, now))
	}
}

// sumZones gathers the evidence of the copies of this zone on each zone.
func (b *Balancer) sumZones(least, most float64) {
	bad := map[string]bool{}
	for i := range b.zones {
		b.zones[i].reports = zoneReports{}
	}
	for _, s := range b.ready {
		if z := b.zone(s.Zone); z != nil {
			z.reports.readyServers++
		}
	}
	for n := range b.notices {
		if n.ObserverZone != b.s.Zone {
			continue
		}
		if s := b.byID[n.Server]; n.Kind == ReportServerUnhealthy && s != nil && s.State == ServerReady && sameProcess(s, n) {
			if z := b.zone(s.Zone); z != nil && !bad[n.Server] {
				bad[n.Server] = true
				z.reports.unhealthyServers++
			}
		}
		of := b.zone(n.SubjectZone)
		if n.Kind != ReportZoneUnhealthy && n.Kind != ReportZoneHealthy || of == nil {
			continue
		}
		z := &of.reports
		if n.Observer != "" {
			z.peerFractions = append(z.peerFractions, bounded(n.Value, 1))
		}
		calls := bounded(n.Calls, most)
		if calls < least {
			continue
		}
		z.calls, z.bad, z.replicas = z.calls+calls, z.bad+calls*bounded(n.BadFraction, 1), z.replicas+1
		if n.Kind == ReportZoneUnhealthy {
			z.unhealthyVotes++
			z.fault = max(z.fault, n.Fault)
		} else if n.Fault == FaultSlow {
			z.saturatedVotes++
		}
	}
	for i := range b.zones {
		slices.Sort(b.zones[i].reports.peerFractions)
	}
}

// within is a number that others told, kept between 0 and most.
func bounded(x, most float64) float64 {
	if !(x >= 0) {
		return 0
	}
	return min(x, most)
}

func (z *zoneReports) badFraction() float64 { return z.bad / max(z.calls, 1e-9) }
