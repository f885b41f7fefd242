package model

import (
	"flag"
	"os"
	"runtime/debug"
	"strconv"
	"testing"
)

var schedules = flag.Int("model.schedules", 24, "number of random schedules of faults to simulate")

// scheduled returns a small cluster with the schedule of faults that is drawn from a seed.
func scheduled(seed uint64) Config {
	c := Default()
	c.Seed = seed
	c.Zones, c.Regions = 3+int(seed%2), 1+int(seed/2%2)
	c.Rate = c.Capacity() * (0.3 + 0.1*float64(seed%5))
	c.Faults = Schedule(&c)
	return c
}

// TestSchedules checks that no schedule of faults violates a rule. Each seed is a subtest: -run Schedules/17
// repeats one.
func TestSchedules(t *testing.T) {
	for seed := range uint64(*schedules) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			c := scheduled(seed)
			r := mustRun(t, c)
			for _, v := range r.Violations {
				t.Error(v)
			}
			if t.Failed() {
				t.Logf("%d violations in all; faults: %v", r.ViolationCount, c.Faults)
			}
		})
	}
}

func TestMain(m *testing.M) {
	debug.SetGCPercent(800) // runs are short and produce much garbage
	debug.SetMemoryLimit(1 << 30)
	os.Exit(m.Run())
}

func mustRun(t *testing.T, c Config) *Result {
	t.Helper()
	r, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A seed determines a run completely, and another seed gives another run.
func TestSameSeedSameRun(t *testing.T) {
	for seed := range uint64(4) {
		one, two := mustRun(t, scheduled(seed)), mustRun(t, scheduled(seed))
		if one.Hash != two.Hash || one.Events != two.Events {
			t.Errorf("seed %d: two runs differ", seed)
		}
		if other := mustRun(t, scheduled(seed+100)); other.Hash == one.Hash {
			t.Errorf("seeds %d and %d give the same run", seed, seed+100)
		}
	}
}
