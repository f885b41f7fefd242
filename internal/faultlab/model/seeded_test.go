package model

import (
	"slices"
	"testing"
)

// Each check catches a fault that is put in for it, and says nothing of its rule without.
func TestChecksCatchSeededFaults(t *testing.T) {
	all := func(n, step int) (who []int) {
		for i := 0; i < n; i += step {
			who = append(who, i)
		}
		return who
	}
	for _, k := range []struct {
		name   string
		seeded seeded
		rule   Rule
		load   float64 // of the capacity
		faults []Fault
	}{
		{"a queue holds one more", seedOverfull, ruleNodo, 3, nil},
		{"a refusal is given twice", seedTwoAnswers, ruleRequest, 2, nil},
		{"a reset counts as never begun", seedResend, ruleRequest, 0.7,
			[]Fault{{Kind: NodoKilled, At: 5 * sec, For: sec, Who: all(18, 3)}}},
		{"a start is listed as long ago", seedStartUntold, ruleCold, 0.8,
			[]Fault{{Kind: NodoKilled, At: 2 * sec, For: 4 * sec, Who: all(18, 9)}}},
		{"entries are used after their end", seedAfterEnd, ruleEnds, 0.6,
			[]Fault{{Kind: NodoFails, At: 5 * sec, For: 5 * sec, Who: []int{3}, Value: 1}}},
		{"what waited for a stopped proxy counts as new", seedStalled, ruleEnds, 0.6, []Fault{
			{Kind: NodoFails, At: 4 * sec, For: 10 * sec, Who: []int{3, 4}, Value: 1},
			{Kind: ProxyHalted, At: 5 * sec, For: 12 * sec, Who: []int{1, 5}}}},
		{"a former start's verdict counts for the present one", seedFormer, ruleEnds, 0.6, []Fault{
			{Kind: NodoFails, At: 4 * sec, For: 4 * sec, Who: []int{3}, Value: 1},
			{Kind: NodoKilled, At: 7 * sec, For: 200 * ms, Who: []int{3}}}},
		{"a proxy takes nothing that it is told", seedDeaf, ruleAgree, 0.6,
			[]Fault{{Kind: NodoFails, At: 5 * sec, For: 12 * sec, Who: []int{0, 1, 2, 3, 4, 5}, Value: 1}}},
		{"the budget is a tenth", seedNoBudget, ruleBudget, 0.6,
			[]Fault{{Kind: NodoFails, At: 5 * sec, For: 8 * sec, Who: []int{3, 9, 15}, Value: 1}}},
		{"all zones are left", seedAllAway, ruleSomeone, 0.6, nil},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			c := Default()
			if k.rule == ruleCold { // what calls that are out already hold back is enough for other nodos
				c.Proxies, c.StartCapacity, c.TipMultiple, c.Span = 40, 0.05, 1, 11*sec
			}
			c.Rate, c.Faults = k.load*c.Capacity(), k.faults
			caught := func(s seeded) bool {
				c.seeded = s
				r := mustRun(t, c)
				return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Rule == k.rule })
			}
			if caught(seedNone) {
				t.Error("found without the fault")
			}
			if !caught(k.seeded) {
				t.Error("not found")
			}
		})
	}
}
