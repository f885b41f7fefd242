package referee

import (
	"fmt"
	"time"
)

// ServerState is the true state of a server.
type ServerState struct {
	Zone    string
	Cell    int
	Serving bool
	Since   int64 // ms, as in the list
}

// RecordServerState records the true state of a server from now on; proxies are notified of it later.
func (r *Referee) RecordServerState(name string, state ServerState, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.server(name)
	server.zone, server.cell, server.serving, server.since = state.Zone, state.Cell, state.Serving, state.Since
	server.changedAt = at
}

// RecordListed records the list's entry for a server from now on, whether or not a proxy was notified.
func (r *Referee) RecordListed(name string, serving bool, since int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.server(name)
	server.listings = append(server.listings, listing{serving, since, at})
}

// server returns a server's state, and creates it if the server is not known yet.
func (r *Referee) server(name string) *serverState {
	server := r.servers[name]
	if server == nil {
		server = &serverState{}
		r.servers[name] = server
	}
	return server
}

// RecordListLost records that the list lost its entries: a proxy no longer counts as notified of an earlier
// entry unless it received that entry.
func (r *Referee) RecordListLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, server := range r.servers {
		server.listings = nil
	}
}

// BeginListOutage starts a span in which a proxy (empty: all) cannot reach the list. The returned function ends the span.
func (r *Referee) BeginListOutage(proxy string, at time.Time) (end func(time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.outages)
	r.outages = append(r.outages, outage{proxy, span{at, at.Add(24 * time.Hour)}})
	return func(to time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.outages[i].end = to
	}
}

// notificationDue returns when a proxy counts as notified of a change that the list announced at the given
// time, whether it was or not: once the list has been reachable for notificationDeadline.
func (r *Referee) notificationDue(proxy string, announced time.Time) time.Time {
	due := announced.Add(notificationDeadline)
	for moved := true; moved; {
		moved = false
		for _, outage := range r.outages {
			concerns := outage.proxy == "" || outage.proxy == proxy
			if concerns && outage.end.After(due.Add(-notificationDeadline)) && outage.start.Before(due) {
				due, moved = outage.end.Add(notificationDeadline), true
			}
		}
	}
	return due
}

// overdueChange returns the newest change of a server that a proxy had to act on before sentAt, and by how
// much the proxy is late; ok is false if there is none, or if the proxy knows a newer one.
func (r *Referee) overdueChange(proxy string, server *serverState, knownAt, sentAt time.Time) (newest listing,
	late time.Duration, ok bool) {
	if server == nil {
		return newest, 0, false
	}
	for _, listing := range server.listings {
		overdue := sentAt.Sub(r.notificationDue(proxy, listing.announcedAt))
		if overdue > r.config.DrainGrace+socketSlack && listing.announcedAt.After(knownAt) {
			newest, late, ok = listing, overdue, true
		}
	}
	return newest, late, ok
}

// Entry is one server of an endpoint list, as a proxy receives it. Since is in the list's milliseconds.
type Entry struct {
	Server  string
	Serving bool
	Since   int64
}

// RecordProxyStart records that a proxy starts without a predecessor, from a given list.
func (r *Referee) RecordProxyStart(name string, known []Entry, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxy(name)
	p.starts++
	p.lastPollAt, p.pendingPolls, p.lastPollFailed, p.newestOrder = at, 0, false, 0
	p.notified = map[string]notification{}
	for _, entry := range known {
		p.notified[entry.Server] = notification{entry.Serving, entry.Since, at, r.announcedAt(entry)}
	}
}

// announcedAt returns when the list last announced an entry; zero if it never did.
func (r *Referee) announcedAt(entry Entry) (at time.Time) {
	if server := r.servers[entry.Server]; server != nil {
		for _, listing := range server.listings {
			if listing.serving == entry.Serving && listing.since == entry.Since {
				at = listing.announcedAt
			}
		}
	}
	return at
}

// RecordInheritedList records the list that a successor starts with: the proxy now counts as notified of each
// entry that its predecessor was not notified of.
func (r *Referee) RecordInheritedList(name string, known []Entry, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxy(name)
	for _, entry := range known {
		if now, ok := p.notified[entry.Server]; !ok || now.serving != entry.Serving || now.since != entry.Since {
			p.notified[entry.Server] = notification{entry.Serving, entry.Since, at, r.announcedAt(entry)}
		}
	}
}

// StartCount returns how often a proxy has started without a predecessor.
func (r *Referee) StartCount(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proxy(name).starts
}

// RecordPoll records the start of a proxy's poll; RecordUpdate and RecordPollFailed record its end.
func (r *Referee) RecordPoll(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.ListCalls++
	r.proxy(name).pendingPolls++
}

// ListUpdate is the content of an answer of the list.
type ListUpdate struct {
	Entries  []Entry
	Snapshot bool  // complete: servers that are missing are gone
	Order    int64 // in which the list composed its answers, from 1; 0: not known
}

// RecordUpdate records that an answer of the list was written to a proxy's socket. An answer older than one
// that the proxy already has is ignored: the proxy has abandoned that poll.
func (r *Referee) RecordUpdate(name string, update ListUpdate, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxy(name)
	p.endPoll(at, false)
	if update.Order != 0 {
		if update.Order < p.newestOrder {
			return
		}
		p.newestOrder = update.Order
	}
	listed := map[string]bool{}
	for _, entry := range update.Entries {
		listed[entry.Server] = true
		if now, ok := p.notified[entry.Server]; !ok || now.serving != entry.Serving || now.since != entry.Since {
			p.notified[entry.Server] = notification{entry.Serving, entry.Since, at, at}
		}
	}
	if !update.Snapshot {
		return
	}
	for id, now := range p.notified {
		if !listed[id] && now.serving {
			p.notified[id] = notification{false, now.since, at, at}
		}
	}
}

// RecordPollFailed records that a proxy's poll ended without an answer.
func (r *Referee) RecordPollFailed(name string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proxy(name).endPoll(at, true)
}

func (p *proxy) endPoll(at time.Time, failed bool) {
	p.pendingPolls, p.lastPollAt, p.lastPollFailed = max(0, p.pendingPolls-1), at, failed
}

// RecordConnection records a connection that a server accepted.
func (r *Referee) RecordConnection(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connectTimes = append(r.connectTimes, at)
}

// UnansweredSend is a send of a proxy towards a server over a link that dropped it.
type UnansweredSend struct {
	SentAt   time.Time
	Proxy    string // empty where proxies share their links
	FromZone string
	Server   string
	Zone     string
	Dial     bool // a connection attempt; else bytes on an open connection
}

// RecordUnansweredSend records an unanswered send, up to maxUnansweredSends.
func (r *Referee) RecordUnansweredSend(send UnansweredSend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unansweredSends) < maxUnansweredSends {
		r.unansweredSends = append(r.unansweredSends, send)
	}
}

// RecordOverload records that a server in slow start failed under overload, with the work that each proxy
// sent to it in the window that overload is measured over.
func (r *Referee) RecordOverload(name string, since int64, work map[string]time.Duration, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Overloads++
	all, informed := time.Duration(0), time.Duration(0)
	worst, most := "", time.Duration(0)
	for proxy, w := range work {
		all += w
		if known, ok := r.proxy(proxy).notified[name]; ok && known.since >= since {
			informed += w
		}
		if w > most {
			worst, most = proxy, w
		}
	}
	if all > 0 && float64(informed) >= overloadInformedFraction*float64(all) {
		r.violate(Violation{Rule: "tip", At: at, Proxy: worst, Server: name, Text: fmt.Sprintf(
			"overloaded by %v of work in the window, %.0f %% of it from informed proxies, of %d in all",
			all.Round(time.Millisecond), 100*float64(informed)/float64(all), len(work))})
	}
}
