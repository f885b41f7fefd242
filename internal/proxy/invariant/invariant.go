// Package invariant checks, while the proxy runs, that what it does to each request keeps the protocol's rules. It knows
// nothing of how decisions come about: it is told what was taken, sent, ended, answered and closed, and reckons the rules
// from that alone, so that a fault in the decisions or in their carrying out shows as a count that is not zero.
package invariant

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"
)

// Kind is a rule that can be broken.
type Rule int

// The rules.
const (
	RespondedTwice         Rule = iota // a request got more than one final answer
	RespondedLate                      // its answer came over LateMost after its client's time
	RejectedAfterExecution             // it was refused though an attempt may have run and its class forbids that
	ConcurrentAttempt                  // an attempt began while another was out
	RetriedNonIdempotent               // an attempt began though one may have run, in a class that runs once
	RetriedOutsideScope                // the same in a keyed class, at a server outside the group
	RetriedAfterWindow                 // the same after the window for repeats
	TooManyAttempts                    // more attempts began than the settings allow
	SentAfterResponse                  // an attempt began for a request that has its answer
	SentToDraining                     // a first byte went to a server over the grace after the list said that it drains or is gone
	SentAfterDeadline                  // a first byte went out over HoldMost after the attempt's time
	ClosedInFlight                     // a client's connection was closed by the proxy under a request that it had taken
	ruleCount
)

var ruleNames = [ruleCount]string{"answered_twice", "answered_late", "refused_after_run", "second_copy", "repeated_unsafe",
	"repeated_elsewhere", "repeated_late", "too_many_attempts", "sent_after_answer", "sent_to_drained", "sent_late",
	"closed_unanswered"}

func (k Rule) String() string { return ruleNames[k] }

const (
	// SocketSlack is how much longer each of the protocol's time limits is on sockets.
	SocketSlack = 50 * time.Millisecond
	// LateMost is how long after its client's time an answer only earns nothing; later it is lost.
	MaxResponseDelay = 500 * time.Millisecond
	// HoldMost is how long the process may be held up between reading its clock and writing.
	MaxSchedulingDelay = 150 * time.Millisecond
)

// Violation is a rule that was broken.
type Violation struct {
	Rule    Rule
	Request string
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%v: request %s: %s", v.Rule, v.Request, v.Detail)
}

// Counts are how often each rule was broken. They may be used from any goroutine.
type Counts struct{ byRule [ruleCount]atomic.Int64 }

// Add counts violations.
func (c *Counts) Add(vs ...Violation) {
	for _, v := range vs {
		c.byRule[v.Rule].Add(1)
	}
}

// All are the counts by the rules' names, those that are zero too.
func (c *Counts) Snapshot() map[string]int64 {
	all := map[string]int64{}
	for k := range ruleCount {
		all[k.String()] = c.byRule[k].Load()
	}
	return all
}

// Total is how many violations there were.
func (c *Counts) Total() (n int64) {
	for k := range ruleCount {
		n += c.byRule[k].Load()
	}
	return n
}

// Repeat is what a class allows.
type Idempotency int

// What classes allow.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // again only in its group, within its window
	NonIdempotent                        // once
)

// Scope is the group of servers that drop a keyed request's repeats.
type DedupScope int

// The groups.
const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// Terms are the rules that a request was read by.
type Policy struct {
	Idempotency             Idempotency
	DedupScope              DedupScope
	DedupWindow             time.Duration
	MaxAttempts             int
	RejectedMayHaveExecuted bool // an answer that says so is no proof that nothing ran
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

// Take notes a request that has been taken; due is when its client gives up, zero if that is not known yet.
func NewRequest(id string, terms Policy, due time.Time) *Request {
	return &Request{id: id, policy: terms, deadline: due}
}

// Due notes when the client gives up.
func (r *Request) SetDeadline(at time.Time) {
	if r.deadline.IsZero() || at.Before(r.deadline) {
		r.deadline = at
	}
}

func (r *Request) violation(k Rule, format string, args ...any) Violation {
	return Violation{Rule: k, Request: r.id, Detail: fmt.Sprintf(format, args...)}
}

// Send notes an attempt that begins, and tells which rules that breaks.
func (r *Request) AttemptStarted(to Server, at time.Time) (broken []Violation) {
	add := func(k Rule, format string, args ...any) { broken = append(broken, r.violation(k, format, args...)) }
	if r.responded {
		add(SentAfterResponse, "an attempt at %s", to.Name)
	}
	if slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight }) {
		add(ConcurrentAttempt, "an attempt at %s beside one that is out", to.Name)
	}
	if len(r.attempts) >= r.policy.MaxAttempts {
		add(TooManyAttempts, "attempt %d of %d at %s", len(r.attempts)+1, r.policy.MaxAttempts, to.Name)
	}
	for _, a := range r.attempts {
		if !a.mayHaveExecuted || r.policy.Idempotency == Idempotent {
			continue
		}
		switch elapsed := at.Sub(a.startedAt); {
		case r.policy.Idempotency == NonIdempotent:
			add(RetriedNonIdempotent, "at %s after one at %s that may have run", to.Name, a.server.Name)
		case r.policy.DedupScope == DedupScopeZone && a.server.Zone != to.Zone, r.policy.DedupScope == DedupScopeCell && a.server.Cell != to.Cell:
			add(RetriedOutsideScope, "at %s outside the group of %s", to.Name, a.server.Name)
		case elapsed > r.policy.DedupWindow+SocketSlack:
			add(RetriedAfterWindow, "at %s %v after one that may have run, the window is %v", to.Name, elapsed, r.policy.DedupWindow)
		}
	}
	r.attempts = append(r.attempts, attempt{server: to, startedAt: at, inFlight: true, mayHaveExecuted: true})
	return broken
}

// Ended notes the end of an attempt, and whether it may have run.
func (r *Request) AttemptEnded(number int, mayRun bool) {
	if number < len(r.attempts) {
		r.attempts[number].inFlight, r.attempts[number].mayHaveExecuted = false, mayRun
	}
}

// Answer notes a final answer; refused tells the client that trying again is harmless.
func (r *Request) Responded(at time.Time, refused bool) (broken []Violation) {
	if r.responded {
		return []Violation{r.violation(RespondedTwice, "another answer")}
	}
	r.responded = true
	harmless := r.policy.Idempotency == Idempotent || r.policy.Idempotency == IdempotentWithKey && r.policy.DedupScope == DedupScopeAll
	if refused && !harmless && slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveExecuted }) {
		broken = append(broken, r.violation(RejectedAfterExecution, "an attempt may have run"))
	}
	if over := at.Sub(r.deadline); !r.deadline.IsZero() && over > MaxResponseDelay {
		broken = append(broken, r.violation(RespondedLate, "%v after its time", over))
	}
	return broken
}

// Gone notes that nobody waits for an answer any more.
func (r *Request) ClientGone() { r.responded = true }

// FirstByte tells which rules a first byte breaks that went to a server at a moment: due is the attempt's time, closed when
// the list last said that the server takes nothing new, zero if it does.
func CheckFirstByte(id, server string, at, due, closed time.Time, grace time.Duration) (broken []Violation) {
	if over := at.Sub(due); over > MaxSchedulingDelay {
		broken = append(broken, Violation{SentAfterDeadline, id, fmt.Sprintf("to %s %v after the attempt's time", server, over)})
	}
	if over := at.Sub(closed); !closed.IsZero() && over > grace+SocketSlack {
		broken = append(broken, Violation{SentToDraining, id, fmt.Sprintf("to %s %v after it was closed to new requests", server, over)})
	}
	return broken
}

// Closed tells that the proxy closed a client's connection under a request that it had taken and not answered.
func ConnClosed(id, reason string) Violation { return Violation{ClosedInFlight, id, reason} }
