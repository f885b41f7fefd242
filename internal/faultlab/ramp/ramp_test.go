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
		"fleets to play; each seed draws its settings and plays one scenario at one size")
	table = flag.Bool("ramp.table", false, "print the distribution of the worst window")
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(800) // runs are short and make much garbage
	debug.SetMemoryLimit(2 << 30)
	os.Exit(m.Run())
}

// clusterSize is a number of processes, and whether they exchange reports.
type clusterSize struct {
	proxies int
	cluster bool
}

// sizes are combined with all scenes: each pair is played once in 52 seeds.
var sizes = []clusterSize{{20, false}, {300, false}, {30, false}, {30, true}}

// alwaysRun are seeds that exceeded the bound when slow start limited weights only.
var alwaysRun = []int{122, 142, 186, 434, 442, 546, 780}

// fleet returns the configuration of a seed, from 1 on.
func configOfSeed(seed int) Config {
	i, n := seed-1, len(Scenarios)
	z := sizes[(i%n+i/n)%len(sizes)]
	return DrawConfig(uint64(seed), z.proxies, Scenarios[i%n], z.cluster)
}

// All processes together send a warming server no more than its budget, plus random variation, in each window.
func TestSlowStartHoldsForAllReplicas(t *testing.T) {
	play := slices.Clone(alwaysRun)
	for i := range *seeds {
		if !slices.Contains(play, i+1) {
			play = append(play, i+1)
		}
	}
	results, wait, room := make([]Result, len(play)), sync.WaitGroup{}, make(chan bool, runtime.GOMAXPROCS(0))
	for i := range results {
		room <- true
		wait.Go(func() {
			results[i] = Run(configOfSeed(play[i]))
			<-room
		})
	}
	wait.Wait()
	rows, order := map[string][]Result{}, []string{"all"}
	for i, r := range results {
		c := configOfSeed(play[i])
		if r.Excess > 0 {
			t.Errorf("seed %d, %s, %d processes: %.1f calls over the bound of a window with a budget of %.1f",
				c.Seed, c.Scenario, c.Proxies, r.Excess, r.WindowBudget)
		}
		for _, k := range []string{"all", fmt.Sprintf("%d processes, fleet %v", c.Proxies, c.Cluster),
			string(c.Scenario)} {
			if !slices.Contains(order, k) {
				order = append(order, k)
			}
			rows[k] = append(rows[k], r)
		}
	}
	if *table {
		print(order, rows)
	}
}

// print writes a row for each group of runs: how many exceeded the bound, the fullest window relative to it, calls of
// warming servers relative to warm ones, and the end of requests from the scenario's start on.
func print(order []string, rows map[string][]Result) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "runs\tplayed\tover the bound\tfullest window p50\tp90\tp99\tmax\twarming against warm p50\tserved p50\trejected unsent p50")
	for _, k := range order {
		at := func(part float64, of func(r Result) float64) float64 {
			var x []float64
			for _, r := range rows[k] {
				x = append(x, of(r))
			}
			slices.Sort(x)
			return x[min(len(x)-1, int(part*float64(len(x))))]
		}
		worst := func(r Result) float64 { return r.WorstWindow }
		over := 0
		for _, r := range rows[k] {
			if r.Excess > 0 {
				over++
			}
		}
		fmt.Fprintf(out, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\n", k, len(rows[k]), over, at(0.5, worst), at(0.9, worst),
			at(0.99, worst), at(1, worst), at(0.5, func(r Result) float64 { return r.WarmingShare }),
			at(0.5, func(r Result) float64 { return r.Served }), at(0.5, func(r Result) float64 { return r.RejectedUnsent }))
	}
}

func TestSameSeedSameRun(t *testing.T) {
	for _, seed := range []int{1, 4} {
		if one, two := Run(configOfSeed(seed)), Run(configOfSeed(seed)); one != two {
			t.Errorf("seed %d: %+v and then %+v", seed, one, two)
		}
	}
}
