package tailweights

import "math"

// Fit learns a server's curve. With t(x) = Base/(1 - x/Cap), the reciprocal of the time falls along a straight
// line with the load: 1/t = 1/Base - x/Slots, with Slots = Base Cap, the calls that the server works on at once.
// A line's least squares need five sums, so a Fit is 40 bytes whatever it has seen, and two merge by adding. The
// zero value has seen nothing.
type Fit struct{ w, x, y, xx, xy float64 }

// Add takes a mean time seen at a load, with a weight such as the number of calls. What is not above 0 and
// finite is left out; so is no load.
func (f *Fit) Add(load, time, weight float64) {
	if load, time, weight = clean(load), clean(time), clean(weight); load*time*weight == 0 {
		return
	}
	y := 1 / time
	f.Merge(Fit{weight, weight * load, weight * y, weight * load * load, weight * load * y})
}

// Merge adds what another has seen.
func (f *Fit) Merge(g Fit) {
	f.w, f.x, f.y, f.xx, f.xy = f.w+g.w, f.x+g.x, f.y+g.y, f.xx+g.xx, f.xy+g.xy
}

// Fade leaves the given part of the weight of what was seen.
func (f *Fit) Fade(part float64) {
	f.w, f.x, f.y, f.xx, f.xy = part*f.w, part*f.x, part*f.y, part*f.xx, part*f.xy
}

// Curve returns the curve through what was seen; ok is false where that is nothing. Loads that hardly differ
// say nothing of the slope: slots is a guess at it, which counts as much as loads that differ by a part spread
// of their mean, and the answer stays within a factor bend of it.
func (f Fit) Curve(slots, spread, bend float64) (base, cap float64, ok bool) {
	if slots = clean(slots); !(f.w > 0) || slots == 0 || math.IsInf(f.xx, 1) || math.IsInf(f.xy, 1) {
		return 0, 0, false
	}
	x, y, guess := f.x/f.w, f.y/f.w, 1/slots
	rigid := spread * spread * x * x
	slope := (rigid*guess - (f.xy/f.w - x*y)) / (max(f.xx/f.w-x*x, 0) + rigid)
	slope = min(max(slope, guess/bend), bend*guess)
	top := y + slope*x
	if base, cap = 1/top, top/slope; !(clean(base) > 0) || !(clean(cap) > 0) {
		return 0, 0, false
	}
	return base, cap, true
}

// Time is the mean time at a load of a server with the given curve.
func Time(base, cap, load float64) float64 {
	if load >= cap {
		return math.Inf(1)
	}
	return base / (1 - load/cap)
}

// Norm is the mean fourth power of times, whose root stands for their tail as the cost above does: 2.2 means
// of exponential times. Two merge by adding. The zero value has seen nothing.
type Norm struct{ Weight, Sum float64 }

// Add takes a time with a weight.
func (n *Norm) Add(time, weight float64) {
	square := time * time
	n.Weight += weight
	n.Sum += weight * square * square
}

// Root is the fourth root of the mean, 0 where nothing was seen.
func (n Norm) Root() float64 {
	if !(n.Weight > 0) {
		return 0
	}
	return math.Sqrt(math.Sqrt(n.Sum / n.Weight))
}
