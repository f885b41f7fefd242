package idletimeout

import (
	"testing"
	"time"
)

const most = 4 * time.Second

func checker(t *testing.T, tr *Tracker) func(now time.Time, unsafe bool, want time.Duration) {
	return func(now time.Time, unsafe bool, want time.Duration) {
		t.Helper()
		if got := tr.MaxIdle(now, most, unsafe); got != want {
			t.Errorf("trusted for %v, want %v", got, want)
		}
	}
}

func TestMaxIdleFallsAndRecovers(t *testing.T) {
	now := time.Unix(1000, 0)
	var tr Tracker
	check := checker(t, &tr)
	check(now, true, most)
	tr.RecordBrokenReuse(now, "a", 0, most) // a first request, or no idling: says nothing of staleness
	check(now, true, most)
	tr.RecordBrokenReuse(now, "a", 800*time.Millisecond, most)
	check(now, false, 400*time.Millisecond)
	check(now, true, 200*time.Millisecond)
	tr.RecordBrokenReuse(now, "b", 600*time.Millisecond, most) // sent before the first break was known
	check(now, false, 200*time.Millisecond)
	now = now.Add(RecoveryTime)
	check(now, false, 400*time.Millisecond)
	for range 20 {
		tr.RecordBrokenReuse(now, "a", 50*time.Millisecond, most)
	}
	check(now, false, MinIdleTimeout)
	now = now.Add(20 * RecoveryTime)
	check(now, true, most)
}

// A backend whose process died broke its connections for that; one that goes on did not.
func TestBackendExitUndoesBreaks(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name string
		do   func(tr *Tracker)
		want time.Duration // at 1 s
	}{
		{"no death", func(tr *Tracker) { tr.RecordBrokenReuse(at(1000), "a", 800*time.Millisecond, most) }, 400 * time.Millisecond},
		{"several breaks, then a death", func(tr *Tracker) {
			tr.RecordBrokenReuse(at(990), "a", 800*time.Millisecond, most)
			tr.RecordBrokenReuse(at(991), "a", 500*time.Millisecond, most)
			tr.RecordBackendExit(at(1000), "a")
			tr.RecordBackendExit(at(1000), "a")
		}, most},
		{"another's death", func(tr *Tracker) {
			tr.RecordBrokenReuse(at(1000), "a", 800*time.Millisecond, most)
			tr.RecordBackendExit(at(1000), "b")
		}, 400 * time.Millisecond},
		{"a death long after", func(tr *Tracker) {
			tr.RecordBrokenReuse(at(-9500), "a", 800*time.Millisecond, most)
			tr.RecordBackendExit(at(1000), "a")
			tr.RecordBrokenReuse(at(1000), "b", 200*time.Millisecond, most)
		}, 100 * time.Millisecond},
		{"what was seen before it stands", func(tr *Tracker) {
			tr.RecordBrokenReuse(at(1000), "b", 800*time.Millisecond, most)
			tr.RecordBrokenReuse(at(1000), "a", 500*time.Millisecond, most)
			tr.RecordBackendExit(at(1000), "a")
		}, 400 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			var tr Tracker
			test.do(&tr)
			checker(t, &tr)(at(1000), false, test.want)
		})
	}
}
