package balancer

import (
	"fmt"
	"strings"
)

// Idempotency says whether a request may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be executed any number of times
	IdempotentWithKey                    // has a key; the servers of one DedupScope execute it once
	NonIdempotent                        // must never be executed twice
)

// DedupScope is the set of servers that recognise each other's idempotency keys.
type DedupScope int

// The scopes of deduplication.
const (
	DedupScopeAll  DedupScope = iota // all servers of the tier
	DedupScopeZone                   // the servers of one zone
	DedupScopeCell                   // the servers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name             string  // identifies the class in Reconfigure; not used otherwise
	LatencyObjective int64   // µs, above 0: an answer within it is worth the full PriorityWeight
	Deadline         int64   // µs, above 0: a client waits at most this long, over all attempts
	PriorityWeight   float64 // 0 or more: value of a timely answer relative to other classes
	LateWeight       float64 // 0 or more: fraction of PriorityWeight for an answer after the objective
	Idempotency      Idempotency
	DedupScope       DedupScope // for IdempotentWithKey
	DedupWindow      int64      // µs, for IdempotentWithKey: how long a key is kept after its first attempt
	Ordered          bool       // requests with the same Request.Key run one at a time, in order of receipt
}

// Tenant describes one origin of requests.
type Tenant struct {
	Name  string  // identifies the tenant in Reconfigure; not used otherwise
	Share float64 // 0 or more: the tenant's part of the sum of all quotas
	Quota float64 // 0 or more: requests per second within its share, over all proxies of the tier
}

// Settings configure a Balancer. They must not be changed after New or Reconfigure has taken them.
type Settings struct {
	Tier           int      // tier to which this proxy sends; 0 is the front tier
	Replicas       int      // number of proxies of this tier, this one included; 1 or more
	ReplicaIndex   int      // index of this proxy among them, from 0
	Zone           int      // zone of this proxy, below ZoneCount
	ZoneCount      int      // 1 or more
	Classes        []Class  // at least one
	Tenants        []Tenant // may be empty
	WatchEndpoints bool     // the endpoint list is sent only after Host.Watch
	CapacityHints  bool     // Server.CapacityHint is comparable between servers; otherwise it is ignored

	MaxAttempts             int   // attempts of one request, 1 or more
	OrderingCooldown        int64 // µs that an Ordered key waits after an attempt that may still run
	RejectedMayHaveExecuted bool  // StatusRejected is no proof that an attempt was not executed

	// In any window there are at most RetryBudgetMin retries plus RetryBudgetRatio retries for each request
	// received in the window. With a window of 0 the Balancer uses its default budget.
	RetryBudgetWindow int64 // µs
	RetryBudgetMin    float64
	RetryBudgetRatio  float64

	MaxRetryAfter int64 // µs: the longest Retry-After that clients honour; 0: they honour none
	DrainGrace    int64 // µs after which a draining or removed server must not get requests any more
	PollInterval  int64 // µs, with WatchEndpoints: the longest time without a watch or a poll

	// MembershipEvidenceTTL is how long, in µs, a confirmed list or an executed attempt is evidence that a
	// server is listed. If the list was not confirmed for longer, calls go to servers that keep executing
	// attempts. With 0 a list is valid without limit.
	MembershipEvidenceTTL int64

	SlowStartMinCapacity float64 // 0 to 1: capacity of a new server, as a fraction of its warm capacity
	SlowStartDuration    int64   // µs after its start until a server has its full, warm capacity

	// A warming server that gets more than OverloadMultiple times its current capacity from all replicas
	// together is overloaded for OverloadWindow, in µs. A multiple of 0 means that this is not known.
	OverloadMultiple float64
	OverloadWindow   int64

	DisableFlapDamping  bool // servers that flap are not damped
	DisableWeightTuning bool // weights are not tuned to keep the latency tail low

	WeightPerWork bool // Class.PriorityWeight is per unit of work, not per request
}

// SettingsError describes a setting that is invalid, or that can't be changed while a Balancer runs. It names
// the field of Settings; a caller that reads settings in another format has to name the key of that format.
type SettingsError struct {
	List    string // Classes or Tenants if the field belongs to an entry of one of these, else empty
	Index   int    // index of the entry in List
	Field   string // empty: the entry of List as a whole
	Problem string // what is wrong with the value
}

// Error returns the path of the field and the problem.
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
		{len(s.Classes) == 0, "Classes", "empty; at least one class is required"},
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
		{!(s.SlowStartMinCapacity >= 0 && s.SlowStartMinCapacity <= 1), "SlowStartMinCapacity",
			"not between 0 and 1"},
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
			return &SettingsError{List: "Tenants", Index: i, Problem: "negative share (portion) or quota"}
		}
	}
	return nil
}

// problem returns the first invalid field of a class and what is wrong with it; two empty strings if there is
// none.
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
