package balancer

import "testing"

// A client that reads its response slowly is no evidence of a slow server: the latency of an attempt ends
// when the response starts. After that, only a broken response counts against the server.
func TestStreamedResponseEndsTheAttemptsLatency(t *testing.T) {
	for _, end := range []Status{StatusOK, StatusCancelled, StatusReset} {
		b, h := newWithServers(t, testSettings(), 1)
		sendRequest(b, h, start, "r", 0)
		b.HandleResponseStarted(start+1000, "r")
		s := b.members.byID["s0"]
		if s.inFlight != 0 || b.admission.tier.inFlight != 0 || b.classes[0].latency.successes != 1 {
			t.Errorf("after the response started: %d in flight at the server, %d in the tier, %v answers; "+
				"want 0, 0 and 1", s.inFlight, b.admission.tier.inFlight, b.classes[0].latency.successes)
		}
		sendRequest(b, h, start+20*second, "other", 0) // checks for slow attempts
		b.HandleOutcome(start+20*second, h,
			Outcome{RequestID: "other", Status: StatusOK, Latency: 1000, RequestDone: true})
		if b.quotas.multiple < maxQuotaMultiple {
			t.Errorf("a slow client reduced the quota multiple to %v", b.quotas.multiple)
		}
		b.HandleOutcome(start+30*second, h,
			Outcome{RequestID: "r", Status: end, Latency: 30 * second, RequestDone: true})
		if s.inFlight != 0 || b.admission.tier.inFlight != 0 || len(b.requests) != 0 {
			t.Errorf("after the end with status %v: %d in flight at the server, %d in the tier, %d "+
				"requests; want none", end, s.inFlight, b.admission.tier.inFlight, len(b.requests))
		}
		if attributed := s.outlier.overall.score < 1; attributed != (end == StatusReset) {
			t.Errorf("status %v after the start of the response was attributed to the server: %v",
				end, attributed)
		}
	}
}

// The time of a request begins when its body is complete, however long that took. A request whose body is no
// longer available is not sent again.
func TestLatencyBeginsWhenTheBodyIsReceived(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateWeight = 0
	b, h := newWithServers(t, s, 4)
	b.HandleRequest(start, h, Request{ID: "r", BodyPending: true})
	if len(h.sends) != 1 || h.sends[0].timeout != 0 {
		t.Fatalf("actions for a request with a pending body: %q, want one attempt without a timeout", h.lines)
	}
	late := start + 60*second
	if b.admission.tier.inFlight != 0 || b.members.byID[h.sends[0].server].inFlight != 0 {
		t.Error("an attempt counts as in flight before the request body was received")
	}
	sendRequest(b, h, late, "other", 0) // checks for slow attempts
	b.HandleOutcome(late, h, Outcome{RequestID: "other", Status: StatusOK, Latency: 1000, RequestDone: true})
	if got := b.HandleBodyReceived(late, "r", late+1_000_000); got != s.Classes[0].LatencyObjective {
		t.Errorf("the timeout after the body was received is %d µs, want %d µs",
			got, s.Classes[0].LatencyObjective)
	}
	if b.admission.tier.inFlight != 1 || b.members.byID[h.sends[0].server].inFlight != 1 {
		t.Error("an attempt does not count as in flight after the request body was received")
	}
	b.HandleOutcome(late+1000, h, Outcome{RequestID: "r", Status: StatusOK, Latency: 1000, RequestDone: true})
	if b.quotas.multiple < maxQuotaMultiple || b.admission.tier.feedback.bad != 0 || len(b.requests) != 0 {
		t.Errorf("after a slow request body: quota multiple %v, %d bad calls, %d requests; want %v, 0 and 0",
			b.quotas.multiple, b.admission.tier.feedback.bad, len(b.requests), maxQuotaMultiple)
	}
	for _, notReplayable := range []bool{false, true} {
		n := len(h.sends)
		b.HandleRequest(late, h, Request{ID: "q", BodyPending: true})
		b.HandleOutcome(late, h,
			Outcome{RequestID: "q", Status: StatusConnectFailed, NotReplayable: notReplayable})
		if retried := len(h.sends) == n+2; retried == notReplayable {
			t.Errorf("a request with NotReplayable %v was retried: %v", notReplayable, retried)
		}
		b.HandleClientGone(late, h, "q")
		b.HandleOutcome(late, h, Outcome{RequestID: "q", Attempt: 1, Status: StatusCancelled, RequestDone: true})
	}
}
