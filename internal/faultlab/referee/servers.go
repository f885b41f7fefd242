package referee

import (
	"fmt"
	"time"
)

// State notes what a server is from now on, by the lab's hand: the truth, of which proxies are told late.
func (r *Referee) State(name, zone string, cell int, serving bool, since int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.servers[name]
	if n == nil {
		n = &server{}
		r.servers[name] = n
	}
	n.zone, n.cell, n.serving, n.since, n.changed = zone, cell, serving, since, at
}

// Listed notes that the list says something of a server from now on, whether or not anybody has been told.
func (r *Referee) Listed(name string, serving bool, since int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.servers[name]
	if n == nil {
		n = &server{}
		r.servers[name] = n
	}
	n.listed = append(n.listed, listing{serving, since, at})
}

// Unlisted notes that the list has lost what it said: from here on its changes count as told when they are.
func (r *Referee) Unlisted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.servers {
		n.listed = nil
	}
}

// ListUnavailable opens a time in which a proxy, or with no name every one, cannot reach the list. The function that it returns
// ends it.
func (r *Referee) ListUnavailable(proxy string, at time.Time) (end func(time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.aways)
	r.aways = append(r.aways, outage{proxy, span{at, at.Add(24 * time.Hour)}})
	return func(to time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.aways[i].to = to
	}
}

// countsAsTold is when a change that the list had at a moment counts as told to a proxy, whether it heard of it or not: once
// the list has been within its reach for toldWithin.
func (r *Referee) countsAsNotified(proxy string, had time.Time) time.Time {
	told := had.Add(notifiedWithin)
	for moved := true; moved; {
		moved = false
		for _, a := range r.aways {
			if (a.proxy == "" || a.proxy == proxy) && a.to.After(told.Add(-notifiedWithin)) && a.from.Before(told) {
				told, moved = a.to.Add(notifiedWithin), true
			}
		}
	}
	return told
}

// overdue is the newest change of a server that counts as told to a proxy so long before a moment that sends had to stop by
// then; false if there is none, or what the proxy knows is newer.
func (r *Referee) overdue(proxy string, n *server, knows, sent time.Time) (newest listing, late time.Duration, ok bool) {
	if n == nil {
		return newest, 0, false
	}
	for _, l := range n.listed {
		over := sent.Sub(r.countsAsNotified(proxy, l.at))
		if over > r.terms.DrainGrace+socketSlack && l.at.After(knows) {
			newest, late, ok = l, over, true
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
func (r *Referee) Started(name string, known []Entry, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxy(name)
	p.starts++
	p.polled, p.asking, p.failed, p.newest = at, 0, false, 0
	p.notified = map[string]notification{}
	for _, e := range known {
		p.notified[e.Server] = notification{e.Serving, e.Since, at, r.announcedAt(e)}
	}
}

// saidAt is when the list last said what an entry says; zero if it never did.
func (r *Referee) announcedAt(e Entry) (at time.Time) {
	if n := r.servers[e.Server]; n != nil {
		for _, l := range n.listed {
			if l.serving == e.Serving && l.since == e.Since {
				at = l.at
			}
		}
	}
	return at
}

// Knows notes the list that a successor begins with: what differs from what its predecessor was told is told with it.
func (r *Referee) Knows(name string, known []Entry, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxy(name)
	for _, e := range known {
		if now, ok := p.notified[e.Server]; !ok || now.serving != e.Serving || now.since != e.Since {
			p.notified[e.Server] = notification{e.Serving, e.Since, at, r.announcedAt(e)}
		}
	}
}

// Process tells a proxy's processes apart that began from nothing.
func (r *Referee) Process(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proxy(name).starts
}

// RecordPoll notes a proxy's call to the list; Told and CallFailed note how it ended.
func (r *Referee) RecordPoll(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.ListCalls++
	r.proxy(name).asking++
}

// ListUpdate is what an answer of the list tells a proxy.
type ListUpdate struct {
	Entries  []Entry
	Snapshot bool  // what is missing is gone
	Order    int64 // in which the list composed its answers, from 1; 0: not known
}

// Notified notes that an answer of the list goes whole to a proxy's socket. One that was composed before another which has been
// told is not news: the proxy has given that call up.
func (r *Referee) Notified(name string, news ListUpdate, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxy(name)
	p.callEnded(at, false)
	if news.Order != 0 {
		if news.Order < p.newest {
			return
		}
		p.newest = news.Order
	}
	listed := map[string]bool{}
	for _, e := range news.Entries {
		listed[e.Server] = true
		if now, ok := p.notified[e.Server]; !ok || now.serving != e.Serving || now.since != e.Since {
			p.notified[e.Server] = notification{e.Serving, e.Since, at, at}
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
func (r *Referee) CallFailed(name string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proxy(name).callEnded(at, true)
}

func (p *proxy) callEnded(at time.Time, failed bool) {
	p.asking, p.polled, p.failed = max(0, p.asking-1), at, failed
}

// Connected notes a connection that a server took.
func (r *Referee) Connected(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connects = append(r.connects, at)
}

// UnansweredSend is what a proxy sent towards a server into silence, so that the server saw nothing of it.
type UnansweredSend struct {
	At       time.Time
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
	Server, ID        string
	First, Last       time.Time
	Method, Path, Key string
	Body              uint64 // digest
}

// Begin notes an attempt that reached a server whole, and judges it. It is nil if no client sent that id: the server
// answers 400.
func (r *Referee) Begin(a Arrival) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.clientAttempts[a.ID]
	if t == nil {
		r.broken(Violation{Rule: "forged", At: a.Last, Server: a.Server, Attempt: a.ID, Text: "no client sent this id"})
		return nil
	}
	if a.Method != t.Method || a.Path != t.Path || a.Key != t.Key || a.Body != t.Body {
		r.broken(Violation{Rule: "garbled", At: a.Last, Proxy: t.Proxy, Server: a.Server, Attempt: t.ID,
			Text: fmt.Sprintf("the request reached the nodo as %s %s", a.Method, a.Path)})
	}
	at := &Attempt{clientAttempt: t, Server: a.Server, First: a.First, Last: a.Last}
	if n := r.servers[a.Server]; n != nil {
		at.Zone, at.Cell = n.zone, n.cell
	}
	r.checkRepeat(t, at)
	r.checkDrain(t, at)
	if late := a.First.Sub(t.Left); !t.Left.IsZero() && late > goneWithin+socketSlack {
		r.broken(Violation{Rule: "gone", At: a.First, Proxy: t.Proxy, Server: a.Server, Attempt: t.ID,
			Text: fmt.Sprintf("sent %v after its client had left", late.Round(time.Millisecond))})
	}
	t.attempts = append(t.attempts, at)
	r.attempts = append(r.attempts, at)
	return at
}

func (r *Referee) checkRepeat(t *ClientAttempt, next *Attempt) {
	class := r.terms.Classes[t.Class]
	say := func(format string, args ...any) {
		r.broken(Violation{Rule: "repeat", At: next.Last, Proxy: t.Proxy, Server: next.Server, Attempt: t.ID,
			Text: class.Name + ": " + fmt.Sprintf(format, args...)})
	}
	if len(t.attempts) >= r.terms.MaxAttempts {
		say("attempt %d, of at most %d", len(t.attempts)+1, r.terms.MaxAttempts)
		return
	}
	for _, a := range t.attempts {
		if !a.ended && !r.terms.SecondCopies {
			say("a second copy while the one at %s is out", a.Server)
			return
		}
		if class.Repeat == Safe || !a.mayHaveRun() {
			continue
		}
		switch {
		case class.Repeat == Unsafe:
			say("sent again though the attempt at %s may have run", a.Server)
		case class.Scope == "zone" && a.Zone != next.Zone:
			say("sent again to zone %s though the attempt in zone %s may have run", next.Zone, a.Zone)
		case class.Scope == "cell" && (a.Zone != next.Zone || a.Cell != next.Cell):
			say("sent again to another cell though the attempt at %s may have run", a.Server)
		case next.First.Sub(a.First) > class.Window+socketSlack:
			say("sent again %v after an attempt that may have run", next.First.Sub(a.First).Round(time.Millisecond))
		default:
			continue
		}
		return
	}
}

func (r *Referee) checkDrain(t *ClientAttempt, a *Attempt) {
	p, n := r.proxy(t.Proxy), r.servers[a.Server]
	now, ok := p.notified[a.Server]
	if !ok {
		r.broken(Violation{Rule: "drain", At: a.First, Proxy: t.Proxy, Server: a.Server, Attempt: t.ID,
			Text: "sent to a nodo that no list has named"})
		return
	}
	if late := a.First.Sub(now.at); !now.serving && late > r.terms.DrainGrace+socketSlack {
		r.broken(Violation{Rule: "drain", At: a.First, Proxy: t.Proxy, Server: a.Server, Attempt: t.ID,
			Text: fmt.Sprintf("sent %v after it was told", late.Round(time.Millisecond))})
		return
	}
	if l, late, ok := r.overdue(t.Proxy, n, now.asOf, a.First); ok && !l.serving {
		r.broken(Violation{Rule: "drain", At: a.First, Proxy: t.Proxy, Server: a.Server, Attempt: t.ID,
			Text: fmt.Sprintf("sent %v after it counted as told, which it never was", late.Round(time.Millisecond))})
		return
	}
	// One who does not ask is deemed told of the list as it stood that long ago.
	unasked := r.terms.PollInterval
	if p.failed {
		unasked *= failedPoll
	}
	if unasked > 0 && n != nil && now.serving && !n.serving && p.asking == 0 && a.First.Sub(p.polled) > unasked+socketSlack &&
		a.First.Sub(n.changed) > unasked+r.terms.DrainGrace+socketSlack {
		r.broken(Violation{Rule: "drain", At: a.First, Proxy: t.Proxy, Server: a.Server, Attempt: t.ID,
			Text: fmt.Sprintf("the list was not asked for %v", a.First.Sub(p.polled).Round(time.Millisecond))})
	}
}

// Serve notes that a server has made an answer 200; Told follows once it is written to the proxy.
func (r *Referee) Serve(a *Attempt, made uint64, spent time.Duration) {
	r.end(a, stateServed, spent)
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Made = made
}

// Err notes that a server answered with an error; Turn that it turned the attempt away unbegun; Drop that its caller went.
func (r *Referee) Err(a *Attempt, spent time.Duration)  { r.end(a, stateError, spent) }
func (r *Referee) Turn(a *Attempt)                      { r.end(a, stateRejected, 0) }
func (r *Referee) Drop(a *Attempt, spent time.Duration) { r.end(a, stateDropped, spent) }

func (r *Referee) end(a *Attempt, s attemptState, spent time.Duration) {
	if a == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a.state, a.Spent = s, spent
	if s == stateDropped {
		a.ended = true
	}
}

// Wrote notes that the end of an attempt goes to the proxy's socket. It has to be called before that: the proxy may act
// on it at once.
func (r *Referee) Wrote(a *Attempt) {
	if a == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a.notified, a.ended = true, true
}

// Tipped notes that a warming server fell over, with the work that came to it in the window, by proxy.
func (r *Referee) Tipped(name string, since int64, work map[string]time.Duration, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Tipped++
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
	if all > 0 && float64(informed) >= overloadInformedPart*float64(all) {
		r.broken(Violation{Rule: "tip", At: at, Proxy: worst, Server: name, Text: fmt.Sprintf(
			"fell over under %v of work in the window, %.0f %% of it from %d proxies that knew of its start",
			all.Round(time.Millisecond), 100*float64(informed)/float64(all), len(work))})
	}
}
