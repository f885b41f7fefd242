package proxy

import (
	"maps"
	"slices"

	"merlinpick/balancer"
	"merlinpick/internal/override"
)

// zoneOverrides holds the zones, by name, that operators have drained. Only the loop uses it, except for
// knownZones.
type zoneOverrides struct {
	knownZones *override.NameSet // zones that the settings or a list have named
	knownCount int               // size of zoneNumbers when knownZones was last updated
	requested  map[string]bool   // zones to drain: the union of this proxy's overrides and the cluster's
	drained    map[string]bool   // requested without retained
	// retained is a requested zone that is not drained, as no other zone has serving servers; or empty.
	retained string
}

// newZoneOverrides returns overrides that drain no zone and know the given zones.
func newZoneOverrides(numbers zoneNumbers) zoneOverrides {
	z := zoneOverrides{knownZones: override.NewNameSet(), knownCount: len(numbers)}
	z.knownZones.Add(slices.Collect(maps.Keys(numbers))...)
	return z
}

// updateZoneNames adds newly seen zones to those that operators can drain.
func (l *eventLoop) updateZoneNames() {
	if len(l.zoneNumbers) != l.overrides.zones.knownCount {
		l.overrides.zones.knownCount = len(l.zoneNumbers)
		l.overrides.zones.knownZones.Add(slices.Collect(maps.Keys(l.zoneNumbers))...)
	}
	l.publishZones()
}

// applyZoneDrains drains the requested zones. A call that would leave no zone with serving servers is
// rejected, but calls at two proxies, or a new list, can still lead to that state. Then the first such zone
// by name is not drained; every proxy picks the same one.
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
		l.logger.Error("zone not drained: no other zone has serving endpoints; restore another zone first",
			"zone", retained)
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

// recoverRestoredZones continues the recovery of zones that operators have restored while no cluster reports
// arrive to drive it: in a proxy without a cluster, or until the cluster's address is open.
func (l *eventLoop) recoverRestoredZones() {
	now := l.clock.now()
	recovering := func(z balancer.ZoneState) bool { return z.Phase == balancer.ZoneRecovering }
	if slices.ContainsFunc(l.balancer.ZoneStates(now), recovering) && (l.cluster == nil || !l.cluster.Metrics().Open) {
		l.balancer.HandlePeerReports(now, l, balancer.PeerReports{LiveReplicas: 1, LiveReplicasInZone: 1, Isolated: true})
	}
}
