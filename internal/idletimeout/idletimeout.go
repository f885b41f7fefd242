// Package idletimeout learns for how long a connection to a backend may have been idle when it is reused. It
// opens and closes no connections itself.
//
// Backends, and proxies in between, may close idle connections earlier than the settings say. If the close
// arrives too late, a request that was written meanwhile ends with a reset, and a request that is not
// idempotent cannot be retried then. After such a broken reuse, connections to any backend are reused only if
// they were idle for at most half of the time that the broken one was idle. That bound then recovers.
//
// The exit of a backend's process breaks its connections too, but says nothing about other backends. It is
// recognized by a refused connection soon after, or by a list that lacks the backend or has a new start time
// for it. The effect of the broken reuses is then undone.
package idletimeout

import (
	"math"
	"time"
)

const (
	// MinIdleTimeout is the idle time up to which a connection is always reused. It is longer than a close
	// takes to arrive between two zones, and short enough that a series of broken reuses does not make every
	// request open a connection.
	MinIdleTimeout = 20 * time.Millisecond
	// RecoveryTime is the time in which the bound doubles if no further reuse breaks.
	RecoveryTime = 10 * time.Second

	// ReuseDelay is how long a connection to a backend of the same zone is left unused after a response. A
	// faulty backend may send a second response some milliseconds after the first. During the delay it is
	// recognized as such; after the next request it would be taken for the response to that request.
	ReuseDelay = 10 * time.Millisecond
	// MaxInterZoneLatency is the longest one-way delay of the network between two zones. Under jitter, a
	// second response may fall behind the first by almost as much on its way.
	MaxInterZoneLatency = 20 * time.Millisecond
	// InterZoneReuseDelay is the reuse delay of a connection to a backend of another zone.
	InterZoneReuseDelay = ReuseDelay + MaxInterZoneLatency

	// exitAttributionWindow is the time after a broken reuse in which an exit of the backend explains it. A
	// refused connection shows the exit at the next attempt, a list some seconds late.
	exitAttributionWindow = 10 * time.Second
)

// idleLimit is the bound on the idle time learned at the time since. A zero maxIdle means no bound.
type idleLimit struct {
	maxIdle time.Duration
	since   time.Time
}

// Tracker learns the bound for all connections of a process. The zero value has no bound. It is not safe for
// concurrent use.
type Tracker struct {
	current idleLimit

	// The backend of the latest broken reuses, the time of the last, and the bound before the first of them.
	brokenBackend string
	brokenAt      time.Time
	beforeBreaks  idleLimit
}

// MaxIdle returns for how long a connection may have been idle when it is reused, at most configured. For a
// request that is not idempotent it is half of the learned bound, so that broken reuses first affect requests
// that can be retried.
func (t *Tracker) MaxIdle(now time.Time, configured time.Duration, nonIdempotent bool) time.Duration {
	maxIdle := configured
	if t.current.maxIdle > 0 {
		recovered := float64(t.current.maxIdle) *
			math.Exp2(now.Sub(t.current.since).Seconds()/RecoveryTime.Seconds())
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

// RecordBrokenReuse records that a connection to a backend broke under a request, after the connection had
// been idle.
func (t *Tracker) RecordBrokenReuse(now time.Time, backend string, idle, configured time.Duration) {
	if idle < MinIdleTimeout || idle > configured {
		return // it did not break because of its idle time, or MaxIdle excludes that time already
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

// RecordBackendExit records that a backend's process has exited, which explains its latest broken reuses.
func (t *Tracker) RecordBackendExit(now time.Time, backend string) {
	if t.brokenBackend == backend && now.Sub(t.brokenAt) <= exitAttributionWindow {
		t.current, t.brokenBackend = t.beforeBreaks, ""
	}
}
