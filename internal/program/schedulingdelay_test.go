package program

import (
	"math"
	"runtime/metrics"
	"testing"
	"time"
)

// TestSchedulingDelaysAreCountedFromTheirBound checks that the buckets from a bound on count, and that the runtime
// still has the histogram.
func TestSchedulingDelaysAreCountedFromTheirBound(t *testing.T) {
	histogram := &metrics.Float64Histogram{Counts: []uint64{1, 2, 4, 8}, Buckets: []float64{math.Inf(-1), 0.005, 0.01, 0.2, math.Inf(1)}}
	if got := countAbove(histogram, 10*time.Millisecond); got != 12 {
		t.Errorf("got %d delays over 10 ms, want 12", got)
	}
	counts := map[string]int64{}
	countSchedulingDelays(counts)
	for name := range schedulingDelayBounds {
		if _, ok := counts[name]; !ok {
			t.Errorf("no count %s among %v", name, counts)
		}
	}
}
