package ramp

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"testing"
	"text/tabwriter"
)

var (
	seeds = flag.Int("ramp.seeds", 13,
		"clusters to simulate; each seed draws its settings and runs one scenario at one size")
	table = flag.Bool("ramp.table", false, "print the distribution of the worst window")
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(800) // runs are short and produce much garbage
	debug.SetMemoryLimit(2 << 30)
	os.Exit(m.Run())
}

// clusterSize is a number of processes, and whether they exchange reports.
type clusterSize struct {
	proxies int
	cluster bool
}

// sizes are combined with all scenarios: each pair runs once in 52 seeds.
var sizes = []clusterSize{{20, false}, {300, false}, {30, false}, {30, true}}

// alwaysRun are the seeds that exceeded the bound at the time when slow start limited only weights.
var alwaysRun = []int{122, 142, 186, 434, 442, 546, 780}

// configOfSeed returns the configuration of a seed, from 1 on.
func configOfSeed(seed int) Config {
	i, n := seed-1, len(Scenarios)
	size := sizes[(i%n+i/n)%len(sizes)]
	return DrawConfig(uint64(seed), size.proxies, Scenarios[i%n], size.cluster)
}

// All processes together send a warming server no more than its budget and the random variation in each
// window.
func TestSlowStartHoldsForAllReplicas(t *testing.T) {
	runs := slices.Clone(alwaysRun)
	for i := range *seeds {
		if !slices.Contains(runs, i+1) {
			runs = append(runs, i+1)
		}
	}
	results, wait, semaphore := make([]Result, len(runs)), sync.WaitGroup{},
		make(chan bool, runtime.GOMAXPROCS(0))
	for i := range results {
		semaphore <- true
		wait.Go(func() {
			results[i] = Run(configOfSeed(runs[i]))
			<-semaphore
		})
	}
	wait.Wait()
	rows, order := map[string][]Result{}, []string{"all"}
	for i, r := range results {
		c := configOfSeed(runs[i])
		if r.Excess > 0 {
			t.Errorf("seed %d, %s, %d processes: %.1f calls over the bound of a window with a budget of %.1f",
				c.Seed, c.Scenario, c.Proxies, r.Excess, r.WindowBudget)
		}
		for _, group := range []string{"all", fmt.Sprintf("%d processes, cluster %v", c.Proxies, c.Cluster),
			string(c.Scenario)} {
			if !slices.Contains(order, group) {
				order = append(order, group)
			}
			rows[group] = append(rows[group], r)
		}
	}
	if *table {
		print(order, rows)
	}
}

// print writes a row for each group of runs: how many exceeded the bound, the fullest window relative to it, calls of
// warming servers relative to warm ones, and the fractions of served and rejected requests.
func print(order []string, rows map[string][]Result) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "group\truns\tover the bound\tfullest window p50\tp90\tp99\tmax\t"+
		"warming against warm p50\tserved p50\trejected unsent p50")
	for _, group := range order {
		at := func(fraction float64, valueOf func(r Result) float64) float64 {
			var values []float64
			for _, r := range rows[group] {
				values = append(values, valueOf(r))
			}
			slices.Sort(values)
			return values[min(len(values)-1, int(fraction*float64(len(values))))]
		}
		worst := func(r Result) float64 { return r.WorstWindow }
		over := 0
		for _, r := range rows[group] {
			if r.Excess > 0 {
				over++
			}
		}
		fmt.Fprintf(out, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\n", group, len(rows[group]),
			over, at(0.5, worst), at(0.9, worst),
			at(0.99, worst), at(1, worst), at(0.5, func(r Result) float64 { return r.WarmingShare }),
			at(0.5, func(r Result) float64 { return r.Served }), at(0.5, func(r Result) float64 { return r.RejectedUnsent }))
	}
}

// Two runs with the same seed have the same result.
func TestSameSeedSameRun(t *testing.T) {
	for _, seed := range []int{1, 4} {
		if one, two := Run(configOfSeed(seed)), Run(configOfSeed(seed)); one != two {
			t.Errorf("seed %d: two runs differ: %+v and %+v", seed, one, two)
		}
	}
}
