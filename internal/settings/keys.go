package settings

import "reflect"

// document is the settings object as it is encoded. Its tags are the one place that maps the protocol's keys to the
// field's terms; the fields that go to the balancer have the names of balancer.Settings, Class and Tenant. A tag field
// gives the balancer's name where it differs, and "-" where errors name no key. Durations are in µs. A key that is missing has
// its zero value, and unknown keys are ignored.
type document struct {
	// Contract is what the protocol promises to the proxies of the site.
	Contract struct {
		// PollInterval is the longest time without a watch or a call for the list; needed with "subscribe".
		PollInterval int64 `json:"ask_every_us"`
		// RejectedMayHaveExecuted: a server's 503 is no proof that the request was not executed. Default false.
		RejectedMayHaveExecuted bool `json:"busy_is_no_proof"`
		// OrderingCooldown is the pause of a key after a timeout, reset or cancel of an ordered request. 0: none.
		OrderingCooldown int64 `json:"order_settle_us"`
		// RetryBudgetWindow is the window over which retries are limited. 0: the balancer's own budget.
		RetryBudgetWindow int64 `json:"ratio_span_us"`
		// RetryBudgetRatio is the number of retries for each request in the window.
		RetryBudgetRatio float64 `json:"resend_ratio"`
		// RetryBudgetMin is the number of retries in the window beside that.
		RetryBudgetMin float64 `json:"spare_attempts"`
		// SlowStartDuration is the time after which a started server has its whole capacity. 0: at once.
		SlowStartDuration int64 `json:"cold_us"`
		// DrainGrace is the time after which a draining or removed server must get no more requests. 0: at once.
		DrainGrace int64 `json:"drain_grace_us"`
		// SlowStartMinCapacity is the fraction of its capacity, 0 to 1, that a started server has at least.
		SlowStartMinCapacity float64 `json:"start_capacity"`
		// OverloadMultiple of its present capacity makes a warming server fail. 0: not known.
		OverloadMultiple float64 `json:"tip_multiple"`
		// OverloadWindow is how long such a server then fails; needed with OverloadMultiple.
		OverloadWindow int64 `json:"fall_us"`
	} `json:"contract"`

	// CountedBy is what a priority weight counts for: "work" units, or each request (any other value).
	CountedBy string `json:"counted_by"`
	// Zones are the zones' names. At least one is needed.
	Zones []string `json:"failure_domains" field:"ZoneCount"`

	Limits struct {
		// DialTimeout is when a connection that is not established has failed. Needed on sockets.
		DialTimeout int64 `json:"dial_timeout_us"`
		// IdleTimeout is when backends close idle connections. Needed on sockets.
		IdleTimeout int64 `json:"idle_close_us"`
		// MaxRetryAfter is the longest Retry-After that clients obey; used with RetryAfter.
		MaxRetryAfter int64 `json:"max_retry_after_us"`
		// RetryAfter: clients obey Retry-After. Default false.
		RetryAfter bool `json:"retry_after"`
		// MaxAttempts is the number of attempts for each request, the first included. At least 1 is needed.
		MaxAttempts int `json:"try_limit"`
	} `json:"limits"`

	// Membership is how the endpoint list arrives: "automatic", or "subscribe" once the balancer has requested a watch.
	Membership string `json:"membership_mode"`
	// Zone is the index in Zones of this proxy's zone.
	Zone int `json:"my_zone"`

	Classes []struct {
		// Ordered: requests with the same key are executed one at a time, in order. Default false.
		Ordered bool `json:"by_arrival"`
		// DedupScope is the servers that share their record of idempotency keys: "all" (default), "zone" or "cell".
		DedupScope string `json:"dedup_scope"`
		// DedupWindow is how long they remember a key, from the first attempt on.
		DedupWindow int64 `json:"dedup_window_us"`
		// Deadline is how long a client waits, over all attempts. It has to be positive.
		Deadline int64 `json:"give_up_us"`
		// LateWeight is the fraction of PriorityWeight of a response between LatencyObjective and Deadline.
		LateWeight float64 `json:"late_share"`
		// Name identifies the class in metrics and over reloads. Needed on sockets.
		Name string `json:"name"`
		// LatencyObjective is the latency up to which a response has its whole weight. It has to be positive.
		LatencyObjective int64 `json:"objective_us"`
		// Idempotency is "idempotent", "deduplicated" (with an idempotency key) or "at_most_once".
		Idempotency string `json:"repeat"`
		// PriorityWeight is the value of one request relative to other classes.
		PriorityWeight float64 `json:"worth"`
	} `json:"profiles"`

	// Replicas is the number of proxies of this tier, this one included. At least 1 is needed.
	Replicas int `json:"siblings"`
	// ReplicaIndex is this proxy's index among them.
	ReplicaIndex int `json:"ordinal"`
	// Tier is the index of the tier that this proxy sends to. 0: the first.
	Tier int `json:"stage"`

	Tenants []struct {
		// Name identifies the tenant in metrics and over reloads. Needed on sockets.
		Name string `json:"name"`
		// Share is the tenant's part of the sum of all quotas.
		Share float64 `json:"portion"`
		// Quota is the tenant's requests per second within its share, over all proxies of the tier.
		Quota float64 `json:"quota_per_s"`
	} `json:"tenants" field:"-"`

	// TierNames are the services behind each other, each with proxies of its own.
	TierNames []string `json:"tiers"`
	// Weights: the capacity hints of an endpoint list are comparable, unless it is "" or "off".
	Weights string `json:"weights"`
}

// settingsKeys are the keys of the settings by the balancer's names of fields; those of a class are below its list's.
var settingsKeys = func() map[string]string {
	keys := map[string]string{}
	collectKeys(reflect.TypeFor[document](), "", keys)
	return keys
}()

// collectKeys adds the keys of a struct's fields, which stand below a prefix.
func collectKeys(object reflect.Type, prefix string, keys map[string]string) {
	for field := range object.Fields() {
		key := prefix + field.Tag.Get("json")
		name := field.Name
		if other, ok := field.Tag.Lookup("field"); ok {
			name = other
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
