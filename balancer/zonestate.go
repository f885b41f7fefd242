package balancer

import "slices"

// zone is how another zone, or home, stands as seen from home.
type zone struct {
	ZoneState
	fresh, long callStats // this copy's own
	step        int       // of Returning
	flaps       int       // times that it was left lately
	left        int64     // when it was last left
	trial       int64     // when this copy may next try it
	loggedAt    int64     // when its last log line was written
	reports     zoneReports
}

// zone is the state of a zone, nil of one that the settings have not or before others were told or heard.
func (b *Balancer) zone(i int) *zone {
	if i < 0 || i >= len(b.zones) {
		return nil
	}
	return &b.zones[i]
}

// tellZone is what this copy tells of a zone, and whether it has evidence on it.
func (b *Balancer) tellZone(now int64, z *zone, t zoneSample) (n Report, ok bool) {
	e, ok, _ := z.recentStats(now)
	n = Report{ObserverZone: b.s.Zone, SubjectZone: z.Zone, LastObserved: now}
	if ok {
		n.Calls, n.BadFraction, n.LastObserved = e.calls, e.badFraction(), e.lastAt
	}
	b.sayOf(z, &n, e, ok, t)
	return n, ok
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

// lately is what this copy has lately seen of a zone, if anything, and for how long a server counts as tried.
func (z *zone) recentStats(now int64) (e callStats, ok bool, tried int64) {
	e, span, tried := z.fresh, zoneStatsTTL, zoneStatsTTL/2
	if z.Phase == ZoneEvacuated {
		e, span, tried = z.long, trialStatsTTL, trialStatsTTL
	}
	return e, e.seenWithin(now, span), tried
}

func (z *zone) acceptsTraffic() bool {
	return z.Phase != ZoneEvacuating && z.WeightFraction > 0 && z.reports.readyServers > 0
}

// state is the state of a zone with the evidence of all copies as of now.
func (z *zone) state() ZoneState {
	s := z.ZoneState
	s.Calls, s.BadFraction, s.ReportingReplicas, s.UnhealthyVotes = z.reports.calls, z.reports.badFraction(), z.reports.replicas, z.reports.unhealthyVotes
	return s
}

// stand puts a zone in a standing and tells on-call staff: of those that last a second or more each time, of
// the others at most once a second.
func (b *Balancer) stand(now int64, h Host, z *zone, to ZonePhase, share float64) {
	from := z.Phase
	z.Phase, z.WeightFraction, z.ChangedAt, z.Fault = to, share, now, z.reports.fault
	if from == to {
		return
	}
	z.Transitions++
	if from < ZoneEvacuated && to < ZoneEvacuated && now-z.loggedAt < second && z.loggedAt != 0 || to == ZoneEvacuating {
		return
	}
	z.loggedAt = now
	h.Log(ZonePhaseChanged{ObserverZone: b.s.Zone, State: z.state(), Previous: from})
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

func (z *zoneReports) badFraction() float64 { return z.bad / max(z.calls, 1e-9) }

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

// zoneCause is how a cause counts for the zone: a server that turned a call away is there, and has no room.
var faultForZone = [...]Fault{FaultErrors: FaultErrors, FaultUnresponsive: FaultUnresponsive, FaultSlow: FaultSlow, FaultSaturated: NoFault}
