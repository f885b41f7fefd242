package result

import (
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/referee"
)

// Input holds the observations of a play.
type Input struct {
	Experiment *experiment.Experiment
	Plan       *plan.Plan
	Start      time.Time // of the load
	Record     referee.Record
	Events     []Event
	Lateness   []time.Duration // how late the lab sent its arrivals
	Stall      time.Duration   // longest pause of the lab
	Memory     int64           // bytes, maximum of the proxies' peaks
	CPU        time.Duration   // of all proxies
	List       *List           // nil without a list service with members
	Gossip     *Gossip         // nil without a cluster

	Control *Control // nil without hollow proxies
}

// Gossip is the traffic between the proxies.
type Gossip struct {
	Packets int   // datagrams forwarded
	Bytes   int64 // of datagrams and connections
}

// List holds the observations of a list service.
type List struct {
	CheckedCalls       int             // in the history whose linearizability was checked
	NotificationDelays []time.Duration // from a change's confirmation until a proxy was notified, sorted
	MissingServers     int             // live servers missing in the list, maximum
	RefusedStarts      int             // starts that members refused because their directory was damaged
}

// clientRequest is an arrival with the result of all its attempts.
type clientRequest struct {
	*plan.Arrival
	attempts []*referee.ClientAttempt
	outcome  referee.Outcome // Served, Rejected, Failed or Unreached
	latency  time.Duration   // from the planned time, if served
	inTime   bool
}

// clientRequests groups the clients' attempts by arrival; arrivals that were not sent are left out.
func (input *Input) clientRequests() []clientRequest {
	byArrival := make([][]*referee.ClientAttempt, len(input.Plan.Arrivals))
	for _, attempt := range input.Record.ClientAttempts {
		byArrival[attempt.Arrival] = append(byArrival[attempt.Arrival], attempt)
	}
	var out []clientRequest
	for i := range input.Plan.Arrivals {
		arrival := &input.Plan.Arrivals[i]
		request := clientRequest{Arrival: arrival, attempts: byArrival[i]}
		if len(request.attempts) == 0 {
			continue
		}
		planned := input.Start.Add(arrival.At)
		objective := experiment.Millis(input.Experiment.Classes[arrival.Class].ObjectiveMs)
		request.outcome = referee.Unreached
		for _, attempt := range request.attempts {
			switch {
			case attempt.Outcome == referee.Served:
				if took := attempt.EndedAt.Sub(planned); request.outcome != referee.Served ||
					took < request.latency {
					request.outcome, request.latency = referee.Served, took
				}
			case request.outcome == referee.Served:
			case attempt.Outcome == referee.Rejected, attempt.Outcome == referee.Unreached:
				request.outcome = attempt.Outcome
			default:
				request.outcome = referee.Failed
			}
		}
		request.inTime = request.outcome == referee.Served && request.latency <= objective
		out = append(out, request)
	}
	return out
}
