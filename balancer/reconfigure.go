package balancer

import (
	"errors"
	"maps"
	"slices"
)

// How other settings take the place of those in force. What is learned moves along; nothing is decided here.

// Reconfigure puts other settings in force for the requests that come from now on; those that are open keep
// the ones that they began with. It returns the number that requests are to have for each class. A class that
// is as it was keeps its number and what was learned. One whose rules differ gets a new number, since open
// requests need the old one, but keeps what was learned of servers and times. held are numbers that requests
// on their way here may have, beside those in force.
func (b *Balancer) Reconfigure(now int64, s Settings, held map[int]bool) (numbers []int, err error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	if s.Tier != b.s.Tier || s.WatchEndpoints != b.s.WatchEndpoints {
		return nil, errors.New("logic: Settings.Stage and Subscribe cannot change under way")
	}
	old, classes, was := b.s, s.Classes, map[string]int{}
	held = maps.Clone(held)
	if held == nil {
		held = map[int]bool{}
	}
	for i, c := range old.Classes {
		if !b.classes[i].retired {
			was[c.Name], held[i] = i, true
			b.classes[i].retired = true // unless it is found again
		}
	}
	b.s = &s
	b.s.Classes = slices.Clone(old.Classes)
	for _, c := range classes {
		i, known := was[c.Name]
		if !known || old.Classes[i] != c {
			i = b.succeed(c, i, known, held)
		}
		b.classes[i].retired, held[i] = false, true
		numbers = append(numbers, i)
	}
	tenants := make([]tenantQuota, len(s.Tenants))
	for i, t := range s.Tenants {
		if j := slices.IndexFunc(old.Tenants, func(o Tenant) bool { return o.Name == t.Name }); j >= 0 {
			tenants[i] = b.tenants[j]
		}
	}
	b.tenants = tenants
	b.derive()
	if b.s.RetryBudgetWindow > old.RetryBudgetWindow { // what was spent before the former span is forgotten
		b.free = max(b.free, b.unspent(now))
	}
	b.relist()
	return numbers, nil
}

// succeed gives a class that is new, or whose rules differ from those under its former number, a number.
func (b *Balancer) succeed(c Class, former int, known bool, held map[int]bool) int {
	i := b.slot(held)
	if i == len(b.s.Classes) {
		b.s.Classes = append(b.s.Classes, c)
	}
	b.s.Classes[i] = c
	fresh := b.freshClass(c)
	if known {
		f := b.classes[former]
		fresh.rule.max, fresh.mean, fresh.base, fresh.seen, fresh.errorRate = f.rule.max, f.mean, f.base, f.seen, f.errorRate
	}
	b.classes[i] = fresh
	for _, s := range b.all {
		s.classes[i] = health{score: 1}
		if known {
			s.classes[i] = s.classes[former]
		}
	}
	return i
}

// slot is a place for a class among b.classes: one whose class was retired and has no open request, or a new one.
// held are the numbers that requests on their way here may still have.
func (b *Balancer) slot(held map[int]bool) int {
	for i := range b.classes {
		if b.classes[i].retired && !held[i] {
			open := false
			for _, q := range b.reqs {
				open = open || q.Class == i
			}
			if !open {
				return i
			}
		}
	}
	b.classes = append(b.classes, classState{})
	for _, s := range b.all {
		s.classes = append(s.classes, health{score: 1})
	}
	return len(b.classes) - 1
}
