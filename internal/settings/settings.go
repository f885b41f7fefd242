// Package settings decodes the settings object that the simulator's first message and a proxy's configuration
// file have in common, and the documents by which the registry replaces it. It maps the keys of the JSON
// format to Go names (keys.go) and never applies settings itself.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"merlinpick/balancer"
)

// Site is a decoded settings object. It holds the balancer's settings and those that a proxy needs for its
// connections.
type Site struct {
	Balancer balancer.Settings
	Classes  []string // names of the classes, in the order of Balancer.Classes
	Tenants  []string // names of the tenants, in the order of Balancer.Tenants
	Zones    []string // names of the zones; Balancer.Zone is an index into them
	Tiers    int      // number of services that a request passes, each with its own proxies; 0: not known

	DialTimeout time.Duration // how long connecting to a backend may take
	IdleTimeout time.Duration // idle time after which a backend closes a connection
}

// Decode decodes a settings object and checks only what the decoding needs, such as the names of enumeration
// values. balancer.New validates the balancer's settings, and CheckSockets those for connections. Errors are
// of type *Error or come from encoding/json.
func Decode(data []byte) (*Site, error) {
	var doc document
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, err
	}
	site := &Site{Zones: doc.Zones, Tiers: len(doc.TierNames),
		DialTimeout: microseconds(doc.Limits.DialTimeout), IdleTimeout: microseconds(doc.Limits.IdleTimeout)}
	var err error
	if site.Balancer, err = doc.balancerSettings(); err != nil {
		return nil, err
	}
	for _, class := range doc.Classes {
		site.Classes = append(site.Classes, class.Name)
	}
	for _, tenant := range doc.Tenants {
		site.Tenants = append(site.Tenants, tenant.Name)
	}
	return site, nil
}

// LocalZone returns the name of the proxy's zone, or "" if Zones does not name it.
func (s *Site) LocalZone() string {
	if s.Balancer.Zone < len(s.Zones) {
		return s.Zones[s.Balancer.Zone]
	}
	return ""
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// CheckSockets returns an *Error if a setting that only a proxy with real connections needs is missing or
// invalid: a connection timeout, or the distinct names of classes and tenants.
func (s *Site) CheckSockets() error {
	if s.DialTimeout <= 0 {
		return &Error{"limits.dial_timeout_us", "not positive"}
	}
	if s.IdleTimeout <= 0 {
		return &Error{"limits.idle_close_us", "not positive"}
	}
	if err := checkDistinct("profiles", s.Classes); err != nil {
		return err
	}
	return checkDistinct("tenants", s.Tenants)
}

// checkDistinct returns an *Error if a name in the list with this key is empty or repeated.
func checkDistinct(list string, names []string) error {
	seen := map[string]bool{}
	for i, name := range names {
		if name == "" || seen[name] {
			return &Error{fmt.Sprintf("%s[%d].name", list, i), "missing or not unique"}
		}
		seen[name] = true
	}
	return nil
}

// The names of the balancer's enumeration values in the JSON format.
var (
	idempotencyByName = map[string]balancer.Idempotency{
		"idempotent": balancer.Idempotent, "deduplicated": balancer.IdempotentWithKey, "at_most_once": balancer.NonIdempotent,
	}
	dedupScopeByName = map[string]balancer.DedupScope{
		"": balancer.DedupScopeAll, "all": balancer.DedupScopeAll, "zone": balancer.DedupScopeZone, "cell": balancer.DedupScopeCell,
	}
)

// balancerSettings converts the balancer's part of the document. Errors are of type *Error.
func (d *document) balancerSettings() (balancer.Settings, error) {
	settings := balancer.Settings{
		Tier: d.Tier, Replicas: d.Replicas, ReplicaIndex: d.ReplicaIndex,
		Zone: d.Zone, ZoneCount: len(d.Zones),
		WatchEndpoints: d.Membership == "subscribe", PollInterval: d.Contract.PollInterval,
		CapacityHints: d.Weights != "" && d.Weights != "off", WeightPerWork: d.CountedBy == "work",
		MaxAttempts: d.Limits.MaxAttempts, RejectedMayHaveExecuted: d.Contract.RejectedMayHaveExecuted,
		OrderingCooldown:  d.Contract.OrderingCooldown,
		RetryBudgetWindow: d.Contract.RetryBudgetWindow, RetryBudgetMin: d.Contract.RetryBudgetMin,
		RetryBudgetRatio:     d.Contract.RetryBudgetRatio,
		DrainGrace:           d.Contract.DrainGrace,
		SlowStartMinCapacity: d.Contract.SlowStartMinCapacity, SlowStartDuration: d.Contract.SlowStartDuration,
		OverloadMultiple: d.Contract.OverloadMultiple, OverloadWindow: d.Contract.OverloadWindow,
	}
	if d.Membership != "automatic" && d.Membership != "subscribe" {
		return settings, unknownValue("membership_mode", d.Membership)
	}
	if d.Limits.RetryAfter {
		settings.MaxRetryAfter = d.Limits.MaxRetryAfter
	}
	for i, class := range d.Classes {
		idempotency, ok := idempotencyByName[class.Idempotency]
		if !ok {
			return settings, unknownValue(fmt.Sprintf("profiles[%d].repeat", i), class.Idempotency)
		}
		scope, ok := dedupScopeByName[class.DedupScope]
		if !ok {
			return settings, unknownValue(fmt.Sprintf("profiles[%d].dedup_scope", i), class.DedupScope)
		}
		settings.Classes = append(settings.Classes, balancer.Class{
			Name: class.Name, LatencyObjective: class.LatencyObjective, Deadline: class.Deadline,
			PriorityWeight: class.PriorityWeight, LateWeight: class.LateWeight,
			Idempotency: idempotency, DedupScope: scope, DedupWindow: class.DedupWindow, Ordered: class.Ordered})
	}
	for _, tenant := range d.Tenants {
		settings.Tenants = append(settings.Tenants, balancer.Tenant{Name: tenant.Name, Share: tenant.Share, Quota: tenant.Quota})
	}
	return settings, nil
}
