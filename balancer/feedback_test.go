package balancer

import "testing"

// A round with few calls must neither take minutes nor be judged by a single bad call.
func TestRoundWithFewCallsEndsByTimeAndOnlyWhenGood(t *testing.T) {
	ev := feedbackRound{maxBadFraction: maxLateFraction, maxDuration: span(5 * second)}
	if f := ev.record(moment(start), moment(start), true); f != 0 {
		t.Errorf("one bad finish is taken for a round: %v", f)
	}
	if f := ev.record(moment(start+second), moment(start), false); f != 0 {
		t.Errorf("a half bad pair is taken for a round: %v", f)
	}
	ev = feedbackRound{maxBadFraction: maxLateFraction, maxDuration: span(5 * second), startedAt: moment(start)}
	if f := ev.record(moment(start+second), moment(start), false); f != 0 {
		t.Errorf("quick finishes judge before slow ones can show: %v", f)
	}
	if f := ev.record(moment(start+5*second), moment(start+second), false); f != 1 {
		t.Errorf("after its span a good round is not judged: %v", f)
	}
}
