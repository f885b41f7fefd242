package balancer

import (
	"math"
	"testing"
)

// Calls decay with time, and seenWithin goes by the latest call.
func TestCallStatsFade(t *testing.T) {
	var stats callStats
	if stats.seenWithin(moment(start), span(second)) || stats.badFraction() != 0 {
		t.Errorf("stats without calls: %+v, want no calls and a bad fraction of 0", stats)
	}
	stats.record(moment(start), span(second), 100, FaultErrors)
	stats.record(moment(start), span(second), 100, NoFault)
	if stats.calls != 2 || stats.badFraction() != 0.5 || stats.fault != FaultErrors ||
		stats.lastBadAt != moment(start) {
		t.Errorf("stats after one bad call of two: %+v", stats)
	}
	stats.record(moment(start+second), span(second), 100, NoFault) // the first two have decayed to 1/e each
	if want := 2/math.E + 1; math.Abs(stats.calls-want) > 1e-9 || math.Abs(stats.bad-1/math.E) > 1e-9 {
		t.Errorf("stats after a third call one second later: %+v, want %v calls and %v bad ones",
			stats, want, 1/math.E)
	}
	if !stats.seenWithin(moment(start+2*second), span(second)) ||
		stats.seenWithin(moment(start+2*second+1), span(second)) {
		t.Error("seenWithin is wrong at the end of the given second after the latest call, or 1 µs later")
	}
}

// The counts are limited to maxCalls calls, so that the bad fraction is that of the latest ones.
func TestCallStatsCountNoMoreThanTheLatestCalls(t *testing.T) {
	var stats callStats
	for range 50 {
		stats.record(moment(start), span(second), 5, FaultErrors)
	}
	if math.Abs(stats.calls-5) > 1e-9 {
		t.Errorf("%v calls are counted after 50, want 5", stats.calls)
	}
	for range 20 {
		stats.record(moment(start), span(second), 5, NoFault)
	}
	if stats.badFraction() > 0.05 {
		t.Errorf("bad fraction %v after 20 answers, want up to 0.05", stats.badFraction())
	}
}

// A retracted bad call still counts as a call, and no count becomes negative.
func TestRetractedBadCall(t *testing.T) {
	var stats callStats
	stats.retractBad()
	stats.record(moment(start), span(second), 5, FaultUnresponsive)
	stats.retractBad()
	if stats.bad != 0 || stats.calls != 1 {
		t.Errorf("stats after a retracted bad call: %+v, want one call and no bad one", stats)
	}
}
