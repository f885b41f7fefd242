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
type RetryClass int

const (
	Idempotent     RetryClass = iota // may be sent again and refused freely
	IdempotencyKey                   // again only within the group that drops repeats, while it does
	NonIdempotent                    // again or refused only where no attempt may have run
)

// Class is what the rules need to know of a class.
type Class struct {
	Name       string
	RetryClass RetryClass
	KeyScope   string // all, zone or cell, of a keyed class
	KeyWindow  time.Duration
}

// Terms are the metrics of the rules.
type Config struct {
	Classes        []Class
	MaxAttempts    int
	HedgingAllowed bool
	DrainGrace     time.Duration
	PollInterval   time.Duration
	DeadlineSlack  time.Duration // beyond a deadline
}

const (
	notificationDeadline     = 6 * time.Second        // after the list had a change and could be reached, it counts as told
	socketSlack              = 50 * time.Millisecond  // every time limit is this much longer on sockets
	maxLateness              = 500 * time.Millisecond // an answer after its time is late up to here, and lost beyond
	floodRecovery            = 500 * time.Millisecond // its clients take so long to leave
	requestsPerExcusedClose  = 200                    // one request in so many may be turned back unheard
	failedPollFactor         = 4                      // after a failed call the list need not be asked for so many times as long
	cancelGrace              = 100 * time.Millisecond // after a client has left attempts may begin for so long
	overloadInformedFraction = 2.0 / 3                // of the work, from proxies that knew of the start, breaks the rule
	maxUnansweredSends       = 1_000_000              // 100 MB
	violationsKept           = 20                     // of each rule are kept in full
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
	serving     bool
	since       int64 // ms
	receivedAt  time.Time
	announcedAt time.Time // when the list said so, as far as is known
}

// proxy is what the referee knows of one.
type proxy struct {
	notified       map[string]notification
	lastPollAt     time.Time // when its last call to the list ended
	pendingPolls   int       // calls that are out
	lastPollFailed bool      // the last call
	starts         int       // from nothing
	newestOrder    int64     // News.Order that it was told
	excuses        []span
	floods         []span
}

type span struct{ start, end time.Time }

// serverState is what the referee knows of one.
type serverState struct {
	zone      string
	cell      int
	serving   bool
	changedAt time.Time
	since     int64
	listings  []listing // by the list, in order
}

// listing is what the list has said of a server since a moment.
type listing struct {
	serving     bool
	since       int64
	announcedAt time.Time
}

// away is a time in which the list could not be reached.
type outage struct {
	proxy string // empty: by none
	span
}

// Referee judges one run. Its methods may be called from any goroutine.
type Referee struct {
	config Config

	mu              sync.Mutex
	clientAttempts  map[string]*ClientAttempt
	attemptOrder    []*ClientAttempt
	attempts        []*Attempt
	proxies         map[string]*proxy
	servers         map[string]*serverState
	violationCounts map[string]int
	connectTimes    []time.Time
	outages         []outage
	unansweredSends []UnansweredSend
	violations      []Violation
	tally           Tally
}

// Tally is counts beside the rules.
type Tally struct {
	ListCalls     int `json:"list_calls"`   // by the proxies
	WatchBreaks   int `json:"watch_breaks"` // watches that came too late to continue the last
	Resent        int `json:"resent"`       // requests sent once more since their connection was closed unread
	Overloads     int `json:"tipped"`       // servers that fell over
	Crashed       int `json:"crashed"`      // proxies that ended without having been told to
	LateResponses int `json:"late"`         // answers after their time, up to 500 ms
	Rejected      int `json:"turned_back"`  // requests whose new connection was closed unheard
}

// New is a referee for a run.
func New(t Config) *Referee {
	return &Referee{config: t, clientAttempts: map[string]*ClientAttempt{}, proxies: map[string]*proxy{}, servers: map[string]*serverState{},
		violationCounts: map[string]int{}}
}

// Count adds to the tally.
func (r *Referee) UpdateTally(add func(*Tally)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.tally)
}

func (r *Referee) violate(v Violation) {
	r.violationCounts[v.Rule]++
	if r.violationCounts[v.Rule] <= violationsKept {
		r.violations = append(r.violations, v)
	}
}

// Send notes a try that is about to be written to a proxy, or to none; from now on it may reach servers.
func (r *Referee) RecordSend(clientAttempt *ClientAttempt, proxy string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clientAttempt.Proxy = proxy
	if r.clientAttempts[clientAttempt.ID] == nil {
		r.attemptOrder = append(r.attemptOrder, clientAttempt)
	}
	r.clientAttempts[clientAttempt.ID] = clientAttempt
}

// Taken notes that a try's last byte was written to the proxy's socket.
func (r *Referee) RecordWritten(clientAttempt *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clientAttempt.WrittenAt = at
}

// Answered notes a whole answer; made is the digest of its body.
func (r *Referee) RecordResponse(clientAttempt *ClientAttempt, at time.Time, status int, made uint64) Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clientAttempt.Outcome != Pending {
		return clientAttempt.Outcome
	}
	clientAttempt.Status, clientAttempt.EndedAt = status, at
	switch status {
	case 200:
		clientAttempt.Outcome = Served
		r.checkServed(clientAttempt, at, made)
	case 429, 503:
		clientAttempt.Outcome = Rejected
		r.checkRejected(clientAttempt, at)
	default:
		clientAttempt.Outcome = Failed
	}
	over := at.Sub(clientAttempt.Deadline)
	switch {
	case over > maxLateness:
		r.recordLost(clientAttempt, at, fmt.Sprintf("answered %v after its time", over.Round(time.Millisecond)))
	case over > r.config.DeadlineSlack+socketSlack:
		r.tally.LateResponses++
	}
	return clientAttempt.Outcome
}

// judgeServed holds an answer 200 to what servers made for that request.
func (r *Referee) checkServed(clientAttempt *ClientAttempt, at time.Time, made uint64) {
	for _, attempt := range clientAttempt.attempts {
		if attempt.state == stateServed && attempt.ResponseDigest == made {
			return
		}
	}
	r.violate(Violation{Rule: "garbled", At: at, Proxy: clientAttempt.Proxy, Attempt: clientAttempt.ID, Text: "the body is what no nodo made for it"})
}

// judgeRefused: a refusal says that trying again is harmless.
func (r *Referee) checkRejected(clientAttempt *ClientAttempt, at time.Time) {
	class := r.config.Classes[clientAttempt.Class]
	if class.RetryClass == Idempotent || class.RetryClass == IdempotencyKey && class.KeyScope == "all" {
		return
	}
	for _, attempt := range clientAttempt.attempts {
		if attempt.mayHaveExecuted() {
			r.violate(Violation{Rule: "repeat", At: at, Proxy: clientAttempt.Proxy, Server: attempt.Server, Attempt: clientAttempt.ID,
				Text: class.Name + " refused though an attempt may have run"})
			return
		}
	}
}

// Broke notes that a try's connection ended without an answer: before any of it came (unheard), or in the middle of
// one. The first request on a connection that is closed unheard has been turned back rather than lost.
func (r *Referee) RecordConnectionClosed(clientAttempt *ClientAttempt, at time.Time, inAnswer, firstOn bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clientAttempt.Outcome != Pending {
		return
	}
	clientAttempt.EndedAt = at
	switch {
	case clientAttempt.WrittenAt.IsZero():
		clientAttempt.Outcome = Unreached
	case inAnswer:
		clientAttempt.Outcome = Failed
	default:
		clientAttempt.Outcome, clientAttempt.closedUnanswered, clientAttempt.rejected = Failed, true, firstOn
	}
}

// Unreachable notes that a try met no proxy.
func (r *Referee) RecordUnreachable(clientAttempt *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clientAttempt.Outcome == Pending {
		clientAttempt.Outcome, clientAttempt.EndedAt = Unreached, at
	}
}

// Silent notes that nothing has come for a try in its time and the slack.
func (r *Referee) RecordTimeout(clientAttempt *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clientAttempt.Outcome == Pending {
		clientAttempt.Outcome, clientAttempt.EndedAt = Unanswered, at
	}
}

// Leaves notes that a client closes its connection without waiting any longer: no answer is owed from now on. False if the
// try has ended.
func (r *Referee) RecordClientCancel(clientAttempt *ClientAttempt, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clientAttempt.Outcome != Pending {
		return false
	}
	clientAttempt.CanceledAt, clientAttempt.EndedAt, clientAttempt.Outcome = at, at, Unanswered
	return true
}

// Twice notes that more came on a connection after a whole answer than the next request asked for.
func (r *Referee) RecordExtraBytes(clientAttempt *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violate(Violation{Rule: "twice", At: at, Proxy: clientAttempt.Proxy, Attempt: clientAttempt.ID, Text: "bytes came behind its answer"})
}

func (r *Referee) recordLost(clientAttempt *ClientAttempt, at time.Time, text string) {
	if r.isExcused(clientAttempt) {
		return
	}
	r.violate(Violation{Rule: "lost", At: at, Proxy: clientAttempt.Proxy, Attempt: clientAttempt.ID, Text: text})
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
	for _, clientAttempt := range r.attemptOrder {
		if clientAttempt.WrittenAt.IsZero() || !clientAttempt.CanceledAt.IsZero() {
			continue
		}
		taken++
		switch {
		case clientAttempt.rejected:
			if !r.isExcused(clientAttempt) && !r.isFlooded(clientAttempt) {
				turned = append(turned, clientAttempt)
			}
		case clientAttempt.closedUnanswered:
			r.recordLost(clientAttempt, clientAttempt.EndedAt, "its connection was closed without an answer")
		case clientAttempt.Outcome == Unanswered:
			r.recordLost(clientAttempt, clientAttempt.EndedAt, "nothing came in its time")
		}
	}
	r.tally.Rejected = len(turned)
	for i, clientAttempt := range turned {
		if i >= (taken+requestsPerExcusedClose-1)/requestsPerExcusedClose {
			r.recordLost(clientAttempt, clientAttempt.EndedAt, "its new connection was closed unheard, as was one in 200 before")
		}
	}
}

// Record is all that a run left.
type Record struct {
	ClientAttempts  []*ClientAttempt
	Attempts        []*Attempt
	ViolationCounts map[string]int
	Violations      []Violation // the first of each rule
	ConnectTimes    []time.Time // of each connection to a server
	UnansweredSends []UnansweredSend
	Tally           Tally
}

// Close judges what can be judged only at the end, and gives the record out. Nothing may be noted afterwards.
func (r *Referee) Close() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkLost()
	return Record{r.attemptOrder, r.attempts, r.violationCounts, r.violations, r.connectTimes, r.unansweredSends, r.tally}
}

// Misbehaving is the rule that a client which sends no proper request is owed an error or a close.
const Misbehaving = "rude"

// Misbehaved notes a client that got neither in its time.
func (r *Referee) RecordMisbehavingClient(proxy string, from, to time.Time, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isExcused(&ClientAttempt{Proxy: proxy, StartedAt: from, Deadline: to}) {
		return
	}
	r.violate(Violation{Rule: Misbehaving, At: to, Proxy: proxy, Text: text})
}
