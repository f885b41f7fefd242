package balancer

// List takes a list of servers or its changes.
func (b *Balancer) UpdateEndpoints(now int64, h Host, kind UpdateKind, entries []Server) {
	if kind == UpdateFailed {
		if b.asked { // many copies keep the list busy: back off, one ask at a time
			h.SetTimer(b.backoff+b.rnd.Int64N(b.backoff), watchTimer)
			b.backoff = max(minWatchBackoff, min(2*b.backoff, maxWatchBackoff, b.s.PollInterval/pollIntervalDivisor))
		}
		b.asked = false
		return
	}
	b.confirm(now, kind)
	if kind != UpdateDelta {
		for _, s := range b.all {
			s.State = ServerRemoved // unless listed below
		}
	}
	for _, e := range entries {
		b.enter(e)
	}
	b.leases(now)
	if b.relist(); b.zones != nil {
		b.condemn(now) // one whose lease has come back may be damped
	}
	if b.s.WatchEndpoints && !b.asked {
		b.asked = true
		h.Watch()
	}
	b.backoff = minWatchBackoff
}

// Ban has these servers and no others left out by hand, if need be all. One that comes back starts afresh.
func (b *Balancer) SetSuspendedServers(ids map[string]bool) {
	was := b.banned
	b.banned = ids
	for _, s := range b.all {
		if was[s.ID] && !ids[s.ID] {
			s.resetLearned(len(b.classes))
			s.probePending = true
		}
	}
	b.relist()
}

// Drain has these zones and no others suspended by hand: their servers get nothing, not even trials. One that
// is restored is returned to by steps.
func (b *Balancer) SetDrainedZones(now int64, h Host, zones map[int]bool) {
	was := b.drained
	if len(zones) > 0 || len(was) > 0 {
		b.open() // before they are out, so that going out is a change
	}
	b.drained = zones
	b.relist()
	for i := range b.zones {
		if z := &b.zones[i]; zones[i] && !was[i] {
			b.stand(now, h, z, ZoneDrained, 0)
		} else if was[i] && !zones[i] {
			b.returnTo(now, h, z, 0)
		}
	}
	b.relist()
}
