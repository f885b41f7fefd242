package balancer

import (
	"slices"
	"testing"
)

// Requests of one key must not overtake one another while an earlier one is in flight at a slow server.
func TestRequestsOfAKeyKeepTheirOrder(t *testing.T) {
	s := testSettings()
	s.Classes[2].Ordered, s.OrderingCooldown = true, 100_000
	b, h := newWithServers(t, s, 4)
	take := func(now int64, id, key string) {
		b.HandleRequest(now, h, Request{ID: id, Class: 2, Key: key, Deadline: now + second})
	}
	sends := func() (ids []string) {
		for _, s := range h.sends {
			ids = append(ids, s.id)
		}
		return ids
	}
	take(start, "a", "k")
	take(start+1, "b", "k")
	take(start+2, "c", "k")
	take(start+3, "other", "j")
	take(start+4, "free", "")
	if got := sends(); !slices.Equal(got, []string{"a", "other", "free"}) {
		t.Fatalf("sent %v", got)
	}
	b.HandleClientGone(start+5, h, "b")
	b.HandleClientGone(start+6, h, "a") // over, but its attempt is still out
	if got := sends(); len(got) != 3 {
		t.Fatalf("sent %v while an attempt of the key was out", got)
	}
	b.HandleOutcome(start+1000, h, Outcome{RequestID: "a", Status: StatusReset, Latency: 1000, RequestDone: true})
	if got := sends(); len(got) != 3 {
		t.Fatalf("sent %v while the key rests", got)
	}
	b.HandleTimer(start+101_000, h, "turn k")
	if got := sends(); !slices.Equal(got, []string{"a", "other", "free", "c"}) {
		t.Fatalf("sent %v after the rest", got)
	}
	take(start+102_000, "d", "k")
	b.HandleTimer(start+102_000+second-1000, h, "held d")
	if h.last() != "reject d" {
		t.Errorf("a held request's time ends with %q", h.last())
	}
	b.HandleOutcome(start+102_000, h, Outcome{RequestID: "c", Status: StatusOK, Latency: 1000, RequestDone: true})
	if len(b.ordering.queues) != 1 || len(b.requests) != 2 { // "other" and its key
		t.Errorf("%d keys and %d requests are kept", len(b.ordering.queues), len(b.requests))
	}
}
