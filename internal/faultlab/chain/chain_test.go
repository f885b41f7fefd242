package chain

import (
	"flag"
	"fmt"
	"testing"

	"merlinpick/balancer"
)

var table = flag.Bool("chain.table", false, "print attempts by tier for more rates, seeds and attempts")

// testConfig returns a chain of 12 tiers with the default retry budget.
func testConfig(rate float64, seconds int64, maxAttempts int) Config {
	return Config{Tiers: 12, Width: 4, Rate: rate, Seconds: seconds, Slots: 4, MeanWork: 2 * milli, CallerTimeout: 2 * second, Seed: 1,
		Settings: balancer.Settings{ZoneCount: 1, MaxAttempts: maxAttempts, DrainGrace: second, SlowStartMinCapacity: 0.32, SlowStartDuration: 8_800 * milli,
			OverloadMultiple: 3, OverloadWindow: 2 * second, MaxRetryAfter: 2 * second, RetryBudgetWindow: 10 * second, RetryBudgetMin: 5, RetryBudgetRatio: 0.1,
			Classes: []balancer.Class{{Name: "read", LatencyObjective: 400 * milli, Deadline: 2 * second, PriorityWeight: 1}}}}
}

// faults are the faults of the last tier that the tests inject.
var faults = []struct {
	name               string
	fault              Fault
	ignoreCancellation bool
}{
	{name: "nothing"},
	{name: "10 times as slow", fault: Fault{Slow: 10}},
	{name: "100 times as slow", fault: Fault{Slow: 100}},
	{name: "100 times as slow, nodos go on for callers that left", fault: Fault{Slow: 100}, ignoreCancellation: true},
	{name: "half of them hang", fault: Fault{Hang: true, Share: 0.5}},
	{name: "all hang", fault: Fault{Hang: true}},
	{name: "all fail", fault: Fault{Errors: 1}},
	{name: "a third of calls fail", fault: Fault{Errors: 0.33}},
}

// Whatever fault the last of 12 tiers has, each tier gets no more attempts than the retry budgets of the
// proxies before it allow.
func TestRetryBudgetBoundsChain(t *testing.T) {
	for _, test := range faults {
		t.Run(test.name, func(t *testing.T) {
			config := testConfig(20, 12, 3)
			config.Fault, config.IgnoreCancellation = test.fault, test.ignoreCancellation
			config.Fault.Start = 3 * second
			result, err := Run(config)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(formatResult(result))
			if result.Arrived < 500 || result.Served+result.Rejected+result.Failed != result.Arrived {
				t.Errorf("%d calls arrived, %d were served, %d rejected and %d failed", result.Arrived, result.Served, result.Rejected, result.Failed)
			}
			for _, violation := range result.BudgetViolations {
				t.Error(violation)
			}
			for tier, most := range result.AttemptBounds {
				if float64(result.Attempts[tier]) > most {
					t.Errorf("tier %d got %d attempts, but the retry budgets allow %.0f", tier+1,
						result.Attempts[tier], most)
				}
			}
			if test.name == "nothing" && (result.Served < result.Arrived*99/100 || result.Amplification() > 1.01) {
				t.Errorf("without a fault, want 99 %% served and 1.01 attempts for each call at most: %s",
					formatResult(result))
			}
		})
	}
}

// Without a retry budget the same chain exceeds the bound, which shows that the budget causes the bound.
func TestChainWithoutRetryBudgetExceedsBound(t *testing.T) {
	config := testConfig(20, 12, 3)
	config.Fault = Fault{Errors: 1, Start: 3 * second}
	config.Settings.RetryBudgetMin = 1e9
	unlimited, err := Run(config)
	if err != nil {
		t.Fatal(err)
	}
	config.Settings.RetryBudgetMin = 5
	limited, err := Run(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("without: %s; with: %s", formatResult(unlimited), formatResult(limited))
	if last := len(limited.AttemptBounds) - 1; float64(unlimited.Attempts[last]) <= limited.AttemptBounds[last] {
		t.Errorf("%d attempts without a retry budget, want more than the bound of %.0f with one",
			unlimited.Attempts[last], limited.AttemptBounds[last])
	}
}

// formatResult returns a result in one line.
func formatResult(result *Result) string {
	perCall := func(tier int) float64 { return float64(result.Attempts[tier-1]) / float64(result.Arrived) }
	return fmt.Sprintf("arrived %d served %d rejected %d failed %d; "+
		"attempts for each call: tier 1 %.2f, 4 %.2f, 8 %.2f, 12 %.2f (since the fault began %.2f), "+
		"at most %.2f; rejected before tiers %v",
		result.Arrived, result.Served, result.Rejected, result.Failed, perCall(1), perCall(4),
		perCall(8), perCall(12), result.Amplification(),
		result.AttemptBounds[len(result.AttemptBounds)-1]/float64(result.Arrived), result.RejectedBefore)
}

// TestTable prints the attempts at each tier for each call that arrived.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("-chain.table")
	}
	for _, rate := range []float64{1, 10, 66} {
		for _, test := range faults {
			for seed := range uint64(3) {
				config := testConfig(rate, 40, 3)
				config.Fault, config.IgnoreCancellation, config.Seed = test.fault, test.ignoreCancellation, seed+1
				config.Fault.Start = 10 * second
				result, err := Run(config)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Printf("rate %g, %s, seed %d: %s\n", rate, test.name, config.Seed, formatResult(result))
			}
		}
	}
}
