// Package guard checks, while the proxy runs, that what it does to each request keeps the protocol's rules. It knows
// nothing of how decisions come about: it is told what was taken, sent, ended, answered and closed, and reckons the rules
// from that alone, so that a fault in the decisions or in their carrying out shows as a count that is not zero.
package guard

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"
)

// Kind is a rule that can be broken.
type Kind int

// The rules.
const (
	AnsweredTwice     Kind = iota // a request got more than one final answer
	AnsweredLate                  // its answer came over LateMost after its client's time
	RefusedAfterRun               // it was refused though an attempt may have run and its class forbids that
	SecondCopy                    // an attempt began while another was out
	RepeatedUnsafe                // an attempt began though one may have run, in a class that runs once
	RepeatedElsewhere             // the same in a keyed class, at a server outside the group
	RepeatedLate                  // the same after the window for repeats
	TooManyAttempts               // more attempts began than the settings allow
	SentAfterAnswer               // an attempt began for a request that has its answer
	SentToDrained                 // a first byte went to a server over the grace after the list said that it drains or is gone
	SentLate                      // a first byte went out over HoldMost after the attempt's time
	ClosedUnanswered              // a client's connection was closed by the proxy under a request that it had taken
	kinds
)

var names = [kinds]string{"answered_twice", "answered_late", "refused_after_run", "second_copy", "repeated_unsafe",
	"repeated_elsewhere", "repeated_late", "too_many_attempts", "sent_after_answer", "sent_to_drained", "sent_late",
	"closed_unanswered"}

func (k Kind) String() string { return names[k] }

const (
	// SocketSlack is how much longer each of the protocol's time limits is on sockets.
	SocketSlack = 50 * time.Millisecond
	// LateMost is how long after its client's time an answer only earns nothing; later it is lost.
	LateMost = 500 * time.Millisecond
	// HoldMost is how long the process may be held up between reading its clock and writing.
	HoldMost = 150 * time.Millisecond
)

// Violation is a rule that was broken.
type Violation struct {
	Kind    Kind
	Request string
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%v: request %s: %s", v.Kind, v.Request, v.Detail)
}

// Counts are how often each rule was broken. They may be used from any goroutine.
type Counts struct{ of [kinds]atomic.Int64 }

// Add counts violations.
func (c *Counts) Add(vs ...Violation) {
	for _, v := range vs {
		c.of[v.Kind].Add(1)
	}
}

// All are the counts by the rules' names, those that are zero too.
func (c *Counts) All() map[string]int64 {
	all := map[string]int64{}
	for k := range kinds {
		all[k.String()] = c.of[k].Load()
	}
	return all
}

// Total is how many violations there were.
func (c *Counts) Total() (n int64) {
	for k := range kinds {
		n += c.of[k].Load()
	}
	return n
}

// Repeat is what a class allows.
type Repeat int

// What classes allow.
const (
	Safe   Repeat = iota // may run any number of times
	Keyed                // again only in its group, within its window
	Unsafe               // once
)

// Scope is the group of servers that drop a keyed request's repeats.
type Scope int

// The groups.
const (
	All Scope = iota
	Zone
	Cell
)

// Terms are the rules that a request was read by.
type Terms struct {
	Repeat      Repeat
	Scope       Scope
	Window      time.Duration
	MaxAttempts int
	FullMayRun  bool // an answer that says so is no proof that nothing ran
}

// Server is where an attempt goes.
type Server struct {
	Name string
	Zone string
	Cell int
}

// Request is what is known of one request. One goroutine uses it.
type Request struct {
	id       string
	terms    Terms
	due      time.Time // zero: its client's time has not begun
	answered bool
	attempts []attempt
}

type attempt struct {
	to     Server
	at     time.Time
	out    bool
	mayRun bool
}

// Take notes a request that has been taken; due is when its client gives up, zero if that is not known yet.
func Take(id string, terms Terms, due time.Time) *Request {
	return &Request{id: id, terms: terms, due: due}
}

// Due notes when the client gives up.
func (r *Request) Due(at time.Time) {
	if r.due.IsZero() || at.Before(r.due) {
		r.due = at
	}
}

func (r *Request) violation(k Kind, format string, args ...any) Violation {
	return Violation{Kind: k, Request: r.id, Detail: fmt.Sprintf(format, args...)}
}

// Send notes an attempt that begins, and tells which rules that breaks.
func (r *Request) Send(to Server, at time.Time) (broken []Violation) {
	add := func(k Kind, format string, args ...any) { broken = append(broken, r.violation(k, format, args...)) }
	if r.answered {
		add(SentAfterAnswer, "an attempt at %s", to.Name)
	}
	if slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.out }) {
		add(SecondCopy, "an attempt at %s beside one that is out", to.Name)
	}
	if len(r.attempts) >= r.terms.MaxAttempts {
		add(TooManyAttempts, "attempt %d of %d at %s", len(r.attempts)+1, r.terms.MaxAttempts, to.Name)
	}
	for _, a := range r.attempts {
		if !a.mayRun || r.terms.Repeat == Safe {
			continue
		}
		switch elapsed := at.Sub(a.at); {
		case r.terms.Repeat == Unsafe:
			add(RepeatedUnsafe, "at %s after one at %s that may have run", to.Name, a.to.Name)
		case r.terms.Scope == Zone && a.to.Zone != to.Zone, r.terms.Scope == Cell && a.to.Cell != to.Cell:
			add(RepeatedElsewhere, "at %s outside the group of %s", to.Name, a.to.Name)
		case elapsed > r.terms.Window+SocketSlack:
			add(RepeatedLate, "at %s %v after one that may have run, the window is %v", to.Name, elapsed, r.terms.Window)
		}
	}
	r.attempts = append(r.attempts, attempt{to: to, at: at, out: true, mayRun: true})
	return broken
}

// Ended notes the end of an attempt, and whether it may have run.
func (r *Request) Ended(number int, mayRun bool) {
	if number < len(r.attempts) {
		r.attempts[number].out, r.attempts[number].mayRun = false, mayRun
	}
}

// Answer notes a final answer; refused tells the client that trying again is harmless.
func (r *Request) Answer(at time.Time, refused bool) (broken []Violation) {
	if r.answered {
		return []Violation{r.violation(AnsweredTwice, "another answer")}
	}
	r.answered = true
	harmless := r.terms.Repeat == Safe || r.terms.Repeat == Keyed && r.terms.Scope == All
	if refused && !harmless && slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayRun }) {
		broken = append(broken, r.violation(RefusedAfterRun, "an attempt may have run"))
	}
	if over := at.Sub(r.due); !r.due.IsZero() && over > LateMost {
		broken = append(broken, r.violation(AnsweredLate, "%v after its time", over))
	}
	return broken
}

// Gone notes that nobody waits for an answer any more.
func (r *Request) Gone() { r.answered = true }

// FirstByte tells which rules a first byte breaks that went to a server at a moment: due is the attempt's time, closed when
// the list last said that the server takes nothing new, zero if it does.
func FirstByte(id, server string, at, due, closed time.Time, grace time.Duration) (broken []Violation) {
	if over := at.Sub(due); over > HoldMost {
		broken = append(broken, Violation{SentLate, id, fmt.Sprintf("to %s %v after the attempt's time", server, over)})
	}
	if over := at.Sub(closed); !closed.IsZero() && over > grace+SocketSlack {
		broken = append(broken, Violation{SentToDrained, id, fmt.Sprintf("to %s %v after it was closed to new requests", server, over)})
	}
	return broken
}

// Closed tells that the proxy closed a client's connection under a request that it had taken and not answered.
func Closed(id, reason string) Violation { return Violation{ClosedUnanswered, id, reason} }
