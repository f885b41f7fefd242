package proxy

import (
	"maps"
	"slices"

	"merlinpick/internal/override"
)

// overrideState holds the servers and zones that operators have taken out of service.
type overrideState struct {
	updates   <-chan override.Set // complete sets; nil without a management address
	suspended map[string]bool     // suspended servers, by name
	zones     zoneOverrides
}

// handleOverrides applies a set of overrides and acknowledges it.
func (l *eventLoop) handleOverrides(set override.Set) {
	l.applyOverrides(set.IDs)
	set.Acknowledge()
}

// applyOverrides makes the given servers and zones, and no others, receive no new requests.
func (l *eventLoop) applyOverrides(ids map[string]bool) {
	servers, zones := override.SplitZones(ids)
	if !maps.Equal(zones, l.overrides.zones.requested) {
		l.overrides.zones.requested = zones
		l.applyZoneDrains()
		l.publishZones()
	}
	if maps.Equal(servers, l.overrides.suspended) {
		return
	}
	l.logger.Info("suspended servers changed", "endpoints", slices.Sorted(maps.Keys(servers)))
	l.overrides.suspended = servers
	l.pool.SetSuspended(servers)
	l.balancer.SetSuspendedServers(servers)
	l.metrics.setServers(l.balancer.ServerCounts())
}

// SuspendServer stops new requests to a server, whatever the endpoint list says, until ResumeServer. It may
// be called on any process of this proxy, and returns once this process has applied the suspension. It
// returns the errors of override.Overrides.SuspendServer.
func (p *Proxy) SuspendServer(server string) error { return p.overrides.SuspendServer(server) }

// ResumeServer ends the suspension of a server. It returns the errors of override.Overrides.ResumeServer.
func (p *Proxy) ResumeServer(server string) error { return p.overrides.ResumeServer(server) }

// DrainZone stops new requests to the servers of a zone until RestoreZone. It returns the errors of
// override.Overrides.DrainZone.
func (p *Proxy) DrainZone(zone string) error { return p.overrides.DrainZone(zone) }

// RestoreZone ends the drain of a zone, whose share of requests then grows in steps. It returns the errors of
// override.Overrides.RestoreZone.
func (p *Proxy) RestoreZone(zone string) error { return p.overrides.RestoreZone(zone) }
