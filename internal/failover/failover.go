// Package failover is how a caller that follows the list service goes through its members, and whom it believes.
//
//   - Each caller goes through the members in an order of its own, so that a fleet spreads over them. A failure (refused,
//     silent, 503, nonsense) moves it to the next, after a pause drawn from 0 to Spread: the callers of a member that
//     dies do not arrive at the others together. Once all members have failed in a row the pauses double, each round,
//     to the caller's most, drawn from half of it to all.
//   - Within a line of versions nothing older is taken than what was taken before: a member that is behind is left.
//   - Another line (the service began anew, or was restored) is taken at once if its versions lie above, as the service
//     sees to. If they lie below, only when no member has answered for the former line for LineWait: two services
//     that both answer are not to be believed in turn.
package failover

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	// Spread is over how long the callers of a member that dies come to the others.
	Jitter = 600 * time.Millisecond
	// LineWait is without an answer for a line, until one that lies below it is taken.
	EpochWait = 10 * time.Second

	dialTimeout = time.Second
)

// Client makes calls of members. A connection that does not come up is a failure of a member long before its call is one.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
}

// Wait waits, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Ring is the members in a caller's own order. One goroutine has it.
type Ring struct {
	members           []string
	current, failures int
	rng               *rand.Rand
	maxBackoff        time.Duration
}

// New is a ring, with pauses of at most so long while all members fail.
func NewRing(members []string, rng *rand.Rand, maxBackoff time.Duration) *Ring {
	r := &Ring{members: slices.Clone(members), rng: rng, maxBackoff: maxBackoff}
	rng.Shuffle(len(r.members), func(i, j int) { r.members[i], r.members[j] = r.members[j], r.members[i] })
	return r
}

// Member is the one to ask.
func (r *Ring) Current() string { return r.members[r.current] }

// Answered notes that it has answered.
func (r *Ring) RecordSuccess() { r.failures = 0 }

// Failure is what follows a call that failed.
type Failure struct {
	Next        string // to ask
	FailedOver  bool   // it is another one
	Consecutive int    // failures
	ShouldLog   bool   // this one is worth a line in the log: the first, and one each round
	Backoff     time.Duration
}

// Failed moves on to the next member.
func (r *Ring) RecordFailure() Failure {
	r.failures++
	next := (r.current + 1) % len(r.members)
	f := Failure{Next: r.members[next], FailedOver: next != r.current, Consecutive: r.failures, ShouldLog: r.failures == 1 || r.failures%len(r.members) == 0}
	r.current = next
	f.Backoff = r.nextBackoff()
	return f
}

// pause is how long to wait after so many failures in a row.
func (r *Ring) nextBackoff() time.Duration {
	if r.failures < len(r.members) {
		return r.RandomDelay(Jitter)
	}
	p := min(Jitter<<min(r.failures/len(r.members), 8), r.maxBackoff)
	return p/2 + r.RandomDelay(p/2)
}

// Draw is a time below another.
func (r *Ring) RandomDelay(max time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(max)))
}

// ErrBehind is an answer that lies below what was taken.
var ErrStaleVersion = errors.New("a member is behind what another has told")

// Lineage is what was taken last.
type AcceptedVersion struct {
	Epoch       string
	Version     int64
	ConfirmedAt time.Time // when a member last answered for the line
}

// Check tells why an answer is not to be taken.
func (l AcceptedVersion) Check(line string, version int64, now time.Time) error {
	switch {
	case version >= l.Version:
		return nil
	case line == l.Epoch:
		return fmt.Errorf("%w: version %d after %d", ErrStaleVersion, version, l.Version)
	case now.Sub(l.ConfirmedAt) < EpochWait:
		return fmt.Errorf("%w: line %q at version %d is below line %q at %d, which was told %v ago", ErrStaleVersion, line,
			version, l.Epoch, l.Version, now.Sub(l.ConfirmedAt).Round(time.Millisecond))
	}
	return nil
}
