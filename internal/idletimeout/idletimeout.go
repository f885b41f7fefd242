// Package idletimeout learns how long a connection to a backend may have been idle to be reused. It opens and closes no
// connections itself.
//
// Backends, and proxies in between, may close idle connections earlier than the settings say, and the close may arrive too
// late: a request written meanwhile ends with a reset, which is final for one that is not idempotent. After such a broken
// reuse, connections to any backend are reused only up to half of the time that the broken one was idle; that bound then
// recovers.
//
// The exit of a backend's process breaks its connections too, and says nothing of other backends. It shows by a refused
// connection soon after, or by a list without the backend or with a new start of it; the effect of its breaks is then undone.
package idletimeout

import (
	"math"
	"time"
)

const (
	// MinIdleTimeout is the idle time up to which a connection is always reused: longer than a close takes between two
	// zones, and short enough that a series of broken reuses does not make every request open a connection.
	MinIdleTimeout = 20 * time.Millisecond
	// RecoveryTime is the time in which the bound doubles without a further broken reuse.
	RecoveryTime = 10 * time.Second

	// ReuseDelay is how long a connection is left unused after a response. A faulty backend may send a second response
	// some milliseconds after the first: during the delay it is recognized, after the next request it would be taken for
	// that one's response.
	ReuseDelay = 10 * time.Millisecond

	// exitAttributionWindow is how long after a broken reuse a backend's exit explains it. A refused connection shows at
	// the next attempt, a list some seconds late.
	exitAttributionWindow = 10 * time.Second
)

// idleLimit is a bound on the idle time, as learned at a moment. A zero maxIdle is no bound.
type idleLimit struct {
	maxIdle time.Duration
	since   time.Time
}

// Tracker learns the bound for all connections of a process. The zero value has no bound. It is not safe for concurrent
// use.
type Tracker struct {
	current idleLimit

	// The latest broken reuses at one backend, and the bound before the first of them.
	brokenBackend string
	brokenAt      time.Time
	beforeBreaks  idleLimit
}

// MaxIdle returns how long a connection may have been idle to be reused, at most configured. For a request that is not
// idempotent it is half of the learned bound, so that broken reuses first hit requests that can be retried.
func (t *Tracker) MaxIdle(now time.Time, configured time.Duration, nonIdempotent bool) time.Duration {
	maxIdle := configured
	if t.current.maxIdle > 0 {
		recovered := float64(t.current.maxIdle) * math.Exp2(now.Sub(t.current.since).Seconds()/RecoveryTime.Seconds())
		if recovered >= float64(2*configured) {
			t.current.maxIdle = 0
			return configured
		}
		maxIdle = time.Duration(recovered)
		if nonIdempotent {
			maxIdle /= 2
		}
	}
	return min(maxIdle, configured)
}

// RecordBrokenReuse notes that a connection to a backend broke under a request after it had been idle for some time.
func (t *Tracker) RecordBrokenReuse(now time.Time, backend string, idle, configured time.Duration) {
	if idle < MinIdleTimeout || idle > configured {
		return // not for its idle time, or one that MaxIdle excludes already
	}
	if t.brokenBackend != backend || now.Sub(t.brokenAt) > exitAttributionWindow {
		t.brokenBackend, t.beforeBreaks = backend, t.current
	}
	t.brokenAt = now
	maxIdle := max(idle/2, MinIdleTimeout)
	if t.current.maxIdle > 0 {
		maxIdle = min(maxIdle, max(t.MaxIdle(now, configured, false)/2, MinIdleTimeout))
	}
	t.current = idleLimit{maxIdle, now}
}

// RecordBackendExit notes that a backend's process has ended, which explains its latest broken reuses.
func (t *Tracker) RecordBackendExit(now time.Time, backend string) {
	if t.brokenBackend == backend && now.Sub(t.brokenAt) <= exitAttributionWindow {
		t.current, t.brokenBackend = t.beforeBreaks, ""
	}
}
