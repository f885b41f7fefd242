// Package referee records every request and attempt of a run and checks the rules of service against that
// record. It never uses what proxies report: its facts come from the lab's clients, servers and endpoint
// list, and from the faults that the lab injected.
//
// Where the platform's documentation is ambiguous, the proxy gets the benefit of the doubt: an update counts
// from the moment that its last byte was written to the proxy's socket, and what a fault of the lab prevented
// is excused.
package referee

import (
	"fmt"
	"sync"
	"time"
)

// RetryClass says when requests of a class may be retried.
type RetryClass int

const (
	Idempotent     RetryClass = iota // may be retried and rejected at any time
	IdempotencyKey                   // retried only where the key is deduplicated, and while it is
	NonIdempotent                    // retried or rejected only if no attempt may have executed
)

// Class holds what the rules need to know about a class of requests.
type Class struct {
	Name       string
	RetryClass RetryClass
	KeyScope   string        // where keys are deduplicated: all, zone or cell
	KeyWindow  time.Duration // how long keys are deduplicated
}

// Config holds the parameters of the rules.
type Config struct {
	Classes        []Class
	MaxAttempts    int
	HedgingAllowed bool
	DrainGrace     time.Duration
	PollInterval   time.Duration // in which each proxy has to poll the list; 0: not checked
	DeadlineSlack  time.Duration // allowed beyond a deadline
}

const (
	notificationDeadline     = 6 * time.Second        // from a change in a reachable list until proxies count as notified
	socketSlack              = 50 * time.Millisecond  // added to each time limit that is observed on sockets
	maxLateness              = 500 * time.Millisecond // a response later than this counts as lost
	floodRecovery            = 500 * time.Millisecond // after a flood, until its idle clients are gone
	requestsPerExcusedClose  = 200                    // one request in so many may be closed unread
	failedPollFactor         = 4                      // the poll interval may be so much longer after a failed poll
	cancelGrace              = 100 * time.Millisecond // from a client's cancel, in which attempts may begin
	overloadInformedFraction = 2.0 / 3                // of the work, sent by proxies that knew of the start
	maxUnansweredSends       = 1_000_000              // about 100 MB
	violationsKept           = 20                     // for each rule, with their texts
)

// Violation is one breach of a rule.
type Violation struct {
	Rule    string    `json:"rule"`
	At      time.Time `json:"at"`
	Proxy   string    `json:"proxy,omitempty"`
	Server  string    `json:"nodo,omitempty"`
	Attempt string    `json:"try,omitempty"`
	Text    string    `json:"text"`
}

// notification is what a proxy was last told about a server.
type notification struct {
	serving     bool
	since       int64 // ms
	receivedAt  time.Time
	announcedAt time.Time // by the list; zero: not known
}

// proxy is what the referee knows about a proxy.
type proxy struct {
	notified       map[string]notification
	lastPollAt     time.Time // end of its last poll
	pendingPolls   int       // in flight
	lastPollFailed bool
	starts         int   // without a predecessor
	newestOrder    int64 // ListUpdate.Order that it received
	excuses        []span
	floods         []span
	costly         []span // see BeginCostlySpan
}

type span struct{ start, end time.Time }

// serverState is what the referee knows about a server.
type serverState struct {
	zone      string
	cell      int
	serving   bool
	changedAt time.Time
	since     int64
	listings  []listing // in order
}

// listing is an entry of the list for a server, from a moment on.
type listing struct {
	serving     bool
	since       int64
	announcedAt time.Time
}

// outage is a span in which the list was unreachable.
type outage struct {
	proxy string // empty: for all
	span
}

// Referee checks one run. Its methods may be called from any goroutine.
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

// Tally counts events that are not violations.
type Tally struct {
	ListCalls     int `json:"list_calls"`   // by the proxies
	WatchBreaks   int `json:"watch_breaks"` // watches that could not continue from the last version
	Resent        int `json:"resent"`       // requests sent again since their connection was closed unread
	Overloads     int `json:"tipped"`       // servers that failed under overload
	Crashed       int `json:"crashed"`      // proxies that exited without a signal
	LateResponses int `json:"late"`         // up to maxLateness after the deadline
	Rejected      int `json:"turned_back"`  // requests whose new connection was closed unread
}

// New returns the referee of a run.
func New(config Config) *Referee {
	return &Referee{config: config, clientAttempts: map[string]*ClientAttempt{}, proxies: map[string]*proxy{},
		servers: map[string]*serverState{}, violationCounts: map[string]int{}}
}

// UpdateTally calls update with the tally, under the referee's lock.
func (r *Referee) UpdateTally(update func(*Tally)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.tally)
}

func (r *Referee) violate(v Violation) {
	r.violationCounts[v.Rule]++
	if r.violationCounts[v.Rule] <= violationsKept {
		r.violations = append(r.violations, v)
	}
}

// RecordSend records an attempt that is about to be written to a proxy (empty: none); it may reach servers from now on.
func (r *Referee) RecordSend(clientAttempt *ClientAttempt, proxy string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clientAttempt.Proxy = proxy
	if r.clientAttempts[clientAttempt.ID] == nil {
		r.attemptOrder = append(r.attemptOrder, clientAttempt)
	}
	r.clientAttempts[clientAttempt.ID] = clientAttempt
}

// RecordWritten records that an attempt's last byte was written to the proxy's socket.
func (r *Referee) RecordWritten(clientAttempt *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clientAttempt.WrittenAt = at
}

// RecordReceived records when the last byte of an attempt's response was read from the proxy's socket.
func (r *Referee) RecordReceived(clientAttempt *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clientAttempt.ReceivedAt = at
}

// RecordResponse records a complete response with the digest of its body, and returns the attempt's outcome.
func (r *Referee) RecordResponse(clientAttempt *ClientAttempt, at time.Time, status int, digest uint64) Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clientAttempt.Outcome != Pending {
		return clientAttempt.Outcome
	}
	clientAttempt.Status, clientAttempt.EndedAt = status, at
	switch status {
	case 200:
		clientAttempt.Outcome = Served
		r.checkServed(clientAttempt, at, digest)
	case 429, 503:
		clientAttempt.Outcome = Rejected
		r.checkRejected(clientAttempt, at)
	default:
		clientAttempt.Outcome = Failed
	}
	late := clientAttempt.lateness(at)
	switch {
	case late > maxLateness:
		r.recordLost(clientAttempt, at,
			fmt.Sprintf("answered %v after its deadline", late.Round(time.Millisecond)))
	case late > r.config.DeadlineSlack+socketSlack:
		r.tally.LateResponses++
		r.checkLate(clientAttempt, at, late)
	}
	return clientAttempt.Outcome
}

// checkServed checks the body of a 200 against the bodies that servers sent for the request.
func (r *Referee) checkServed(clientAttempt *ClientAttempt, at time.Time, digest uint64) {
	for _, attempt := range clientAttempt.attempts {
		if attempt.state == stateServed && attempt.ResponseDigest == digest {
			return
		}
	}
	r.violate(Violation{Rule: "garbled", At: at, Proxy: clientAttempt.Proxy, Attempt: clientAttempt.ID,
		Text: "no nodo sent this body for the request"})
}

// checkRejected checks that a rejection, which invites a retry, leaves no attempt that may have executed.
func (r *Referee) checkRejected(clientAttempt *ClientAttempt, at time.Time) {
	class := r.config.Classes[clientAttempt.Class]
	if class.RetryClass == Idempotent || class.RetryClass == IdempotencyKey && class.KeyScope == "all" {
		return
	}
	for _, attempt := range clientAttempt.attempts {
		if attempt.mayHaveExecuted() {
			r.violate(Violation{Rule: "repeat", At: at, Proxy: clientAttempt.Proxy, Server: attempt.Server, Attempt: clientAttempt.ID,
				Text: class.Name + " rejected though an attempt may have been executed"})
			return
		}
	}
}

// RecordConnectionClosed records that a connection closed without a complete response. inResponse says that
// part of the response arrived, first that the attempt was the first one on the connection: if that is
// closed without any response, the attempt counts as rejected, not as lost.
func (r *Referee) RecordConnectionClosed(clientAttempt *ClientAttempt, at time.Time, inResponse, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clientAttempt.Outcome != Pending {
		return
	}
	clientAttempt.EndedAt = at
	switch {
	case clientAttempt.WrittenAt.IsZero():
		clientAttempt.Outcome = Unreached
	case inResponse:
		clientAttempt.Outcome = Failed
	default:
		clientAttempt.Outcome, clientAttempt.closedUnanswered, clientAttempt.rejected = Failed, true, first
	}
}

// RecordUnreachable records that an attempt reached no proxy.
func (r *Referee) RecordUnreachable(clientAttempt *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clientAttempt.Outcome == Pending {
		clientAttempt.Outcome, clientAttempt.EndedAt = Unreached, at
	}
}

// RecordTimeout records that no response came before the deadline and its slack.
func (r *Referee) RecordTimeout(clientAttempt *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clientAttempt.Outcome == Pending {
		clientAttempt.Outcome, clientAttempt.EndedAt = Unanswered, at
	}
}

// RecordClientCancel records that a client closes its connection before the response: none is expected any more. It returns
// false if the attempt has already ended.
func (r *Referee) RecordClientCancel(clientAttempt *ClientAttempt, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clientAttempt.Outcome != Pending {
		return false
	}
	clientAttempt.CanceledAt, clientAttempt.EndedAt, clientAttempt.Outcome = at, at, Unanswered
	return true
}

// RecordExtraBytes records bytes after a complete response that no request asked for.
func (r *Referee) RecordExtraBytes(clientAttempt *ClientAttempt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violate(Violation{Rule: "twice", At: at, Proxy: clientAttempt.Proxy, Attempt: clientAttempt.ID,
		Text: "unexpected bytes followed the response"})
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

// checkLost checks, at the end of a run, the attempts that got no response.
func (r *Referee) checkLost() {
	var rejected []*ClientAttempt
	written := 0
	for _, clientAttempt := range r.attemptOrder {
		if clientAttempt.WrittenAt.IsZero() || !clientAttempt.CanceledAt.IsZero() {
			continue
		}
		written++
		switch {
		case clientAttempt.rejected:
			if !r.isExcused(clientAttempt) && !r.isFlooded(clientAttempt) {
				rejected = append(rejected, clientAttempt)
			}
		case clientAttempt.closedUnanswered:
			r.recordLost(clientAttempt, clientAttempt.EndedAt, "the connection was closed without a response")
		case clientAttempt.Outcome == Unanswered && clientAttempt.EndedAt.Sub(clientAttempt.dueAt()) >= maxLateness:
			r.recordLost(clientAttempt, clientAttempt.EndedAt, "no response before the deadline")
		}
	}
	r.tally.Rejected = len(rejected)
	for i, clientAttempt := range rejected {
		if i >= (written+requestsPerExcusedClose-1)/requestsPerExcusedClose {
			r.recordLost(clientAttempt, clientAttempt.EndedAt,
				"the new connection was closed unread, which is allowed for only one request in 200")
		}
	}
}

// Record holds everything that was recorded in a run.
type Record struct {
	ClientAttempts  []*ClientAttempt
	Attempts        []*Attempt
	ViolationCounts map[string]int
	Violations      []Violation // the first violationsKept of each rule
	ConnectTimes    []time.Time // of the connections to servers
	UnansweredSends []UnansweredSend
	Tally           Tally
}

// Close runs the checks that need the complete run and returns the record. Nothing may be recorded afterwards.
func (r *Referee) Close() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkLost()
	return Record{r.attemptOrder, r.attempts, r.violationCounts, r.violations, r.connectTimes, r.unansweredSends, r.tally}
}

// Misbehaving is the rule that a client which sends an invalid request gets an error or a closed connection.
const Misbehaving = "rude"

// RecordMisbehavingClient records a misbehaving client that got neither an error nor a closed connection in
// time.
func (r *Referee) RecordMisbehavingClient(proxy string, from, to time.Time, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isExcused(&ClientAttempt{Proxy: proxy, StartedAt: from, Deadline: to}) {
		return
	}
	r.violate(Violation{Rule: Misbehaving, At: to, Proxy: proxy, Text: text})
}
