package capacity

import "math"

// The bases of an estimate, in the words of docs/CAPACITY.md.
const (
	Measured     = "measured"
	Interpolated = "between"
	Extrapolated = "worked out"
	Nonlinear    = "not straight"
)

// The verdicts on a metric, a sum or a duty, in the words of docs/CAPACITY.md.
const (
	WithinBudget = "carried"
	OverBudget   = "over"
	Absent       = "absent"
	Unproven     = "unproven"
)

// sameSize is the largest difference of two sizes that count as equal, as a fraction of the requested size.
const sameSize = 0.02

// At estimates the metric at a size: the value and its worst case over the repeats, in the class's display
// unit, and the basis. Outside of the measured range there is no estimate, and both are NaN, if the slope is
// not linear or its line is negative there.
func (s *Slope) At(size float64) (value, worst float64, basis string) {
	factor := units[s.Unit].factor
	xs, ys, _, most := columns(s.Points)
	last := len(xs) - 1
	basis = Interpolated
	for i, x := range xs {
		if math.Abs(x-size) > sameSize*size {
			continue
		}
		basis = Measured
		if size < xs[0] || size > xs[last] {
			return ys[i] * factor, most[i] * factor, basis
		}
	}
	switch {
	case size < xs[0]:
		value, worst, basis = s.belowRange(size)
	case size > xs[last]:
		value, worst, basis = s.aboveRange(size)
	default:
		i := 1
		for xs[i] < size {
			i++
		}
		part := (size - xs[i-1]) / (xs[i] - xs[i-1])
		value, worst = ys[i-1]+part*(ys[i]-ys[i-1]), most[i-1]+part*(most[i]-most[i-1])
	}
	return value * factor, worst * factor, basis
}

// belowRange extrapolates, in the slope's unit, along the two smallest sizes, because the least-squares line
// can be far off there.
func (s *Slope) belowRange(size float64) (value, worst float64, basis string) {
	if !s.Linear {
		return math.NaN(), math.NaN(), Nonlinear
	}
	xs, ys, _, most := columns(s.Points)
	part := (xs[0] - size) / (xs[1] - xs[0])
	value, worst = max(0, ys[0]-part*(ys[1]-ys[0])), most[0]-part*(ys[1]-ys[0])
	return value, max(value, worst), Extrapolated
}

// aboveRange extrapolates, in the slope's unit, along the least-squares line, and for the worst case with the
// lowest and the highest gradient of the repeats.
func (s *Slope) aboveRange(size float64) (value, worst float64, basis string) {
	value = s.Intercept + s.Gradient*size
	if !s.Linear || value < 0 {
		return math.NaN(), math.NaN(), Nonlinear
	}
	xs, _, _, _ := columns(s.Points)
	_, mean := weights(xs)
	center := s.Intercept + s.Gradient*mean
	worst = max(value, center+s.GradientRange[0]*(size-mean), center+s.GradientRange[1]*(size-mean))
	return value, worst, Extrapolated
}

// CrossingSize returns the smallest size at which the metric exceeds a limit in the class's display unit, and
// infinity if it never does. A slope that is not linear is not extrapolated: if the metric already exceeds
// the limit at the smallest measured size, that size is returned, and if it does not at any measured size,
// NaN.
func (s *Slope) CrossingSize(limit float64) float64 {
	limit /= units[s.Unit].factor
	xs, ys, _, _ := columns(s.Points)
	if ys[0] > limit {
		gradient := (ys[1] - ys[0]) / (xs[1] - xs[0]) // as in belowRange
		switch {
		case !s.Linear:
			return xs[0]
		case gradient <= 0:
			return 0
		}
		return max(0, xs[0]-(ys[0]-limit)/gradient)
	}
	for i := 1; i < len(xs); i++ {
		if ys[i] > limit {
			return xs[i-1] + (limit-ys[i-1])/(ys[i]-ys[i-1])*(xs[i]-xs[i-1])
		}
	}
	switch {
	case !s.Linear:
		return math.NaN()
	case s.Gradient <= 0:
		return math.Inf(1)
	}
	return max(xs[len(xs)-1], (limit-s.Intercept)/s.Gradient)
}

// Verdict compares the metric at a size with a limit in the class's display unit, by the rules of the package
// comment.
func (s *Slope) Verdict(size, limit float64) string {
	value, worst, basis := s.At(size)
	inRange := basis == Measured || basis == Interpolated
	xs, ys, _, _ := columns(s.Points)
	for i, x := range xs {
		if x <= size && ys[i]*units[s.Unit].factor > limit {
			return OverBudget
		}
	}
	if basis == Nonlinear {
		return Unproven
	}
	if size < xs[0] && !inRange {
		if size < MinCoverage*xs[0] {
			return s.verdictFarBelow(limit)
		}
		inRange = true
	}
	switch {
	case value > limit && (inRange || s.Linear):
		return OverBudget
	case worst <= limit && (inRange || s.Linear && xs[len(xs)-1] >= MinCoverage*size):
		return WithinBudget
	}
	return Unproven
}

// verdictFarBelow returns the verdict for sizes far below the measured range, where it is only known that a
// metric which grows does not exceed its value at the smallest measured size.
func (s *Slope) verdictFarBelow(limit float64) string {
	if _, worst, _ := s.At(s.Points[0][0]); worst <= limit && s.Gradient >= 0 {
		return WithinBudget
	}
	return Unproven
}
