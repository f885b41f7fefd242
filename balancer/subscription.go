package balancer

// Subscription: when a watch of the endpoint list that has failed is opened again.
//
// Input: lists and failures. Output: whether to open a watch now, or the backoff before the next one.

const (
	watchTimer = "watch" // token of the timer that ends a backoff; the host returns it unchanged

	// The backoff doubles with each failure, up to the greater bound or this part of
	// Settings.PollInterval.
	minWatchBackoff, maxWatchBackoff = 250 * milliseconds, 1 * seconds
	pollIntervalDivisor              = 8
)

// subscription is the state of this replica's watch.
type subscription struct {
	*shared
	backoff   span // before the next attempt
	requested bool // a watch is open or being opened
}

func newSubscription(common *shared) *subscription {
	return &subscription{shared: common, backoff: minWatchBackoff}
}

// recordFailure takes a failure and returns the backoff, spread evenly over as much again, as many replicas
// keep the source of the list busy. ok is false if the next watch waits already.
func (s *subscription) recordFailure() (backoff span, ok bool) {
	if ok = s.requested; ok {
		backoff = s.backoff + s.randomSpan(s.backoff)
		longest := min(maxWatchBackoff, span(s.settings.PollInterval)/pollIntervalDivisor)
		s.backoff = max(minWatchBackoff, min(2*s.backoff, longest))
	}
	s.requested = false
	return backoff, ok
}

// recordSuccess takes a list, which ends the backoff, and reports whether a watch has to be opened for the next
// ones.
func (s *subscription) recordSuccess() (open bool) {
	s.backoff = minWatchBackoff
	return s.settings.WatchEndpoints && s.requestWatch()
}

// requestWatch reports whether a watch has to be opened now: none is open or being opened.
func (s *subscription) requestWatch() bool {
	if s.requested {
		return false
	}
	s.requested = true
	return true
}
