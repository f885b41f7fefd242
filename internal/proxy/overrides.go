package proxy

import (
	"maps"
	"slices"

	"merlinpick/internal/override"
)

// overrideState is what operators have taken out.
type overrideState struct {
	updates   <-chan override.Set // whole sets; nil without a management address
	suspended map[string]bool     // servers by name
	zones     zoneOverrides
}

// handleOverrides puts a set in force and acknowledges it.
func (l *eventLoop) handleOverrides(set override.Set) {
	l.applyOverrides(set.IDs)
	set.Acknowledge()
}

// applyOverrides has these servers and zones, and no others, get nothing new.
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

// SuspendServer has a server get nothing new, whatever the list says, until ResumeServer. Any process of this proxy may be
// called. It returns once this process acts on it; its errors are those of override.Overrides.SuspendServer.
func (p *Proxy) SuspendServer(server string) error { return p.overrides.SuspendServer(server) }

// ResumeServer ends the suspension of a server. Its errors are those of override.Overrides.ResumeServer.
func (p *Proxy) ResumeServer(server string) error { return p.overrides.ResumeServer(server) }

// DrainZone has a zone get nothing new until RestoreZone, as SuspendServer does a server. Its errors are those of
// override.Overrides.DrainZone.
func (p *Proxy) DrainZone(zone string) error { return p.overrides.DrainZone(zone) }

// RestoreZone has a zone come back by steps. Its errors are those of override.Overrides.RestoreZone.
func (p *Proxy) RestoreZone(zone string) error { return p.overrides.RestoreZone(zone) }
