package proxy

import (
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/override"
)

// endpointList holds what the event loop has learned from discovery.
type endpointList struct {
	updates    <-chan discovery.Update
	status     *listStatus
	startTimes startTimes
	// knownServers holds every server that a list has named, including lists of the predecessor process.
	knownServers *override.NameSet
	available    chan struct{} // closed once there is a list
	synced       chan struct{} // closed once discovery has sent a list
}

// handleListUpdate applies an update from discovery.
func (l *eventLoop) handleListUpdate(update discovery.Update) {
	l.list.status.markSynced(time.Now(), update.List)
	kind := balancer.UpdateDelta
	if update.List.Snapshot {
		kind = balancer.UpdateSnapshot
	}
	l.applyList(kind, update.List)
	l.reportUnsent()
	closeOnce(l.list.synced)
}

// applyList applies a complete list or a delta, first to the connection pool and then to the balancer: idle
// connections to a draining server are closed before the balancer can choose that server again.
func (l *eventLoop) applyList(kind balancer.UpdateKind, list *discovery.List) {
	l.list.knownServers.Add(endpointNames(list)...)
	l.pool.UpdateEndpoints(kind != balancer.UpdateDelta, list.Endpoints)
	l.applyZoneDrains() // before the balancer learns of new servers
	now, wall := l.clock.now(), time.Now()
	startOf := func(e discovery.Endpoint) int64 {
		started := l.list.startTimes.startOf(e, now, wall)
		if e.Status == discovery.StatusDeleted {
			delete(l.list.startTimes, e.Name)
		}
		return started
	}
	l.balancer.UpdateEndpoints(now, l, kind, l.zoneNumbers.toServers(list.Endpoints, startOf))
	if kind != balancer.UpdateDelta {
		l.list.startTimes.retainListed(list.Endpoints)
	}
	l.updateZoneNames()
	l.metrics.setServers(l.balancer.ServerCounts())
	if kind == balancer.UpdateSnapshot || len(list.Endpoints) > 0 {
		closeOnce(l.list.available)
	}
}

// endpointNames returns the names of all endpoints in a list.
func endpointNames(list *discovery.List) []string {
	names := make([]string, 0, len(list.Endpoints))
	for _, e := range list.Endpoints {
		names = append(names, e.Name)
	}
	return names
}

// closeOnce closes a channel unless it is closed already. Only one goroutine may close the channel.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}
