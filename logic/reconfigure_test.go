package logic

import (
	"fmt"
	"testing"
)

func named() Settings {
	s := testSettings()
	for i := range s.Classes {
		s.Classes[i].Name = fmt.Sprint("c", i)
	}
	return s
}

// What comes is under the new settings, what is open under those that it began with.
func TestOpenRequestsKeepTheirRules(t *testing.T) {
	s := named()
	s.BudgetSpan, s.BudgetFree = second, 100
	b, h := with(t, s, 4)
	first := b.Rules()
	ask(b, h, start, "open", 0) // safe, may be tried 4 times
	next := named()
	next.BudgetSpan, next.BudgetFree, next.MaxAttempts = second, 100, 1
	next.Classes = next.Classes[:3]
	next.Classes[0].Repeat = Unsafe
	numbers, err := b.Reconfigure(start, next, nil)
	if err != nil {
		t.Fatal(err)
	}
	if numbers[0] == 0 || numbers[1] != 1 || numbers[2] != 2 {
		t.Errorf("numbers %v: only the class whose rules differ gets a new one", numbers)
	}
	// One that was read before and comes only now, of a class that is dropped.
	b.Request(start, h, Request{ID: "on its way", Class: 3, GiveUp: start + 1_000_000, Under: first})
	b.Request(start, h, Request{ID: "new", Class: numbers[0], GiveUp: start + 1_000_000})
	for _, c := range []struct {
		id   string
		more int // attempts after an error
	}{{"open", 3}, {"on its way", 3}, {"new", 0}} {
		more := 0
		for n := 0; ; n++ {
			sends := len(h.sends)
			b.Outcome(start+1000, h, Outcome{ID: c.id, Attempt: n, Status: Error, Took: 1000})
			if len(h.sends) == sends {
				break
			}
			more++
		}
		if more != c.more {
			t.Errorf("%s: %d further attempts, want %d", c.id, more, c.more)
		}
	}
	if len(b.reqs) != 0 || b.tier.threads != 0 {
		t.Errorf("%d requests, %d calls are left", len(b.reqs), b.tier.threads)
	}
}

// What was learned of a class moves to its new number, and numbers are used again once nothing needs them.
func TestNumbersOfClassesAreBoundedAndLearningMoves(t *testing.T) {
	s := named()
	b, h := with(t, s, 4)
	for i := range 40 {
		ask(b, h, start+int64(i), fmt.Sprint(i), 0)
		b.Outcome(start+int64(i), h, Outcome{ID: fmt.Sprint(i), Status: OK, Took: 77_000, Closed: true})
	}
	mean, seen := b.classes[0].mean, b.classes[0].seen
	last := 0
	for i := range 100 {
		s.Classes[0].Deadline++
		numbers, err := b.Reconfigure(start, s, map[int]bool{last: true})
		if err != nil {
			t.Fatal(err)
		}
		last = numbers[0]
		if c := b.classes[last]; c.mean != mean || c.seen != seen || c.retired {
			t.Fatalf("after %d: %+v", i, c)
		}
		ask(b, h, start, fmt.Sprint("x", i), last)
		b.Outcome(start, h, Outcome{ID: fmt.Sprint("x", i), Status: Moot, Closed: true})
	}
	if n := len(b.classes); n > len(s.Classes)+3 {
		t.Errorf("%d numbers for %d classes", n, len(s.Classes))
	}
	for _, srv := range b.all {
		if len(srv.classes) != len(b.classes) {
			t.Errorf("%s has %d of %d classes", srv.ID, len(srv.classes), len(b.classes))
		}
	}
	b.List(start, h, Delta, []Server{{ID: "late", State: Ready}})
	ask(b, h, start, "to the new server", last)
}

func TestSettingsThatCannotTakeThePlaceChangeNothing(t *testing.T) {
	b, _ := with(t, named(), 4)
	was := b.Rules()
	for name, spoil := range map[string]func(*Settings){
		"no attempts":      func(s *Settings) { s.MaxAttempts = 0 },
		"a deadline of 0":  func(s *Settings) { s.Classes[1].Deadline = 0 },
		"another tier":     func(s *Settings) { s.Stage = 1 },
		"no subscriptions": func(s *Settings) { s.Subscribe, s.AskEvery = true, second },
	} {
		next := named()
		spoil(&next)
		if _, err := b.Reconfigure(start, next, nil); err == nil || b.Rules() != was {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Tenants are known by their names, wherever they stand.
func TestTenantsKeepTheirCountsWhereverTheyStand(t *testing.T) {
	s := named()
	s.Tenants = []Tenant{{Name: "a", Portion: 0.5, Quota: 10}, {Name: "b", Portion: 0.5, Quota: 10}}
	b, h := with(t, s, 4)
	first := b.Rules()
	b.Request(start, h, Request{ID: "1", Tenant: 1, GiveUp: start + 1_000_000})
	s.Tenants = []Tenant{{Name: "b", Portion: 1, Quota: 30}}
	if _, err := b.Reconfigure(start, s, nil); err != nil {
		t.Fatal(err)
	}
	b.Request(start, h, Request{ID: "2", Tenant: 1, GiveUp: start + 1_000_000, Under: first}) // b
	b.Request(start, h, Request{ID: "3", Tenant: 0, GiveUp: start + 1_000_000, Under: first}) // a, which is no more
	if n := b.tenants[0].pass.sum(start, second); n != 2 || len(h.sends) != 3 {
		t.Errorf("%v passed for b, %d sent", n, len(h.sends))
	}
	if b.fair != 30 {
		t.Errorf("fair %v", b.fair)
	}
}

// A class that nobody uses yet is not held to its least because a worthier one is slow.
func TestAnUnusedClassKeepsItsCount(t *testing.T) {
	s := named()
	s.Classes[0].Worth, s.Classes[1].Worth = 10, 1
	b, h := with(t, s, 4)
	for i := range 100 {
		id, now := fmt.Sprint(i), start+int64(i)*1000
		ask(b, h, now, id, 0)
		b.Outcome(now, h, Outcome{ID: id, Status: OK, Took: 1000, Closed: true})
	}
	for i := range 100 { // worthy calls turn slow
		id, now := fmt.Sprint("slow", i), start+int64(i+1)*second
		ask(b, h, now, id, 0)
		b.Outcome(now+s.Classes[0].Aim, h, Outcome{ID: id, Status: OK, Took: s.Classes[0].Aim, Closed: true})
	}
	if got := b.classes[1].rule.count; got != startCount {
		t.Errorf("before its first call a class may have %v out", got)
	}
}
