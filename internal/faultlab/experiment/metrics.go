package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Rules are the names of the rules of service that the referee checks, as in metrics and reports.
var Rules = []string{"lost", "twice", "repeat", "drain", "tip", "garbled", "forged", "list", "rude", "gone"}

// RuleText is the meaning of a violation of each rule.
var RuleText = map[string]string{
	"lost":    "a request taken got no whole final answer in its time",
	"twice":   "a request got more than one answer",
	"rude":    "a client that sent no proper request got neither an error nor a close in 3 s",
	"gone":    "an attempt began over 0.1 s after its client had left",
	"repeat":  "a request was sent again, or refused, where its class does not allow it",
	"drain":   "a nodo got something new after the proxy had been told for the grace that it drains or is gone",
	"tip":     "a cold nodo was sent more than it could stand",
	"garbled": "an answer was not what a nodo made for that request, or a request reached a nodo changed",
	"list":    "what members of the list service confirmed and read has no order, or one ended by itself",
	"forged":  "a nodo got a request that no client had sent to that proxy",
}

// spanMetrics can have a span of arrivals and, with `.CLASS`, a class.
var spanMetrics = []string{"worth_in_time", "in_time", "served", "refused", "failed", "unreached"}

var wholeRunMetrics = []string{"requests", "tries", "attempts", "attempts_per_request", "cross_zone", "cross_zone_share",
	"handshakes", "handshakes_per_request", "list_calls", "watch_breaks", "late_answers", "turned_back", "resent",
	"tipped", "crashed", "waste_ms", "p50_ms", "p90_ms", "p99_ms", "max_ms", "overhead_p50_ms",
	"proxy_memory_mb", "proxy_cpu_s", "broken", "list_checked", "list_told_p50_ms", "list_told_p99_ms", "list_told_max_ms",
	"list_refused", "list_lacks", "dials_lost", "gossip_packets_s", "gossip_kb_s"}

// faultMetrics are of one fault with `.N`, and of all without.
var faultMetrics = []string{"recovery_s", "left_first_s", "left_last_s", "left_spread_ms", "stayed", "avoid_s", "wasted",
	"returned_s", "room_worth"}

// IsSpanMetric reports whether a metric can have a span of arrivals.
func IsSpanMetric(name string) bool {
	base, _, _ := strings.Cut(name, ".")
	return slices.Contains(spanMetrics, base)
}

// IsKnownMetric reports whether a result of the experiment can have a metric of that name.
func IsKnownMetric(name string, exp *Experiment) bool {
	base, rest, dotted := strings.Cut(name, ".")
	if !dotted {
		return slices.Contains(spanMetrics, name) || slices.Contains(wholeRunMetrics, name) || slices.Contains(faultMetrics, name)
	}
	switch {
	case base == "control":
		return isControlMetric(rest, exp)
	case base == "broken":
		return slices.Contains(Rules, rest)
	case slices.Contains(faultMetrics, base):
		n, err := strconv.Atoi(rest)
		return err == nil && n >= 1 && n <= len(exp.Faults)
	}
	return slices.Contains(spanMetrics, base) && slices.ContainsFunc(exp.Classes, func(k Class) bool { return k.Name == rest })
}

// Check reports whether a value is within the bounds, and describes a failure.
func (expect Expect) Check(v float64) (bool, string) {
	if expect.Min != nil && !(v >= *expect.Min) {
		return false, fmt.Sprintf("%s is %.4g, wanted at least %.4g", expect.Metric, v, *expect.Min)
	}
	if expect.Max != nil && !(v <= *expect.Max) {
		return false, fmt.Sprintf("%s is %.4g, wanted at most %.4g", expect.Metric, v, *expect.Max)
	}
	return true, ""
}
