package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// TestNoActionAfterARequestsEnd checks that a request whose client has its response, or has disconnected,
// causes no further action when its attempt ends, and is removed.
func TestNoActionAfterARequestsEnd(t *testing.T) {
	for _, end := range []func(b *Balancer, h Host){
		func(b *Balancer, h Host) { b.HandleClientGone(start+1000, h, "r") },
		func(b *Balancer, h Host) { b.HandleResponseStarted(start+1000, "r") },
		func(b *Balancer, h Host) {
			b.HandleOutcome(start+1000, h, Outcome{RequestID: "r", Status: StatusRejected, RequestDone: true})
		},
	} {
		b, h := newWithServers(t, testSettings(), 4)
		sendRequest(b, h, start, "r", 0)
		before := len(h.lines)
		end(b, h)
		b.HandleOutcome(start+2000, h, Outcome{RequestID: "r", Status: StatusRejected})
		if len(h.lines) != before {
			t.Errorf("actions %q after the end of the request, want none", h.lines[before:])
		}
		if len(b.requests) != 0 {
			t.Error("the Balancer still holds the request after its end")
		}
	}
}

// TestRandomSequencesKeepTheRules runs random event sequences and checks every action with a checker that
// keeps its own records.
func TestRandomSequencesKeepTheRules(t *testing.T) {
	total := map[string]int{}
	for seed := range uint64(32) {
		lines, faults := runSequence(t, seed%24, 6000, seed > 23)
		for i, f := range faults {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, f)
			}
		}
		for _, l := range lines {
			var at int64
			var what string
			fmt.Sscanf(l, "%d %s", &at, &what)
			total[what]++
		}
	}
	for _, what := range []string{"send", "refuse", "fail"} {
		if total[what] < 1000 {
			t.Errorf("only %d actions of kind %q: the sequences cover too little", total[what], what)
		}
	}
}

// TestSameEventsGiveSameActions checks that a Balancer is deterministic for a given seed.
func TestSameEventsGiveSameActions(t *testing.T) {
	for seed := range uint64(4) {
		one, _ := runSequence(t, seed, 3000, seed%2 == 0)
		two, _ := runSequence(t, seed, 3000, seed%2 == 0)
		if !slices.Equal(one, two) {
			t.Errorf("seed %d: two runs with the same events have different actions", seed)
		}
	}
}
