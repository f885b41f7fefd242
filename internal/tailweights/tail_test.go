package tailweights

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func servers(t *rapid.T) []Server {
	one := rapid.Custom(func(t *rapid.T) Server {
		cap := rapid.Float64Range(1, 1e4).Draw(t, "cap")
		return Server{Base: rapid.Float64Range(10, 250).Draw(t, "base"), Cap: cap,
			Floor: cap * rapid.Float64Range(0, 0.05).Draw(t, "floor"), Worth: rapid.Float64Range(0.5, 5).Draw(t, "worth"),
			Price: rapid.Float64Range(0, 3).Draw(t, "price")}
	})
	return rapid.SliceOfN(one, 1, 40).Draw(t, "servers")
}

func capacity(s []Server) (caps, floors float64) {
	for _, x := range s {
		caps += x.Cap
		floors += x.Floor
	}
	return caps, floors
}

// margin is the marginal cost by its definition, not as the search writes it.
func margin(s Server, base, worth, x float64) float64 {
	t, up := Time(s.Base, s.Cap, x)/base, x/s.Cap/(1-x/s.Cap)
	return s.Worth/worth*math.Pow(t, 4)*(1+4*up) + s.Price
}

func TestOptimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := servers(t)
		caps, floors := capacity(s)
		demand := floors + (caps*Edge-floors)*rapid.Float64Range(0.001, 0.999).Draw(t, "use")
		var solver Solver
		x, ok := solver.Solve(nil, s, demand)
		base, worth := means(s)
		sum, low, high := 0.0, 0.0, math.Inf(1) // the one marginal cost lies above all low and below all high
		for i, c := range s {
			sum += x[i]
			m := margin(c, base, worth, x[i])
			if x[i] < c.Floor || x[i] > c.Cap*Edge {
				t.Fatalf("server %d has %g, outside %g and %g", i, x[i], c.Floor, c.Cap*Edge)
			}
			if x[i] > c.Floor*(1+1e-9) {
				low = max(low, m)
			}
			if x[i] < c.Cap*Edge*(1-1e-9) {
				high = min(high, m)
			}
		}
		if !ok || math.Abs(sum-demand) > Exact*demand {
			t.Fatalf("%v: the loads add up to %g of %g", ok, sum, demand)
		}
		if low > high*(1+1e-6) {
			t.Fatalf("moving load from one at a marginal cost of %g to one at %g is cheaper", low, high)
		}
		if solver.Steps >= Most {
			t.Fatalf("%d steps", solver.Steps)
		}
	})
}

func TestMoreCapacityIsNoLessLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := servers(t)
		caps, floors := capacity(s)
		demand := floors + (caps*Edge-floors)*rapid.Float64Range(0.01, 0.95).Draw(t, "use")
		i := rapid.IntRange(0, len(s)-1).Draw(t, "which")
		var solver Solver
		before, _ := solver.Solve(nil, s, demand)
		s[i].Cap *= rapid.Float64Range(1, 3).Draw(t, "more")
		after, _ := solver.Solve(nil, s, demand)
		if after[i] < before[i]*(1-1e-7) {
			t.Fatalf("server %d has %g after its capacity rose, %g before", i, after[i], before[i])
		}
	})
}

func TestEqualServersGetEqualLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := servers(t)
		s = append(s, s...)
		caps, _ := capacity(s)
		var solver Solver
		x, _ := solver.Solve(nil, s, caps*rapid.Float64Range(0, 1.5).Draw(t, "use"))
		for i, h := 0, len(s)/2; i < h; i++ {
			if x[i] != x[i+h] {
				t.Fatalf("equal servers %d and %d have %v and %v", i, i+h, x[i], x[i+h])
			}
		}
	})
}

// The best of all ways to share 200 parts over three servers is no better.
func TestAgainstBruteForce(t *testing.T) {
	cost := func(s []Server, base, worth float64, x ...float64) (sum float64) {
		for i, c := range s {
			sum += x[i] * (c.Worth/worth*math.Pow(Time(c.Base, c.Cap, x[i])/base, 4) + c.Price)
		}
		return sum
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		var s []Server
		for range 3 {
			s = append(s, Server{Base: 10 + 40*rnd.Float64(), Cap: 50 + 100*rnd.Float64(), Worth: 1 + rnd.Float64(), Price: rnd.Float64()})
		}
		caps, _ := capacity(s)
		demand := caps * (0.1 + 0.8*rnd.Float64())
		var solver Solver
		x, _ := solver.Solve(nil, s, demand)
		base, worth := means(s)
		best := math.Inf(1)
		for i := range 201 {
			for j := range 201 - i {
				a, b := demand*float64(i)/200, demand*float64(j)/200
				best = min(best, cost(s, base, worth, a, b, demand-a-b))
			}
		}
		if got := cost(s, base, worth, x...); got > best*(1+1e-9) {
			t.Errorf("%+v, demand %g: cost %g, one of %g is found by trying", s, demand, got, best)
		}
	}
}

func FuzzSolve(f *testing.F) {
	nan, inf := math.NaN(), math.Inf(1)
	f.Add(nan, inf, -1.0, 0.0, nan, 5.0, 1e308)
	f.Add(1e-308, 1e308, 1e308, 1e308, 0.0, 0.0, 3.0)
	f.Add(10.0, 100.0, 1.0, 1.0, 0.0, 50.0, 0.0)
	f.Fuzz(func(t *testing.T, base, cap, floor, worth, price, demand, other float64) {
		s := []Server{{base, cap, floor, worth, price}, {other, cap, 0, 1, 0}, {base, other, floor, 0, 0}}
		var solver Solver
		x, ok := solver.Solve(nil, s, demand)
		sum := 0.0
		for i, v := range x {
			sum += v
			if !(v >= 0) || math.IsInf(v, 1) || ok && v > clean(s[i].Cap)*Edge*(1+1e-9) {
				t.Fatalf("server %d of %+v has %g at a demand of %g", i, s, v, demand)
			}
		}
		if ok && math.Abs(sum-clean(demand)) > 1e-6*clean(demand) {
			t.Fatalf("%+v: %g of a demand of %g", s, sum, demand)
		}
		var g Fit
		g.Add(base, cap, floor)
		g.Add(other, worth, 1)
		if b, c, ok := g.Curve(price, 0.2, 8); ok && !(b > 0 && c > 0 && !math.IsInf(b+c, 1)) {
			t.Fatalf("a curve of base %g, capacity %g", b, c)
		}
	})
}

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
		var whole, part Fit
		for i, x := range c.loads {
			g := &whole
			if i%2 == 1 {
				g = &part
			}
			g.Add(x, Time(c.base, c.slot/c.base*1000, x), 100)
		}
		whole.Merge(part)
		whole.Fade(0.5) // weights alone say nothing
		base, cap, ok := whole.Curve(c.guess*1000, 0.1, 8)
		if !ok || math.Abs(base/c.wantBase-1) > c.within || math.Abs(base*cap/1000/c.wantSlots-1) > c.within {
			t.Errorf("%s: base %g, %g slots, %v", c.name, base, base*cap/1000, ok)
		}
	}
}

func BenchmarkSolve(b *testing.B) {
	for _, n := range []int{20, 200, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 1))
			var s []Server
			for range n {
				s = append(s, Server{Base: 10 + 40*rnd.Float64(), Cap: 50 + 100*rnd.Float64(), Floor: 1, Worth: 1})
			}
			caps, _ := capacity(s)
			var solver Solver
			var x []float64
			steps := 0
			b.ReportAllocs()
			for b.Loop() {
				x, _ = solver.Solve(x[:0], s, 0.7*caps)
				steps = solver.Steps
			}
			b.ReportMetric(float64(steps), "steps")
		})
	}
}
