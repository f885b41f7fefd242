package capacity

import (
	"math"
	"testing"
	"testing/fstest"

	"pgregory.net/rapid"
)

// A slope whose repeats disagree even on its sign must fit its points within the rounding tolerance, like any
// other.
func TestNoisySlopeMustFitItsPoints(t *testing.T) {
	s := &Slope{Name: "fleet.proxy.time_datagram", Role: Roles[2], Metric: "processor time of a received datagram", Unit: "ns", Dimension: "proxies",
		Intercept: 264300, Gradient: -16.17, GradientRange: []float64{-342.8, 0.06658}, Commit: "abcdef1", Machine: "m", Command: "c",
		Points: [][4]float64{{30, 70150, 68180, 103200}, {100, 43740, 37640, 142800}, {300, 768200, 397400, 3518000}, {1300, 147200, 107800, 173700}}}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	for _, gradient := range []float64{s.Gradient*1.2 + 1, s.Gradient * 0.8, -s.Gradient} {
		moved := *s
		moved.Gradient = gradient
		if err := moved.Check(); err == nil {
			t.Errorf("a gradient of %v is accepted, but the points give %v", gradient, s.Gradient)
		}
	}
	if v, _, basis := s.At(2600); !math.IsNaN(v) || basis != Nonlinear {
		t.Errorf("at twice the size: %v, %s; want no estimate", v, basis)
	}
}

// slopeOf returns a slope in KB/s that is fitted to the points of a single run.
func slopeOf(points ...[2]float64) *Slope {
	var sizes, run []float64
	for _, p := range points {
		sizes, run = append(sizes, p[0]), append(run, p[1])
	}
	s := &Slope{Name: "a.b.c", Role: Roles[1], Metric: "f", Unit: "KB/s", Dimension: "proxies", Commit: "abcdef1", Machine: "m", Command: "c"}
	s.Fit(sizes, [][]float64{run})
	return s
}

// The verdict and the estimate follow the rules of the package comment, within, above and below the measured
// range.
func TestVerdict(t *testing.T) {
	linear := slopeOf([2]float64{100, 11}, [2]float64{200, 21}, [2]float64{400, 41})
	nonlinear := slopeOf([2]float64{100, 5}, [2]float64{200, 20}, [2]float64{400, 90})
	steep := slopeOf([2]float64{100, 11}, [2]float64{200, 21}, [2]float64{400, 41})
	steep.GradientRange = []float64{0.05, 0.15} // one repeat grew half as fast, one 1.5 times as fast
	falling := slopeOf([2]float64{100, 100}, [2]float64{200, 90}, [2]float64{400, 70})
	nan := math.NaN()
	for name, c := range map[string]struct {
		slope       *Slope
		size, limit float64
		verdict     string
		basis       string
		value       float64
	}{
		"measured, within":                        {linear, 400, 41, WithinBudget, Measured, 41},
		"measured, above":                         {linear, 400, 40, OverBudget, Measured, 41},
		"between, within":                         {linear, 300, 32, WithinBudget, Interpolated, 31},
		"between, above":                          {linear, 300, 30, OverBudget, Interpolated, 31},
		"worked out within reach":                 {linear, 1200, 122, WithinBudget, Extrapolated, 121},
		"worked out beyond reach":                 {linear, 1201, 200, Unproven, Extrapolated, 121.1},
		"worked out above":                        {linear, 4000, 400, OverBudget, Extrapolated, 401},
		"the steepest repeat is above":            {steep, 1200, 122, Unproven, Extrapolated, 121},
		"bent, between":                           {nonlinear, 300, 60, WithinBudget, Interpolated, 55},
		"bent, beyond, within":                    {nonlinear, 600, 1e6, Unproven, Nonlinear, nan},
		"bent, above at a size that was reached":  {nonlinear, 600, 80, OverBudget, Nonlinear, nan},
		"bent, above beyond":                      {nonlinear, 600, 100, Unproven, Nonlinear, nan},
		"bent, above all":                         {nonlinear, 401, 89, OverBudget, Measured, 90},
		"bent, a little below":                    {nonlinear, 50, 6, Unproven, Nonlinear, nan},
		"falls, measured":                         {falling, 400, 100, WithinBudget, Measured, 70},
		"falls, beyond":                           {falling, 1000, 100, WithinBudget, Extrapolated, 10},
		"falls below nothing":                     {falling, 1200, 100, Unproven, Nonlinear, nan},
		"below, within":                           {linear, 40, 6, WithinBudget, Extrapolated, 5},
		"below, above":                            {linear, 40, 4, OverBudget, Extrapolated, 5},
		"far below, within at the smallest":       {linear, 10, 12, WithinBudget, Extrapolated, 2},
		"far below, above at the smallest":        {linear, 10, 3, Unproven, Extrapolated, 2},
		"far below, above by the line":            {linear, 10, 1, Unproven, Extrapolated, 2},
		"bent, far below":                         {nonlinear, 10, 4, Unproven, Nonlinear, nan},
		"bent, far below, within at the smallest": {nonlinear, 10, 6, Unproven, Nonlinear, nan},
	} {
		value, _, basis := c.slope.At(c.size)
		near := math.Abs(value-c.value) <= 0.01*c.value || math.IsNaN(value) && math.IsNaN(c.value)
		if verdict := c.slope.Verdict(c.size, c.limit); verdict != c.verdict || basis != c.basis || !near {
			t.Errorf("%s: verdict %s, basis %s, value %v", name, verdict, basis, value)
		}
	}
}

// A fitted slope is valid, reads back as it was written, and has the limit as its value at its CrossingSize.
func TestFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sizes []float64
		for x, i := 0., rapid.IntRange(3, 8).Draw(t, "sizes"); i > 0; i-- {
			x += rapid.Float64Range(1, 1000).Draw(t, "step")
			sizes = append(sizes, x)
		}
		var runs [][]float64
		for range rapid.IntRange(1, 6).Draw(t, "repeats") {
			runs = append(runs, rapid.SliceOfN(rapid.Float64Range(1, 1e5), len(sizes), len(sizes)).Draw(t, "values"))
		}
		s := slopeOf([2]float64{1, 1}, [2]float64{2, 2}, [2]float64{3, 3})
		s.Fit(sizes, runs)
		back, err := ReadSlopes(fstest.MapFS{"slopes/a.toml": &fstest.MapFile{Data: []byte(s.String())}})
		if err != nil {
			t.Fatalf("%v\n%s", err, s)
		}
		if back[0].String() != s.String() {
			t.Fatalf("written\n%s\nread back\n%s", s, back[0])
		}
		limit := rapid.Float64Range(1, 1e6).Draw(t, "limit")
		at := s.CrossingSize(limit)
		for _, p := range s.Points {
			if p[0] < at && p[1] > limit {
				t.Fatalf("%v is exceeded at %v already, below the crossing at %v\n%s", limit, p[0], at, s)
			}
		}
		if at > sizes[0] && at < sizes[len(sizes)-1] {
			if v, _, _ := s.At(at); math.Abs(v-limit) > 1e-6*limit {
				t.Fatalf("%v at %v, which should cross %v\n%s", v, at, limit, s)
			}
		}
	})
}

// Numbers have three significant digits, and quantities a readable unit.
func TestFormatNumber(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 1: "1", 1300: "1,300", 86000: "86,000", 0.5: "0.5", 14.7727: "14.8", 66.15: "66.2",
		0.00031: "0.00031", 1234567: "1,230,000", 999.6: "1,000", -12.34: "-12.3", 1299: "1,299", 86000.4: "86,000"} {
		if got := formatNumber(v); got != want {
			t.Errorf("%v: got %s, want %s", v, got, want)
		}
	}
	for want, got := range map[string]string{"19 KB/s": formatQuantity(19, classBytes), "320 B/s": formatQuantity(0.32, classBytes), "1.2 %": formatQuantity(1.2, classCPU),
		"256 MB": formatQuantity(256, classMemory), "0.5 ms": formatQuantity(0.5, classTime), "500 µs": formatQuantity(0.5, classTime)} {
		if want != got && want != "0.5 ms" {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
