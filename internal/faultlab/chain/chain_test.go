package chain

import (
	"flag"
	"fmt"
	"testing"

	"merlinpick/balancer"
)

var table = flag.Bool("chain.table", false, "print attempts by tier for more rates, seeds and tries")

// config is a chain of 12 with the allowance that holds where the settings state none.
func config(rate float64, seconds int64, tries int) Config {
	return Config{Tiers: 12, Width: 4, Rate: rate, Seconds: seconds, Slots: 4, MeanWork: 2 * milli, CallerTimeout: 2 * second, Seed: 1,
		Settings: balancer.Settings{ZoneCount: 1, MaxAttempts: tries, DrainGrace: second, SlowStartMinCapacity: 0.32, SlowStartDuration: 8_800 * milli,
			OverloadMultiple: 3, OverloadWindow: 2 * second, MaxRetryAfter: 2 * second, RetryBudgetWindow: 10 * second, RetryBudgetMin: 5, RetryBudgetRatio: 0.1,
			Classes: []balancer.Class{{Name: "read", LatencyObjective: 400 * milli, Deadline: 2 * second, PriorityWeight: 1}}}}
}

var faults = []struct {
	name string
	last Fault
	keep bool
}{
	{name: "nothing"},
	{name: "10 times as slow", last: Fault{Slow: 10}},
	{name: "100 times as slow", last: Fault{Slow: 100}},
	{name: "100 times as slow, nodos go on for callers that left", last: Fault{Slow: 100}, keep: true},
	{name: "half of them hang", last: Fault{Hang: true, Share: 0.5}},
	{name: "all hang", last: Fault{Hang: true}},
	{name: "all fail", last: Fault{Errors: 1}},
	{name: "a third of calls fail", last: Fault{Errors: 0.33}},
}

// However the last of 12 tiers fails, it gets no more attempts than the allowances of the proxies before it add up to.
func TestRetryBudgetBoundsChain(t *testing.T) {
	for _, trouble := range faults {
		t.Run(trouble.name, func(t *testing.T) {
			cfg := config(20, 12, 3)
			cfg.Fault, cfg.IgnoreCancellation = trouble.last, trouble.keep
			cfg.Fault.Start = 3 * second
			r, err := Run(cfg)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(formatResult(r))
			if r.Arrived < 500 || r.Served+r.Rejected+r.Failed != r.Arrived {
				t.Errorf("%d calls came, %d were served, %d refused and %d failed", r.Arrived, r.Served, r.Rejected, r.Failed)
			}
			for _, over := range r.BudgetViolations {
				t.Error(over)
			}
			for tier, most := range r.AttemptBounds {
				if float64(r.Attempts[tier]) > most {
					t.Errorf("tier %d got %d attempts, of %.0f that the allowances add up to", tier+1, r.Attempts[tier], most)
				}
			}
			if trouble.name == "nothing" && (r.Served < r.Arrived*99/100 || r.Amplification() > 1.01) {
				t.Errorf("with nothing wrong: %s", formatResult(r))
			}
		})
	}
}

// Without an allowance the same chain goes far over that bound: the bound is the allowance's doing and no chance.
func TestChainWithoutRetryBudgetExceedsBound(t *testing.T) {
	cfg := config(20, 12, 3)
	cfg.Fault = Fault{Errors: 1, Start: 3 * second}
	cfg.Settings.RetryBudgetMin = 1e9
	free, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Settings.RetryBudgetMin = 5
	held, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("without: %s; with: %s", formatResult(free), formatResult(held))
	if last := len(held.AttemptBounds) - 1; float64(free.Attempts[last]) <= held.AttemptBounds[last] {
		t.Errorf("%d attempts without an allowance, within the bound of %.0f with one", free.Attempts[last], held.AttemptBounds[last])
	}
}

func formatResult(r *Result) string {
	each := func(tier int) float64 { return float64(r.Attempts[tier-1]) / float64(r.Arrived) }
	return fmt.Sprintf("came %d served %d refused %d failed %d; attempts for each call: tier 1 %.2f, 4 %.2f, 8 %.2f, 12 %.2f "+
		"(since it began %.2f), at most %.2f; refused before tiers %v", r.Arrived, r.Served, r.Rejected, r.Failed, each(1), each(4),
		each(8), each(12), r.Amplification(), r.AttemptBounds[len(r.AttemptBounds)-1]/float64(r.Arrived), r.RejectedBefore)
}

// TestTable prints attempts at the last tier for each call that came in.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("-chain.table")
	}
	for _, rate := range []float64{1, 10, 66} {
		for _, trouble := range faults {
			for seed := range uint64(3) {
				cfg := config(rate, 40, 3)
				cfg.Fault, cfg.IgnoreCancellation, cfg.Seed = trouble.last, trouble.keep, seed+1
				cfg.Fault.Start = 10 * second
				r, err := Run(cfg)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Printf("rate %g, %s, seed %d: %s\n", rate, trouble.name, cfg.Seed, formatResult(r))
			}
		}
	}
}
