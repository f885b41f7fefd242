package proxy

import (
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/override"
)

// endpointList is what the loop knows from discovery.
type endpointList struct {
	updates      <-chan discovery.Update
	status       *listStatus
	startTimes   startTimes
	knownServers *override.NameSet // all that lists have named, also those of the predecessor process
	available    chan struct{}     // closed once there is a list
	synced       chan struct{}     // closed once there is one from discovery
}

// handleListUpdate applies what discovery answered.
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

// applyList applies a list, or the changes of one, to the connections first and then to the balancer: idle connections to
// a server that drains are closed before anything could be decided on them.
func (l *eventLoop) applyList(kind balancer.UpdateKind, list *discovery.List) {
	l.list.knownServers.Add(endpointNames(list)...)
	l.pool.UpdateEndpoints(kind != balancer.UpdateDelta, list.Endpoints)
	l.applyZoneDrains() // before the balancer knows the servers that are new
	now, wall := l.clock.now(), time.Now()
	startOf := func(e discovery.Endpoint) int64 {
		moment := l.list.startTimes.startOf(e, now, wall)
		if e.Status == discovery.StatusDeleted {
			delete(l.list.startTimes, e.Name)
		}
		return moment
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

func endpointNames(list *discovery.List) []string {
	names := make([]string, 0, len(list.Endpoints))
	for _, e := range list.Endpoints {
		names = append(names, e.Name)
	}
	return names
}

// closeOnce closes a channel that only the caller's goroutine closes, unless it is closed.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}
