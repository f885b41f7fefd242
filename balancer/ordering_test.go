package balancer

import (
	"slices"
	"testing"
)

// Requests of one key must not overtake each other while an earlier one is in flight at a slow server.
func TestRequestsOfAKeyKeepTheirOrder(t *testing.T) {
	s := testSettings()
	s.Classes[2].Ordered, s.OrderingCooldown = true, 100_000
	b, h := newWithServers(t, s, 4)
	receive := func(now int64, id, key string) {
		b.HandleRequest(now, h, Request{ID: id, Class: 2, Key: key, Deadline: now + second})
	}
	sends := func() (ids []string) {
		for _, s := range h.sends {
			ids = append(ids, s.id)
		}
		return ids
	}
	receive(start, "a", "k")
	receive(start+1, "b", "k")
	receive(start+2, "c", "k")
	receive(start+3, "other", "j")
	receive(start+4, "free", "")
	if got := sends(); !slices.Equal(got, []string{"a", "other", "free"}) {
		t.Fatalf("sent %v, want only the first request of each key and the one without a key", got)
	}
	b.HandleClientGone(start+5, h, "b")
	b.HandleClientGone(start+6, h, "a") // done, but its attempt is still in flight
	if got := sends(); len(got) != 3 {
		t.Fatalf("sent %v, want no further request while an attempt of the key is in flight", got)
	}
	b.HandleOutcome(start+1000, h, Outcome{RequestID: "a", Status: StatusReset, Latency: 1000, RequestDone: true})
	if got := sends(); len(got) != 3 {
		t.Fatalf("sent %v, want no further request during the key's cool-down", got)
	}
	b.HandleTimer(start+101_000, h, "turn k")
	if got := sends(); !slices.Equal(got, []string{"a", "other", "free", "c"}) {
		t.Fatalf("sent %v, want c as the fourth after the cool-down", got)
	}
	receive(start+102_000, "d", "k")
	b.HandleTimer(start+102_000+second-1000, h, "held d")
	if h.last() != "reject d" {
		t.Errorf("the action after the maximum wait of a queued request is %q, want a rejection", h.last())
	}
	b.HandleOutcome(start+102_000, h, Outcome{RequestID: "c", Status: StatusOK, Latency: 1000, RequestDone: true})
	if len(b.ordering.queues) != 1 || len(b.requests) != 2 { // "other" with its key, and "free"
		t.Errorf("%d queues and %d requests are kept, want 1 and 2", len(b.ordering.queues), len(b.requests))
	}
}
