package balancer

import (
	"fmt"
	"testing"
)

func TestRequestIsAnsweredAtItsDeadline(t *testing.T) {
	for class := range testSettings().Classes {
		b, h := newWithServers(t, testSettings(), 4)
		sendRequest(b, h, start, "r", class)
		now, attempt := start, 0
		for len(h.sends) == attempt+1 { // answer every attempt with a time-out until the request is over
			now += h.sends[attempt].timeout
			b.HandleOutcome(now, h, Outcome{RequestID: "r", Attempt: attempt, Status: StatusTimedOut, Latency: h.sends[attempt].timeout})
			attempt++
		}
		if l := h.last(); l != "fail r" && l != "reject r" {
			t.Errorf("class %d: no final answer, last action %q", class, l)
		}
		if now > start+1_000_000 {
			t.Errorf("class %d: answered %d us past the client's time", class, now-start-1_000_000)
		}
	}
}
func TestIdempotencyAfterAnOutcome(t *testing.T) {
	for _, c := range []struct {
		class  int
		status Status
		after  int64
		want   string // of: send anywhere, send to the same cell or zone, fail, reject
	}{
		{0, StatusError, 1000, "send"},
		{0, StatusReset, 1000, "send"},
		{0, StatusRejected, 1000, "send"},
		{1, StatusRejected, 1000, "send"},
		{1, StatusError, 1000, "cell"},
		{1, StatusError, 300_000, "fail"}, // the group has forgotten it
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
		where := map[string]Server{}
		for _, s := range testServers(8) {
			where[s.ID] = s
		}
		sendRequest(b, h, start, "r", c.class)
		b.HandleOutcome(start+c.after, h, Outcome{RequestID: "r", Status: c.status, Latency: c.after})
		name := fmt.Sprintf("class %d after status %d at %d", c.class, c.status, c.after)
		switch c.want {
		case "fail", "reject":
			if h.last() != c.want+" r" {
				t.Errorf("%s: got %q, want %s", name, h.last(), c.want)
			}
			continue
		}
		if len(h.sends) != 2 {
			t.Errorf("%s: no further attempt but %q", name, h.last())
			continue
		}
		one, two := where[h.sends[0].server], where[h.sends[1].server]
		if c.want == "cell" && one.Cell != two.Cell || c.want == "zone" && one.Zone != two.Zone {
			t.Errorf("%s: sent from %v to %v", name, one, two)
		}
	}
}

// Where a rejection is no proof that the server did not execute a request, it brings neither a retry nor a rejection.
func TestRejectedMayHaveExecuted(t *testing.T) {
	s := testSettings()
	s.RejectedMayHaveExecuted = true
	b, h := newWithServers(t, s, 8)
	sendRequest(b, h, start, "unsafe", 2)
	b.HandleOutcome(start+1000, h, Outcome{RequestID: "unsafe", Status: StatusRejected, Latency: 1000})
	if len(h.sends) != 1 || h.last() != "fail unsafe" {
		t.Errorf("an unsafe request that was turned away: %q", h.lines)
	}
	sendRequest(b, h, start+2000, "keyed", 1)
	b.HandleOutcome(start+3000, h, Outcome{RequestID: "keyed", Status: StatusRejected, Latency: 1000})
	if len(h.sends) != 3 || b.members.byID[h.sends[1].server].Cell != b.members.byID[h.sends[2].server].Cell {
		t.Errorf("a keyed request that was turned away left its group: %q", h.lines)
	}
}

// What the retry budget counts is dropped without retries, too.
func TestRetryBudgetForgetsOldRequests(t *testing.T) {
	b, h := newWithServers(t, testSettings(), 4)
	for i := range int64(1000) {
		now, id := start+i*second, fmt.Sprint(i)
		sendRequest(b, h, now, id, 0)
		b.HandleOutcome(now, h, Outcome{RequestID: id, Status: StatusOK, Latency: 1000, RequestDone: true})
	}
	if most := int(defaultBudgetWindow/seconds) + 1; len(b.retries.requests) > most {
		t.Errorf("%d times of requests are kept, %d are needed", len(b.retries.requests), most)
	}
}

// A long calm must not save up a retry budget for a burst.
func TestRetryBudgetHoldsInAnyWindow(t *testing.T) {
	s := testSettings()
	s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = 5*second, 3, 0.05
	b, h := newWithServers(t, s, 8)
	var taken, further eventTimes
	for i := range int64(2000) {
		now, id := start+i*20_000, fmt.Sprint(i)
		before := len(h.sends)
		sendRequest(b, h, now, id, 0)
		taken = append(taken, now)
		status := StatusOK // a long calm, then everything fails
		if i > 1000 {
			status = StatusError
		}
		for k := 0; len(h.sends) > before+k; k++ {
			if k > 0 {
				further = append(further, now)
			}
			b.HandleOutcome(now, h, Outcome{RequestID: id, Attempt: k, Status: status, Latency: 1000, RequestDone: status == StatusOK})
		}
		if n, m := further.countSince(moment(now-5*second)), taken.countSince(moment(now-5*second+1)); n > 3+0.05*m {
			t.Fatalf("at %d: %v further attempts where %v requests were taken", now-start, n, m)
		}
	}
	if len(further) == 0 {
		t.Error("no further attempt was made")
	}
}
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
	if extra := len(h.sends) - firsts; extra == 0 || float64(extra) > defaultBudgetMin+defaultBudgetRatio*float64(n) {
		t.Errorf("%d further attempts on %d first ones", extra, firsts)
	}
}
