package balancer

import (
	"fmt"
	"testing"
)

// TestRetryBudgetIsSharedByTwoProcesses checks that two processes that serve as one proxy stay within one
// retry budget together, in every window, also after the successor has ended.
func TestRetryBudgetIsSharedByTwoProcesses(t *testing.T) {
	s := testSettings()
	s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio, s.MaxAttempts = 10*second, 5, 0.1, 3
	old, h := newWithServers(t, s, 4)
	var requests, retries []int64
	sendAndReject := func(b *Balancer, now int64, id string) {
		requests = append(requests, now)
		sends := len(h.sends)
		sendRequest(b, h, now, id, 0)
		for i := 0; len(h.sends) > sends+i; i++ {
			if i > 0 {
				retries = append(retries, now)
			}
			b.HandleOutcome(now, h, Outcome{RequestID: id, Attempt: i, Status: StatusRejected, Latency: 1})
		}
	}
	now := start
	for i := range 20 {
		now += second / 10
		sendAndReject(old, now, fmt.Sprint("o", i))
	}
	next := mustNew(t, s)
	next.ImportRetryBudget(old.ExportRetryBudget(now))
	next.UpdateEndpoints(now, h, UpdateSnapshot, testServers(4))
	for i := range 400 {
		now += second / 20
		b := next
		if i%2 == 0 {
			b = old
		}
		if i == 300 {
			old.HandleOtherProcessExit(now) // the successor has died; RetryBudgetMin is not available at once
		}
		if i >= 300 {
			b = old
		}
		sendAndReject(b, now, fmt.Sprint(i))
	}
	for _, end := range retries {
		n, allowed := 0.0, s.RetryBudgetMin
		for _, at := range retries {
			if at <= end && at >= end-s.RetryBudgetWindow {
				n++
			}
		}
		for _, at := range requests {
			if at <= end && at > end-s.RetryBudgetWindow {
				allowed += s.RetryBudgetRatio
			}
		}
		if n > allowed+1e-9 {
			t.Fatalf("%v retries within the window that ends at %d, %v allowed", n, end, allowed)
		}
	}
	if len(retries) < 10 {
		t.Errorf("only %d retries: the test covers too little", len(retries))
	}
}

// TestWarmingServerGetsHalfFromEachOfTwoProcesses checks that a process gives a warming server half of its
// weight while another process of the same proxy sends to it, too.
func TestWarmingServerGetsHalfFromEachOfTwoProcesses(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 1)
	warming := &server{Server: Server{StartTime: start}}
	alone := b.slowStart.factor(moment(start+second), warming)
	b.ImportRetryBudget(RetryBudgetUsage{})
	if got := b.slowStart.factor(moment(start+second), warming); got != alone/2 {
		t.Errorf("weight factor %v beside another process, want half of %v", got, alone)
	}
	b.HandleOtherProcessExit(start)
	if got := b.slowStart.factor(moment(start+second), warming); got != alone {
		t.Errorf("weight factor %v after the other process has ended, want %v", got, alone)
	}
}
