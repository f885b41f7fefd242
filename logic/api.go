// Package logic decides, for one proxy of one tier, which server gets each call and which calls are
// refused. This file is its interface: settings, events and actions. It holds no decisions; those are
// in the files that deploy/balancer.toml names under policy.
//
// One Balancer serves one proxy. It is not safe for concurrent use: the owner calls one event method at
// a time, in the order in which the events happened, each with the time of the owner's clock. Times and
// durations are whole microseconds; the clock may begin anywhere and only advances. A Balancer keeps no
// goroutines, locks or global state, reads no clock and draws its random numbers from the seed alone, so
// the same events give the same actions.
package logic

import (
	"fmt"
	"strings"
)

// Repeat tells whether a class of requests may run more than once.
type Repeat int

// The repeat classes.
const (
	Safe   Repeat = iota // may run any number of times
	Keyed                // carries a key; servers of one group drop repeats within Class.Window
	Unsafe               // must never run twice
)

// Group is the set of servers that drop a Keyed class's repeats between them.
type Group int

// The groups of servers.
const (
	GroupAll  Group = iota // all servers of the tier
	GroupZone              // those of one zone
	GroupCell              // those of one cell
)

// Class describes one class of requests.
type Class struct {
	Name      string  // by which Reconfigure knows it again; says nothing else
	Aim       int64   // an answer within this earns the full worth
	Deadline  int64   // a client waits this long at most, all its tries included
	Worth     float64 // worth of one request
	LateWorth float64 // part of the worth earned between aim and deadline
	Repeat    Repeat
	Group     Group // for Keyed
	Window    int64 // for Keyed: how long repeats are dropped, from the first send that may have run
	ByArrival bool  // requests with one key run one at a time, in the order in which this proxy took them
}

// Tenant describes one origin of requests.
type Tenant struct {
	Name    string  // by which Reconfigure knows it again; says nothing else
	Portion float64 // its part of the service
	Quota   float64 // requests a second inside its share, over all proxies
}

// Settings are handed over at the start and not changed afterwards; others may take their place with Reconfigure.
type Settings struct {
	Stage     int // the tier that this proxy sends to; 0 is the front
	Siblings  int // proxies of this tier, this one included
	Ordinal   int // this proxy's number among them, from 0
	Zone      int // this proxy's zone
	Zones     int
	Classes   []Class
	Tenants   []Tenant // may be empty
	Subscribe bool     // the list of servers comes only after Host.Watch
	SizeHints bool     // Server.Size compares servers; otherwise it says nothing

	MaxAttempts int   // sends for one request at most
	OrderSettle int64 // ByArrival: a key rests this long after a time-out, reset or cancel
	FullMayRun  bool  // FullUp is no proof that an attempt never ran

	// In any BudgetSpan, attempts beyond each request's first number at most BudgetFree plus BudgetShare
	// times the requests taken in it. A BudgetSpan of 0: no budget is stated, and the module keeps its own.
	BudgetSpan  int64
	BudgetFree  float64
	BudgetShare float64

	MaxRetryAfter int64 // the longest hint that a client heeds; 0: hints are not heeded
	DrainGrace    int64 // sends to a draining or gone server must have stopped by then
	AskEvery      int64 // with Subscribe: the longest time without a subscription or a call

	// EvidenceSpan is how long a list that was confirmed, or a call that a server took, shows that the server is listed. Once
	// the list was not confirmed for longer, calls go to servers that kept taking calls. 0: a list holds without limit.
	EvidenceSpan int64

	StartCapacity float64 // part of its capacity that a server starts with, at least
	Cold          int64   // a server is warm after this at the latest
	TipMultiple   float64 // of its present capacity: a cold server that all copies together send more than this
	FallSpan      int64   // for so long falls over; a TipMultiple of 0: not stated

	Undamped bool // with others told: servers that flap are not damped
	Untuned  bool // with others told: weights are not tuned for the tail

	ByWork bool // worth is counted for each unit of work, not for each request
}

// State is what the list says of a server.
type State int

// The states of a server.
const (
	Gone State = iota
	Ready
	Draining
)

// Server is an entry of the list of servers.
type Server struct {
	ID       string
	Zone     int
	Cell     int
	State    State
	Size     float64
	Launched int64 // when it last started, by the list's clock: another one is another start; 0: long ago
	Started  int64 // the same on the clock of events, where the two may differ; 0: as Launched
}

// ListKind tells what a List event holds.
type ListKind int

// The kinds of list.
const (
	Delta  ListKind = iota // changed entries only
	Full                   // the whole list
	Cached                 // the whole list as last known, maybe old
	Failed                 // a call or the subscription failed; the old list stands
)

// Request is a request that a client has handed to this proxy.
type Request struct {
	ID     string
	Class  int
	Tenant int
	Key    string // its subject, or empty
	GiveUp int64  // when the client abandons it

	// Under are the settings that the request was read by, as Rules gave them; nil for those in force.
	Under *Settings

	// Uploading: its body is still coming. It may be sent already; its time begins with Uploaded.
	Uploading bool
}

// NoticeKind tells what a Notice says.
type NoticeKind int

// The kinds of notice.
const (
	ServerBad     NoticeKind = iota // the observer's calls to a server fail: Cause says how
	ServerHealthy                   // the observer's calls to a server that others call bad are answered
	ZoneBad                         // most of what was sent lately from the observer's zone to the zone Of failed
	ZoneHealthy                     // most of it was answered, or nothing was sent; Slow: it is, by the observer's measure
	ServerFlap                      // transitions of a server's health: Value is the penalty that they add up to
	ServerLoad                      // a summary of a server's load and time
)

// Cause tells how calls fail.
type Cause int

// The causes.
const (
	NoCause Cause = iota
	Failing       // answered with an error
	Silent        // no answer, no connection, or one that broke
	Slow          // answered, but late
	Crowded       // turned away unrun
)

// Notice is something that one proxy saw, told to others with its age.
type Notice struct {
	Kind     NoticeKind
	Cause    Cause
	Observer string  // the proxy's name; empty: this one
	Zone     int     // the observer's
	Server   string  // of Server...: its ID
	Launched int64   // of Server...: Server.Launched as the observer's list has it
	Of       int     // of Zone...: the zone that is seen
	Calls    float64 // evidence: the calls that the notice rests on; they fade over about a second
	Bad      float64 // the part of them that were bad, 0 to 1
	Value    float64 // Zone...: the part that the observer gives it; ServerLoad: mean time; ServerFlap: penalty
	At       int64   // when it was last true, on the reader's clock of events
}

// Peers is what the other proxies of the tier tell. Without any, or Alone, a Balancer decides by itself.
type Peers struct {
	Living  int      // proxies of the tier that are alive, this one included, as far as is known
	Near    int      // those of them in this one's zone, this one included
	Alone   bool     // nobody was heard for so long that what they said is worth nothing
	Notices []Notice // all that is known of others and has not ended; the former set is replaced
}

// Standing is how a zone stands as seen from this proxy's own.
type Standing int

// The standings of a zone.
const (
	Healthy   Standing = iota
	Pressed            // home is slow: other zones get a part of its calls
	Leaving            // most calls fail; it gets less until that is sure
	Away               // it gets trials only
	Returning          // it gets its fair part by steps
	Drained            // suspended by hand: it gets nothing
)

// ZoneState tells on-call staff and figures how a zone stands and why.
type ZoneState struct {
	Zone     int
	Standing Standing
	Share    float64 // the part of its fair weight that it gets, 0 to 1
	Epoch    int     // how often its standing changed
	Since    int64   // when it last did
	Cause    Cause   // of its bad calls, as of then
	Calls    float64 // the evidence of all copies of this zone at the last look: calls, and their bad part
	Bad      float64
	Say      int // copies of this zone that have evidence
	SayBad   int // and those of them that call it bad
}

// Status is how an attempt ended.
type Status int

// The outcomes of an attempt. Full, ConnectFailed and Moot prove that it never ran.
const (
	OK Status = iota
	Error
	FullUp
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// Outcome is the end of an attempt; each Send gets exactly one.
type Outcome struct {
	ID      string
	Attempt int // 0 for the first Send of a request
	Status  Status
	Took    int64
	Closed  bool // the request is over; otherwise this proxy still owes the final answer
	Spent   bool // what it takes to send the request again is gone
}

// Refusal tells why a request was refused.
type Refusal int

// The reasons of a refusal.
const (
	OverCount Refusal = iota // the calls of its tier, class or tenant are as many as they may be
	NoTime                   // it could not be answered in its time
	NoServer                 // no server may have it
	NoTurn                   // its key's turn does not come in time
	NoAttempt                // its attempts failed, none of them ran, and no further one may follow
	refusalReasons
)

// Spent is what has been used of the allowance for further attempts: the times of requests and of attempts
// beyond the first of each.
type Spent struct {
	Taken, Further []int64
}

// Host carries out what a Balancer decides. Its methods are called from inside event methods, are to
// return at once and must not call back into the Balancer.
type Host interface {
	// Send passes a request to a server and gives the attempt up after timeout; 0 is the client's time. Its last
	// byte goes out within the given time or never; 0 is no limit.
	Send(id, server string, within, timeout int64)
	// Refuse ends a request unserved; the client may safely come again, after the given time.
	Refuse(id string, after int64)
	// Fail ends a request without any promise.
	Fail(id string)
	// SetTimer asks for a Timer event after delay.
	SetTimer(delay int64, token string)
	// Watch opens the standing subscription to the list of servers.
	Watch()
	// Log shows an event to on-call staff.
	Log(event Event)
}

// SettingsError is a setting that makes no sense.
type SettingsError struct {
	List    string // Classes or Tenants, of a field of one of these; else empty
	Index   int    // in List
	Field   string // empty: the list itself
	Problem string
}

func (e *SettingsError) Error() string {
	key := e.Field
	if e.List != "" {
		key = strings.TrimSuffix(fmt.Sprintf("%s[%d].%s", e.List, e.Index, e.Field), ".")
	}
	return fmt.Sprintf("logic: Settings.%s: %s", key, e.Problem)
}

// validate returns the first fault as a *SettingsError, nil if there is none.
func (s Settings) validate() error {
	for _, c := range []struct {
		bad            bool
		field, problem string
	}{
		{len(s.Classes) == 0, "Classes", "none given"},
		{s.Zones < 1, "Zones", "fewer than one"},
		{s.Zone < 0 || s.Zone >= s.Zones, "Zone", "out of range"},
		{s.Siblings < 1, "Siblings", "fewer than one"},
		{s.Ordinal < 0, "Ordinal", "negative"},
		{s.Stage < 0, "Stage", "negative"},
		{s.MaxAttempts < 1, "MaxAttempts", "fewer than one"},
		{s.MaxRetryAfter < 0, "MaxRetryAfter", "negative"},
		{s.OrderSettle < 0, "OrderSettle", "negative"},
		{s.BudgetSpan < 0, "BudgetSpan", "negative"},
		{!(s.BudgetFree >= 0), "BudgetFree", "negative"},
		{!(s.BudgetShare >= 0), "BudgetShare", "negative"},
		{s.DrainGrace < 0, "DrainGrace", "negative"},
		{s.AskEvery < 0 || s.Subscribe && s.AskEvery == 0, "AskEvery", "not positive"},
		{s.EvidenceSpan < 0, "EvidenceSpan", "negative"},
		{!(s.StartCapacity >= 0 && s.StartCapacity <= 1), "StartCapacity", "not within 0 and 1"},
		{s.Cold < 0, "Cold", "negative"},
		{!(s.TipMultiple >= 0), "TipMultiple", "negative"},
		{s.FallSpan < 0 || s.FallSpan == 0 && s.TipMultiple > 0, "FallSpan", "not positive"},
	} {
		if c.bad {
			return &SettingsError{Field: c.field, Problem: c.problem}
		}
	}
	for i, c := range s.Classes {
		if field, problem := c.fault(); problem != "" {
			return &SettingsError{List: "Classes", Index: i, Field: field, Problem: problem}
		}
	}
	for i, t := range s.Tenants {
		if !(t.Portion >= 0) || !(t.Quota >= 0) {
			return &SettingsError{List: "Tenants", Index: i, Problem: "negative Portion or Quota"}
		}
	}
	return nil
}

// fault is the first field of a class that makes no sense, and why; two empty texts if there is none.
func (c Class) fault() (field, problem string) {
	switch {
	case c.Aim <= 0:
		return "Aim", "not positive"
	case c.Deadline <= 0:
		return "Deadline", "not positive"
	case !(c.Worth >= 0):
		return "Worth", "negative"
	case !(c.LateWorth >= 0):
		return "LateWorth", "negative"
	case c.Repeat < Safe || c.Repeat > Unsafe:
		return "Repeat", "unknown"
	case c.Group < GroupAll || c.Group > GroupCell:
		return "Group", "unknown"
	case c.Window < 0:
		return "Window", "negative"
	}
	return "", ""
}
