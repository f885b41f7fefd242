package capacity

import (
	"math"
	"strconv"
)

// float is a number as TOML has floats: with a point or an exponent.
type tomlFloat float64

func (f tomlFloat) String() string {
	s := strconv.FormatFloat(float64(f), 'g', -1, 64)
	for _, c := range s {
		if c == '.' || c == 'e' || c == 'I' || c == 'N' {
			return s
		}
	}
	return s + ".0"
}

// How a value is known.
const (
	Measured     = "measured"
	Interpolated = "between"
	Extrapolated = "worked out"
	Nonlinear    = "not straight"
)

// At is the figure at a size in the class's own unit, the worst of it that the repeats allow, and how it is known. Beyond what
// was measured a slope that is not straight, or one whose line falls below nothing there, has no value: NaN.
func (s *Slope) At(size float64) (value, worst float64, how string) {
	const near = 0.02 // of a size: the same for this
	to := units[s.Unit].factor
	xs, ys, _, most := columns(s.Points)
	n := len(xs)
	how = Interpolated
	for i, x := range xs {
		if math.Abs(x-size) > near*size {
			continue
		}
		how = Measured
		if size < xs[0] || size > xs[n-1] {
			return ys[i] * to, most[i] * to, how
		}
	}
	if size < xs[0] { // on the line through the two smallest sizes: the whole one may be far off there
		part := (xs[0] - size) / (xs[1] - xs[0])
		if !s.Linear {
			return math.NaN(), math.NaN(), Nonlinear
		}
		value, worst = max(0, ys[0]-part*(ys[1]-ys[0])), most[0]-part*(ys[1]-ys[0])
		return value * to, max(value, worst) * to, Extrapolated
	}
	if size > xs[n-1] {
		_, mean := weights(xs)
		center := s.Intercept + s.Gradient*mean
		if value = s.Intercept + s.Gradient*size; !s.Linear || value < 0 {
			return math.NaN(), math.NaN(), Nonlinear
		}
		worst = max(value, center+s.GradientRange[0]*(size-mean), center+s.GradientRange[1]*(size-mean))
		return value * to, worst * to, Extrapolated
	}
	i := 1
	for xs[i] < size {
		i++
	}
	part := (size - xs[i-1]) / (xs[i] - xs[i-1])
	on := func(v []float64) float64 { return v[i-1] + part*(v[i]-v[i-1]) }
	return on(ys) * to, on(most) * to, how
}

// Crosses is the smallest size at which the figure passes a limit, in the class's own unit; infinite if none does. A slope that
// is not straight is not drawn on: it passes at the smallest size measured or below, or, if none is above, nobody knows: NaN.
func (s *Slope) CrossingSize(limit float64) float64 {
	limit /= units[s.Unit].factor
	xs, ys, _, _ := columns(s.Points)
	n := len(xs)
	if ys[0] > limit { // below what was measured, as At has it
		per := (ys[1] - ys[0]) / (xs[1] - xs[0])
		if !s.Linear {
			return xs[0]
		}
		if per <= 0 {
			return 0
		}
		return max(0, xs[0]-(ys[0]-limit)/per)
	}
	for i := 1; i < n; i++ {
		if ys[i] > limit {
			return xs[i-1] + (limit-ys[i-1])/(ys[i]-ys[i-1])*(xs[i]-xs[i-1])
		}
	}
	if !s.Linear {
		return math.NaN()
	}
	if s.Gradient <= 0 {
		return math.Inf(1)
	}
	return max(xs[n-1], (limit-s.Intercept)/s.Gradient)
}

// The words of the page.
const (
	WithinBudget = "carried"
	OverBudget   = "over"
	Absent       = "absent"
	Unproven     = "unproven"
)

// Judge is the word on a figure at a size, by the rule of the package.
func (s *Slope) Verdict(size, limit float64) string {
	value, worst, how := s.At(size)
	known := how == Measured || how == Interpolated
	xs, ys, _, _ := columns(s.Points)
	for i, x := range xs {
		if x <= size && ys[i]*units[s.Unit].factor > limit {
			return OverBudget
		}
	}
	if how == Nonlinear {
		return Unproven
	}
	if size < xs[0] && !known {
		// Far below what was measured it is only sure that the figure is not larger than at the smallest size.
		if _, top, _ := s.At(xs[0]); size >= MinCoverage*xs[0] {
			known = true
		} else if top <= limit && s.Gradient >= 0 {
			return WithinBudget
		} else {
			return Unproven
		}
	}
	switch {
	case value > limit && (known || s.Linear):
		return OverBudget
	case worst <= limit && (known || s.Linear && xs[len(xs)-1] >= MinCoverage*size):
		return WithinBudget
	}
	return Unproven
}
