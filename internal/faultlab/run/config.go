package run

import (
	"encoding/json"
	"fmt"
	"maps"

	"merlinpick/internal/faultlab/experiment"
)

const tierIndex = 0 // index of the lab's only tier

// micros converts milliseconds to microseconds.
func micros(ms float64) int64 { return int64(ms * 1000) }

// settings returns the settings object of a proxy, with the platform's keys.
func settings(exp *experiment.Experiment, ordinal, zone int) map[string]any {
	var profiles []any
	for _, k := range exp.Classes {
		p := map[string]any{"name": k.Name, "objective_us": micros(k.ObjectiveMs), "give_up_us": micros(k.DeadlineMs),
			"worth": k.Weight, "late_share": 0.0, "repeat": k.RetryClass, "stream": false, "dedup_scope": "all",
			"dedup_window_us": 0}
		if k.RetryClass == "deduplicated" {
			p["dedup_scope"], p["dedup_window_us"] = k.KeyScope, micros(k.KeyWindowMs)
		}
		profiles = append(profiles, p)
	}
	n, x := exp.Servers, exp.Proxy
	s := map[string]any{
		"contract": map[string]any{"answer_slack_us": micros(x.DeadlineSlackMs), "ask_every_us": micros(x.PollIntervalMs),
			"cold_us": micros(n.SlowStartMs), "drain_grace_us": micros(x.DrainGraceMs), "fall_us": micros(n.OverloadFailureMs),
			"start_capacity": n.StartCapacity, "tip_multiple": n.OverloadMultiple},
		"counted_by": "request", "failure_domains": exp.ZoneNames(), "membership_mode": x.Membership, "my_zone": zone,
		"limits": map[string]any{"cancelling": n.CancelsWork, "dial_timeout_us": micros(x.DialTimeoutMs),
			"idle_close_us": micros(x.IdleTimeoutMs), "max_retry_after_us": micros(x.MaxRetryAfterMs),
			"retry_after": x.MaxRetryAfterMs > 0, "second_copies": x.Hedging, "try_limit": x.MaxAttempts,
			"streams_per_conn": 1, "peers": false, "probes": false},
		"ordinal": ordinal, "siblings": len(exp.ProxyNodes()), "profiles": profiles, "tenants": []any{},
		"tiers": []string{"lab"}, "stage": tierIndex, "weights": "off",
	}
	overlay(s, x.Settings)
	return s
}

// overlay sets the keys of an experiment's overrides in a configuration, and merges objects that both have.
func overlay(config map[string]any, overrides map[string]any) {
	for key, v := range overrides {
		object, isObject := v.(map[string]any)
		merged, both := config[key].(map[string]any)
		if isObject && both {
			merged = maps.Clone(merged)
			overlay(merged, object)
			config[key] = merged
			continue
		}
		config[key] = v
	}
}

// startConfig is the part of a proxy's configuration that differs at each start.
type startConfig struct {
	seed    uint64
	members []string        // addresses of the list service's members; nil with the catalog
	known   json.RawMessage // list at the start; nil if there is none
	cluster map[string]any  // nil without a cluster
}

// proxyConfig returns the text of a proxy's configuration file.
func proxyConfig(exp *experiment.Experiment, proxy *proxyUnderTest, start startConfig) ([]byte, error) {
	config := map[string]any{"name": proxy.node.Name, "listen": proxy.listenAddress, "mgmt": proxy.managementAddress,
		"discovery": proxy.listAddress, "seed": fmt.Sprintf("%016x", start.seed), "settings": settings(exp, proxy.ordinal, proxy.zone),
		"limits": map[string]any{"cores": exp.Proxy.Cores, "memory_mb": exp.Proxy.MemoryMB, "sockets": exp.Proxy.Sockets},
	}
	if start.members != nil {
		delete(config, "discovery")
		config["discovery_members"] = start.members
	}
	if start.cluster != nil {
		config["fleet"] = start.cluster
	}
	if start.known != nil {
		config["known"] = start.known
	}
	overlay(config, exp.Proxy.Config)
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, fmt.Errorf("configuration of %s: %w", proxy.node.Name, err)
	}
	return text, nil
}
