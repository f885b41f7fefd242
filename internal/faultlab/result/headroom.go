package result

import (
	"cmp"
	"math"
	"slices"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/referee"
)

const (
	headroomSpan = 10.0 // seconds after a fault's beginning
	headroomStep = 0.1
)

// hit is a span in which a server does a part of its work, and how long it is cold afterwards.
type capacityLoss struct {
	start, end, fraction float64
	warming              bool
}

// hits are what the faults of a plan do to each server's room.
func (input *Input) capacityLosses() map[string][]capacityLoss {
	out := map[string][]capacityLoss{}
	for _, s := range input.Plan.Strikes {
		f := s.Fault
		until := func(at time.Duration) float64 {
			if s.For <= 0 {
				return input.Experiment.Seconds
			}
			return (at + s.For).Seconds()
		}
		part, cold := 0.0, false
		switch f.Kind {
		case "zone_loss":
			for _, n := range input.Experiment.ServerNodes() {
				if n.Zone == f.Zone {
					out[n.Name] = append(out[n.Name], capacityLoss{s.At.Seconds(), until(s.At), 0, true})
				}
			}
			continue
		case "nodo_kill", "nodo_drain":
			cold = true
		case "nodo_silent", "nodo_hang":
		case "nodo_slow":
			part = 1 / f.Factor
		case "nodo_errors", "nodo_garble":
			part = 1 - f.Part
		default:
			continue
		}
		for _, turn := range s.Turns {
			out[turn.Target] = append(out[turn.Target], capacityLoss{turn.At.Seconds(), until(turn.At), part, cold})
		}
	}
	return out
}

// partOf is a server's part of its whole room at a moment.
func capacityFraction(hits []capacityLoss, at float64, n experiment.Servers) float64 {
	part := 1.0
	for _, h := range hits {
		cold := n.SlowStartMs / 1000
		switch {
		case at < h.start:
		case at < h.end:
			part *= h.fraction
		case h.warming && at < h.end+cold:
			part *= n.StartCapacity + (1-n.StartCapacity)*(at-h.end)/cold
		}
	}
	return part
}

// room is the work, in seconds of a slot of speed 1, that the servers of some zones can do in a span.
func (input *Input) availableWork(from, to float64, zone func(string) bool) (work float64) {
	hits := input.capacityLosses()
	for _, n := range input.Experiment.ServerNodes() {
		if !zone(n.Zone) {
			continue
		}
		for at := from; at < to; at += headroomStep {
			width := math.Min(headroomStep, to-at)
			work += n.Group.Speed * float64(n.Group.Slots) * width * capacityFraction(hits[n.Name], at+width/2, input.Experiment.Servers)
		}
	}
	return work
}

// roomWorth is the worth answered in time in the roomSpan after a fault's beginning, over the most that the room left
// allows for what came: that of the requests of most worth for their work, until the room is full. What found no proxy is
// left out of both. A zone that is cut off has its own room for its own callers.
func (input *Input) headroomUse(requests []clientRequest, event Event) float64 {
	to := math.Min(event.Start+headroomSpan, input.Experiment.Seconds)
	zones := input.Experiment.ZoneNames()
	sides := []func(string) bool{func(string) bool { return true }}
	if s := input.Plan.Strikes[event.Number-1]; s.Fault.Kind == "zone_cut" {
		to = math.Min(to, event.End)
		sides = []func(string) bool{func(z string) bool { return z == s.Fault.Zone }, func(z string) bool { return z != s.Fault.Zone }}
	}
	got, allowed := 0.0, 0.0
	for _, side := range sides {
		var came []*plan.Arrival
		for _, request := range requests {
			if at := request.At.Seconds(); at < event.Start || at >= to || request.outcome == referee.Unreached || !side(zones[request.Zone]) {
				continue
			}
			came = append(came, request.Arrival)
			if request.inTime {
				got += input.Experiment.Classes[request.Class].Weight
			}
		}
		allowed += maximumWeight(input.Experiment.Classes, came, input.availableWork(event.Start, to, side))
	}
	return ratio(got, allowed)
}

// best is the most worth that so much work can earn.
func maximumWeight(classes []experiment.Class, came []*plan.Arrival, work float64) (worth float64) {
	dense := func(a *plan.Arrival) float64 { return classes[a.Class].Weight / math.Max(a.Work.Seconds(), 1e-6) }
	slices.SortFunc(came, func(a, b *plan.Arrival) int { return cmp.Compare(dense(b), dense(a)) })
	for _, a := range came {
		part := math.Min(1, work/math.Max(a.Work.Seconds(), 1e-6))
		if part <= 0 {
			break
		}
		worth += part * classes[a.Class].Weight
		work -= a.Work.Seconds()
	}
	return worth
}
