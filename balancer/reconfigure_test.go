package balancer

import (
	"errors"
	"fmt"
	"testing"
)

// namedSettings returns testSettings with a name for each class, by which Reconfigure identifies it.
func namedSettings() Settings {
	s := testSettings()
	for i := range s.Classes {
		s.Classes[i].Name = fmt.Sprint("c", i)
	}
	return s
}

// TestOpenRequestsKeepTheirSettings checks that open requests, and those parsed before the change, keep the
// settings with which they began, while new requests use the new ones.
func TestOpenRequestsKeepTheirSettings(t *testing.T) {
	s := namedSettings()
	s.RetryBudgetWindow, s.RetryBudgetMin = second, 100
	b, h := newWithServers(t, s, 4)
	first := b.Settings()
	sendRequest(b, h, start, "open", 0) // idempotent, at most 4 attempts
	next := namedSettings()
	next.RetryBudgetWindow, next.RetryBudgetMin, next.MaxAttempts = second, 100, 1
	next.Classes = next.Classes[:3]
	next.Classes[0].Idempotency = NonIdempotent
	numbers, err := b.Reconfigure(start, next, nil)
	if err != nil {
		t.Fatal(err)
	}
	if numbers[0] == 0 || numbers[1] != 1 || numbers[2] != 2 {
		t.Errorf("numbers %v: only the class with changed rules may get a new one", numbers)
	}
	// This request was parsed before the change; its class is no longer in the settings.
	b.HandleRequest(start, h, Request{ID: "on its way", Class: 3, Deadline: start + 1_000_000, Settings: first})
	b.HandleRequest(start, h, Request{ID: "new", Class: numbers[0], Deadline: start + 1_000_000})
	for _, c := range []struct {
		id      string
		retries int // retries after errors
	}{{"open", 3}, {"on its way", 3}, {"new", 0}} {
		retries := 0
		for n := 0; ; n++ {
			sends := len(h.sends)
			b.HandleOutcome(start+1000, h, Outcome{RequestID: c.id, Attempt: n, Status: StatusError, Latency: 1000})
			if len(h.sends) == sends {
				break
			}
			retries++
		}
		if retries != c.retries {
			t.Errorf("request %q: %d retries, want %d", c.id, retries, c.retries)
		}
	}
	if len(b.requests) != 0 || b.admission.tier.inFlight != 0 {
		t.Errorf("%d requests and %d attempts in flight are left", len(b.requests), b.admission.tier.inFlight)
	}
}

// TestClassNumbersAreReusedAndLearnedStateMoves checks that what was learned about a class moves to its new
// number, and that class numbers are used again once no request uses them.
func TestClassNumbersAreReusedAndLearnedStateMoves(t *testing.T) {
	s := namedSettings()
	b, h := newWithServers(t, s, 4)
	for i := range 40 {
		sendRequest(b, h, start+int64(i), fmt.Sprint(i), 0)
		b.HandleOutcome(start+int64(i), h, Outcome{RequestID: fmt.Sprint(i), Status: StatusOK, Latency: 77_000, RequestDone: true})
	}
	mean, seen := b.classes[0].latency.mean, b.classes[0].latency.successes
	last := 0
	for i := range 100 {
		s.Classes[0].Deadline++
		numbers, err := b.Reconfigure(start, s, map[int]bool{last: true})
		if err != nil {
			t.Fatal(err)
		}
		last = numbers[0]
		if c := b.classes[last]; c.latency.mean != mean || c.latency.successes != seen || c.retired {
			t.Fatalf("after change %d the learned state is lost: %+v", i, c)
		}
		sendRequest(b, h, start, fmt.Sprint("x", i), last)
		b.HandleOutcome(start, h, Outcome{RequestID: fmt.Sprint("x", i), Status: StatusNotSent, RequestDone: true})
	}
	if n := len(b.classes); n > len(s.Classes)+3 {
		t.Errorf("%d numbers are in use for %d classes", n, len(s.Classes))
	}
	for _, srv := range b.members.all {
		if len(srv.outlier.byClass) != len(b.classes) {
			t.Errorf("server %s has the state of %d classes, want %d",
				srv.ID, len(srv.outlier.byClass), len(b.classes))
		}
	}
	b.UpdateEndpoints(start, h, UpdateDelta, []Server{{ID: "late", State: ServerReady}})
	sendRequest(b, h, start, "to the new server", last)
}

// TestRejectedSettingsChangeNothing checks that invalid settings, and changes that are not possible, are
// rejected with a SettingsError and leave the settings as they were.
func TestRejectedSettingsChangeNothing(t *testing.T) {
	b, _ := newWithServers(t, namedSettings(), 4)
	was := b.Settings()
	for name, change := range map[string]func(*Settings){
		"no attempts":      func(s *Settings) { s.MaxAttempts = 0 },
		"a deadline of 0":  func(s *Settings) { s.Classes[1].Deadline = 0 },
		"another tier":     func(s *Settings) { s.Tier = 1 },
		"no subscriptions": func(s *Settings) { s.WatchEndpoints, s.PollInterval = true, second },
	} {
		next := namedSettings()
		change(&next)
		_, err := b.Reconfigure(start, next, nil)
		if fault := (*SettingsError)(nil); !errors.As(err, &fault) || b.Settings() != was {
			t.Errorf("%s: got error %v, or the settings changed", name, err)
		}
	}
}

// TestTenantsKeepTheirCountsByName checks that Reconfigure identifies tenants by name, not by their position
// in the list.
func TestTenantsKeepTheirCountsByName(t *testing.T) {
	s := namedSettings()
	s.Tenants = []Tenant{{Name: "a", Share: 0.5, Quota: 10}, {Name: "b", Share: 0.5, Quota: 10}}
	b, h := newWithServers(t, s, 4)
	first := b.Settings()
	b.HandleRequest(start, h, Request{ID: "1", Tenant: 1, Deadline: start + 1_000_000})
	s.Tenants = []Tenant{{Name: "b", Share: 1, Quota: 30}}
	if _, err := b.Reconfigure(start, s, nil); err != nil {
		t.Fatal(err)
	}
	// By the first settings tenant 1 is b, and tenant 0 is a, which is no longer configured.
	b.HandleRequest(start, h, Request{ID: "2", Tenant: 1, Deadline: start + 1_000_000, Settings: first})
	b.HandleRequest(start, h, Request{ID: "3", Tenant: 0, Deadline: start + 1_000_000, Settings: first})
	if n := b.quotas.tenants[0].admitted.count(moment(start), span(second)); n != 2 || len(h.sends) != 3 {
		t.Errorf("%v requests of tenant b admitted and %d requests sent, want 2 and 3", n, len(h.sends))
	}
	if b.quotas.fairRate != 30 {
		t.Errorf("fair rate is %v, want 30", b.quotas.fairRate)
	}
}
