// Package referee keeps the lab's own record of every request and attempt, and judges the rules of service by it. It
// takes nothing from the proxies: what it knows comes from the clients, servers and the list of the lab, and from what
// the lab did to processes and links.
//
// Where the platform's pages leave room, a doubt is the proxy's: what was told counts from the moment that its last
// byte was written to the proxy's socket, and what a proxy could not do for a fault of the lab's making is excused.
package referee

import (
	"fmt"
	"sync"
	"time"
)

// Repeat is what a class allows.
type Repeat int

const (
	Safe   Repeat = iota // may be sent again and refused freely
	Keyed                // again only within the group that drops repeats, while it does
	Unsafe               // again or refused only where no attempt may have run
)

// Class is what the rules need to know of a class.
type Class struct {
	Name   string
	Repeat Repeat
	Scope  string // all, zone or cell, of a keyed class
	Window time.Duration
}

// Terms are the metrics of the rules.
type Terms struct {
	Classes      []Class
	MaxAttempts  int
	SecondCopies bool
	DrainGrace   time.Duration
	PollInterval time.Duration
	Slack        time.Duration // beyond a deadline
}

const (
	notifiedWithin       = 6 * time.Second        // after the list had a change and could be reached, it counts as told
	socketSlack          = 50 * time.Millisecond  // every time limit is this much longer on sockets
	maxLateness          = 500 * time.Millisecond // an answer after its time is late up to here, and lost beyond
	crowdAfter           = 500 * time.Millisecond // its clients take so long to leave
	rejectionsUnpriced   = 200                    // one request in so many may be turned back unheard
	failedPoll           = 4                      // after a failed call the list need not be asked for so many times as long
	goneWithin           = 100 * time.Millisecond // after a client has left attempts may begin for so long
	overloadInformedPart = 2.0 / 3                // of the work, from proxies that knew of the start, breaks the rule
	maxUnansweredSends   = 1_000_000              // 100 MB
	violationTop         = 20                     // of each rule are kept in full
)

// Violation is a broken rule.
type Violation struct {
	Rule    string    `json:"rule"`
	At      time.Time `json:"at"`
	Proxy   string    `json:"proxy,omitempty"`
	Server  string    `json:"nodo,omitempty"`
	Attempt string    `json:"try,omitempty"`
	Text    string    `json:"text"`
}

// told is what a proxy has been told of a server.
type notification struct {
	serving bool
	since   int64 // ms
	at      time.Time
	asOf    time.Time // when the list said so, as far as is known
}

// proxy is what the referee knows of one.
type proxy struct {
	notified map[string]notification
	polled   time.Time // when its last call to the list ended
	asking   int       // calls that are out
	failed   bool      // the last call
	starts   int       // from nothing
	newest   int64     // News.Order that it was told
	excuses  []span
	crowds   []span
}

type span struct{ from, to time.Time }

// server is what the referee knows of one.
type server struct {
	zone    string
	cell    int
	serving bool
	changed time.Time
	since   int64
	listed  []listing // by the list, in order
}

// listing is what the list has said of a server since a moment.
type listing struct {
	serving bool
	since   int64
	at      time.Time
}

// away is a time in which the list could not be reached.
type outage struct {
	proxy string // empty: by none
	span
}

// Referee judges one run. Its methods may be called from any goroutine.
type Referee struct {
	terms Terms

	mu              sync.Mutex
	clientAttempts  map[string]*ClientAttempt
	order           []*ClientAttempt
	attempts        []*Attempt
	proxies         map[string]*proxy
	servers         map[string]*server
	counts          map[string]int
	connects        []time.Time
	aways           []outage
	unansweredSends []UnansweredSend
	first           []Violation
	tally           Tally
}

// Tally is counts beside the rules.
type Tally struct {
	ListCalls   int `json:"list_calls"`   // by the proxies
	WatchBreaks int `json:"watch_breaks"` // watches that came too late to continue the last
	Resent      int `json:"resent"`       // requests sent once more since their connection was closed unread
	Tipped      int `json:"tipped"`       // servers that fell over
	Crashed     int `json:"crashed"`      // proxies that ended without having been told to
	Late        int `json:"late"`         // answers after their time, up to 500 ms
	Rejected    int `json:"turned_back"`  // requests whose new connection was closed unheard
}

// New is a referee for a run.
func New(t Terms) *Referee {
	return &Referee{terms: t, clientAttempts: map[string]*ClientAttempt{}, proxies: map[string]*proxy{}, servers: map[string]*server{},
		counts: map[string]int{}}
}

// Count adds to the tally.
func (r *Referee) Count(add func(*Tally)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.tally)
}

func (r *Referee) broken(v Violation) {
	r.counts[v.Rule]++
	if r.counts[v.Rule] <= violationTop {
		r.first = append(r.first, v)
	}
}

// Send notes a try that is about to be written to a proxy, or to none; from now on it may reach servers.
func (r *Referee) Send(t *ClientAttempt, proxy string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Proxy = proxy
	if r.clientAttempts[t.ID] == nil {
		r.order = append(r.order, t)
	}
	r.clientAttempts[t.ID] = t
}

// Taken notes that a try's last byte was written to the proxy's socket.
func (r *Referee) Taken(t *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Taken = at
}

// Answered notes a whole answer; made is the digest of its body.
func (r *Referee) Answered(t *ClientAttempt, at time.Time, status int, made uint64) End {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.End != Pending {
		return t.End
	}
	t.Status, t.Ended = status, at
	switch status {
	case 200:
		t.End = Served
		r.checkServed(t, at, made)
	case 429, 503:
		t.End = Rejected
		r.checkRejected(t, at)
	default:
		t.End = Failed
	}
	over := at.Sub(t.Deadline)
	switch {
	case over > maxLateness:
		r.lose(t, at, fmt.Sprintf("answered %v after its time", over.Round(time.Millisecond)))
	case over > r.terms.Slack+socketSlack:
		r.tally.Late++
	}
	return t.End
}

// judgeServed holds an answer 200 to what servers made for that request.
func (r *Referee) checkServed(t *ClientAttempt, at time.Time, made uint64) {
	for _, a := range t.attempts {
		if a.state == stateServed && a.Made == made {
			return
		}
	}
	r.broken(Violation{Rule: "garbled", At: at, Proxy: t.Proxy, Attempt: t.ID, Text: "the body is what no nodo made for it"})
}

// judgeRefused: a refusal says that trying again is harmless.
func (r *Referee) checkRejected(t *ClientAttempt, at time.Time) {
	class := r.terms.Classes[t.Class]
	if class.Repeat == Safe || class.Repeat == Keyed && class.Scope == "all" {
		return
	}
	for _, a := range t.attempts {
		if a.mayHaveRun() {
			r.broken(Violation{Rule: "repeat", At: at, Proxy: t.Proxy, Server: a.Server, Attempt: t.ID,
				Text: class.Name + " refused though an attempt may have run"})
			return
		}
	}
}

// Broke notes that a try's connection ended without an answer: before any of it came (unheard), or in the middle of
// one. The first request on a connection that is closed unheard has been turned back rather than lost.
func (r *Referee) Broke(t *ClientAttempt, at time.Time, inAnswer, firstOn bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.End != Pending {
		return
	}
	t.Ended = at
	switch {
	case t.Taken.IsZero():
		t.End = Unreached
	case inAnswer:
		t.End = Failed
	default:
		t.End, t.broken, t.rejected = Failed, true, firstOn
	}
}

// Unreachable notes that a try met no proxy.
func (r *Referee) Unreachable(t *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.End == Pending {
		t.End, t.Ended = Unreached, at
	}
}

// Silent notes that nothing has come for a try in its time and the slack.
func (r *Referee) Silent(t *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.End == Pending {
		t.End, t.Ended = Unanswered, at
	}
}

// Leaves notes that a client closes its connection without waiting any longer: no answer is owed from now on. False if the
// try has ended.
func (r *Referee) Leaves(t *ClientAttempt, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.End != Pending {
		return false
	}
	t.Left, t.Ended, t.End = at, at, Unanswered
	return true
}

// Twice notes that more came on a connection after a whole answer than the next request asked for.
func (r *Referee) Twice(t *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken(Violation{Rule: "twice", At: at, Proxy: t.Proxy, Attempt: t.ID, Text: "bytes came behind its answer"})
}

func (r *Referee) lose(t *ClientAttempt, at time.Time, text string) {
	if r.excused(t) {
		return
	}
	r.broken(Violation{Rule: "lost", At: at, Proxy: t.Proxy, Attempt: t.ID, Text: text})
}

func (r *Referee) proxy(name string) *proxy {
	p := r.proxies[name]
	if p == nil {
		p = &proxy{notified: map[string]notification{}}
		r.proxies[name] = p
	}
	return p
}

// judgeLost judges, at the end of a run, the tries that got no answer.
func (r *Referee) checkLost() {
	var turned []*ClientAttempt
	taken := 0
	for _, t := range r.order {
		if t.Taken.IsZero() || !t.Left.IsZero() {
			continue
		}
		taken++
		switch {
		case t.rejected:
			if !r.excused(t) && !r.crowded(t) {
				turned = append(turned, t)
			}
		case t.broken:
			r.lose(t, t.Ended, "its connection was closed without an answer")
		case t.End == Unanswered:
			r.lose(t, t.Ended, "nothing came in its time")
		}
	}
	r.tally.Rejected = len(turned)
	for i, t := range turned {
		if i >= (taken+rejectionsUnpriced-1)/rejectionsUnpriced {
			r.lose(t, t.Ended, "its new connection was closed unheard, as was one in 200 before")
		}
	}
}

// Record is all that a run left.
type Record struct {
	ClientAttempts  []*ClientAttempt
	Attempts        []*Attempt
	Broken          map[string]int
	Violations      []Violation // the first of each rule
	Connects        []time.Time // of each connection to a server
	UnansweredSends []UnansweredSend
	Tally           Tally
}

// Close judges what can be judged only at the end, and gives the record out. Nothing may be noted afterwards.
func (r *Referee) Close() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkLost()
	return Record{r.order, r.attempts, r.counts, r.first, r.connects, r.unansweredSends, r.tally}
}

// Misbehaving is the rule that a client which sends no proper request is owed an error or a close.
const Misbehaving = "rude"

// Misbehaved notes a client that got neither in its time.
func (r *Referee) Misbehaved(proxy string, from, to time.Time, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.excused(&ClientAttempt{Proxy: proxy, Sent: from, Deadline: to}) {
		return
	}
	r.broken(Violation{Rule: Misbehaving, At: to, Proxy: proxy, Text: text})
}
