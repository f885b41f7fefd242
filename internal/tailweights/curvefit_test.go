package tailweights

import (
	"math"
	"testing"
)

// TestFit checks that a fit finds the curve if loads differ, and otherwise uses the assumed concurrency. The
// fit is merged from two and decayed, which must not change the result.
func TestFit(t *testing.T) {
	for _, c := range []struct {
		name              string
		loads             []float64
		base, concurrency float64 // true values, in milliseconds and calls
		assumed           float64 // concurrency, calls
		wantBase          float64
		wantConcurrency   float64
		tolerance         float64 // relative
	}{
		{"different loads: the observations", []float64{10, 50, 90, 140}, 20, 4, 8, 20, 4, 0.15},
		{"equal loads: the assumption", []float64{100, 100, 100}, 20, 4, 4, 20, 4, 1e-9},
		{"equal loads, a wrong assumption", []float64{100, 100, 100}, 20, 4, 8, 26.7, 8, 0.01},
	} {
		var whole, part CurveFit
		for i, load := range c.loads {
			fit := &whole
			if i%2 == 1 {
				fit = &part
			}
			fit.Add(load, LatencyAt(c.base, c.concurrency/c.base*1000, load), 100)
		}
		whole.Merge(part)
		whole.Decay(0.5) // a common factor of all weights does not matter
		base, capacity, ok := whole.Estimate(c.assumed*1000, 0.1, 8)
		if !ok || math.Abs(base/c.wantBase-1) > c.tolerance ||
			math.Abs(base*capacity/1000/c.wantConcurrency-1) > c.tolerance {
			t.Errorf("%s: estimated base %g and concurrency %g, ok %v", c.name, base, base*capacity/1000, ok)
		}
	}
}
