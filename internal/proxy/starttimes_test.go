package proxy

import (
	"testing"
	"time"

	"merlinpick/internal/discovery"
)

// The age of a server's process is taken by the wall clock of the moment in which the list first names its start: a step
// of that clock since this process began makes no server warm or cold.
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
			t.Errorf("step %v: it is %v old, want 2 s", step, got)
		}
		later := now + 3*time.Second.Microseconds()
		if got := age(later, wall.Add(3*time.Second-time.Minute)); got < 4900*time.Millisecond || got > 5100*time.Millisecond {
			t.Errorf("step %v: listed again after a step of a minute it is %v old, want 5 s", step, got)
		}
		e.StartedAtMs = wall.Add(time.Hour).UnixMilli()
		if got := age(now, wall); got != 0 {
			t.Errorf("step %v: a start to come is %v old", step, got)
		}
		e.StartedAtMs = 0
		if got := starts.startOf(e, now, wall); got != 0 {
			t.Errorf("a start of long ago is at %v", got)
		}
	}
}
