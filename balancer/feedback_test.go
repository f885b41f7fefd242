package balancer

import "testing"

// A round with few calls must neither take minutes nor end as a bad one because of a single bad call.
func TestRoundWithFewCallsEndsByTimeAndOnlyWhenGood(t *testing.T) {
	round := feedbackRound{maxBadFraction: maxLateFraction, maxDuration: span(5 * second)}
	if f := round.record(moment(start), moment(start), true); f != 0 {
		t.Errorf("a single bad call ended the round with factor %v, want 0", f)
	}
	if f := round.record(moment(start+second), moment(start), false); f != 0 {
		t.Errorf("a bad and a good call ended the round with factor %v, want 0", f)
	}
	round = feedbackRound{maxBadFraction: maxLateFraction, maxDuration: span(5 * second),
		startedAt: moment(start)}
	if f := round.record(moment(start+second), moment(start), false); f != 0 {
		t.Errorf("a fast call ended the round with factor %v before slow calls could end, want 0", f)
	}
	if f := round.record(moment(start+5*second), moment(start+second), false); f != 1 {
		t.Errorf("a good round returned factor %v after its maximum duration, want 1", f)
	}
}
