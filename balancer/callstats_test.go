package balancer

import (
	"math"
	"testing"
)

func TestCallStatsFade(t *testing.T) {
	var stats callStats
	if stats.seenWithin(moment(start), span(second)) || stats.badFraction() != 0 {
		t.Errorf("without calls: %+v", stats)
	}
	stats.record(moment(start), span(second), 100, FaultErrors)
	stats.record(moment(start), span(second), 100, NoFault)
	if stats.calls != 2 || stats.badFraction() != 0.5 || stats.fault != FaultErrors || stats.lastBadAt != moment(start) {
		t.Errorf("one bad call of two: %+v", stats)
	}
	stats.record(moment(start+second), span(second), 100, NoFault) // the two have faded to 1/e
	if want := 2/math.E + 1; math.Abs(stats.calls-want) > 1e-9 || math.Abs(stats.bad-1/math.E) > 1e-9 {
		t.Errorf("a second later: %+v, want %v calls", stats, want)
	}
	if !stats.seenWithin(moment(start+2*second), span(second)) || stats.seenWithin(moment(start+2*second+1), span(second)) {
		t.Error("the latest call is seen for another time than asked")
	}
}

func TestCallStatsCountNoMoreThanTheLatestCalls(t *testing.T) {
	var stats callStats
	for range 50 {
		stats.record(moment(start), span(second), 5, FaultErrors)
	}
	if math.Abs(stats.calls-5) > 1e-9 {
		t.Errorf("%v calls, want 5 at most", stats.calls)
	}
	for range 20 {
		stats.record(moment(start), span(second), 5, NoFault)
	}
	if stats.badFraction() > 0.05 {
		t.Errorf("bad fraction %v after twenty answers", stats.badFraction())
	}
}

func TestRetractedBadCall(t *testing.T) {
	var stats callStats
	stats.retractBad()
	stats.record(moment(start), span(second), 5, FaultUnresponsive)
	stats.retractBad()
	if stats.bad != 0 || stats.calls != 1 {
		t.Errorf("got %+v", stats)
	}
}
