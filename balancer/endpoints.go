package balancer

// Changes of the set of ready servers: by the endpoint list, by suspended servers and by drained zones.

// UpdateEndpoints handles an update of the endpoint list; kind says what entries holds. They are ignored for
// UpdateFailed.
func (b *Balancer) UpdateEndpoints(nowMicros int64, host Host, kind UpdateKind, entries []Server) {
	now := moment(nowMicros)
	if kind == UpdateFailed {
		if backoff, ok := b.subscription.recordFailure(); ok {
			host.SetTimer(int64(backoff), watchTimer)
		}
		return
	}
	b.listEvidence.confirm(now, kind)
	if kind != UpdateDelta {
		b.members.replaceAll()
	}
	for _, entry := range entries {
		b.members.upsert(entry)
	}
	if b.locality.zones != nil {
		b.damping.detectDelisted(now)
	}
	b.rebuildReady()
	if b.locality.zones != nil {
		b.removeUnhealthy(now) // a server that is listed again may have to be damped
	}
	if b.subscription.recordSuccess() {
		host.Watch()
	}
}

// SetSuspendedServers suspends exactly the servers with these IDs, which may be all of them. A server that is
// resumed starts without history and gets the next call that may be sent to it.
func (b *Balancer) SetSuspendedServers(ids map[string]bool) {
	b.members.setSuspended(ids)
	b.rebuildReady()
}

// SetDrainedZones drains exactly these zones: their servers get no calls, not even trials. A zone that is
// restored recovers in steps.
func (b *Balancer) SetDrainedZones(nowMicros int64, host Host, zones map[int]bool) {
	now := moment(nowMicros)
	if len(zones) > 0 || len(b.members.drainedZones) > 0 {
		b.trackZones() // first, so that draining a zone counts as a change of its phase
	}
	before := b.members.setDrained(zones)
	b.rebuildReady()
	b.locality.updateDrained(now, host, before, zones)
	b.rebuildReady()
}

// rebuildReady rebuilds the list of ready servers after a change of servers, zones or settings.
func (b *Balancer) rebuildReady() {
	if b.locality.zones == nil {
		b.members.rebuildReady(nil)
	} else {
		b.members.rebuildReady(b.locality.rank)
	}
}

// trackZones begins to keep the state of zones. A replica that exchanges no reports does not need it.
func (b *Balancer) trackZones() {
	if b.locality.track(b.members.drainedZones) {
		b.rebuildReady()
	}
}

// removeUnhealthy damps the servers that flap and ejects those that are reported as unhealthy, within one
// shared removal budget.
func (b *Balancer) removeUnhealthy(now moment) {
	b.outliers.clearEjections()
	unhealthy := b.outliers.reportedUnhealthy(now)
	budget := newRemovalBudget(b.members.ready)
	b.damping.damp(now, budget)
	b.outliers.eject(unhealthy, budget)
}
