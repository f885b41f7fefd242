package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// A Retry-After has to leave a client enough of the latency objective for a timely answer.
func TestRetryAfterLeavesTimeForATimelyAnswer(t *testing.T) {
	s := testSettings()
	s.MaxRetryAfter = 2 * second
	b, h := newWithServers(t, s, 0) // no server: all is refused
	for i := range 100 {
		b.HandleRequest(start, h, Request{ID: fmt.Sprint(i), Deadline: start + second})
	}
	most := s.Classes[0].LatencyObjective / 2
	if len(h.retryAfters) != 100 || slices.Min(h.retryAfters) < most/2 || slices.Max(h.retryAfters) > most {
		t.Errorf("hints %v, want %d to %d", h.retryAfters, most/2, most)
	}
}

func TestConcurrencyLimitAdmitsFractions(t *testing.T) {
	r := concurrencyLimit{max: 2.25}
	for _, c := range []struct {
		u    float64
		want bool
	}{{0, true}, {0, true}, {0.7, false}, {0.8, true}, {0.99, false}} {
		if r.admits(c.u) != c.want {
			t.Fatalf("canPass is %v at %d in flight of 2.25 with %v", !c.want, r.inFlight, c.u)
		}
		if c.want {
			r.acquire()
		}
	}
}

// A limit that is not used comes down, so that a burst can't fill all servers before one call is late.
func TestUnusedLimitIsNotKept(t *testing.T) {
	b, h := newWithServers(t, testSettings(), 4)
	now, n := start, 0
	for ; n < 200; n++ { // one call out at a time
		now += second / 4
		sendRequest(b, h, now, fmt.Sprint(n), 0)
		b.HandleOutcome(now+100_000, h, Outcome{RequestID: fmt.Sprint(n), Status: StatusOK, Latency: 100_000, RequestDone: true})
	}
	before := len(h.sends)
	for range 50 {
		n++
		sendRequest(b, h, now+second/5, fmt.Sprint(n), 0)
	}
	if sent := len(h.sends) - before; sent < 3 || sent > 6 {
		t.Errorf("of a burst of 50 calls %d are sent where one at a time was seen out", sent)
	}
}

func TestLimitIsLearnedByRounds(t *testing.T) {
	r := concurrencyLimit{max: startLimit, min: minLimit, feedback: feedbackRound{maxBadFraction: maxLateFraction, maxDuration: span(second)}}
	now := start
	feed := func(n int, bad bool) {
		for range n {
			now++
			r.learn(&r.feedback, moment(now), moment(now), bad)
		}
	}
	for range 20 {
		r.acquire()
	}
	feed(feedbackRoundCalls, false)
	if want := limitHeadroomFactor*20 + limitHeadroomCalls; r.max != want {
		t.Errorf("after a good round: %v, want %v", r.max, want)
	}
	sure := int(math.Floor(maxLateFraction*feedbackRoundCalls)) + 1 // bad finishes after which no good ones could save the round
	feed(sure-1, true)
	if want := limitHeadroomFactor*20 + limitHeadroomCalls; r.max != want {
		t.Errorf("before its verdict is sure a round changed the count to %v", r.max)
	}
	feed(1, true)
	cut := 20 * (1 - cutPerBadFraction*float64(sure)/(feedbackRoundCalls/2))
	if r.max != cut {
		t.Errorf("after a bad round: %v, want %v", r.max, cut)
	}
	sentBefore := now - 1
	for range 3 * feedbackRoundCalls { // evidence from before the cut must not cut again
		r.learn(&r.feedback, moment(now), moment(sentBefore), true)
	}
	if r.max != cut {
		t.Errorf("old evidence changed the count to %v", r.max)
	}
	r.inFlight, r.peakInFlight = 0, 0
	for range 50 {
		feed(feedbackRoundCalls, true)
	}
	if r.max != minLimit {
		t.Errorf("the count fell to %v, below its floor %v", r.max, minLimit)
	}
}

// Slow calls of a class with a clearly higher priority cut the limits of the others, not the other way round.
func TestClassIsPreemptedByHigherPriority(t *testing.T) {
	s := testSettings()
	s.Classes[1].PriorityWeight = 40
	b, _ := newWithServers(t, s, 4)
	cheap, dear := &b.classes[0].admission.limit, &b.classes[1].admission.limit
	for range 10 {
		cheap.acquire()
		dear.acquire()
	}
	now := start
	for range 4 * feedbackRoundCalls {
		now++
		b.applyBackpressure(moment(now), 1, &attempt{sentAt: moment(now)}, true, true)
	}
	if cheap.max > 10 || dear.max != startLimit {
		t.Errorf("after slow calls of the worthier class: cheap %v, dear %v", cheap.max, dear.max)
	}
	for range 4 * feedbackRoundCalls {
		now++
		b.applyBackpressure(moment(now), 0, &attempt{sentAt: moment(now)}, true, true)
	}
	if dear.max != startLimit {
		t.Errorf("slow cheap calls cut the worthier class to %v", dear.max)
	}
}

// A class without calls isn't held to its least limit because one with a higher priority is slow.
func TestUnusedClassKeepsItsLimit(t *testing.T) {
	s := namedSettings()
	s.Classes[0].PriorityWeight, s.Classes[1].PriorityWeight = 10, 1
	b, h := newWithServers(t, s, 4)
	for i := range 100 {
		id, now := fmt.Sprint(i), start+int64(i)*1000
		sendRequest(b, h, now, id, 0)
		b.HandleOutcome(now, h, Outcome{RequestID: id, Status: StatusOK, Latency: 1000, RequestDone: true})
	}
	for i := range 100 { // worthy calls turn slow
		id, now := fmt.Sprint("slow", i), start+int64(i+1)*second
		sendRequest(b, h, now, id, 0)
		b.HandleOutcome(now+s.Classes[0].LatencyObjective, h, Outcome{RequestID: id, Status: StatusOK, Latency: s.Classes[0].LatencyObjective, RequestDone: true})
	}
	if got := b.classes[1].admission.limit.max; got != startLimit {
		t.Errorf("before its first call a class may have %v out", got)
	}
}
