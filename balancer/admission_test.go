package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// A Retry-After must leave a client enough of the latency objective for a timely answer.
func TestRetryAfterLeavesTimeForATimelyAnswer(t *testing.T) {
	s := testSettings()
	s.MaxRetryAfter = 2 * second
	b, h := newWithServers(t, s, 0) // without servers all requests are rejected
	for i := range 100 {
		b.HandleRequest(start, h, Request{ID: fmt.Sprint(i), Deadline: start + second})
	}
	most := s.Classes[0].LatencyObjective / 2
	if len(h.retryAfters) != 100 || slices.Min(h.retryAfters) < most/2 || slices.Max(h.retryAfters) > most {
		t.Errorf("Retry-After values in µs: %v, want 100 from %d to %d", h.retryAfters, most/2, most)
	}
}

// The fractional part of a limit is the probability of admitting one more attempt.
func TestConcurrencyLimitAdmitsFractions(t *testing.T) {
	limit := concurrencyLimit{max: 2.25}
	for _, c := range []struct {
		chance float64
		want   bool
	}{{0, true}, {0, true}, {0.7, false}, {0.8, true}, {0.99, false}} {
		if limit.admits(c.chance) != c.want {
			t.Fatalf("admits(%v) is %v with %d attempts in flight and a limit of 2.25, want %v",
				c.chance, !c.want, limit.inFlight, c.want)
		}
		if c.want {
			limit.acquire()
		}
	}
}

// A limit falls while it is not used. Otherwise a burst could fill all servers before the first call is late.
func TestUnusedLimitIsNotKept(t *testing.T) {
	b, h := newWithServers(t, testSettings(), 4)
	now, n := start, 0
	for ; n < 200; n++ { // one call in flight at a time
		now += second / 4
		sendRequest(b, h, now, fmt.Sprint(n), 0)
		b.HandleOutcome(now+100_000, h,
			Outcome{RequestID: fmt.Sprint(n), Status: StatusOK, Latency: 100_000, RequestDone: true})
	}
	before := len(h.sends)
	for range 50 {
		n++
		sendRequest(b, h, now+second/5, fmt.Sprint(n), 0)
	}
	if sent := len(h.sends) - before; sent < 3 || sent > 6 {
		t.Errorf("%d calls of a burst of 50 were sent after at most one was in flight, want 3 to 6", sent)
	}
}

// A limit changes only at the end of a feedback round, and a bad round ends as soon as it cannot become good.
func TestLimitIsLearnedByRounds(t *testing.T) {
	limit := concurrencyLimit{max: initialLimit, min: minLimit,
		feedback: feedbackRound{maxBadFraction: maxLateFraction, maxDuration: span(second)}}
	now := start
	record := func(n int, bad bool) {
		for range n {
			now++
			limit.recordCall(&limit.feedback, moment(now), moment(now), bad)
		}
	}
	for range 20 {
		limit.acquire()
	}
	record(feedbackRoundCalls, false)
	if want := limitHeadroomFactor*20 + limitHeadroomCalls; limit.max != want {
		t.Errorf("limit after a good round: %v, want %v", limit.max, want)
	}
	// decisive is the number of bad calls after which no good ones could make the round good.
	decisive := int(math.Floor(maxLateFraction*feedbackRoundCalls)) + 1
	record(decisive-1, true)
	if want := limitHeadroomFactor*20 + limitHeadroomCalls; limit.max != want {
		t.Errorf("limit before the round is certain to be bad: %v, want %v", limit.max, want)
	}
	record(1, true)
	cut := 20 * (1 - cutPerBadFraction*float64(decisive)/(feedbackRoundCalls/2))
	if limit.max != cut {
		t.Errorf("limit after a bad round: %v, want %v", limit.max, cut)
	}
	sentBefore := now - 1
	for range 3 * feedbackRoundCalls { // calls sent before the cut must not cut again
		limit.recordCall(&limit.feedback, moment(now), moment(sentBefore), true)
	}
	if limit.max != cut {
		t.Errorf("limit after the ends of calls sent before the cut: %v, want %v", limit.max, cut)
	}
	limit.inFlight, limit.peakInFlight = 0, 0
	for range 50 {
		record(feedbackRoundCalls, true)
	}
	if limit.max != minLimit {
		t.Errorf("limit after 50 bad rounds: %v, want the minimum %v", limit.max, minLimit)
	}
}

// Slow calls of a class with a clearly higher priority cut the limits of the other classes, but not vice
// versa.
func TestClassIsPreemptedByHigherPriority(t *testing.T) {
	s := testSettings()
	s.Classes[1].PriorityWeight = 40
	b, _ := newWithServers(t, s, 4)
	low, high := &b.classes[0].admission.limit, &b.classes[1].admission.limit
	for range 10 {
		low.acquire()
		high.acquire()
	}
	now := start
	for range 4 * feedbackRoundCalls {
		now++
		b.applyBackpressure(moment(now), 1, &attempt{sentAt: moment(now)}, true, true)
	}
	if low.max > 10 || high.max != initialLimit {
		t.Errorf("limits after slow calls of the class with high priority: %v (low priority, want up to 10) "+
			"and %v (high priority, want %v)", low.max, high.max, initialLimit)
	}
	for range 4 * feedbackRoundCalls {
		now++
		b.applyBackpressure(moment(now), 0, &attempt{sentAt: moment(now)}, true, true)
	}
	if high.max != initialLimit {
		t.Errorf("limit of the class with high priority after slow calls of the one with low priority: %v, "+
			"want %v", high.max, initialLimit)
	}
}

// The limit of a class without calls must not fall to the minimum because a class with a higher priority is
// slow.
func TestUnusedClassKeepsItsLimit(t *testing.T) {
	s := namedSettings()
	s.Classes[0].PriorityWeight, s.Classes[1].PriorityWeight = 10, 1
	b, h := newWithServers(t, s, 4)
	for i := range 100 {
		id, now := fmt.Sprint(i), start+int64(i)*1000
		sendRequest(b, h, now, id, 0)
		b.HandleOutcome(now, h, Outcome{RequestID: id, Status: StatusOK, Latency: 1000, RequestDone: true})
	}
	for i := range 100 { // calls of the class with the higher priority become slow
		id, now := fmt.Sprint("slow", i), start+int64(i+1)*second
		sendRequest(b, h, now, id, 0)
		b.HandleOutcome(now+s.Classes[0].LatencyObjective, h, Outcome{RequestID: id, Status: StatusOK,
			Latency: s.Classes[0].LatencyObjective, RequestDone: true})
	}
	if got := b.classes[1].admission.limit.max; got != initialLimit {
		t.Errorf("limit of a class before its first call: %v, want %v", got, initialLimit)
	}
}
