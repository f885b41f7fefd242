package discovery

import "time"

// How old an endpoint list may be, and what follows.
//
// Platform list (Source.Address). A change counts as known to every proxy NotifyDeadline after discovery had it and could
// be reached, whether the proxy received it or not. For each fault, the longest time from the change to its arrival here
// (after an outage: from the moment at which calls are served in turn again) is the sum of
//
//	H + S  1.2 s         longest hold of a watch and its slack (platform.go)
//	D, Q   2.3 s, 3 s    longest hedge delay (hedge.go), and that after a 503
//	B1-B4  0.1 to 0.8 s  backoffs (polling.go)
//	W      2 or 3 s      longest wait for service in discovery's queue, after which a call fails with 503
//	L, T   2.5, 3.5 s    poll periods with an overloaded queue; T grows with the fleet (polling.go)
//
//	fault                                      sum                        W = 2 s  W = 3 s
//	none, a watch is open                                                    0        0
//	silent, also from its first byte           H + S + W                     3.2      4.2
//	body that never ends                       H + S + W                     3.2      4.2
//	malformed                                  W                             2        3
//	reset                                      B1 + W                        2.1      3.1
//	silent, then 503 or reset                  H + S + B1 + W                3.3      4.3
//	silent, then 503 three times               H + S + B1 + B2 + B3 + W      3.9      4.9
//	reset, then 503 three times                B1 + B2 + B3 + B4 + W         3.5      4.5
//	silent, then never answered                H + S + D + W                 5.5      6.5 *
//	silent, then a body that never ends        H + S + D + W                 5.5      6.5 *
//	silent, then malformed                     H + S + W + W                 5.2      7.2 *
//	after an outage with immediate failures    L + W                         4.5      5.5
//	  with 503 after W, 2 to 4 of them         T + W                         5.5     10   *
//	  with one such 503                        maxQueueDrain + T + W         8.5 *    8.5 *
//	after an outage without complete answers   D + W                         4.3      5.3
//	  that began with a 503                    Q + W                         5.0      6.0
//	after an outage with malformed answers     W + B4 + W                    4.8      6.8 *
//	source changed with a call in flight       W                             2        3
//	source changed to lower versions           W + pollHold + W              4.1      6.1 *
//
//	local agent (Config.Pushed): no queue, backoffs up to 0.2 s, H + S = 0.75 s, hedge delay 0.4 s
//	  silent                                   H + S                         0.75
//	  silent, then never answered              H + S + hedge delay           1.15
//	  down or silent, then back                0.2, hedge delay              0.2, 0.4
//
// Sums with * exceed NotifyDeadline; network latency is not included. A fleet whose watches all end at once also waits for
// the service time of all its calls.
//
// What follows from the age of a list that was not confirmed by an answer:
//
//	EvidenceTTL         the list no longer proves that a server is listed: selection prefers servers that go on executing
//	                    requests (balancer/listevidence.go)
//	NotifyDeadline      metrics and log report the list as stale (internal/proxy, liststatus.go and readiness.go); for a
//	                    local agent after PushNotifyDeadline, after a change of source SourceChangeDeadline from then on
//	any age             the list stays in use; Metrics.Age reports it
//
// A new process is not ready until its first answer, or shortly before NotifyDeadline (internal/proxy, readiness.go).
//
// Registry (Source.Members). A change arrives at most LongPollTimeout + registryWatchSlack + FailoverJitter after it was
// confirmed, plus the registry's own bound on a member's staleness, if the next member answers. EvidenceTTL is not
// applied: the list stays in use without limit of age, which Metrics.Age reports.
//
// An answer that is malformed in any part is discarded as a whole.
const (
	// NotifyDeadline is when a change of the platform list counts as known to a proxy, from when discovery had it and
	// could be reached.
	NotifyDeadline = 6 * time.Second
	// PushNotifyDeadline is the same for a list that a local agent has pushed to it. The agent's changes count as known at
	// once, so a client without an answer for this long, longer than its watches take, has to treat its list as stale.
	PushNotifyDeadline = 1500 * time.Millisecond
	// SourceChangeDeadline is when the list of another address counts as known, from when the operator set it.
	SourceChangeDeadline = 4 * time.Second

	// maxEvidenceTTL bounds EvidenceTTL: an endpoint that was removed and added again within it looks like one that stayed.
	maxEvidenceTTL = 2 * time.Second
)

// EvidenceTTL returns how long an answer of discovery, or a request that a server accepted, proves that the server is
// still listed: a later removal does not count as known yet, or is within grace, in which requests may still be sent to it.
func EvidenceTTL(pushed bool, grace time.Duration) time.Duration {
	known := NotifyDeadline
	if pushed {
		known = 0
	}
	return min(known+grace, maxEvidenceTTL)
}
