// Package failover decides which member of the registry a client calls, how long it waits after a failure,
// and which versions it accepts. It makes no calls itself.
//
//   - Each client calls the members in a random order of its own, so that the clients of a fleet spread over
//     them. After a failed call (refused, timed out, 503, malformed) the client moves to the next member
//     after a random delay below Jitter, so that the clients of a failed member do not all call the others at
//     the same time. Once all members have failed in a row, the backoff doubles with each round, up to the
//     client's maximum. Half of it is random.
//   - Within an epoch of versions, no older version is accepted: the client moves on from a member that is
//     behind.
//   - Another epoch (the registry was restored or replaced) is accepted at once if its version is not lower.
//     If it is lower, it is accepted once no member has confirmed the previous epoch for EpochWait, so that a
//     client does not switch between two registries that both answer.
package failover

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	// Jitter is the time over which the clients of a failed member spread their calls to other members.
	Jitter = 600 * time.Millisecond
	// EpochWait is how long an epoch must be unconfirmed before another one with lower versions is accepted.
	EpochWait = 10 * time.Second

	dialTimeout         = time.Second // well below the timeout of a call
	maxBackoffDoublings = 8
)

// NewHTTPClient returns an HTTP client for calls to registry members.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
}

// Sleep waits for a duration or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// RandomDelay returns a random duration in [0, limit), or 0 if limit is 0 or negative: nothing is left to wait.
func RandomDelay(randomness *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(randomness.Int64N(int64(limit)))
}

// Ring holds the members in a client's own random order, and the one to call. It is not safe for concurrent
// use.
type Ring struct {
	members    []string
	current    int
	failures   int // consecutive failed calls
	randomness *rand.Rand
	maxBackoff time.Duration
}

// NewRing returns a ring of members, at least one, in random order. Backoffs are at most maxBackoff.
func NewRing(members []string, randomness *rand.Rand, maxBackoff time.Duration) *Ring {
	r := &Ring{members: slices.Clone(members), randomness: randomness, maxBackoff: maxBackoff}
	randomness.Shuffle(len(r.members), func(i, j int) { r.members[i], r.members[j] = r.members[j], r.members[i] })
	return r
}

// Current returns the address of the member to call.
func (r *Ring) Current() string { return r.members[r.current] }

// RecordSuccess records that the current member has answered.
func (r *Ring) RecordSuccess() { r.failures = 0 }

// Failure says what a client does after a failed call.
type Failure struct {
	Next        string        // member to call next
	FailedOver  bool          // Next is another member
	Consecutive int           // number of consecutive failed calls
	ShouldLog   bool          // whether to log it: the first failure, and one in each round
	Backoff     time.Duration // pause until the next call
}

// RecordFailure records a failed call to the current member and moves on to the next one.
func (r *Ring) RecordFailure() Failure {
	r.failures++
	next := (r.current + 1) % len(r.members)
	failure := Failure{Next: r.members[next], FailedOver: next != r.current, Consecutive: r.failures,
		ShouldLog: r.failures == 1 || r.failures%len(r.members) == 0}
	r.current = next
	failure.Backoff = r.nextBackoff()
	return failure
}

// LogFailure calls RecordFailure, and logs the failure with the message event if ShouldLog is set.
func (r *Ring) LogFailure(logger *slog.Logger, event string, err error) Failure {
	member := r.Current()
	failure := r.RecordFailure()
	if failure.ShouldLog {
		logger.Warn(event, "member", member, "next", failure.Next, "attempt", failure.Consecutive,
			"error", err)
	}
	return failure
}

// nextBackoff returns the pause after the consecutive failures so far.
func (r *Ring) nextBackoff() time.Duration {
	if r.failures < len(r.members) {
		return r.RandomDelay(Jitter)
	}
	rounds := r.failures / len(r.members)
	backoff := min(Jitter<<min(rounds, maxBackoffDoublings), r.maxBackoff)
	return backoff/2 + r.RandomDelay(backoff/2)
}

// PaceWatch sleeps for a random time below Jitter if a watch that may be held for hold was answered without
// changes after elapsed, less than half of that. So a member that does not hold watches is not called in a
// tight loop.
func (r *Ring) PaceWatch(ctx context.Context, elapsed, hold time.Duration) {
	if elapsed < hold/2 {
		Sleep(ctx, r.RandomDelay(Jitter))
	}
}

// RandomDelay returns a random duration in [0, limit), or 0 if limit is 0 or negative.
func (r *Ring) RandomDelay(limit time.Duration) time.Duration {
	return RandomDelay(r.randomness, limit)
}
