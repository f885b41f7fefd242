package balancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// The data that verdicts and zones are decided by: what this copy saw and tells, the sum of what all tell,
// and how zones stand. What here decides, or why it does not: docs/policy.md.

// evidence counts calls and how many of them were bad. Both fade, with time and with each further call, so
// that the part is that of the latest: it must also tell of a zone that calls have begun to avoid.
type callStats struct {
	calls, bad float64 // as of last
	lastAt     int64
	fault      Fault // of the latest that was bad
	lastBadAt  int64 // when that was
}

// add takes the end of a call: NoCause for one that was answered.
func (e *callStats) record(now, span int64, most float64, cause Fault) {
	keep := math.Exp(-float64(now-e.lastAt) / float64(span))
	keep *= min(1, (most-1)/max(keep*e.calls, 1))
	e.calls, e.bad, e.lastAt = e.calls*keep+1, e.bad*keep, now
	if cause != NoFault {
		e.bad, e.fault, e.lastBadAt = e.bad+1, cause, now
	}
}

// amend takes back that a call was bad: it was answered after all.
func (e *callStats) retractBad() { e.bad = max(0, e.bad-1) }

// since tells whether the latest call was no longer ago than span.
func (e *callStats) seenWithin(now, span int64) bool { return e.lastAt != 0 && now-e.lastAt <= span }

func (e *callStats) badFraction() float64 { return e.bad / max(e.calls, 1e-9) }

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

// Drain has these zones and no others suspended by hand: their servers get nothing, not even trials. One that
// is restored is returned to by steps.
func (b *Balancer) SetDrainedZones(now int64, h Host, zones map[int]bool) {
	was := b.drained
	if len(zones) > 0 || len(was) > 0 {
		b.open() // before they are out, so that going out is a change
	}
	b.drained = zones
	b.relist()
	for i := range b.zones {
		if z := &b.zones[i]; zones[i] && !was[i] {
			b.stand(now, h, z, ZoneDrained, 0)
		} else if was[i] && !zones[i] {
			b.returnTo(now, h, z, 0)
		}
	}
	b.relist()
}

// byRank orders the ready servers by their rank.
func (b *Balancer) byRank() {
	slices.SortStableFunc(b.ready, func(x, y *server) int { return b.rank(x) - b.rank(y) })
	b.near, b.far = 0, 0
	for _, s := range b.ready {
		b.near += int(indicator(b.rank(s) == 0))
		b.far += int(indicator(b.rank(s) < 2))
	}
}

// readyIn are the ready servers of a zone.
func (b *Balancer) readyIn(z *zone) (of []*server) {
	for _, s := range b.ready {
		if s.Zone == z.Zone {
			of = append(of, s)
		}
	}
	return of
}

// openBeside tells whether there is a zone to go to instead of another.
func (b *Balancer) openBeside(z *zone) (open bool) {
	for i := range b.zones {
		open = open || &b.zones[i] != z && b.zones[i].acceptsTraffic()
	}
	return open
}

// badBeside is the part of bad calls in the zones that could be gone to instead; 0 if nobody calls them.
func (b *Balancer) badBeside(z *zone) float64 {
	var sum zoneReports
	for i := range b.zones {
		if o := &b.zones[i]; o != z && o.acceptsTraffic() {
			sum.calls, sum.bad = sum.calls+o.reports.calls, sum.bad+o.reports.bad
		}
	}
	return sum.badFraction()
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

// ZoneStates tells how each zone stands, in the order of their numbers; nothing before others were told or
// heard.
func (b *Balancer) ZoneStates(now int64) []ZoneState {
	var out []ZoneState
	for i := range b.zones {
		out = append(out, b.zones[i].state())
	}
	return out
}

// state is the state of a zone with the evidence of all copies as of now.
func (z *zone) state() ZoneState {
	s := z.ZoneState
	s.Calls, s.BadFraction, s.ReportingReplicas, s.UnhealthyVotes = z.reports.calls, z.reports.badFraction(), z.reports.replicas, z.reports.unhealthyVotes
	return s
}

// Condemned are the ready servers that get trials at most by the word of others.
func (b *Balancer) EjectedServers() (ids []string) {
	for _, s := range b.ready {
		if s.told < healthyScore {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// String names a standing for log lines and figures, by the words of docs/fleet.md.
func (s ZonePhase) String() string {
	names := []string{"well", "pressed", "leaving", "away", "returning", "drained"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("standing %d", int(s))
	}
	return names[s]
}

// String names a cause for log lines and figures.
func (c Fault) String() string {
	names := []string{"bad", "failing", "silent", "slow", "crowded"}
	if c < 0 || int(c) >= len(names) {
		return fmt.Sprintf("cause %d", int(c))
	}
	return names[c]
}
