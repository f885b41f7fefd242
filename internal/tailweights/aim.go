package tailweights

import "math"

// Seen is what was lately seen of a server: its load, the mean time at it, the weight of both, and what was seen
// before, which Aim adds to.
type Seen struct {
	Load, Time, Weight float64
	Fit                *Fit
}

// Learning says how curves are learned.
type Learning struct {
	Use    float64 // part of their capacity that servers are taken to use, on the whole, until curves are known
	Spread float64 // loads that differ by this part of their mean say as much of a curve as that guess
	Fade   float64 // what is left of what was seen before
	Miss   float64 // a time that is this many times off its curve begins a new one: the server is another
	Bend   float64 // a curve's slope stays within this factor of that guess
	Floor  float64 // part of an equal load that each server gets at least
}

// Aim returns how far each server's load is from the one at which the tail is least, as a logarithm: above 0 it
// should get more. What was seen must be above 0.
func (s *Solver) Aim(l Learning, seen []Seen) []float64 {
	n := float64(len(seen))
	slots, demand := 0.0, 0.0
	for _, x := range seen { // servers of one tier are taken to work on equally many calls at once
		slots += x.Load * x.Time / n * (1 - l.Use) / l.Use
		demand += x.Load
	}
	servers := make([]Server, len(seen))
	for i, x := range seen {
		base, cap, ok := x.Fit.Curve(slots, l.Spread, l.Bend)
		if off := x.Time / Time(base, cap, x.Load); !ok || off > l.Miss || off < 1/l.Miss {
			*x.Fit = Fit{}
		}
		x.Fit.Fade(l.Fade)
		x.Fit.Add(x.Load, x.Time, x.Weight)
		base, cap, _ = x.Fit.Curve(slots, l.Spread, l.Bend)
		servers[i] = Server{Base: base, Cap: cap, Floor: l.Floor * demand / n}
	}
	loads, _ := s.Solve(nil, servers, demand)
	for i, x := range seen {
		loads[i] = math.Log(max(loads[i]/x.Load, l.Floor))
	}
	return loads
}
