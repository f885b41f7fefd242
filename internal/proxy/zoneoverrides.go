package proxy

import (
	"maps"
	"slices"

	"merlinpick/balancer"
	"merlinpick/internal/override"
)

// zoneOverrides are the zones, by name, that operators have drained. All but knownZones is the loop's own.
type zoneOverrides struct {
	knownZones *override.NameSet // those of the settings and of lists
	knownCount int               // of zoneNumbers when knownZones was last updated
	requested  map[string]bool   // to be drained: the union of this proxy's overrides and the cluster's
	drained    map[string]bool   // requested, but for retained
	retained   string            // the zone that is not drained since no other has servers that serve; empty: none
}

func newZoneOverrides(numbers zoneNumbers) zoneOverrides {
	z := zoneOverrides{knownZones: override.NewNameSet(), knownCount: len(numbers)}
	z.knownZones.Add(slices.Collect(maps.Keys(numbers))...)
	return z
}

// updateZoneNames lets operators drain zones that have turned up.
func (l *eventLoop) updateZoneNames() {
	if len(l.zoneNumbers) != l.overrides.zones.knownCount {
		l.overrides.zones.knownCount = len(l.zoneNumbers)
		l.overrides.zones.knownZones.Add(slices.Collect(maps.Keys(l.zoneNumbers))...)
	}
	l.publishZones()
}

// applyZoneDrains drains the requested zones. A call that would leave no zone with servers is rejected, but calls at two
// proxies, or a list, may lead there: then the first zone by name is retained, the same at every proxy.
func (l *eventLoop) applyZoneDrains() {
	zones := &l.overrides.zones
	if len(zones.requested)+len(zones.drained) == 0 {
		return
	}
	drained, retained := maps.Clone(zones.requested), ""
	serving := slices.Sorted(maps.Keys(l.pool.ServingZones()))
	if len(serving) > 0 && !slices.ContainsFunc(serving, func(zone string) bool { return !drained[zone] }) {
		retained = serving[0]
		delete(drained, retained)
	}
	if retained != zones.retained && retained != "" {
		l.logger.Error("zone drain rejected: no other zone has serving endpoints, restore another", "zone", retained)
	}
	zones.retained = retained
	if maps.Equal(drained, zones.drained) {
		return
	}
	l.logger.Info("drained zones changed", "zones", slices.Sorted(maps.Keys(drained)))
	zones.drained = drained
	numbers := map[int]bool{}
	for zone := range drained {
		numbers[l.zoneNumbers.number(zone)] = true
	}
	l.pool.SetDrainedZones(drained)
	l.balancer.SetDrainedZones(l.clock.now(), l, numbers)
	l.metrics.setServers(l.balancer.ServerCounts())
}

// recoverRestoredZones has zones that operators restored go on with their recovery where no cluster does that: for a proxy on
// its own, or until the cluster's address is open.
func (l *eventLoop) recoverRestoredZones() {
	now := l.clock.now()
	recovering := func(z balancer.ZoneState) bool { return z.Phase == balancer.ZoneRecovering }
	if slices.ContainsFunc(l.balancer.ZoneStates(now), recovering) && (l.cluster == nil || !l.cluster.Metrics().Open) {
		l.balancer.HandlePeerReports(now, l, balancer.PeerReports{LiveReplicas: 1, LiveReplicasInZone: 1, Isolated: true})
	}
}
