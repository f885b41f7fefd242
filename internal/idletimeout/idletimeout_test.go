package idletimeout

import (
	"testing"
	"time"
)

const configured = 4 * time.Second

// checker returns a function that checks MaxIdle of a tracker at a time.
func checker(t *testing.T, tracker *Tracker) func(now time.Time, unsafe bool, want time.Duration) {
	return func(now time.Time, nonIdempotent bool, want time.Duration) {
		t.Helper()
		if got := tracker.MaxIdle(now, configured, nonIdempotent); got != want {
			t.Errorf("MaxIdle is %v, want %v", got, want)
		}
	}
}

// Broken reuses lower the bound, down to MinIdleTimeout; it doubles with each RecoveryTime after that.
func TestMaxIdleFallsAndRecovers(t *testing.T) {
	now := time.Unix(1000, 0)
	var tracker Tracker
	check := checker(t, &tracker)
	check(now, true, configured)
	// The first request on a connection, which did not break because of its idle time.
	tracker.RecordBrokenReuse(now, "a", 0, configured)
	check(now, true, configured)
	tracker.RecordBrokenReuse(now, "a", 800*time.Millisecond, configured)
	check(now, false, 400*time.Millisecond)
	check(now, true, 200*time.Millisecond)
	// A request that was sent before the first break was known.
	tracker.RecordBrokenReuse(now, "b", 600*time.Millisecond, configured)
	check(now, false, 200*time.Millisecond)
	now = now.Add(RecoveryTime)
	check(now, false, 400*time.Millisecond)
	for range 20 {
		tracker.RecordBrokenReuse(now, "a", 50*time.Millisecond, configured)
	}
	check(now, false, MinIdleTimeout)
	now = now.Add(20 * RecoveryTime)
	check(now, true, configured)
}

// The exit of a backend undoes the effect of its own broken reuses, not of those at other backends.
func TestBackendExitUndoesBreaks(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name   string
		record func(tracker *Tracker)
		want   time.Duration // MaxIdle at 1 s
	}{
		{"no exit", func(tracker *Tracker) {
			tracker.RecordBrokenReuse(at(1000), "a", 800*time.Millisecond, configured)
		}, 400 * time.Millisecond},
		{"several breaks, then an exit", func(tracker *Tracker) {
			tracker.RecordBrokenReuse(at(990), "a", 800*time.Millisecond, configured)
			tracker.RecordBrokenReuse(at(991), "a", 500*time.Millisecond, configured)
			tracker.RecordBackendExit(at(1000), "a")
			tracker.RecordBackendExit(at(1000), "a")
		}, configured},
		{"another backend's exit", func(tracker *Tracker) {
			tracker.RecordBrokenReuse(at(1000), "a", 800*time.Millisecond, configured)
			tracker.RecordBackendExit(at(1000), "b")
		}, 400 * time.Millisecond},
		{"an exit long after", func(tracker *Tracker) {
			tracker.RecordBrokenReuse(at(-9500), "a", 800*time.Millisecond, configured)
			tracker.RecordBackendExit(at(1000), "a")
			tracker.RecordBrokenReuse(at(1000), "b", 200*time.Millisecond, configured)
		}, 100 * time.Millisecond},
		{"an earlier bound stays", func(tracker *Tracker) {
			tracker.RecordBrokenReuse(at(1000), "b", 800*time.Millisecond, configured)
			tracker.RecordBrokenReuse(at(1000), "a", 500*time.Millisecond, configured)
			tracker.RecordBackendExit(at(1000), "a")
		}, 400 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			var tracker Tracker
			test.record(&tracker)
			checker(t, &tracker)(at(1000), false, test.want)
		})
	}
}
