package capacity

import (
	"cmp"
	"math"
	"slices"
)

const (
	// MinCoverage limits verdicts from an extrapolation: the largest measured size must be at least this
	// fraction of the size, or the size at least this fraction of the smallest measured size.
	MinCoverage = 1. / 3
	// LinearityTolerance is the largest distance of a linear slope's medians from its line, as a fraction of
	// the line's value there.
	LinearityTolerance = 0.15
	// roundingTolerance is the largest distance of a recorded line from the fitted one, as a fraction of the
	// largest median: what rounding the line's two numbers to four digits causes. It does not depend on the
	// gradient, which is near 0 for flat metrics.
	roundingTolerance = 0.001
)

// Fit sets Points and the line from measured values: runs[i] is one repeat, with a value for each size. The
// sizes must be in ascending order.
func (s *Slope) Fit(sizes []float64, runs [][]float64) {
	s.Points, s.GradientRange = nil, nil
	for i, size := range sizes {
		var values []float64
		for _, run := range runs {
			values = append(values, roundSignificant(run[i]))
		}
		slices.Sort(values)
		median := values[len(values)/2]
		if n := len(values); n%2 == 0 {
			median = roundSignificant((values[n/2-1] + values[n/2]) / 2)
		}
		s.Points = append(s.Points, [4]float64{size, median, values[0], values[len(values)-1]})
	}
	xs, ys, _, _ := columns(s.Points)
	s.Intercept, s.Gradient = leastSquares(xs, ys)
	s.Linear = isLinear(xs, ys, s.Intercept, s.Gradient)
	lowest, highest := s.Gradient, s.Gradient
	for _, run := range runs {
		_, gradient := leastSquares(xs, run)
		lowest, highest = min(lowest, gradient), max(highest, gradient)
	}
	// The precision follows the values in the measured range: an intercept far outside of it may be large.
	farthest := max(xs[len(xs)-1], -xs[0])
	largest := slices.MaxFunc(ys, func(a, b float64) int { return cmp.Compare(math.Abs(a), math.Abs(b)) })
	scale := largest / farthest
	s.Intercept, s.Gradient = roundToScaleOf(s.Intercept, largest), roundToScaleOf(s.Gradient, scale)
	s.GradientRange = []float64{min(s.Gradient, roundToScaleOf(lowest, scale)), max(s.Gradient, roundToScaleOf(highest, scale))}
}

// checkFit fits a line to the medians again and returns a SlopeError if the recorded line differs from it.
func (s *Slope) checkFit() error {
	xs, ys, _, _ := columns(s.Points)
	intercept, gradient := leastSquares(xs, ys)
	largest := 0.
	for _, y := range ys {
		largest = max(largest, math.Abs(y))
	}
	for _, x := range []float64{xs[0], xs[len(xs)-1]} {
		if distance := math.Abs(intercept + gradient*x - s.Intercept - s.Gradient*x); distance > roundingTolerance*largest {
			return slopeError("base and per",
				"the fitted line is %.6g + %.6g x, but the file states %.6g + %.6g x: %.3g apart at %g",
				intercept, gradient, s.Intercept, s.Gradient, distance, x)
		}
	}
	if linear := isLinear(xs, ys, intercept, gradient); linear != s.Linear {
		not := choose(linear, "", "not ")
		return slopeError("straight", "the file states %v, but the worst point is %swithin %g of the line",
			s.Linear, not, LinearityTolerance)
	}
	return s.checkGradientRange(gradient, largest)
}

// checkGradientRange checks that the points allow the range and that it includes the fitted gradient. largest is the largest
// absolute median.
func (s *Slope) checkGradientRange(gradient, largest float64) error {
	if len(s.GradientRange) != 2 || !(s.GradientRange[0] <= s.GradientRange[1]) {
		return slopeError("spread", "the lowest and the highest gradient of the repeats are required")
	}
	xs, _, least, most := columns(s.Points)
	lowest, highest := gradientBounds(xs, least, most)
	farthest := xs[len(xs)-1] - xs[0]
	slack := roundingTolerance * slices.Max(append(most, largest)) / farthest
	if s.GradientRange[0] < lowest-slack || s.GradientRange[1] > highest+slack {
		return slopeError("spread", "the file states %v, but the points allow only %.6g to %.6g",
			s.GradientRange, lowest, highest)
	}
	slack = roundingTolerance * largest / farthest
	if gradient < s.GradientRange[0]-slack || gradient > s.GradientRange[1]+slack {
		return slopeError("spread", "the gradient of the line through the medians, %.6g, is not within %v",
			gradient, s.GradientRange)
	}
	return nil
}

// columns splits points into sizes, medians, minima and maxima.
func columns(points [][4]float64) (xs, median, least, most []float64) {
	for _, p := range points {
		xs, median, least, most = append(xs, p[0]), append(median, p[1]), append(least, p[2]), append(most, p[3])
	}
	return xs, median, least, most
}

// weights returns each y's weight in the gradient of the least-squares line, and the mean of xs.
func weights(xs []float64) (weight []float64, mean float64) {
	for _, x := range xs {
		mean += x / float64(len(xs))
	}
	squares := 0.
	for _, x := range xs {
		squares += (x - mean) * (x - mean)
	}
	for _, x := range xs {
		weight = append(weight, (x-mean)/squares)
	}
	return weight, mean
}

// leastSquares returns the least-squares line through points.
func leastSquares(xs, ys []float64) (intercept, gradient float64) {
	weight, mean := weights(xs)
	for i, y := range ys {
		gradient += weight[i] * y
		intercept += y / float64(len(ys))
	}
	return intercept - gradient*mean, gradient
}

// gradientBounds returns the lowest and the highest gradient of a line through values between least and most.
func gradientBounds(xs, least, most []float64) (lowest, highest float64) {
	weight, _ := weights(xs)
	for i, w := range weight {
		lowest += w * choose(w > 0, least[i], most[i])
		highest += w * choose(w > 0, most[i], least[i])
	}
	return lowest, highest
}

// isLinear reports whether every point is within LinearityTolerance of the line.
func isLinear(xs, ys []float64, intercept, gradient float64) bool {
	for i, x := range xs {
		if onLine := intercept + gradient*x; math.Abs(ys[i]-onLine) > LinearityTolerance*math.Abs(onLine) {
			return false
		}
	}
	return true
}

// roundSignificant rounds to five significant digits, which is finer than roundingTolerance.
func roundSignificant(v float64) float64 { return roundToScaleOf(v, v) }

// roundToScaleOf rounds a value to the last of five significant digits of reference.
func roundToScaleOf(v, reference float64) float64 {
	if reference == 0 {
		return v
	}
	scale := math.Pow(10, 4-math.Floor(math.Log10(math.Abs(reference))))
	return math.Round(v*scale) / scale
}

// choose returns a if first is set, else b.
func choose[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}
