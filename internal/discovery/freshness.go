package discovery

import "time"

// How old an endpoint list may get, and what follows.
//
// Platform list (Source.Address). A change counts as known to every proxy NotifyDeadline after discovery had
// it and could be reached, whether the proxy has received it or not. For each failure, the longest time from
// the change until it arrives here (after an outage: from the moment at which discovery serves the calls in
// its queue again) is the sum of
//
//	H + S  1.2 s         longest hold of a watch and its slack (platform.go)
//	D, Q   2.3 s, 3 s    longest hedge delay (hedge.go), and longest hedge delay after a 503
//	B1-B4  0.1 to 0.8 s  backoffs (polling.go)
//	W      2 or 3 s      longest wait in discovery's queue, after which a call fails with 503
//	L, T   2.5, 3.5 s    poll periods while the queue is overloaded; T grows with the fleet, and L is down to
//	                     0.8 s for a small one (polling.go)
//	F      22 ms each    time in which discovery serves one call of each caller
//
// "No answer" means that the connection stays open and nothing arrives before the timeout.
//
//	failure                                    sum                        W = 2 s  W = 3 s
//	none, a watch is in progress                                             0        0
//	no answer to a watch, open or new          H + S + W                     3.2      4.2
//	answer whose body never ends               H + S + W                     3.2      4.2
//	malformed answer                           W                             2        3
//	connection reset                           B1 + W                        2.1      3.1
//	no answer, then 503 or reset               H + S + B1 + W                3.3      4.3
//	no answer, then 503 three times            H + S + B1 + B2 + B3 + W      3.9      4.9
//	reset, then 503 three times                B1 + B2 + B3 + B4 + W         3.5      4.5
//	reset, then 503 after W, 70 callers        W + 1.6 s + W                 5.6      9.1 *
//	  12 callers                               W + 2F + W                    4.5      6.5 *
//	no answer, twice                           H + S + D + W                 5.5      6.5 *
//	no answer, then a body that never ends     H + S + D + W                 5.5      6.5 *
//	no answer, then a malformed one            H + S + W + W                 5.2      7.2 *
//	after an outage with immediate failures    L + W                         4.5      5.5
//	  with 503 after W, 2 to 4 of them         T + W                         5.5     10   *
//	  with one such 503, 300 callers           maxQueueDrain + T + W         9.7 *   10.7 *
//	    70 callers                             1.6 s + W                     3.6      6.1 *
//	after an outage without complete answers   D + W                         4.3      5.3
//	  that began with a 503                    Q + W                         5.0      6.0
//	after an outage with malformed answers     W + B4 + W                    4.8      6.8 *
//	source changed with a call in flight       W                             2        3
//	  to one where a call waits W in vain      W + 2F, and the rest of the queue; 12 callers: 2.5, 3.5
//	source changed to lower versions           W + pollHold + W              4.1      6.1 *
//
//	local agent (Config.LocalAgent): no queue, backoffs up to 0.2 s, H + S = 0.75 s, hedge delay 0.4 s
//	  no answer                                H + S                         0.75
//	  no answer, twice                         H + S + hedge delay           1.15
//	  down, or not answering, then back        0.2, hedge delay              0.2, 0.4
//
// Sums with * exceed NotifyDeadline. Network latency is not included. If the watches of a whole fleet end at
// once, add the time in which discovery serves all the calls that follow.
//
// What follows from the age of a list that no answer has confirmed since:
//
//	EvidenceTTL      the list no longer proves that a server is listed: selection prefers servers that keep
//	                 executing requests (balancer/listevidence.go)
//	NotifyDeadline   metrics and log report the list as stale (internal/proxy, liststatus.go and
//	                 readiness.go). For a local agent it is AgentNotifyDeadline; after a change of source
//	                 it is SourceChangeDeadline, counted from the change
//	any age          the list stays in use; Metrics.Age reports its age
//
// A new process is not ready until its first answer, or until shortly before NotifyDeadline (internal/proxy,
// readiness.go). If it takes over from another process of the proxy, it starts from that one's list, and both
// get the changes that discovery has told the other, at once (heldlist.go).
//
// Registry (Source.Members). If the next member answers, a change arrives at most LongPollTimeout +
// registryWatchSlack + FailoverJitter after it was confirmed, plus the registry's own bound on how stale a
// member may be. EvidenceTTL does not apply: the list stays in use at any age, which Metrics.Age reports.
//
// An answer that is malformed in any part is discarded as a whole.
const (
	// NotifyDeadline is the time after which a change of the platform list counts as known to a proxy. It
	// starts when discovery has the change and can be reached.
	NotifyDeadline = 6 * time.Second
	// AgentNotifyDeadline is the age at which a list from a local agent counts as stale. The agent's changes
	// count as known at once, so a client must treat its list as stale after this long without an answer. It
	// is longer than the watches of an agent take.
	AgentNotifyDeadline = 1500 * time.Millisecond
	// SourceChangeDeadline is the time after which the list at a new address counts as known. It starts when
	// the operator sets the address.
	SourceChangeDeadline = 4 * time.Second

	// maxEvidenceTTL bounds EvidenceTTL, since an endpoint that was removed and added again within that time
	// looks as if it had never been removed.
	maxEvidenceTTL = 2 * time.Second
)

// EvidenceTTL returns for how long an answer of discovery, or a request that a server accepted, proves that
// the server is still listed. A removal within that time does not yet count as known, or is within the grace
// period in which requests may still be sent to the server.
func EvidenceTTL(localAgent bool, grace time.Duration) time.Duration {
	known := NotifyDeadline
	if localAgent {
		known = 0
	}
	return min(known+grace, maxEvidenceTTL)
}
