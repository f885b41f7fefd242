package referee

import (
	"fmt"
	"time"
)

// State notes what a server is from now on, by the lab's hand: the truth, of which proxies are told late.
func (r *Referee) RecordServerState(name, zone string, cell int, serving bool, since int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[name]
	if server == nil {
		server = &serverState{}
		r.servers[name] = server
	}
	server.zone, server.cell, server.serving, server.since, server.changedAt = zone, cell, serving, since, at
}

// Listed notes that the list says something of a server from now on, whether or not anybody has been told.
func (r *Referee) RecordListed(name string, serving bool, since int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[name]
	if server == nil {
		server = &serverState{}
		r.servers[name] = server
	}
	server.listings = append(server.listings, listing{serving, since, at})
}

// Unlisted notes that the list has lost what it said: from here on its changes count as told when they are.
func (r *Referee) RecordListLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, server := range r.servers {
		server.listings = nil
	}
}

// ListUnavailable opens a time in which a proxy, or with no name every one, cannot reach the list. The function that it returns
// ends it.
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

// countsAsTold is when a change that the list had at a moment counts as told to a proxy, whether it heard of it or not: once
// the list has been within its reach for toldWithin.
func (r *Referee) notificationDue(proxy string, had time.Time) time.Time {
	told := had.Add(notificationDeadline)
	for moved := true; moved; {
		moved = false
		for _, a := range r.outages {
			if (a.proxy == "" || a.proxy == proxy) && a.end.After(told.Add(-notificationDeadline)) && a.start.Before(told) {
				told, moved = a.end.Add(notificationDeadline), true
			}
		}
	}
	return told
}

// overdue is the newest change of a server that counts as told to a proxy so long before a moment that sends had to stop by
// then; false if there is none, or what the proxy knows is newer.
func (r *Referee) overdueChange(proxy string, server *serverState, knows, sent time.Time) (newest listing, late time.Duration, ok bool) {
	if server == nil {
		return newest, 0, false
	}
	for _, listing := range server.listings {
		over := sent.Sub(r.notificationDue(proxy, listing.announcedAt))
		if over > r.config.DrainGrace+socketSlack && listing.announcedAt.After(knows) {
			newest, late, ok = listing, over, true
		}
	}
	return newest, late, ok
}

// Entry is one line of a list, as a proxy gets it.
type Entry struct {
	Server  string
	Serving bool
	Since   int64
}

// Started notes that a proxy begins from nothing but the list that it is given.
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

// saidAt is when the list last said what an entry says; zero if it never did.
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

// Knows notes the list that a successor begins with: what differs from what its predecessor was told is told with it.
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

// Process tells a proxy's processes apart that began from nothing.
func (r *Referee) StartCount(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proxy(name).starts
}

// RecordPoll notes a proxy's call to the list; Told and CallFailed note how it ended.
func (r *Referee) RecordPoll(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.ListCalls++
	r.proxy(name).pendingPolls++
}

// ListUpdate is what an answer of the list tells a proxy.
type ListUpdate struct {
	Entries  []Entry
	Snapshot bool  // what is missing is gone
	Order    int64 // in which the list composed its answers, from 1; 0: not known
}

// Notified notes that an answer of the list goes whole to a proxy's socket. One that was composed before another which has been
// told is not news: the proxy has given that call up.
func (r *Referee) RecordUpdate(name string, news ListUpdate, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxy(name)
	p.endPoll(at, false)
	if news.Order != 0 {
		if news.Order < p.newestOrder {
			return
		}
		p.newestOrder = news.Order
	}
	listed := map[string]bool{}
	for _, entry := range news.Entries {
		listed[entry.Server] = true
		if now, ok := p.notified[entry.Server]; !ok || now.serving != entry.Serving || now.since != entry.Since {
			p.notified[entry.Server] = notification{entry.Serving, entry.Since, at, at}
		}
	}
	if !news.Snapshot {
		return
	}
	for id, now := range p.notified {
		if !listed[id] && now.serving {
			p.notified[id] = notification{false, now.since, at, at}
		}
	}
}

// CallFailed notes that a proxy's call to the list has ended without an answer.
func (r *Referee) RecordPollFailed(name string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proxy(name).endPoll(at, true)
}

func (p *proxy) endPoll(at time.Time, failed bool) {
	p.pendingPolls, p.lastPollAt, p.lastPollFailed = max(0, p.pendingPolls-1), at, failed
}

// Connected notes a connection that a server took.
func (r *Referee) RecordConnection(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connectTimes = append(r.connectTimes, at)
}

// UnansweredSend is what a proxy sent towards a server into silence, so that the server saw nothing of it.
type UnansweredSend struct {
	SentAt   time.Time
	Proxy    string // empty where proxies share their links
	FromZone string
	Server   string
	Zone     string
	Dial     bool // a connection that does not come up; else bytes on one that had
}

// RecordUnansweredSend notes an unanswered send.
func (r *Referee) RecordUnansweredSend(k UnansweredSend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unansweredSends) < maxUnansweredSends {
		r.unansweredSends = append(r.unansweredSends, k)
	}
}

// Arrival is what a server sees of a request.
type Arrival struct {
	Server, ID              string
	FirstByteAt, LastByteAt time.Time
	Method, Path, Key       string
	RequestDigest           uint64 // digest
}

// Begin notes an attempt that reached a server whole, and judges it. It is nil if no client sent that id: the server
// answers 400.
func (r *Referee) BeginAttempt(a Arrival) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	clientAttempt := r.clientAttempts[a.ID]
	if clientAttempt == nil {
		r.violate(Violation{Rule: "forged", At: a.LastByteAt, Server: a.Server, Attempt: a.ID, Text: "no client sent this id"})
		return nil
	}
	if a.Method != clientAttempt.Method || a.Path != clientAttempt.Path || a.Key != clientAttempt.Key || a.RequestDigest != clientAttempt.RequestDigest {
		r.violate(Violation{Rule: "garbled", At: a.LastByteAt, Proxy: clientAttempt.Proxy, Server: a.Server, Attempt: clientAttempt.ID,
			Text: fmt.Sprintf("the request reached the nodo as %s %s", a.Method, a.Path)})
	}
	at := &Attempt{clientAttempt: clientAttempt, Server: a.Server, FirstByteAt: a.FirstByteAt, LastByteAt: a.LastByteAt}
	if server := r.servers[a.Server]; server != nil {
		at.Zone, at.Cell = server.zone, server.cell
	}
	r.checkRepeat(clientAttempt, at)
	r.checkDrain(clientAttempt, at)
	if late := a.FirstByteAt.Sub(clientAttempt.CanceledAt); !clientAttempt.CanceledAt.IsZero() && late > cancelGrace+socketSlack {
		r.violate(Violation{Rule: "gone", At: a.FirstByteAt, Proxy: clientAttempt.Proxy, Server: a.Server, Attempt: clientAttempt.ID,
			Text: fmt.Sprintf("sent %v after its client had left", late.Round(time.Millisecond))})
	}
	clientAttempt.attempts = append(clientAttempt.attempts, at)
	r.attempts = append(r.attempts, at)
	return at
}

func (r *Referee) checkRepeat(clientAttempt *ClientAttempt, next *Attempt) {
	class := r.config.Classes[clientAttempt.Class]
	say := func(format string, args ...any) {
		r.violate(Violation{Rule: "repeat", At: next.LastByteAt, Proxy: clientAttempt.Proxy, Server: next.Server, Attempt: clientAttempt.ID,
			Text: class.Name + ": " + fmt.Sprintf(format, args...)})
	}
	if len(clientAttempt.attempts) >= r.config.MaxAttempts {
		say("attempt %d, of at most %d", len(clientAttempt.attempts)+1, r.config.MaxAttempts)
		return
	}
	for _, attempt := range clientAttempt.attempts {
		if !attempt.ended && !r.config.HedgingAllowed {
			say("a second copy while the one at %s is out", attempt.Server)
			return
		}
		if class.RetryClass == Idempotent || !attempt.mayHaveExecuted() {
			continue
		}
		switch {
		case class.RetryClass == NonIdempotent:
			say("sent again though the attempt at %s may have run", attempt.Server)
		case class.KeyScope == "zone" && attempt.Zone != next.Zone:
			say("sent again to zone %s though the attempt in zone %s may have run", next.Zone, attempt.Zone)
		case class.KeyScope == "cell" && (attempt.Zone != next.Zone || attempt.Cell != next.Cell):
			say("sent again to another cell though the attempt at %s may have run", attempt.Server)
		case next.FirstByteAt.Sub(attempt.FirstByteAt) > class.KeyWindow+socketSlack:
			say("sent again %v after an attempt that may have run", next.FirstByteAt.Sub(attempt.FirstByteAt).Round(time.Millisecond))
		default:
			continue
		}
		return
	}
}

func (r *Referee) checkDrain(clientAttempt *ClientAttempt, attempt *Attempt) {
	p, server := r.proxy(clientAttempt.Proxy), r.servers[attempt.Server]
	now, ok := p.notified[attempt.Server]
	if !ok {
		r.violate(Violation{Rule: "drain", At: attempt.FirstByteAt, Proxy: clientAttempt.Proxy, Server: attempt.Server, Attempt: clientAttempt.ID,
			Text: "sent to a nodo that no list has named"})
		return
	}
	if late := attempt.FirstByteAt.Sub(now.receivedAt); !now.serving && late > r.config.DrainGrace+socketSlack {
		r.violate(Violation{Rule: "drain", At: attempt.FirstByteAt, Proxy: clientAttempt.Proxy, Server: attempt.Server, Attempt: clientAttempt.ID,
			Text: fmt.Sprintf("sent %v after it was told", late.Round(time.Millisecond))})
		return
	}
	if listing, late, ok := r.overdueChange(clientAttempt.Proxy, server, now.announcedAt, attempt.FirstByteAt); ok && !listing.serving {
		r.violate(Violation{Rule: "drain", At: attempt.FirstByteAt, Proxy: clientAttempt.Proxy, Server: attempt.Server, Attempt: clientAttempt.ID,
			Text: fmt.Sprintf("sent %v after it counted as told, which it never was", late.Round(time.Millisecond))})
		return
	}
	// One who does not ask is deemed told of the list as it stood that long ago.
	unasked := r.config.PollInterval
	if p.lastPollFailed {
		unasked *= failedPollFactor
	}
	if unasked > 0 && server != nil && now.serving && !server.serving && p.pendingPolls == 0 && attempt.FirstByteAt.Sub(p.lastPollAt) > unasked+socketSlack &&
		attempt.FirstByteAt.Sub(server.changedAt) > unasked+r.config.DrainGrace+socketSlack {
		r.violate(Violation{Rule: "drain", At: attempt.FirstByteAt, Proxy: clientAttempt.Proxy, Server: attempt.Server, Attempt: clientAttempt.ID,
			Text: fmt.Sprintf("the list was not asked for %v", attempt.FirstByteAt.Sub(p.lastPollAt).Round(time.Millisecond))})
	}
}

// Serve notes that a server has made an answer 200; Told follows once it is written to the proxy.
func (r *Referee) RecordServed(attempt *Attempt, made uint64, spent time.Duration) {
	r.end(attempt, stateServed, spent)
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.ResponseDigest = made
}

// Err notes that a server answered with an error; Turn that it turned the attempt away unbegun; Drop that its caller went.
func (r *Referee) RecordError(attempt *Attempt, spent time.Duration) {
	r.end(attempt, stateError, spent)
}
func (r *Referee) RecordRejected(attempt *Attempt) { r.end(attempt, stateRejected, 0) }
func (r *Referee) RecordCanceled(attempt *Attempt, spent time.Duration) {
	r.end(attempt, stateCanceled, spent)
}

func (r *Referee) end(attempt *Attempt, s attemptState, spent time.Duration) {
	if attempt == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.state, attempt.WorkDone = s, spent
	if s == stateCanceled {
		attempt.ended = true
	}
}

// Wrote notes that the end of an attempt goes to the proxy's socket. It has to be called before that: the proxy may act
// on it at once.
func (r *Referee) RecordOutcomeWritten(attempt *Attempt) {
	if attempt == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.outcomeWritten, attempt.ended = true, true
}

// Tipped notes that a warming server fell over, with the work that came to it in the window, by proxy.
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
			"fell over under %v of work in the window, %.0f %% of it from %d proxies that knew of its start",
			all.Round(time.Millisecond), 100*float64(informed)/float64(all), len(work))})
	}
}
