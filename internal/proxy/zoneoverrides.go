package proxy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/management"
	"merlinpick/internal/override"
)

// zoneHands is what on-call staff did to zones, by name. All but named is the loop's.
type zoneOverrides struct {
	knownZones *override.NameSet // those of the settings and of lists
	namedCount int               // of zones when they were last named
	requested  map[string]bool   // to be out: the union of this proxy's own and the fleet's
	drained    map[string]bool   // those that are out: all of these, unless that left no zone with backends
	retained   string            // the one that is not, then
}

func newZoneOverrides(z zoneNumbers) zoneOverrides {
	h := zoneOverrides{knownZones: override.NewNameSet(), namedCount: len(z)}
	h.knownZones.Add(slices.Collect(maps.Keys(z))...)
	return h
}

// nameZones allows calls on zones that have turned up.
func (l *eventLoop) updateZoneNames() {
	if len(l.zoneNumbers) != l.zoneOverrides.namedCount {
		l.zoneOverrides.namedCount = len(l.zoneNumbers)
		l.zoneOverrides.knownZones.Add(slices.Collect(maps.Keys(l.zoneNumbers))...)
	}
	l.publishZones()
}

// drain has those zones out that are to be. A call that would leave no zone with backends is refused; but calls at two
// proxies, or a list, may lead there. Then the first of them by name stays in, the same at every proxy.
func (l *eventLoop) applyZoneDrains() {
	if len(l.zoneOverrides.requested)+len(l.zoneOverrides.drained) == 0 {
		return
	}
	out, kept := maps.Clone(l.zoneOverrides.requested), ""
	serving := slices.Sorted(maps.Keys(l.pool.servingZones()))
	if len(serving) > 0 && !slices.ContainsFunc(serving, func(z string) bool { return !out[z] }) {
		kept = serving[0]
		delete(out, kept)
	}
	if kept != l.zoneOverrides.retained && kept != "" {
		l.logger.Error("a drained zone stays in, as no other has nodos that serve; restore another", "zone", kept)
	}
	l.zoneOverrides.retained = kept
	if maps.Equal(out, l.zoneOverrides.drained) {
		return
	}
	l.logger.Info("zones drained", "zones", slices.Sorted(maps.Keys(out)))
	l.zoneOverrides.drained = out
	numbers := map[int]bool{}
	for zone := range out {
		numbers[l.zoneNumbers.number(zone)] = true
	}
	l.pool.setDrainedZones(out)
	l.balancer.SetDrainedZones(l.clock.now(), l, numbers)
	l.metrics.setServers(l.balancer.ServerCounts())
}

// lookZones shows how zones stand, and has those that were restored come back where nobody else moves them: without a
// fleet, or until its address is open.
func (l *eventLoop) sampleZones() {
	now := l.clock.now()
	returning := func(z balancer.ZoneState) bool { return z.Phase == balancer.ZoneRecovering }
	if slices.ContainsFunc(l.balancer.ZoneStates(now), returning) && (l.cluster == nil || !l.cluster.Metrics().Open) {
		l.balancer.HandlePeerReports(now, l, balancer.PeerReports{LiveReplicas: 1, LiveReplicasInZone: 1, Isolated: true})
	}
	l.publishZones()
}

func (l *eventLoop) publishZones() {
	if !l.managed {
		return
	}
	states := map[int]balancer.ZoneState{}
	for _, z := range l.balancer.ZoneStates(l.clock.now()) {
		states[z.Zone] = z
	}
	shown := zoneMetrics{exported: l.cluster != nil || len(l.zoneOverrides.requested) > 0, start: l.clock.start}
	for name, n := range l.zoneNumbers {
		if name == "" {
			continue
		}
		s, ok := states[n]
		if !ok {
			s.WeightFraction = 1
		}
		if l.zoneOverrides.drained[name] { // those that the settings do not have are no zones to the module
			s.Phase, s.WeightFraction = balancer.ZoneDrained, 0
		}
		z := management.Zone{Name: name, Phase: s.Phase, WeightFraction: s.WeightFraction, Transitions: s.Transitions, Reason: l.describeZone(name, s)}
		shown.zones = append(shown.zones, zoneMetric{z, l.clock.time(s.ChangedAt), s.ChangedAt != 0})
	}
	slices.SortFunc(shown.zones, func(x, y zoneMetric) int { return cmp.Compare(x.Name, y.Name) })
	l.metrics.setZones(shown)
}

// causes are the words of causes in what callers read.
var faultNames = [...]string{balancer.NoFault: "bad", balancer.FaultErrors: "failing", balancer.FaultUnresponsive: "silent", balancer.FaultSlow: "slow",
	balancer.FaultSaturated: "crowded"}

// zoneReason says why a zone stands as it does.
func (l *eventLoop) describeZone(name string, s balancer.ZoneState) string {
	switch {
	case l.zoneOverrides.drained[name]:
		return "drained by hand"
	case l.zoneOverrides.retained == name:
		return "drained by hand, but no other zone has nodos that serve"
	case s.Calls == 0:
		return ""
	}
	return fmt.Sprintf("%.0f%% of %.0f calls %s, %d of %d copies call it bad", 100*s.BadFraction, s.Calls, faultNames[s.Fault], s.UnhealthyVotes, s.ReportingReplicas)
}

// zonesShown is how zones stood when the loop last looked.
type zoneMetrics struct {
	exported bool // among the figures
	start    time.Time
	zones    []zoneMetric
}

type zoneMetric struct {
	management.Zone
	since   time.Time
	changed bool
}

func (s *zoneMetrics) current() []management.Zone {
	out := make([]management.Zone, 0, len(s.zones))
	for _, z := range s.zones {
		if !z.changed {
			z.since = s.start
		}
		z.Since = max(0, time.Since(z.since))
		out = append(out, z.Zone)
	}
	return out
}

func (f *metrics) setZones(s zoneMetrics) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones = s
}

// Zones tells how each zone stands, by name.
func (p *Proxy) Zones() []management.Zone {
	p.metrics.mu.Lock()
	defer p.metrics.mu.Unlock()
	return p.metrics.zones.current()
}

// Drain has a zone get nothing new until Restore, as Suspend does a server. Its errors are those of bans.Bans.Drain.
func (p *Proxy) DrainZone(zone string) error { return p.overrides.DrainZone(zone) }

// Restore has a zone come back by steps.
func (p *Proxy) RestoreZone(zone string) error { return p.overrides.RestoreZone(zone) }

// drain has these zones and no others get nothing: idle connections there are closed.
func (p *backendPool) setDrainedZones(zones map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainedZones = zones
	p.refilterLocked()
}

// sift finds out anew which backends get something. The caller has the lock.
func (p *backendPool) refilterLocked() {
	for name, b := range p.byName {
		if ready := b.serving && !p.suspended[name] && !p.drainedZones[b.zone]; ready != b.available {
			b.available = ready
			p.advanceGenerationLocked(b)
		}
	}
}

// servingZones are the zones with backends that serve by the list, drained or banned ones too.
func (p *backendPool) servingZones() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	zones := map[string]bool{}
	for _, b := range p.byName {
		if b.serving {
			zones[b.zone] = true
		}
	}
	return zones
}
