package settings

import "reflect"

// document is the encoded form of the settings object. Its json tags are the only place that maps the keys of
// the format to Go names. Fields that are passed to the balancer have the same names as in balancer.Settings,
// Class and Tenant; where the balancer's name differs, the tag "field" gives it, and "-" excludes a field
// from the keys of error messages. Durations are in µs. A missing key has its zero value, and unknown keys
// are ignored.
type document struct {
	// Contract describes how clients, servers and the endpoint list behave, as far as proxies may rely on it.
	Contract struct {
		// PollInterval is the longest time without a watch or poll of the endpoint list. Required with
		// "subscribe".
		PollInterval int64 `json:"ask_every_us"`
		// RejectedMayHaveExecuted is whether a server that responds with 503 may have executed the request.
		RejectedMayHaveExecuted bool `json:"busy_is_no_proof"`
		// OrderingCooldown is how long the requests of a key wait after an ordered request with that key
		// timed out, was reset or was cancelled. 0: not at all.
		OrderingCooldown int64 `json:"order_settle_us"`
		// RetryBudgetWindow is the window over which retries are limited. 0: the balancer's default budget.
		RetryBudgetWindow int64 `json:"ratio_span_us"`
		// RetryBudgetRatio is the number of retries allowed for each request in the window.
		RetryBudgetRatio float64 `json:"resend_ratio"`
		// RetryBudgetMin is the number of retries allowed in the window in addition to the ratio.
		RetryBudgetMin float64 `json:"spare_attempts"`
		// SlowStartDuration is the time after its start at which a server has its full capacity. 0: at once.
		SlowStartDuration int64 `json:"cold_us"`
		// DrainGrace is the time after which a draining or removed server must get no more requests. 0: at
		// once.
		DrainGrace int64 `json:"drain_grace_us"`
		// SlowStartMinCapacity is the fraction of its full capacity, 0 to 1, that a server has when it
		// starts.
		SlowStartMinCapacity float64 `json:"start_capacity"`
		// OverloadMultiple is the multiple of its current capacity at which a server in slow start fails.
		// 0: not known.
		OverloadMultiple float64 `json:"tip_multiple"`
		// OverloadWindow is how long such a server fails. Required with OverloadMultiple.
		OverloadWindow int64 `json:"fall_us"`
	} `json:"contract"`

	// CountedBy is what a priority weight applies to: each unit of "work", or each request (any other value).
	CountedBy string `json:"counted_by"`
	// Zones are the names of the zones. At least one is required.
	Zones []string `json:"failure_domains" field:"ZoneCount"`

	Limits struct {
		// DialTimeout is how long connecting to a backend may take. Required by a proxy with real
		// connections.
		DialTimeout int64 `json:"dial_timeout_us"`
		// IdleTimeout is the idle time after which backends close a connection. Required by a proxy with real
		// connections.
		IdleTimeout int64 `json:"idle_close_us"`
		// MaxRetryAfter is the longest Retry-After that clients obey. Used only with RetryAfter.
		MaxRetryAfter int64 `json:"max_retry_after_us"`
		// RetryAfter is whether clients obey Retry-After.
		RetryAfter bool `json:"retry_after"`
		// MaxAttempts is the maximum number of attempts for each request, including the first. At least 1.
		MaxAttempts int `json:"try_limit"`
	} `json:"limits"`

	// Membership is how the balancer gets the endpoint list: it is pushed ("automatic"), or the balancer has
	// to request a watch ("subscribe").
	Membership string `json:"membership_mode"`
	// Zone is the index of this proxy's zone in Zones.
	Zone int `json:"my_zone"`

	Classes []struct {
		// Ordered is whether requests with the same key are executed one at a time, in the order of arrival.
		Ordered bool `json:"by_arrival"`
		// DedupScope is which servers share a record of idempotency keys: "all" (default), "zone" or "cell".
		DedupScope string `json:"dedup_scope"`
		// DedupWindow is how long they remember a key, counted from the first attempt.
		DedupWindow int64 `json:"dedup_window_us"`
		// Deadline is how long a client waits for the response, over all attempts. It must be positive.
		Deadline int64 `json:"give_up_us"`
		// LateWeight is the fraction of PriorityWeight that a response between LatencyObjective and Deadline
		// has.
		LateWeight float64 `json:"late_share"`
		// Name identifies the class in metrics and across reloads. Required by a proxy with real connections.
		Name string `json:"name"`
		// LatencyObjective is the latency up to which a response has its full weight. It must be positive.
		LatencyObjective int64 `json:"objective_us"`
		// Idempotency is "idempotent", "deduplicated" (with an idempotency key) or "at_most_once".
		Idempotency string `json:"repeat"`
		// PriorityWeight is the value of one request relative to other classes.
		PriorityWeight float64 `json:"worth"`
	} `json:"profiles"`

	// Replicas is the number of proxies of this tier, including this one. At least 1.
	Replicas int `json:"siblings"`
	// ReplicaIndex is the index of this proxy among the replicas.
	ReplicaIndex int `json:"ordinal"`
	// Tier is the index in TierNames of the tier that this proxy forwards requests to. 0: the first.
	Tier int `json:"stage"`

	Tenants []struct {
		// Name identifies the tenant in metrics and across reloads. Required by a proxy with real
		// connections.
		Name string `json:"name"`
		// Share is the tenant's part of the total quota of all tenants.
		Share float64 `json:"portion"`
		// Quota is the tenant's requests per second within its share, summed over all proxies of the tier.
		Quota float64 `json:"quota_per_s"`
	} `json:"tenants" field:"-"`

	// TierNames are the services that a request passes one after the other, each with its own proxies.
	TierNames []string `json:"tiers"`
	// Weights is whether the capacity hints in an endpoint list are comparable: not if it is "" or "off".
	Weights string `json:"weights"`
}

// settingsKeys maps the balancer's field names to the keys of the settings. A class's keys are relative to
// its entry in the list of classes.
var settingsKeys = func() map[string]string {
	keys := map[string]string{}
	collectKeys(reflect.TypeFor[document](), "", keys)
	return keys
}()

// collectKeys adds the keys of a struct type's fields to keys, each preceded by prefix.
func collectKeys(structType reflect.Type, prefix string, keys map[string]string) {
	for field := range structType.Fields() {
		key := prefix + field.Tag.Get("json")
		name := field.Name
		if balancerName, ok := field.Tag.Lookup("field"); ok {
			name = balancerName
		}
		if name != "-" {
			keys[name] = key
		}
		switch kind := field.Type.Kind(); {
		case kind == reflect.Struct:
			collectKeys(field.Type, key+".", keys)
		case name != "-" && kind == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			collectKeys(field.Type.Elem(), "", keys)
		}
	}
}
