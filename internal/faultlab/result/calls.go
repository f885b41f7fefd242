package result

import (
	"cmp"
	"slices"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/plan"
)

// affectedCalls selects the calls that a fault affects: those that proxies should avoid while it lasts.
type affectedCalls struct {
	affects func(call) bool // to the fault's target, by proxies that are not lost themselves
	targets func(call) bool // all calls to the fault's target, also from a zone that is lost with it
}

// call is an attempt or an unanswered send of a proxy towards a server.
type call struct {
	time             float64 // seconds since the load started
	proxy, server    string
	fromZone, toZone string
	served, arrived  bool // arrived: at the server
}

// calls returns all calls in the order of their times. A send that a cut link delayed and that reached the
// server later counts once, as the attempt that arrived.
func (input *Input) calls() []call {
	zoneOf := map[string]string{}
	for _, n := range input.Experiment.ProxyNodes() {
		zoneOf[n.Name] = n.Zone
	}
	type key struct {
		server string
		at     time.Time
	}
	arrived := map[key]bool{}
	var out []call
	for _, attempt := range input.Record.Attempts {
		arrived[key{attempt.Server, attempt.FirstByteAt}] = true
		clientAttempt := attempt.ClientAttempt()
		out = append(out, call{attempt.FirstByteAt.Sub(input.Start).Seconds(), clientAttempt.Proxy,
			attempt.Server, zoneOf[clientAttempt.Proxy], attempt.Zone, attempt.Served(), true})
	}
	for _, send := range input.Record.UnansweredSends {
		if !arrived[key{send.Server, send.SentAt}] {
			out = append(out, call{send.SentAt.Sub(input.Start).Seconds(), send.Proxy, send.Server,
				send.FromZone, send.Zone, false, false})
		}
	}
	slices.SortStableFunc(out, func(a, b call) int { return cmp.Compare(a.time, b.time) })
	return out
}

// affectedBy selects the calls that a fault affects; false if calls could not avoid it.
func affectedBy(planned plan.PlannedFault) (affectedCalls, bool) {
	f := planned.Fault
	kind := experiment.FaultKinds[f.Kind]
	matches := func(names []string, n string) bool { return len(names) == 0 || slices.Contains(names, n) }
	switch {
	case f.Kind == "zone_loss":
		return affectedCalls{func(c call) bool { return c.toZone == f.Zone && c.fromZone != f.Zone },
			func(c call) bool { return c.toZone == f.Zone }}, true
	case f.Kind == "zone_cut":
		affects := func(c call) bool { return (c.toZone == f.Zone) != (c.fromZone == f.Zone) }
		return affectedCalls{affects, affects}, true
	case f.Kind == "nodo_drain" || f.Kind == "nodo_replace" || f.Kind == "gossip_lie": // announced by the list, or harmless to calls
		return affectedCalls{}, false
	case kind.Servers:
		targets := map[string]bool{}
		for _, target := range planned.Targets {
			targets[target.Name] = true
		}
		affects := func(c call) bool { return targets[c.server] }
		return affectedCalls{affects, affects}, true
	case kind.Links && (f.Link == "" || f.Link == "nodo") && (f.ToZone != "" || f.Zone != "" || len(f.Servers) > 0):
		affects := func(c call) bool {
			return (f.FromZone == "" || c.fromZone == f.FromZone) && (f.ToZone == "" || c.toZone == f.ToZone) &&
				(f.Zone == "" || c.fromZone == f.Zone || c.toZone == f.Zone) && matches(f.Proxies, c.proxy) &&
				matches(f.Servers, c.server)
		}
		return affectedCalls{affects, affects}, true
	}
	return affectedCalls{}, false
}

// callsBetween returns the calls of a sorted list that were made in [from, to), in seconds since the load
// started.
func callsBetween(calls []call, from, to float64) []call {
	i, _ := slices.BinarySearchFunc(calls, from,
		func(c call, at float64) int { return cmp.Compare(c.time, at) })
	j, _ := slices.BinarySearchFunc(calls, to,
		func(c call, at float64) int { return cmp.Compare(c.time, at) })
	return calls[i:max(i, j)]
}
