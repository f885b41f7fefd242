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

	held    heldList // for other processes of this proxy; empty without a management address
	changed func()   // tells them that discovery has changed the list; nil without a management address
}

// heldList is the complete list that requests are routed by.
type heldList struct {
	source         discovery.Source
	epoch          string
	version        int64
	highestVersion int64                         // see discovery.HeldList
	endpoints      map[string]discovery.Endpoint // by name; nil: no list yet
}

// apply applies a complete list or a delta.
func (h *heldList) apply(kind balancer.UpdateKind, update discovery.Update) {
	list := update.List
	if kind != balancer.UpdateDelta || h.endpoints == nil {
		h.endpoints = make(map[string]discovery.Endpoint, len(list.Endpoints))
	}
	list.ApplyTo(h.endpoints)
	if !update.Source.Equal(h.source) || list.Epoch != h.epoch {
		h.highestVersion = 0
	}
	h.highestVersion = max(h.highestVersion, update.HighestVersion, list.Version)
	h.source, h.epoch, h.version = update.Source, list.Epoch, list.Version
}

// export returns a copy of the list, or nil if there is none.
func (h *heldList) export() *discovery.HeldList {
	if h.endpoints == nil {
		return nil
	}
	list := &discovery.List{Version: h.version, Snapshot: true, Epoch: h.epoch, Endpoints: discovery.SortedEndpoints(h.endpoints)}
	return &discovery.HeldList{Source: h.source, List: list, HighestVersion: h.highestVersion}
}

// handleListUpdate applies an update from discovery, or the list of another process of this proxy.
func (l *eventLoop) handleListUpdate(update discovery.Update) {
	if update.FromOtherProcess {
		l.list.status.setVersion(update.List)
		l.applyList(balancer.UpdateCached, update)
		l.reportUnsent()
		return
	}
	l.list.status.markSynced(time.Now(), update.List)
	kind := balancer.UpdateDelta
	if update.List.Snapshot {
		kind = balancer.UpdateSnapshot
	}
	l.applyList(kind, update)
	l.reportUnsent()
	closeOnce(l.list.synced)
	if l.list.changed != nil && (update.List.Snapshot || len(update.List.Endpoints) > 0) {
		l.list.changed()
	}
}

// applyList applies a complete list or a delta, first to the connection pool and then to the balancer: idle
// connections to a draining server are closed before the balancer can choose that server again.
func (l *eventLoop) applyList(kind balancer.UpdateKind, update discovery.Update) {
	if l.managed {
		l.list.held.apply(kind, update)
	}
	list := update.List
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
