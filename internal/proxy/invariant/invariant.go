// Package invariant checks, while the proxy runs, that what it does to each request keeps the protocol's rules. It knows
// nothing of how decisions come about: it is notified of what was taken, sent, ended, answered and closed, and derives the rules
// from that alone. So a fault in the decisions, or in how they are carried out, shows as a count that is not zero. It never
// changes what it watches, and does not log.
package invariant

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"
)

// Rule is a rule that can be broken.
type Rule int

// The rules.
const (
	RespondedTwice         Rule = iota // a request got more than one final response
	RespondedLate                      // its response came more than MaxResponseDelay after its client's deadline
	RejectedAfterExecution             // it was rejected though an attempt may have been executed and its class forbids that
	ConcurrentAttempt                  // an attempt began while another was in flight
	RetriedNonIdempotent               // an attempt began though one may have been executed, in a class that is executed once
	RetriedOutsideScope                // the same with an idempotency key, at a server outside the deduplication scope
	RetriedAfterWindow                 // the same after the deduplication window
	TooManyAttempts                    // more attempts began than the settings allow
	SentAfterResponse                  // an attempt began for a request that has its response
	SentToDraining                     // a first byte was sent more than the grace after the list said that the server drains or is gone
	SentAfterDeadline                  // a first byte was sent more than MaxSchedulingDelay after the attempt's deadline
	ClosedInFlight                     // the proxy closed a client's connection under a request that it had taken
	ruleCount
)

// ruleNames are the rules' names in metrics and logs.
var ruleNames = [ruleCount]string{"answered_twice", "answered_late", "refused_after_run", "second_copy", "repeated_unsafe",
	"repeated_elsewhere", "repeated_late", "too_many_attempts", "sent_after_answer", "sent_to_drained", "sent_late",
	"closed_unanswered"}

// String is the rule's name in metrics and logs.
func (r Rule) String() string { return ruleNames[r] }

const (
	// SocketSlack is how much longer each of the protocol's time limits is on sockets.
	SocketSlack = 50 * time.Millisecond
	// MaxResponseDelay is how long after its client's deadline a response still reaches the client, though it earns nothing.
	MaxResponseDelay = 500 * time.Millisecond
	// MaxSchedulingDelay is how long the process may be delayed between reading its clock and writing.
	MaxSchedulingDelay = 150 * time.Millisecond
)

// Violation is a rule that was broken.
type Violation struct {
	Rule    Rule
	Request string // its ID
	Detail  string
}

// String names the rule, the request and the circumstances.
func (v Violation) String() string {
	return fmt.Sprintf("%v: request %s: %s", v.Rule, v.Request, v.Detail)
}

// Counts are how often each rule was broken. They may be used from any goroutine.
type Counts struct{ byRule [ruleCount]atomic.Int64 }

// Add counts violations.
func (c *Counts) Add(violations ...Violation) {
	for _, v := range violations {
		c.byRule[v.Rule].Add(1)
	}
}

// Snapshot are the counts by the rules' names, those that are zero too.
func (c *Counts) Snapshot() map[string]int64 {
	counts := map[string]int64{}
	for rule := range ruleCount {
		counts[rule.String()] = c.byRule[rule].Load()
	}
	return counts
}

// Idempotency is how often a request of a class may be executed.
type Idempotency int

// What classes allow.
const (
	Idempotent        Idempotency = iota // any number of times
	IdempotentWithKey                    // again only in its DedupScope, within its deduplication window
	NonIdempotent                        // once
)

// DedupScope is the set of servers that drop the repeats of a request with an idempotency key.
type DedupScope int

// The scopes.
const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// includes reports whether two servers are in one scope.
func (s DedupScope) includes(x, y Server) bool {
	switch s {
	case DedupScopeZone:
		return x.Zone == y.Zone
	case DedupScopeCell:
		return x.Cell == y.Cell
	}
	return true
}

// Policy is what the settings that a request was read by allow.
type Policy struct {
	Idempotency Idempotency
	DedupScope  DedupScope    // with IdempotentWithKey
	DedupWindow time.Duration // with IdempotentWithKey
	MaxAttempts int
}

// Server is where an attempt goes.
type Server struct {
	Name string
	Zone string
	Cell int
}

// Request is what is known of one request. One goroutine uses it.
type Request struct {
	id        string
	policy    Policy
	deadline  time.Time // zero: its client's time has not begun
	responded bool
	attempts  []attempt
}

type attempt struct {
	server          Server
	startedAt       time.Time
	inFlight        bool
	mayHaveExecuted bool
}

// NewRequest notes a request that has been taken; deadline is its client's, zero if that is not known yet.
func NewRequest(id string, policy Policy, deadline time.Time) *Request {
	return &Request{id: id, policy: policy, deadline: deadline}
}

// SetDeadline notes the client's deadline. The earliest counts.
func (r *Request) SetDeadline(deadline time.Time) {
	if r.deadline.IsZero() || deadline.Before(r.deadline) {
		r.deadline = deadline
	}
}

func (r *Request) violation(rule Rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Request: r.id, Detail: fmt.Sprintf(format, args...)}
}

// AttemptStarted notes an attempt that begins, and returns the rules that this breaks.
func (r *Request) AttemptStarted(to Server, startedAt time.Time) (broken []Violation) {
	add := func(rule Rule, format string, args ...any) {
		broken = append(broken, r.violation(rule, format, args...))
	}
	if r.responded {
		add(SentAfterResponse, "an attempt at %s", to.Name)
	}
	if slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight }) {
		add(ConcurrentAttempt, "an attempt at %s beside one in flight", to.Name)
	}
	if len(r.attempts) >= r.policy.MaxAttempts {
		add(TooManyAttempts, "attempt %d of %d at %s", len(r.attempts)+1, r.policy.MaxAttempts, to.Name)
	}
	for _, former := range r.attempts {
		if !former.mayHaveExecuted || r.policy.Idempotency == Idempotent {
			continue
		}
		switch elapsed := startedAt.Sub(former.startedAt); {
		case r.policy.Idempotency == NonIdempotent:
			add(RetriedNonIdempotent, "at %s after one at %s that may have been executed", to.Name, former.server.Name)
		case !r.policy.DedupScope.includes(former.server, to):
			add(RetriedOutsideScope, "at %s outside the deduplication scope of %s", to.Name, former.server.Name)
		case elapsed > r.policy.DedupWindow+SocketSlack:
			add(RetriedAfterWindow, "at %s %v after one that may have been executed, the window is %v",
				to.Name, elapsed, r.policy.DedupWindow)
		}
	}
	r.attempts = append(r.attempts, attempt{server: to, startedAt: startedAt, inFlight: true, mayHaveExecuted: true})
	return broken
}

// AttemptEnded notes the end of an attempt, by its number from 0, and whether it may have been executed.
func (r *Request) AttemptEnded(number int, mayHaveExecuted bool) {
	if number < len(r.attempts) {
		r.attempts[number].inFlight, r.attempts[number].mayHaveExecuted = false, mayHaveExecuted
	}
}

// Responded notes a final response, and returns the rules that this breaks. One that rejects the request lets its client know
// that a retry is harmless.
func (r *Request) Responded(moment time.Time, rejected bool) (broken []Violation) {
	if r.responded {
		return []Violation{r.violation(RespondedTwice, "another response")}
	}
	r.responded = true
	harmless := r.policy.Idempotency == Idempotent || r.policy.Idempotency == IdempotentWithKey && r.policy.DedupScope == DedupScopeAll
	if rejected && !harmless && slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveExecuted }) {
		broken = append(broken, r.violation(RejectedAfterExecution, "an attempt may have been executed"))
	}
	if delay := moment.Sub(r.deadline); !r.deadline.IsZero() && delay > MaxResponseDelay {
		broken = append(broken, r.violation(RespondedLate, "%v after its deadline", delay))
	}
	return broken
}

// ClientGone notes that nobody waits for a response any more.
func (r *Request) ClientGone() { r.responded = true }

// FirstByte is the moment in which an attempt's first byte is sent.
type FirstByte struct {
	Request          string // its ID
	Server           string // its name
	SentAt           time.Time
	Deadline         time.Time     // of the attempt
	UnavailableSince time.Time     // when the list or an override last took the server out; zero: it takes new requests
	Grace            time.Duration // in which sends must stop then
}

// Check returns the rules that the first byte breaks.
func (b FirstByte) Check() (broken []Violation) {
	if delay := b.SentAt.Sub(b.Deadline); delay > MaxSchedulingDelay {
		broken = append(broken, Violation{SentAfterDeadline, b.Request, fmt.Sprintf("to %s %v after the attempt's deadline", b.Server, delay)})
	}
	if delay := b.SentAt.Sub(b.UnavailableSince); !b.UnavailableSince.IsZero() && delay > b.Grace+SocketSlack {
		broken = append(broken, Violation{SentToDraining, b.Request, fmt.Sprintf("to %s %v after it was closed to new requests", b.Server, delay)})
	}
	return broken
}

// ConnClosed is the violation of a client's connection that the proxy closed under a request, by ID, that it had taken and
// not answered.
func ConnClosed(request, reason string) Violation { return Violation{ClosedInFlight, request, reason} }
