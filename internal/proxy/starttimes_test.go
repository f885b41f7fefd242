package proxy

import (
	"testing"
	"time"

	"merlinpick/internal/discovery"
)

// TestWallClockStepDoesNotMoveStartTimes checks that the age of a server is computed from the wall clock
// once, when the list first states its start. A step of the wall clock, before or after that, must not make a
// server look older or younger.
func TestWallClockStepDoesNotMoveStartTimes(t *testing.T) {
	for _, step := range []time.Duration{0, -time.Hour, time.Hour, -5 * time.Second} {
		c := clock{start: time.Now()}
		starts, now := startTimes{}, c.now()
		wall := time.Now().Add(step)
		e := discovery.Endpoint{Name: "a", StartedAtMs: wall.Add(-2 * time.Second).UnixMilli()}
		age := func(at int64, wall time.Time) time.Duration {
			return time.Duration(at-starts.startOf(e, at, wall)) * time.Microsecond
		}
		if got := age(now, wall); got < 1900*time.Millisecond || got > 2100*time.Millisecond {
			t.Errorf("step %v: got age %v, want 2 s", step, got)
		}
		later := now + 3*time.Second.Microseconds()
		if got := age(later, wall.Add(3*time.Second-time.Minute)); got < 4900*time.Millisecond || got > 5100*time.Millisecond {
			t.Errorf("step %v: listed again after another step of a minute: got age %v, want 5 s", step, got)
		}
		e.StartedAtMs = wall.Add(time.Hour).UnixMilli()
		if got := age(now, wall); got != 0 {
			t.Errorf("step %v: start in the future: got age %v, want 0", step, got)
		}
		e.StartedAtMs = 0
		if got := starts.startOf(e, now, wall); got != 0 {
			t.Errorf("unknown start: got %v, want 0", got)
		}
	}
}
