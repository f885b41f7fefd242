package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Rules are the names of the rules that the referee checks, as in metrics and reports.
var Rules = []string{"lost", "twice", "repeat", "drain", "tip", "garbled", "forged", "list", "rude", "gone", "late"}

// RuleText holds the meaning of a violation of each rule.
var RuleText = map[string]string{
	"lost":    "an accepted request got no complete final response before its deadline",
	"twice":   "a request got more than one response",
	"late":    "beside costly clients an answer to another client came after its deadline",
	"rude":    "a client that sent no valid request got neither an error nor a closed connection in 3 s",
	"gone":    "an attempt started more than 0.1 s after its client had disconnected",
	"repeat":  "a request was sent again, or rejected, although its class does not allow it",
	"drain":   "a nodo got a new request later than the grace after the proxy knew that it drains or is gone",
	"tip":     "a nodo in slow start was sent more work than it can handle",
	"garbled": "a response was not a nodo's to that request, or a request was changed on its way to a nodo",
	"list":    "writes and reads of the list service have no consistent order, or a member exited by itself",
	"forged":  "a nodo got a request that no client had sent to that proxy",
}

// spanMetrics are the metrics that can be limited to a span of arrivals and, with `.CLASS`, to a class.
var spanMetrics = []string{"worth_in_time", "in_time", "served", "refused", "failed", "unreached"}

// wholeRunMetrics are the metrics of the whole run.
var wholeRunMetrics = []string{"requests", "tries", "attempts", "attempts_per_request", "cross_zone", "cross_zone_share",
	"handshakes", "handshakes_per_request", "list_calls", "watch_breaks", "late_answers", "turned_back", "resent",
	"tipped", "crashed", "waste_ms", "p50_ms", "p90_ms", "p99_ms", "max_ms", "overhead_p50_ms",
	"proxy_memory_mb", "proxy_cpu_s", "broken", "list_checked", "list_told_p50_ms", "list_told_p99_ms", "list_told_max_ms",
	"list_refused", "list_lacks", "dials_lost", "gossip_packets_s", "gossip_kb_s"}

// faultMetrics are the metrics of faults: of fault N with `.N`, and of all faults without.
var faultMetrics = []string{"recovery_s", "left_first_s", "left_last_s", "left_spread_ms", "stayed", "avoid_s", "wasted",
	"returned_s", "room_worth"}

// IsSpanMetric reports whether a metric can be limited to a span of arrivals.
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

// Check reports whether a value is within the bounds, and if it is not, describes the failure.
func (expect Expect) Check(v float64) (bool, string) {
	if expect.Min != nil && !(v >= *expect.Min) {
		return false, fmt.Sprintf("%s is %.4g, wanted at least %.4g", expect.Metric, v, *expect.Min)
	}
	if expect.Max != nil && !(v <= *expect.Max) {
		return false, fmt.Sprintf("%s is %.4g, wanted at most %.4g", expect.Metric, v, *expect.Max)
	}
	return true, ""
}
