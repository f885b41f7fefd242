// Package logic decides, for one proxy of one tier, which server gets each call and which calls are
// refused. This file is its interface: settings, events and actions. It holds no decisions; those are
// in the files that deploy/balancer.toml names under policy.
//
// One Balancer serves one proxy. It is not safe for concurrent use: the owner calls one event method at
// a time, in the order in which the events happened, each with the time of the owner's clock. Times and
// durations are whole microseconds; the clock may begin anywhere and only advances. A Balancer keeps no
// goroutines, locks or global state, reads no clock and draws its random numbers from the seed alone, so
// the same events give the same actions.
package balancer

import (
	"fmt"
	"strings"
)

// Repeat tells whether a class of requests may run more than once.
type Idempotency int

// The repeat classes.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // carries a key; servers of one group drop repeats within Class.Window
	NonIdempotent                        // must never run twice
)

// Group is the set of servers that drop a Keyed class's repeats between them.
type DedupScope int

// The groups of servers.
const (
	DedupScopeAll  DedupScope = iota // all servers of the tier
	DedupScopeZone                   // those of one zone
	DedupScopeCell                   // those of one cell
)

// Class describes one class of requests.
type Class struct {
	Name             string  // by which Reconfigure knows it again; says nothing else
	LatencyObjective int64   // an answer within this earns the full worth
	Deadline         int64   // a client waits this long at most, all its tries included
	PriorityWeight   float64 // worth of one request
	LateWeight       float64 // part of the worth earned between aim and deadline
	Idempotency      Idempotency
	DedupScope       DedupScope // for Keyed
	DedupWindow      int64      // for Keyed: how long repeats are dropped, from the first send that may have run
	Ordered          bool       // requests with one key run one at a time, in the order in which this proxy took them
}

// Tenant describes one origin of requests.
type Tenant struct {
	Name  string  // by which Reconfigure knows it again; says nothing else
	Share float64 // its part of the service
	Quota float64 // requests a second inside its share, over all proxies
}

// Settings are handed over at the start and not changed afterwards; others may take their place with Reconfigure.
type Settings struct {
	Tier           int // the tier that this proxy sends to; 0 is the front
	Replicas       int // proxies of this tier, this one included
	ReplicaIndex   int // this proxy's number among them, from 0
	Zone           int // this proxy's zone
	ZoneCount      int
	Classes        []Class
	Tenants        []Tenant // may be empty
	WatchEndpoints bool     // the list of servers comes only after Host.Watch
	CapacityHints  bool     // Server.Size compares servers; otherwise it says nothing

	MaxAttempts             int   // sends for one request at most
	OrderingCooldown        int64 // ByArrival: a key rests this long after a time-out, reset or cancel
	RejectedMayHaveExecuted bool  // FullUp is no proof that an attempt never ran

	// In any BudgetSpan, attempts beyond each request's first number at most BudgetFree plus BudgetShare
	// times the requests taken in it. A BudgetSpan of 0: no budget is stated, and the module keeps its own.
	RetryBudgetWindow int64
	RetryBudgetMin    float64
	RetryBudgetRatio  float64

	MaxRetryAfter int64 // the longest hint that a client heeds; 0: hints are not heeded
	DrainGrace    int64 // sends to a draining or gone server must have stopped by then
	PollInterval  int64 // with Subscribe: the longest time without a subscription or a call

	// EvidenceSpan is how long a list that was confirmed, or a call that a server took, shows that the server is listed. Once
	// the list was not confirmed for longer, calls go to servers that kept taking calls. 0: a list holds without limit.
	MembershipEvidenceTTL int64

	SlowStartMinCapacity float64 // part of its capacity that a server starts with, at least
	SlowStartDuration    int64   // a server is warm after this at the latest
	OverloadMultiple     float64 // of its present capacity: a cold server that all copies together send more than this
	OverloadWindow       int64   // for so long falls over; a TipMultiple of 0: not stated

	DisableFlapDamping  bool // with others told: servers that flap are not damped
	DisableWeightTuning bool // with others told: weights are not tuned for the tail

	WeightPerWork bool // worth is counted for each unit of work, not for each request
}

// State is what the list says of a server.
type ServerState int

// The states of a server.
const (
	ServerRemoved ServerState = iota
	ServerReady
	ServerDraining
)

// Server is an entry of the list of servers.
type Server struct {
	ID             string
	Zone           int
	Cell           int
	State          ServerState
	CapacityHint   float64
	StartTime      int64 // when it last started, by the list's clock: another one is another start; 0: long ago
	LocalStartTime int64 // the same on the clock of events, where the two may differ; 0: as Launched
}

// ListKind tells what a List event holds.
type UpdateKind int

// The kinds of list.
const (
	UpdateDelta    UpdateKind = iota // changed entries only
	UpdateSnapshot                   // the whole list
	UpdateCached                     // the whole list as last known, maybe old
	UpdateFailed                     // a call or the subscription failed; the old list stands
)

// Request is a request that a client has handed to this proxy.
type Request struct {
	ID       string
	Class    int
	Tenant   int
	Key      string // its subject, or empty
	Deadline int64  // when the client abandons it

	// Under are the settings that the request was read by, as Rules gave them; nil for those in force.
	Settings *Settings

	// Uploading: its body is still coming. It may be sent already; its time begins with Uploaded.
	BodyPending bool
}

// NoticeKind tells what a Notice says.
type ReportKind int

// The kinds of notice.
const (
	ReportServerUnhealthy ReportKind = iota // the observer's calls to a server fail: Cause says how
	ReportServerHealthy                     // the observer's calls to a server that others call bad are answered
	ReportZoneUnhealthy                     // most of what was sent lately from the observer's zone to the zone Of failed
	ReportZoneHealthy                       // most of it was answered, or nothing was sent; Slow: it is, by the observer's measure
	ReportServerFlap                        // transitions of a server's health: Value is the penalty that they add up to
	ReportServerLoad                        // a summary of a server's load and time
)

// Cause tells how calls fail.
type Fault int

// The causes.
const (
	NoFault           Fault = iota
	FaultErrors             // answered with an error
	FaultUnresponsive       // no answer, no connection, or one that broke
	FaultSlow               // answered, but late
	FaultSaturated          // turned away unrun
)

// Notice is something that one proxy saw, told to others with its age.
type Report struct {
	Kind         ReportKind
	Fault        Fault
	Observer     string  // the proxy's name; empty: this one
	ObserverZone int     // the observer's
	Server       string  // of Server...: its ID
	StartTime    int64   // of Server...: Server.Launched as the observer's list has it
	SubjectZone  int     // of Zone...: the zone that is seen
	Calls        float64 // evidence: the calls that the notice rests on; they fade over about a second
	BadFraction  float64 // the part of them that were bad, 0 to 1
	Value        float64 // Zone...: the part that the observer gives it; ServerLoad: mean time; ServerFlap: penalty
	LastObserved int64   // when it was last true, on the reader's clock of events
}

// Peers is what the other proxies of the tier tell. Without any, or Alone, a Balancer decides by itself.
type PeerReports struct {
	LiveReplicas       int      // proxies of the tier that are alive, this one included, as far as is known
	LiveReplicasInZone int      // those of them in this one's zone, this one included
	Isolated           bool     // nobody was heard for so long that what they said is worth nothing
	Reports            []Report // all that is known of others and has not ended; the former set is replaced
}

// Standing is how a zone stands as seen from this proxy's own.
type ZonePhase int

// The standings of a zone.
const (
	ZoneHealthy    ZonePhase = iota
	ZoneSaturated            // home is slow: other zones get a part of its calls
	ZoneEvacuating           // most calls fail; it gets less until that is sure
	ZoneEvacuated            // it gets trials only
	ZoneRecovering           // it gets its fair part by steps
	ZoneDrained              // suspended by hand: it gets nothing
)

// ZoneState tells on-call staff and figures how a zone stands and why.
type ZoneState struct {
	Zone              int
	Phase             ZonePhase
	WeightFraction    float64 // the part of its fair weight that it gets, 0 to 1
	Transitions       int     // how often its standing changed
	ChangedAt         int64   // when it last did
	Fault             Fault   // of its bad calls, as of then
	Calls             float64 // the evidence of all copies of this zone at the last look: calls, and their bad part
	BadFraction       float64
	ReportingReplicas int // copies of this zone that have evidence
	UnhealthyVotes    int // and those of them that call it bad
}

// Status is how an attempt ended.
type Status int

// The outcomes of an attempt. Full, ConnectFailed and Moot prove that it never ran.
const (
	StatusOK Status = iota
	StatusError
	StatusRejected
	StatusTimedOut
	StatusConnectFailed
	StatusReset
	StatusCancelled
	StatusNotSent
)

// Outcome is the end of an attempt; each Send gets exactly one.
type Outcome struct {
	RequestID     string
	Attempt       int // 0 for the first Send of a request
	Status        Status
	Latency       int64
	RequestDone   bool // the request is over; otherwise this proxy still owes the final answer
	NotReplayable bool // what it takes to send the request again is gone
}

// Refusal tells why a request was refused.
type RejectReason int

// The reasons of a refusal.
const (
	RejectOverLimit        RejectReason = iota // the calls of its tier, class or tenant are as many as they may be
	RejectNoTimeLeft                           // it could not be answered in its time
	RejectNoServer                             // no server may have it
	RejectQueueTimeout                         // its key's turn does not come in time
	RejectRetriesExhausted                     // its attempts failed, none of them ran, and no further one may follow
	rejectReasonCount
)

// Spent is what has been used of the allowance for further attempts: the times of requests and of attempts
// beyond the first of each.
type RetryBudgetUsage struct {
	Requests, Retries []int64
}

// Host carries out what a Balancer decides. Its methods are called from inside event methods, are to
// return at once and must not call back into the Balancer.
type Host interface {
	// Send passes a request to a server and gives the attempt up after timeout; 0 is the client's time. Its last
	// byte goes out within the given time or never; 0 is no limit.
	Send(id, server string, within, timeout int64)
	// Refuse ends a request unserved; the client may safely come again, after the given time.
	Reject(id string, after int64)
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
		{s.ZoneCount < 1, "ZoneCount", "fewer than one"},
		{s.Zone < 0 || s.Zone >= s.ZoneCount, "Zone", "out of range"},
		{s.Replicas < 1, "Replicas", "fewer than one"},
		{s.ReplicaIndex < 0, "ReplicaIndex", "negative"},
		{s.Tier < 0, "Tier", "negative"},
		{s.MaxAttempts < 1, "MaxAttempts", "fewer than one"},
		{s.MaxRetryAfter < 0, "MaxRetryAfter", "negative"},
		{s.OrderingCooldown < 0, "OrderingCooldown", "negative"},
		{s.RetryBudgetWindow < 0, "RetryBudgetWindow", "negative"},
		{!(s.RetryBudgetMin >= 0), "RetryBudgetMin", "negative"},
		{!(s.RetryBudgetRatio >= 0), "RetryBudgetRatio", "negative"},
		{s.DrainGrace < 0, "DrainGrace", "negative"},
		{s.PollInterval < 0 || s.WatchEndpoints && s.PollInterval == 0, "PollInterval", "not positive"},
		{s.MembershipEvidenceTTL < 0, "MembershipEvidenceTTL", "negative"},
		{!(s.SlowStartMinCapacity >= 0 && s.SlowStartMinCapacity <= 1), "SlowStartMinCapacity", "not within 0 and 1"},
		{s.SlowStartDuration < 0, "SlowStartDuration", "negative"},
		{!(s.OverloadMultiple >= 0), "OverloadMultiple", "negative"},
		{s.OverloadWindow < 0 || s.OverloadWindow == 0 && s.OverloadMultiple > 0, "OverloadWindow", "not positive"},
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
		if !(t.Share >= 0) || !(t.Quota >= 0) {
			return &SettingsError{List: "Tenants", Index: i, Problem: "negative Portion or Quota"}
		}
	}
	return nil
}

// fault is the first field of a class that makes no sense, and why; two empty texts if there is none.
func (c Class) fault() (field, problem string) {
	switch {
	case c.LatencyObjective <= 0:
		return "LatencyObjective", "not positive"
	case c.Deadline <= 0:
		return "Deadline", "not positive"
	case !(c.PriorityWeight >= 0):
		return "PriorityWeight", "negative"
	case !(c.LateWeight >= 0):
		return "LateWeight", "negative"
	case c.Idempotency < Idempotent || c.Idempotency > NonIdempotent:
		return "Idempotency", "unknown"
	case c.DedupScope < DedupScopeAll || c.DedupScope > DedupScopeCell:
		return "DedupScope", "unknown"
	case c.DedupWindow < 0:
		return "DedupWindow", "negative"
	}
	return "", ""
}
