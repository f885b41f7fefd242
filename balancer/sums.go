package balancer

import "slices"

// The sum of what all copies tell. What here decides, or why it does not: docs/policy.md.

// verdict is what copies say of a server: how many call it bad or healthy, on what evidence and when.
type verdict struct {
	bad, healthy int
	others       int // of bad
	calls        float64
	at           int64
}

// zoneSum is the evidence of all copies of this zone on another.
type zoneSum struct {
	calls, bad float64
	say, against,
	slow int // copies with evidence, those of them that call it bad, and those that find it slow
	cause   Fault
	servers int       // ready servers of it that a copy of this zone calls bad
	ready   int       // its ready servers
	shares  []float64 // what each of the other copies gives it
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
		s.verdict = verdict{}
	}
	for n := range b.notices {
		s := b.byID[n.Server]
		if n.Kind != ReportServerUnhealthy && n.Kind != ReportServerHealthy || s == nil || !sameStart(s, n) || !counts(n) {
			continue
		}
		v := &s.verdict
		if n.Kind == ReportServerHealthy {
			v.healthy++
			continue
		}
		v.bad++
		v.others += int(partOf(n.Observer != ""))
		v.calls += within(n.Calls, most) * within(n.BadFraction, 1)
		v.at = max(v.at, min(n.LastObserved, now))
	}
}

// sumZones gathers the evidence of the copies of this zone on each zone.
func (b *Balancer) sumZones(least, most float64) {
	bad := map[string]bool{}
	for i := range b.zones {
		b.zones[i].sum = zoneSum{}
	}
	for _, s := range b.ready {
		if z := b.zone(s.Zone); z != nil {
			z.sum.ready++
		}
	}
	for n := range b.notices {
		if n.ObserverZone != b.s.Zone {
			continue
		}
		if s := b.byID[n.Server]; n.Kind == ReportServerUnhealthy && s != nil && s.State == ServerReady && sameStart(s, n) {
			if z := b.zone(s.Zone); z != nil && !bad[n.Server] {
				bad[n.Server] = true
				z.sum.servers++
			}
		}
		of := b.zone(n.SubjectZone)
		if n.Kind != ReportZoneUnhealthy && n.Kind != ReportZoneHealthy || of == nil {
			continue
		}
		z := &of.sum
		if n.Observer != "" {
			z.shares = append(z.shares, within(n.Value, 1))
		}
		calls := within(n.Calls, most)
		if calls < least {
			continue
		}
		z.calls, z.bad, z.say = z.calls+calls, z.bad+calls*within(n.BadFraction, 1), z.say+1
		if n.Kind == ReportZoneUnhealthy {
			z.against++
			z.cause = max(z.cause, n.Fault)
		} else if n.Fault == FaultSlow {
			z.slow++
		}
	}
	for i := range b.zones {
		slices.Sort(b.zones[i].sum.shares)
	}
}

// within is a number that others told, kept between 0 and most.
func within(x, most float64) float64 {
	if !(x >= 0) {
		return 0
	}
	return min(x, most)
}

func (z *zoneSum) part() float64 { return z.bad / max(z.calls, 1e-9) }
