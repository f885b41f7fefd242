package model

import (
	"slices"
	"testing"
)

// Each check detects the fault that is injected for it, and without the fault it reports no violation of its
// rule.
func TestChecksCatchSeededFaults(t *testing.T) {
	every := func(n, step int) (targets []int) {
		for i := 0; i < n; i += step {
			targets = append(targets, i)
		}
		return targets
	}
	for _, test := range []struct {
		name   string
		seeded seededFault
		rule   Rule
		load   float64 // of the capacity
		faults []Fault
	}{
		{"a queue holds one more", seedQueueOverLimit, ruleServerCapacity, 3, nil},
		{"a rejection is answered twice", seedTwoAnswers, ruleRequest, 2, nil},
		{"a reset counts as not executed", seedExecutionHidden, ruleRequest, 0.7,
			[]Fault{{Kind: ServerKilled, At: 5 * sec, Duration: sec, Targets: every(18, 3)}}},
		{"a start is hidden from the list", seedStartHidden, ruleSlowStart, 0.8,
			[]Fault{{Kind: ServerKilled, At: 2 * sec, Duration: 4 * sec, Targets: every(18, 9)}}},
		{"expired entries are used", seedUsesExpired, ruleExpiry, 0.6,
			[]Fault{{Kind: ServerErrors, At: 5 * sec, Duration: 5 * sec, Targets: []int{3}, Value: 1}}},
		{"gossip from before a pause counts as new", seedAcceptsStale, ruleExpiry, 0.6, []Fault{
			{Kind: ServerErrors, At: 4 * sec, Duration: 10 * sec, Targets: []int{3, 4}, Value: 1},
			{Kind: ProxyPaused, At: 5 * sec, Duration: 12 * sec, Targets: []int{1, 5}}}},
		{"a report on a previous start counts for the present one", seedPreviousStart, ruleExpiry, 0.6, []Fault{
			{Kind: ServerErrors, At: 4 * sec, Duration: 4 * sec, Targets: []int{3}, Value: 1},
			{Kind: ServerKilled, At: 7 * sec, Duration: 200 * ms, Targets: []int{3}}}},
		{"a proxy ignores all entries", seedIgnoresEntries, ruleAgreement, 0.6,
			[]Fault{{Kind: ServerErrors, At: 5 * sec, Duration: 12 * sec, Targets: []int{0, 1, 2, 3, 4, 5}, Value: 1}}},
		{"the budget is a tenth", seedSmallBudget, ruleEjectionBudget, 0.6,
			[]Fault{{Kind: ServerErrors, At: 5 * sec, Duration: 8 * sec, Targets: []int{3, 9, 15}, Value: 1}}},
		{"all zones are evacuated", seedAllEvacuated, ruleSomeZone, 0.6, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := Default()
			if test.rule == ruleSlowStart { // with other settings the calls in flight already limit the load
				c.Proxies, c.SlowStartMinCapacity, c.OverloadMultiple, c.Duration = 40, 0.05, 1, 11*sec
			}
			c.Rate, c.Faults = test.load*c.Capacity(), test.faults
			isDetected := func(s seededFault) bool {
				c.seeded = s
				r := mustRun(t, c)
				return slices.ContainsFunc(r.Violations,
					func(v Violation) bool { return v.Rule == test.rule })
			}
			if isDetected(seedNone) {
				t.Error("violation reported without the injected fault")
			}
			if !isDetected(test.seeded) {
				t.Error("injected fault not detected")
			}
		})
	}
}
