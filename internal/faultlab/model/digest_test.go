package model

import (
	"flag"
	"fmt"
	"sync"
	"testing"
)

var digests = flag.Int("model.digests", 0,
	"print the results of so many schedules and of some rows of the table, in one line each")

// digest returns the result of a run in one line.
func digest(r *Result) string {
	quantiles := func(d durations) string {
		return fmt.Sprint(d.N(), " ", d.At(0.5), " ", d.At(0.99), " ", d.At(1))
	}
	return fmt.Sprintf("%016x %d events, %d packets, %d bytes, %d violations, weight %.6f of %.6f, "+
		"%d sends | %s | %s | %s | %s",
		r.Hash, r.Events, r.Packets, r.Bytes, r.ViolationCount, r.ServedWeight, r.OfferedWeight, r.Sends,
		quantiles(r.HealthAges), quantiles(r.HealthPropagation), quantiles(r.LoadAges),
		quantiles(r.LoadPropagation))
}

// TestDigests prints lines that a change of the model's speed alone must not change: print them before and
// after such a change, and compare. They are not recorded in a file, since each change of a decision changes
// them.
func TestDigests(t *testing.T) {
	if *digests == 0 {
		t.Skip("-model.digests")
	}
	var configs []Config
	for seed := range uint64(*digests) {
		configs = append(configs, scheduled(seed))
	}
	for _, n := range []int{10, 30, 60} { // the last one is over maxProxiesInFull
		for _, loss := range []float64{0, 0.3} {
			c := staleness(n, loss, 2, 6*sec)
			configs = append(configs, c)
			c.Encoded = false
			configs = append(configs, c)
		}
	}
	lines := make([]string, len(configs))
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, 4)
	for i := range configs {
		semaphore <- struct{}{}
		wait.Go(func() {
			defer func() { <-semaphore }()
			r, err := Run(configs[i])
			if err != nil {
				t.Error(err)
				return
			}
			lines[i] = digest(r)
		})
	}
	wait.Wait()
	for i, line := range lines {
		fmt.Println(i, line)
	}
}
