package model

import (
	"flag"
	"fmt"
	"sync"
	"testing"
)

var digests = flag.Int("model.digests", 0, "print what so many schedules came to, and some rows of the table, in one line each")

// digest is all that a run came to, in a line.
func digest(r *Result) string {
	of := func(a durations) string { return fmt.Sprint(a.N(), " ", a.At(0.5), " ", a.At(0.99), " ", a.At(1)) }
	return fmt.Sprintf("%016x %d events, %d packets, %d bytes, %d broken, worth %.6f of %.6f, %d sends | %s | %s | %s | %s",
		r.Hash, r.Events, r.Packets, r.Bytes, r.ViolationCount, r.ServedWeight, r.OfferedWeight, r.Sends, of(r.HealthAges), of(r.HealthPropagation), of(r.LoadAges),
		of(r.LoadPropagation))
}

// TestDigests prints the lines that a change which is to be speed alone must leave as they are: print them before and
// after, and compare. They stand in no file, since each change of a decision moves them.
func TestDigests(t *testing.T) {
	if *digests == 0 {
		t.Skip("-model.digests")
	}
	var configs []Config
	for seed := range uint64(*digests) {
		configs = append(configs, scheduled(seed))
	}
	for _, n := range []int{10, 30, 60} { // the last is over lookAll
		for _, loss := range []float64{0, 0.3} {
			c := staleness(n, loss, 2, 6*sec)
			configs = append(configs, c)
			c.Encoded = false
			configs = append(configs, c)
		}
	}
	lines := make([]string, len(configs))
	var wait sync.WaitGroup
	turns := make(chan struct{}, 4)
	for i := range configs {
		turns <- struct{}{}
		wait.Go(func() {
			defer func() { <-turns }()
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
