package balancer

// Subscription: decides when a watch of the endpoint list is opened again after a failure.
//
// Input: received lists and failures. Output: whether to open a watch now, or the backoff before the next
// one.

const (
	// watchTimer is the token of the timer that ends a backoff. The host returns it unchanged.
	watchTimer = "watch"

	// The backoff doubles with each failure, up to maxWatchBackoff or to Settings.PollInterval divided by
	// pollIntervalDivisor, whichever is shorter, but never below minWatchBackoff.
	minWatchBackoff, maxWatchBackoff = 250 * milliseconds, 1 * seconds

	pollIntervalDivisor = 8
)

// subscription is the state of this replica's watch of the endpoint list.
type subscription struct {
	*shared
	backoff   span // minimum delay before the next attempt
	requested bool // a watch is open or being opened
}

// newSubscription returns a subscription without a watch.
func newSubscription(common *shared) *subscription {
	return &subscription{shared: common, backoff: minWatchBackoff}
}

// recordFailure records a failure and returns the backoff, to which it adds a random part of up to the same
// length, since many replicas may load the source of the list at once. ok is false if a backoff is running
// already.
func (s *subscription) recordFailure() (backoff span, ok bool) {
	if ok = s.requested; ok {
		backoff = s.backoff + s.randomSpan(s.backoff)
		longest := min(maxWatchBackoff, span(s.settings.PollInterval)/pollIntervalDivisor)
		s.backoff = max(minWatchBackoff, min(2*s.backoff, longest))
	}
	s.requested = false
	return backoff, ok
}

// recordSuccess records that a list was received, which resets the backoff. It reports whether the caller has
// to open a watch for the next lists.
func (s *subscription) recordSuccess() (open bool) {
	s.backoff = minWatchBackoff
	return s.settings.WatchEndpoints && s.requestWatch()
}

// requestWatch marks the watch as requested. It reports whether the caller has to open it, that is, whether
// no watch was open or being opened before.
func (s *subscription) requestWatch() bool {
	if s.requested {
		return false
	}
	s.requested = true
	return true
}
