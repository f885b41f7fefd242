package balancer

import (
	"fmt"
	"testing"
)

// A request whose attempts all time out gets its final answer at its deadline at the latest.
func TestRequestIsAnsweredAtItsDeadline(t *testing.T) {
	for class := range testSettings().Classes {
		b, h := newWithServers(t, testSettings(), 4)
		sendRequest(b, h, start, "r", class)
		now, attempt := start, 0
		for len(h.sends) == attempt+1 { // each attempt times out until the request is over
			now += h.sends[attempt].timeout
			b.HandleOutcome(now, h, Outcome{RequestID: "r", Attempt: attempt, Status: StatusTimedOut,
				Latency: h.sends[attempt].timeout})
			attempt++
		}
		if l := h.last(); l != "fail r" && l != "reject r" {
			t.Errorf("class %d: the last action is %q, want the request to be failed or rejected", class, l)
		}
		if now > start+1_000_000 {
			t.Errorf("class %d: answered %d µs after the client's deadline", class, now-start-1_000_000)
		}
	}
}

// After each kind of outcome, a request is sent again only where its idempotency allows it.
func TestIdempotencyAfterAnOutcome(t *testing.T) {
	for _, c := range []struct {
		class  int
		status Status
		after  int64
		want   string // "send": to any server; "cell" or "zone": to the same one; or the final action
	}{
		{0, StatusError, 1000, "send"},
		{0, StatusReset, 1000, "send"},
		{0, StatusRejected, 1000, "send"},
		{1, StatusRejected, 1000, "send"},
		{1, StatusError, 1000, "cell"},
		{1, StatusError, 300_000, "fail"}, // the cell no longer remembers the key
		{2, StatusRejected, 1000, "send"},
		{2, StatusConnectFailed, 1000, "send"},
		{2, StatusError, 1000, "fail"},
		{2, StatusTimedOut, 1000, "fail"},
		{2, StatusReset, 1000, "fail"},
		{3, StatusError, 1000, "send"},
		{3, StatusError, 300_000, "reject"},
		{4, StatusError, 1000, "zone"},
		{4, StatusError, 300_000, "fail"},
	} {
		b, h := newWithServers(t, testSettings(), 8)
		byID := map[string]Server{}
		for _, s := range testServers(8) {
			byID[s.ID] = s
		}
		sendRequest(b, h, start, "r", c.class)
		b.HandleOutcome(start+c.after, h, Outcome{RequestID: "r", Status: c.status, Latency: c.after})
		name := fmt.Sprintf("class %d after status %d at %d µs", c.class, c.status, c.after)
		switch c.want {
		case "fail", "reject":
			if h.last() != c.want+" r" {
				t.Errorf("%s: the last action is %q, want %q", name, h.last(), c.want+" r")
			}
			continue
		}
		if len(h.sends) != 2 {
			t.Errorf("%s: %d attempts, want 2; the last action is %q", name, len(h.sends), h.last())
			continue
		}
		first, retry := byID[h.sends[0].server], byID[h.sends[1].server]
		if c.want == "cell" && first.Cell != retry.Cell || c.want == "zone" && first.Zone != retry.Zone {
			t.Errorf("%s: the first attempt went to %v and the retry to %v, want the same %s",
				name, first, retry, c.want)
		}
	}
}

// Where a rejection by a server does not prove that it did not execute the request, a non-idempotent request
// is failed, and one with an idempotency key is retried only where the key is known.
func TestRejectedMayHaveExecuted(t *testing.T) {
	s := testSettings()
	s.RejectedMayHaveExecuted = true
	b, h := newWithServers(t, s, 8)
	sendRequest(b, h, start, "unsafe", 2)
	b.HandleOutcome(start+1000, h, Outcome{RequestID: "unsafe", Status: StatusRejected, Latency: 1000})
	if len(h.sends) != 1 || h.last() != "fail unsafe" {
		t.Errorf("actions for a non-idempotent request that a server rejected: %q, want it to be failed",
			h.lines)
	}
	sendRequest(b, h, start+2000, "keyed", 1)
	b.HandleOutcome(start+3000, h, Outcome{RequestID: "keyed", Status: StatusRejected, Latency: 1000})
	if len(h.sends) != 3 || b.members.byID[h.sends[1].server].Cell != b.members.byID[h.sends[2].server].Cell {
		t.Errorf("actions for a request with an idempotency key that a server rejected: %q, want a retry "+
			"in its cell", h.lines)
	}
}

// The retry budget drops the times of old requests even if there are no retries.
func TestRetryBudgetForgetsOldRequests(t *testing.T) {
	b, h := newWithServers(t, testSettings(), 4)
	for i := range int64(1000) {
		now, id := start+i*second, fmt.Sprint(i)
		sendRequest(b, h, now, id, 0)
		b.HandleOutcome(now, h, Outcome{RequestID: id, Status: StatusOK, Latency: 1000, RequestDone: true})
	}
	if most := int(defaultBudgetWindow/seconds) + 1; len(b.retries.requests) > most {
		t.Errorf("the times of %d requests are kept, want up to %d", len(b.retries.requests), most)
	}
}

// The retry budget holds in every window: a long time without failures must not save up retries for a burst.
func TestRetryBudgetHoldsInAnyWindow(t *testing.T) {
	s := testSettings()
	s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = 5*second, 3, 0.05
	b, h := newWithServers(t, s, 8)
	var requests, retries eventTimes
	for i := range int64(2000) {
		now, id := start+i*20_000, fmt.Sprint(i)
		before := len(h.sends)
		sendRequest(b, h, now, id, 0)
		requests = append(requests, now)
		status := StatusOK // for a long time; then everything fails
		if i > 1000 {
			status = StatusError
		}
		for k := 0; len(h.sends) > before+k; k++ {
			if k > 0 {
				retries = append(retries, now)
			}
			b.HandleOutcome(now, h, Outcome{RequestID: id, Attempt: k, Status: status, Latency: 1000,
				RequestDone: status == StatusOK})
		}
		if n, m := retries.countSince(moment(now-5*second)),
			requests.countSince(moment(now-5*second+1)); n > 3+0.05*m {
			t.Fatalf("at %d µs: %v retries for %v requests in 5 s, want up to %v", now-start, n, m, 3+0.05*m)
		}
	}
	if len(retries) == 0 {
		t.Error("no retry was made")
	}
}

// While all attempts fail, the number of retries stays within the default budget.
func TestRetriesAreBudgeted(t *testing.T) {
	b, h := newWithServers(t, testSettings(), 4)
	b.admission.tier.min, b.admission.tier.max = 1e9, 1e9
	const n = 400
	for i := range n {
		id := fmt.Sprint(i)
		now := start + int64(i)*1000
		before := len(h.sends)
		sendRequest(b, h, now, id, 0)
		for k := 0; len(h.sends) > before+k; k++ {
			b.HandleOutcome(now, h, Outcome{RequestID: id, Attempt: k, Status: StatusError, Latency: 1000})
		}
	}
	firsts := 0
	seen := map[string]bool{}
	for _, s := range h.sends {
		if !seen[s.id] {
			firsts++
			seen[s.id] = true
		}
	}
	if retries := len(h.sends) - firsts; retries == 0 ||
		float64(retries) > defaultBudgetMin+defaultBudgetRatio*float64(n) {
		t.Errorf("%d retries for %d first attempts, want at least one and no more than the budget",
			retries, firsts)
	}
}
