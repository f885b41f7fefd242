package proxy

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/management"
)

// faultNames maps the faults of a zone to their names in the management API.
var faultNames = [...]string{balancer.NoFault: "bad", balancer.FaultErrors: "failing", balancer.FaultUnresponsive: "silent",
	balancer.FaultSlow: "slow", balancer.FaultSaturated: "crowded"}

// zoneMetrics holds the state of all zones when the loop last sampled them.
type zoneMetrics struct {
	exported bool // the zones are included in the metrics
	start    time.Time
	zones    []zoneMetric
}

// zoneMetric holds the state of one zone, and when its phase last changed.
type zoneMetric struct {
	management.Zone
	changedAt time.Time
	changed   bool // the phase has changed since the start; otherwise changedAt is not valid
}

// publishZones samples the zones for the management API.
func (l *eventLoop) publishZones() {
	if !l.managed {
		return
	}
	states := map[int]balancer.ZoneState{}
	for _, z := range l.balancer.ZoneStates(l.clock.now()) {
		states[z.Zone] = z
	}
	sampled := zoneMetrics{exported: l.cluster != nil || len(l.overrides.zones.requested) > 0, start: l.clock.start}
	for name, number := range l.zoneNumbers {
		if name == "" {
			continue
		}
		state, ok := states[number]
		if !ok {
			state.WeightFraction = 1
		}
		if l.overrides.zones.drained[name] { // the balancer does not know zones that are not in the settings
			state.Phase, state.WeightFraction = balancer.ZoneDrained, 0
		}
		sampled.zones = append(sampled.zones, zoneMetric{
			Zone: management.Zone{Name: name, Phase: state.Phase, WeightFraction: state.WeightFraction,
				Transitions: state.Transitions, Reason: l.zoneReason(name, state)},
			changedAt: l.clock.time(state.ChangedAt), changed: state.ChangedAt != 0,
		})
	}
	slices.SortFunc(sampled.zones, func(x, y zoneMetric) int { return cmp.Compare(x.Name, y.Name) })
	l.metrics.setZones(sampled)
}

// zoneReason returns why a zone is in its phase, as the management API shows it.
func (l *eventLoop) zoneReason(name string, s balancer.ZoneState) string {
	switch {
	case l.overrides.zones.drained[name]:
		return "drained by hand"
	case l.overrides.zones.retained == name:
		return "drained by hand, but no other zone has nodos that serve"
	case s.Calls == 0:
		return ""
	}
	return fmt.Sprintf("%.0f%% of %.0f calls %s, %d of %d copies call it bad",
		100*s.BadFraction, s.Calls, faultNames[s.Fault], s.UnhealthyVotes, s.ReportingReplicas)
}

// current returns the sampled zones, each with how long it has been in its phase.
func (m *zoneMetrics) current() []management.Zone {
	zones := make([]management.Zone, 0, len(m.zones))
	for _, z := range m.zones {
		if !z.changed {
			z.changedAt = m.start
		}
		z.Since = max(0, time.Since(z.changedAt))
		zones = append(zones, z.Zone)
	}
	return zones
}

// Zones returns the zones as the loop last sampled them, sorted by name; none without a management address.
func (p *Proxy) Zones() []management.Zone {
	p.metrics.mu.Lock()
	defer p.metrics.mu.Unlock()
	return p.metrics.zones.current()
}
