package balancer

import (
	"fmt"
	"strings"
)

// Idempotency is whether a request may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be executed any number of times
	IdempotentWithKey                    // has an idempotency key; servers of one DedupScope execute it once
	NonIdempotent                        // must never be executed twice
)

// DedupScope is the set of servers that recognise each other's idempotency keys.
type DedupScope int

// The scopes.
const (
	DedupScopeAll  DedupScope = iota // all servers of the tier
	DedupScopeZone                   // those of one zone
	DedupScopeCell                   // those of one cell
)

// Class describes one class of requests.
type Class struct {
	Name             string  // by which Reconfigure recognises it; no other meaning
	LatencyObjective int64   // µs, above 0: an answer within it earns the full priority weight
	Deadline         int64   // µs, above 0: a client waits this long at most, all attempts included
	PriorityWeight   float64 // 0 or more: value of one timely answer, against those of other classes
	LateWeight       float64 // 0 or more: fraction of that which an answer between objective and deadline earns
	Idempotency      Idempotency
	DedupScope       DedupScope // of IdempotentWithKey
	DedupWindow      int64      // µs, of IdempotentWithKey: how long a key is remembered, from the first attempt on
	Ordered          bool       // requests with one Request.Key run one at a time, as this proxy received them
}

// Tenant describes one origin of requests.
type Tenant struct {
	Name  string  // by which Reconfigure recognises it; no other meaning
	Share float64 // 0 or more: its part of the sum of all quotas
	Quota float64 // 0 or more: requests a second within its share, over all proxies of the tier
}

// Settings configure a Balancer. They must not be changed after New or Reconfigure has taken them.
type Settings struct {
	Tier           int      // that this proxy sends to; 0 is the front
	Replicas       int      // proxies of this tier, this one included; 1 or more
	ReplicaIndex   int      // this proxy's number among them, from 0
	Zone           int      // this proxy's, below ZoneCount
	ZoneCount      int      // 1 or more
	Classes        []Class  // at least one
	Tenants        []Tenant // may be empty
	WatchEndpoints bool     // the endpoint list comes only after Host.Watch
	CapacityHints  bool     // Server.CapacityHint compares servers; otherwise it is ignored

	MaxAttempts             int   // of one request, 1 or more
	OrderingCooldown        int64 // µs for which a key of an Ordered class rests after an attempt that may still run
	RejectedMayHaveExecuted bool  // StatusRejected is no proof that an attempt was not executed

	// In any window, retries number at most RetryBudgetMin plus RetryBudgetRatio times the requests received in it.
	// A window of 0: no budget is stated, and the Balancer has one of its own.
	RetryBudgetWindow int64 // µs
	RetryBudgetMin    float64
	RetryBudgetRatio  float64

	MaxRetryAfter int64 // µs: the longest Retry-After that clients follow; 0: they follow none
	DrainGrace    int64 // µs after which a draining or removed server must get nothing any more
	PollInterval  int64 // µs, with WatchEndpoints: the longest time without a watch or a poll

	// µs for which a list that was confirmed, or an attempt that a server executed, shows that the server is listed.
	// When the list was not confirmed for longer, calls go to servers that go on executing attempts. 0: a list holds
	// without limit.
	MembershipEvidenceTTL int64

	SlowStartMinCapacity float64 // 0 to 1: fraction of its warm capacity that a new server has at least
	SlowStartDuration    int64   // µs after which a server is warm at the latest

	// A warming server that gets more than OverloadMultiple times its present capacity from all replicas together is
	// overloaded for OverloadWindow, in µs. A multiple of 0: not stated.
	OverloadMultiple float64
	OverloadWindow   int64

	DisableFlapDamping  bool // servers that flap are not damped
	DisableWeightTuning bool // weights are not tuned for the least tail

	WeightPerWork bool // Class.PriorityWeight is for each unit of work, not for each request
}

// SettingsError is a setting that makes no sense, or that can't be put in force while a Balancer runs. It names the
// field as Settings do; who reads settings from elsewhere names the key there.
type SettingsError struct {
	List    string // Classes or Tenants, of a field of one of these; else empty
	Index   int    // in List
	Field   string // empty: the list's entry itself
	Problem string
}

// Error implements error.
func (e *SettingsError) Error() string {
	key := e.Field
	if e.List != "" {
		key = strings.TrimSuffix(fmt.Sprintf("%s[%d].%s", e.List, e.Index, e.Field), ".")
	}
	return fmt.Sprintf("balancer: Settings.%s: %s", key, e.Problem)
}

// validate returns the first problem as a *SettingsError, nil if there is none.
func (s Settings) validate() error {
	for _, check := range []struct {
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
		if check.bad {
			return &SettingsError{Field: check.field, Problem: check.problem}
		}
	}
	for i, class := range s.Classes {
		if field, problem := class.problem(); problem != "" {
			return &SettingsError{List: "Classes", Index: i, Field: field, Problem: problem}
		}
	}
	for i, tenant := range s.Tenants {
		if !(tenant.Share >= 0) || !(tenant.Quota >= 0) {
			return &SettingsError{List: "Tenants", Index: i, Problem: "negative Portion or Quota"}
		}
	}
	return nil
}

// problem returns the first field of a class that makes no sense, and why; two empty texts if there is none.
func (c Class) problem() (field, problem string) {
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
