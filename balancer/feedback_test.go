package balancer

import "testing"

// A round with few calls must neither take minutes nor be judged by a single bad call.
func TestRoundWithFewCallsEndsByTimeAndOnlyWhenGood(t *testing.T) {
	ev := feedbackRound{maxBadFraction: maxLateFraction, maxDuration: 5 * second}
	if f := ev.record(start, start, true); f != 0 {
		t.Errorf("one bad finish is taken for a round: %v", f)
	}
	if f := ev.record(start+second, start, false); f != 0 {
		t.Errorf("a half bad pair is taken for a round: %v", f)
	}
	ev = feedbackRound{maxBadFraction: maxLateFraction, maxDuration: 5 * second, startedAt: start}
	if f := ev.record(start+second, start, false); f != 0 {
		t.Errorf("quick finishes judge before slow ones can show: %v", f)
	}
	if f := ev.record(start+5*second, start+second, false); f != 1 {
		t.Errorf("after its span a good round is not judged: %v", f)
	}
}
