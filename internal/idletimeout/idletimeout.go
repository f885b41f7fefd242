// Package keepalive decides how long a kept connection may have stood idle to be used again.
//
// Backends, and what stands between, close idle connections earlier than the settings say, and word of it can come too
// late: a request written meanwhile ends as a reset, which is final for one that must not run twice. Where a kept
// connection breaks that way, connections idle for half as long are the last that are trusted, at any backend; after
// that, trust comes back.
//
// A process that dies breaks its connections too, whatever they stood idle, and says nothing of other backends'. It is
// known by the next connect to it, which is refused, or by a list that has it gone or started anew: what broke there
// shortly before is then taken back.
package idletimeout

import (
	"math"
	"time"
)

// The settings give the longest trusted time (most) and nothing of who closes earlier. These hold for any of them: Span
// is never over most, whatever is learned here, and what is learned is kept as a factor, so that the time back from a break
// grows with the logarithm of most only.
const (
	// Least is how long a kept connection is trusted whatever was seen: longer than word of a close is under way
	// between two zones, and so short that a run of breaks can't have every request dial anew.
	MinIdleTimeout = 20 * time.Millisecond
	// Double is in what time the trusted time doubles without a further break: a break in most costs a new connection now
	// and then, at any rate of requests.
	RecoveryTime = 10 * time.Second

	// Rest is how long a connection stands quiet after an answer before it is used again. A faulty server may send a
	// second answer some milliseconds behind the first (2 to 4 were seen). One that comes while the connection rests
	// is seen there; one that comes after the next request was written cannot be told from that one's own answer, and
	// no figure in it names the request. A call that finds only resting connections waits for one: the only price.
	ReuseDelay = 10 * time.Millisecond

	// diedWithin is how long after a break word of a death explains it. A refused connect tells at the next attempt and a
	// list some seconds late. Where lists are later still the break counts as staleness, which Double forgets.
	exitAttributionWindow = 10 * time.Second
)

// limit is a bound on the trusted time, as of a moment; 0 is none.
type idleLimit struct {
	maxIdle time.Duration
	since   time.Time
}

// Trust is of all kept connections of a process. It is not safe for concurrent use.
type Tracker struct {
	current idleLimit

	// The latest breaks at one backend, and the limit before the first of them.
	brokenBackend string
	brokenAt      time.Time
	beforeBreaks  idleLimit
}

// Span is how long a connection may have been idle now, never more than most. A request that must not run twice gets
// half of it, so that those which can be repeated meet the edge first.
func (t *Tracker) MaxIdle(now time.Time, most time.Duration, unsafe bool) time.Duration {
	span := most
	if t.current.maxIdle > 0 {
		grown := float64(t.current.maxIdle) * math.Exp2(now.Sub(t.current.since).Seconds()/RecoveryTime.Seconds())
		if grown >= float64(2*most) {
			t.current.maxIdle = 0
			return most
		}
		span = time.Duration(grown)
		if unsafe {
			span /= 2
		}
	}
	return min(span, most)
}

// Broke notes that a connection to a backend which had been idle so long broke under its next request.
func (t *Tracker) RecordBrokenReuse(now time.Time, backend string, idle, most time.Duration) {
	if idle < MinIdleTimeout || idle > most {
		return // no staleness, or one that Span already guards from
	}
	if t.brokenBackend != backend || now.Sub(t.brokenAt) > exitAttributionWindow {
		t.brokenBackend, t.beforeBreaks = backend, t.current
	}
	t.brokenAt = now
	span := max(idle/2, MinIdleTimeout)
	if t.current.maxIdle > 0 {
		span = min(span, max(t.MaxIdle(now, most, false)/2, MinIdleTimeout))
	}
	t.current = idleLimit{span, now}
}

// Died notes word that a backend's process has ended.
func (t *Tracker) RecordBackendExit(now time.Time, backend string) {
	if t.brokenBackend == backend && now.Sub(t.brokenAt) <= exitAttributionWindow {
		t.current, t.brokenBackend = t.beforeBreaks, ""
	}
}
