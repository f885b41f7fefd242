package balancer

import "testing"

// A client that reads its response slowly says nothing of the server: the attempt ends, for the rules, when the response
// begins, and counts again only if that breaks off.
func TestStreamedResponseEndsTheAttemptsLatency(t *testing.T) {
	for _, end := range []Status{StatusOK, StatusCancelled, StatusReset} {
		b, h := newWithServers(t, testSettings(), 1)
		sendRequest(b, h, start, "r", 0)
		b.HandleResponseStarted(start+1000, "r")
		s := b.members.byID["s0"]
		if s.inFlight != 0 || b.admission.tier.inFlight != 0 || b.classes[0].latency.successes != 1 {
			t.Errorf("begun: %d held, %d in all, %v seen", s.inFlight, b.admission.tier.inFlight, b.classes[0].latency.successes)
		}
		sendRequest(b, h, start+20*second, "other", 0) // would count what is slow
		b.HandleOutcome(start+20*second, h, Outcome{RequestID: "other", Status: StatusOK, Latency: 1000, RequestDone: true})
		if b.quotas.multiple < maxQuotaMultiple {
			t.Errorf("a slow client presses the shares to %v", b.quotas.multiple)
		}
		b.HandleOutcome(start+30*second, h, Outcome{RequestID: "r", Status: end, Latency: 30 * second, RequestDone: true})
		if s.inFlight != 0 || b.admission.tier.inFlight != 0 || len(b.requests) != 0 {
			t.Errorf("%v: %d held, %d in all, %d requests", end, s.inFlight, b.admission.tier.inFlight, len(b.requests))
		}
		if blamed := s.outlier.overall.score < 1; blamed != (end == StatusReset) {
			t.Errorf("%v: blamed %v", end, blamed)
		}
	}
}

// The time of a request begins when its body is complete, however long that took, and one whose body is gone is not
// sent again.
func TestLatencyBeginsWhenTheBodyIsReceived(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateWeight = 0
	b, h := newWithServers(t, s, 4)
	b.HandleRequest(start, h, Request{ID: "r", BodyPending: true})
	if len(h.sends) != 1 || h.sends[0].timeout != 0 {
		t.Fatalf("got %q", h.lines)
	}
	late := start + 60*second
	if b.admission.tier.inFlight != 0 || b.members.byID[h.sends[0].server].inFlight != 0 {
		t.Error("a body on its way counts as a call in flight")
	}
	sendRequest(b, h, late, "other", 0) // would count what is slow
	b.HandleOutcome(late, h, Outcome{RequestID: "other", Status: StatusOK, Latency: 1000, RequestDone: true})
	if got := b.HandleBodyReceived(late, "r", late+1_000_000); got != s.Classes[0].LatencyObjective {
		t.Errorf("%d left for the answer", got)
	}
	if b.admission.tier.inFlight != 1 || b.members.byID[h.sends[0].server].inFlight != 1 {
		t.Error("a call whose body has come is not counted in flight")
	}
	b.HandleOutcome(late+1000, h, Outcome{RequestID: "r", Status: StatusOK, Latency: 1000, RequestDone: true})
	if b.quotas.multiple < maxQuotaMultiple || b.admission.tier.feedback.bad != 0 || len(b.requests) != 0 {
		t.Errorf("a slow client counts against the tier: share %v, %d bad, %d requests", b.quotas.multiple, b.admission.tier.feedback.bad, len(b.requests))
	}
	for _, spent := range []bool{false, true} {
		n := len(h.sends)
		b.HandleRequest(late, h, Request{ID: "q", BodyPending: true})
		b.HandleOutcome(late, h, Outcome{RequestID: "q", Status: StatusConnectFailed, NotReplayable: spent})
		if again := len(h.sends) == n+2; again == spent {
			t.Errorf("spent %v, sent again %v", spent, again)
		}
		b.HandleClientGone(late, h, "q")
		b.HandleOutcome(late, h, Outcome{RequestID: "q", Attempt: 1, Status: StatusCancelled, RequestDone: true})
	}
}
