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
	headroomSpan = 10.0 // seconds from a fault's start
	headroomStep = 0.1  // seconds over which a server's capacity is taken as constant
)

// capacityLoss is a span in which a server has a fraction of its capacity, and whether slow start follows.
type capacityLoss struct {
	start, end, fraction float64 // start and end in seconds since the load started
	warming              bool
}

// capacityLosses returns the effects of the plan's faults on the capacity of each server, by its name.
func (input *Input) capacityLosses() map[string][]capacityLoss {
	out := map[string][]capacityLoss{}
	for _, planned := range input.Plan.Faults {
		f := planned.Fault
		until := func(at time.Duration) float64 {
			if planned.Duration <= 0 {
				return input.Experiment.Seconds
			}
			return (at + planned.Duration).Seconds()
		}
		fraction, warming := 0.0, false
		switch f.Kind {
		case "zone_loss":
			for _, n := range input.Experiment.ServerNodes() {
				if n.Zone == f.Zone {
					out[n.Name] = append(out[n.Name],
						capacityLoss{planned.At.Seconds(), until(planned.At), 0, true})
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
		for _, target := range planned.Targets {
			out[target.Name] = append(out[target.Name],
				capacityLoss{target.At.Seconds(), until(target.At), fraction, warming})
		}
	}
	return out
}

// capacityFraction returns the fraction of its full capacity that a server has at a time.
func capacityFraction(losses []capacityLoss, at float64, n experiment.Servers) float64 {
	fraction := 1.0
	for _, loss := range losses {
		slowStart := n.SlowStartMs / 1000
		switch {
		case at < loss.start:
		case at < loss.end:
			fraction *= loss.fraction
		case loss.warming && at < loss.end+slowStart:
			fraction *= n.StartCapacity + (1-n.StartCapacity)*(at-loss.end)/slowStart
		}
	}
	return fraction
}

// availableWork returns the work, in seconds of a slot of speed 1, that the servers of the selected zones can
// do in a span.
func (input *Input) availableWork(from, to float64, zone func(string) bool) (work float64) {
	losses := input.capacityLosses()
	for _, n := range input.Experiment.ServerNodes() {
		if !zone(n.Zone) {
			continue
		}
		for at := from; at < to; at += headroomStep {
			width := math.Min(headroomStep, to-at)
			work += n.Group.Speed * float64(n.Group.Slots) * width *
				capacityFraction(losses[n.Name], at+width/2, input.Experiment.Servers)
		}
	}
	return work
}

// headroomUse returns the weight answered in time in the headroomSpan from a fault's start, divided by the
// maximum that the remaining capacity allows: requests in the order of weight per work, until the capacity is
// used. Requests that reached no proxy are left out of both. A zone that is cut off has only its own capacity
// for its own clients.
func (input *Input) headroomUse(requests []clientRequest, event Event) float64 {
	to := math.Min(event.Start+headroomSpan, input.Experiment.Seconds)
	zones := input.Experiment.ZoneNames()
	sides := []func(string) bool{func(string) bool { return true }}
	if planned := input.Plan.Faults[event.Number-1]; planned.Fault.Kind == "zone_cut" {
		to = math.Min(to, event.End)
		sides = []func(string) bool{func(zone string) bool { return zone == planned.Fault.Zone },
			func(zone string) bool { return zone != planned.Fault.Zone }}
	}
	answered, allowed := 0.0, 0.0
	for _, side := range sides {
		var arrivals []*plan.Arrival
		for _, request := range requests {
			if at := request.At.Seconds(); at < event.Start || at >= to || request.outcome == referee.Unreached || !side(zones[request.Zone]) {
				continue
			}
			arrivals = append(arrivals, request.Arrival)
			if request.inTime {
				answered += input.Experiment.Classes[request.Class].Weight
			}
		}
		allowed += maximumWeight(input.Experiment.Classes, arrivals,
			input.availableWork(event.Start, to, side))
	}
	return ratio(answered, allowed)
}

// maximumWeight returns the most weight that can be answered with the given work, in seconds. It sorts
// arrivals.
func maximumWeight(classes []experiment.Class, arrivals []*plan.Arrival, work float64) (weight float64) {
	density := func(a *plan.Arrival) float64 { return classes[a.Class].Weight / math.Max(a.Work.Seconds(), 1e-6) }
	slices.SortFunc(arrivals, func(a, b *plan.Arrival) int { return cmp.Compare(density(b), density(a)) })
	for _, a := range arrivals {
		part := math.Min(1, work/math.Max(a.Work.Seconds(), 1e-6))
		if part <= 0 {
			break
		}
		weight += part * classes[a.Class].Weight
		work -= a.Work.Seconds()
	}
	return weight
}
