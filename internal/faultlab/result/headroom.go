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

// capacityLoss is a span in which a server has a fraction of its capacity, and whether slow start follows.
type capacityLoss struct {
	start, end, fraction float64
	warming              bool
}

// capacityLosses are the effects of the plan's faults on the capacity of each server.
func (input *Input) capacityLosses() map[string][]capacityLoss {
	out := map[string][]capacityLoss{}
	for _, s := range input.Plan.Faults {
		f := s.Fault
		until := func(at time.Duration) float64 {
			if s.Duration <= 0 {
				return input.Experiment.Seconds
			}
			return (at + s.Duration).Seconds()
		}
		fraction, warming := 0.0, false
		switch f.Kind {
		case "zone_loss":
			for _, n := range input.Experiment.ServerNodes() {
				if n.Zone == f.Zone {
					out[n.Name] = append(out[n.Name], capacityLoss{s.At.Seconds(), until(s.At), 0, true})
				}
			}
			continue
		case "nodo_kill", "nodo_drain":
			warming = true
		case "nodo_silent", "nodo_hang":
		case "nodo_slow":
			fraction = 1 / f.Factor
		case "nodo_errors", "nodo_garble":
			fraction = 1 - f.Fraction
		default:
			continue
		}
		for _, turn := range s.Targets {
			out[turn.Name] = append(out[turn.Name], capacityLoss{turn.At.Seconds(), until(turn.At), fraction, warming})
		}
	}
	return out
}

// capacityFraction is the fraction of a server's full capacity that it has at a moment.
func capacityFraction(hits []capacityLoss, at float64, n experiment.Servers) float64 {
	fraction := 1.0
	for _, h := range hits {
		slowStart := n.SlowStartMs / 1000
		switch {
		case at < h.start:
		case at < h.end:
			fraction *= h.fraction
		case h.warming && at < h.end+slowStart:
			fraction *= n.StartCapacity + (1-n.StartCapacity)*(at-h.end)/slowStart
		}
	}
	return fraction
}

// availableWork is the work, in seconds of a slot of speed 1, that the servers of the selected zones can do in a span.
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

// headroomUse is the weight answered in time in the headroomSpan after a fault's start, over the maximum that the remaining
// capacity allows: requests in the order of weight per work, until the capacity is used. Requests that reached no proxy are left
// out of both. A zone that is cut off has its own capacity for its own clients.
func (input *Input) headroomUse(requests []clientRequest, event Event) float64 {
	to := math.Min(event.Start+headroomSpan, input.Experiment.Seconds)
	zones := input.Experiment.ZoneNames()
	sides := []func(string) bool{func(string) bool { return true }}
	if s := input.Plan.Faults[event.Number-1]; s.Fault.Kind == "zone_cut" {
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

// maximumWeight is the most weight that can be answered with so much work.
func maximumWeight(classes []experiment.Class, came []*plan.Arrival, work float64) (weight float64) {
	density := func(a *plan.Arrival) float64 { return classes[a.Class].Weight / math.Max(a.Work.Seconds(), 1e-6) }
	slices.SortFunc(came, func(a, b *plan.Arrival) int { return cmp.Compare(density(b), density(a)) })
	for _, a := range came {
		part := math.Min(1, work/math.Max(a.Work.Seconds(), 1e-6))
		if part <= 0 {
			break
		}
		weight += part * classes[a.Class].Weight
		work -= a.Work.Seconds()
	}
	return weight
}
