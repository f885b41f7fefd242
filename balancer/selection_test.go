package balancer

import (
	"fmt"
	"testing"
)

// TestNoServerToSendTo checks that requests are rejected without an endpoint list and while all servers
// drain.
func TestNoServerToSendTo(t *testing.T) {
	b, h := mustNew(t, testSettings()), &recorder{}
	sendRequest(b, h, start, "a", 2)
	if h.last() != "reject a" {
		t.Errorf("without a list the last action is %q", h.last())
	}
	list := testServers(1)
	list[0].State = ServerDraining
	b.UpdateEndpoints(start, h, UpdateSnapshot, list)
	sendRequest(b, h, start, "b", 0)
	if h.last() != "reject b" {
		t.Errorf("with all servers draining the last action is %q", h.last())
	}
}

// TestSubsetsAreSmallAndCoverTheFleet checks that each replica uses a small part of the servers, and that
// together the replicas use all of them. If many replicas drew from all servers, every server would need a
// connection to each.
func TestSubsetsAreSmallAndCoverTheFleet(t *testing.T) {
	const replicas, servers = 60, 90
	users := map[string]int{}
	for i := range replicas {
		s := testSettings()
		s.Replicas, s.ReplicaIndex = replicas, i
		b, h := newWithServers(t, s, servers)
		used := map[string]bool{}
		for k := range 400 {
			now := start + int64(k)*50_000 // 20 a second
			sendRequest(b, h, now, fmt.Sprint(k), 0)
			b.HandleOutcome(now, h, Outcome{RequestID: fmt.Sprint(k), Status: StatusOK, Latency: 1000, RequestDone: true})
		}
		for _, s := range h.sends {
			used[s.server] = true
		}
		if len(used) > servers/3 {
			t.Fatalf("replica %d uses %d servers, more than a third", i, len(used))
		}
		for s := range used {
			users[s]++
		}
	}
	if len(users) != servers {
		t.Errorf("only %d of %d servers are in some subset", len(users), servers)
	}
}

// TestReplicaWithFewCallsHasASmallSubset checks that a replica with a few calls per second has a small
// subset, so that it soon has enough calls to each server to find slow ones.
func TestReplicaWithFewCallsHasASmallSubset(t *testing.T) {
	b, h := newWithServers(t, testSettings(), 60)
	used := map[string]int{}
	for k := range 240 {
		now := start + int64(k)*second/3 // 3 a second
		sendRequest(b, h, now, fmt.Sprint(k), 0)
		b.HandleOutcome(now, h, Outcome{RequestID: fmt.Sprint(k), Status: StatusOK, Latency: 300_000, RequestDone: true})
	}
	for _, s := range h.sends {
		used[s.server]++
	}
	if len(used) > 8 || len(used) < 4 {
		t.Errorf("3 calls per second are spread over %d servers, want 4 to 8", len(used))
	}
}

// TestServerThatFailsFastGetsTrialsOnly checks that a server that fails fast gets only trials. It has no
// attempts in flight, so that it would otherwise be drawn nearly always while the other servers are busy.
func TestServerThatFailsFastGetsTrialsOnly(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 4)
	for range 50 {
		b.outliers.attribute(b.members.byID["s0"], 0, StatusError)
		for _, id := range []string{"s1", "s2", "s3"} {
			b.outliers.attribute(b.members.byID[id], 0, StatusOK)
		}
	}
	for _, id := range []string{"s1", "s2", "s3"} {
		b.members.byID[id].inFlight = 4
	}
	drawn := 0
	for range 1000 {
		if b.selection.choose(moment(start), &request{Request: Request{Settings: b.settings}}).ID == "s0" {
			drawn++
		}
	}
	if drawn == 0 || drawn > 100 {
		t.Errorf("the failing server was drawn %d times in 1000", drawn)
	}
}

// TestUnresponsiveServerIsTriedWithIdempotentCalls checks that an unresponsive server gets fewer trials from
// a non-idempotent class, since each of these costs a request that can't be retried.
func TestUnresponsiveServerIsTriedWithIdempotentCalls(t *testing.T) {
	set := testSettings()
	b, _ := newWithServers(t, set, 4)
	for range 50 {
		b.outliers.attribute(b.members.byID["s0"], 0, StatusTimedOut)
		for range 3 {
			b.outliers.attribute(b.members.byID["s1"], 0, StatusOK)
		}
	}
	drawn := map[Idempotency]int{}
	for class, c := range set.Classes {
		for range 4000 {
			if b.selection.choose(moment(start), &request{Request: Request{Settings: b.settings, Class: class}}).ID == "s0" {
				drawn[c.Idempotency]++
			}
		}
	}
	if drawn[NonIdempotent] == 0 || drawn[NonIdempotent] > drawn[Idempotent]/2 {
		t.Errorf("trials of the unresponsive server by idempotency: %v, want few non-idempotent ones",
			drawn)
	}
}
