package tailweights

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	for _, c := range []struct {
		name       string
		loads      []float64
		base, slot float64 // true ones
		guess      float64
		wantBase   float64
		wantSlots  float64
		within     float64
	}{
		{"wide loads: what was seen", []float64{10, 50, 90, 140}, 20, 4, 8, 20, 4, 0.15},
		{"one load: the guess", []float64{100, 100, 100}, 20, 4, 4, 20, 4, 1e-9},
		{"one load, a wrong guess", []float64{100, 100, 100}, 20, 4, 8, 26.7, 8, 0.01},
	} {
		var whole, part CurveFit
		for i, x := range c.loads {
			g := &whole
			if i%2 == 1 {
				g = &part
			}
			g.Add(x, LatencyAt(c.base, c.slot/c.base*1000, x), 100)
		}
		whole.Merge(part)
		whole.Decay(0.5) // weights alone say nothing
		base, cap, ok := whole.Estimate(c.guess*1000, 0.1, 8)
		if !ok || math.Abs(base/c.wantBase-1) > c.within || math.Abs(base*cap/1000/c.wantSlots-1) > c.within {
			t.Errorf("%s: base %g, %g slots, %v", c.name, base, base*cap/1000, ok)
		}
	}
}
