package balancer

import (
	"fmt"
	"testing"
)

// TestSuspendedServerGetsNothingAndIsProbedWhenResumed checks that a suspended server gets no calls, even if
// all are suspended, and that a resumed server gets the next call, even if it is warming up or in another
// zone.
func TestSuspendedServerGetsNothingAndIsProbedWhenResumed(t *testing.T) {
	// With an OverloadMultiple, a replica with this much traffic also sends the trial at once.
	for _, overloadMultiple := range []float64{0, 3} {
		t.Run(fmt.Sprint(overloadMultiple), func(t *testing.T) { suspendAndResume(t, overloadMultiple) })
	}
}

// suspendAndResume runs the test with one OverloadMultiple.
func suspendAndResume(t *testing.T, overloadMultiple float64) {
	set := testSettings()
	set.OverloadMultiple, set.OverloadWindow = overloadMultiple, 2*second
	b, h := newWithServers(t, set, 4) // s2 and s3 are in the other zone
	now, n := start, 0
	next := func() string {
		now, n = now+1000, n+1
		sends := len(h.sends)
		sendRequest(b, h, now, fmt.Sprint(n), 2)
		if len(h.sends) == sends {
			return ""
		}
		b.HandleOutcome(now, h, Outcome{RequestID: fmt.Sprint(n), Status: StatusOK, Latency: 1000, RequestDone: true})
		return h.sends[sends].server
	}
	b.SetSuspendedServers(map[string]bool{"s0": true, "s3": true, "left long ago": true})
	list := testServers(4)
	list[0].StartTime, list[3].StartTime = start, start // restarted meanwhile
	b.UpdateEndpoints(start, h, UpdateSnapshot, list)
	for range 300 {
		if got := next(); got != "s1" && got != "s2" {
			t.Fatalf("with s0 and s3 suspended a call went to %q", got)
		}
	}
	if listed, avoided := b.ServerCounts(); listed != 4 || avoided != 2 {
		t.Errorf("%d servers listed and %d avoided, want 4 and 2", listed, avoided)
	}
	b.SetSuspendedServers(map[string]bool{"s0": true, "s1": true, "s2": true, "s3": true})
	if got := next(); got != "" {
		t.Errorf("with all servers suspended a call went to %q", got)
	}
	b.SetSuspendedServers(map[string]bool{"s0": true, "s1": true, "s2": true})
	if got := next(); got != "s3" {
		t.Errorf("after s3 was resumed a call went to %q", got)
	}
	b.SetSuspendedServers(map[string]bool{"s0": true})
	b.SetSuspendedServers(nil)
	first := map[string]bool{next(): true, next(): true, next(): true}
	if !first["s0"] || !first["s1"] || !first["s2"] {
		t.Errorf("the calls after s0, s1 and s2 were resumed went to %v", first)
	}
}

// TestSuspensionHoldsForRetries checks that a retry avoids a server that was suspended after the first
// attempt.
func TestSuspensionHoldsForRetries(t *testing.T) {
	b, h := newWithServers(t, testSettings(), 2)
	sendRequest(b, h, start, "1", 0)
	other := "s0"
	if h.sends[0].server == "s0" {
		other = "s1"
	}
	b.SetSuspendedServers(map[string]bool{other: true})
	b.HandleOutcome(start+1000, h, Outcome{RequestID: "1", Status: StatusError, Latency: 1000})
	for _, s := range h.sends {
		if s.server == other {
			t.Errorf("a retry was sent to %s, which is suspended", other)
		}
	}
}

// TestDrainingAndRemovedServersGetNothing checks that a server gets no calls from the update on that lists it
// as draining or removed.
func TestDrainingAndRemovedServersGetNothing(t *testing.T) {
	for _, state := range []ServerState{ServerDraining, ServerRemoved} {
		b, h := newWithServers(t, testSettings(), 4)
		list := testServers(4)
		list[0].State, list[1].State = state, state
		b.UpdateEndpoints(start, h, UpdateDelta, list[:2])
		for i := range 300 {
			sendRequest(b, h, start+int64(i), fmt.Sprint(i), 0)
			b.HandleOutcome(start+int64(i), h, Outcome{RequestID: fmt.Sprint(i), Status: StatusOK, Latency: 1000, RequestDone: true})
		}
		for _, s := range h.sends {
			if s.server == "s0" || s.server == "s1" {
				t.Fatalf("state %d: a request was sent to %s, which is draining or removed", state, s.server)
			}
		}
		if len(h.sends) < 100 {
			t.Fatalf("only %d of 300 requests were sent", len(h.sends))
		}
	}
}

// TestServerMissingFromASnapshotIsRemoved checks that a complete list removes the servers that it does not
// hold.
func TestServerMissingFromASnapshotIsRemoved(t *testing.T) {
	b, h := newWithServers(t, testSettings(), 2)
	b.UpdateEndpoints(start, h, UpdateSnapshot, testServers(1))
	for i := range 50 {
		sendRequest(b, h, start+int64(i), fmt.Sprint(i), 0)
		b.HandleOutcome(start+int64(i), h, Outcome{RequestID: fmt.Sprint(i), Status: StatusOK, Latency: 1000, RequestDone: true})
	}
	for _, s := range h.sends {
		if s.server != "s0" {
			t.Fatalf("a request was sent to %s, which the snapshot does not hold", s.server)
		}
	}
}
