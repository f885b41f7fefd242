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
	affects func(call) bool // sent by proxies that are not lost themselves
	targets func(call) bool // all calls to the fault's target, also from a zone that is lost with it
}

// call is an attempt or an unanswered send of a proxy towards a server.
type call struct {
	time             float64 // seconds since the load started
	proxy, server    string
	fromZone, toZone string // zones
	served, arrived  bool
}

// calls are all calls in order. Bytes that a cut delayed and that reached the server after it count once.
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
	for _, a := range input.Record.Attempts {
		arrived[key{a.Server, a.FirstByteAt}] = true
		t := a.ClientAttempt()
		out = append(out, call{a.FirstByteAt.Sub(input.Start).Seconds(), t.Proxy, a.Server, zoneOf[t.Proxy], a.Zone, a.Served(), true})
	}
	for _, k := range input.Record.UnansweredSends {
		if !arrived[key{k.Server, k.SentAt}] {
			out = append(out, call{k.SentAt.Sub(input.Start).Seconds(), k.Proxy, k.Server, k.FromZone, k.Zone, false, false})
		}
	}
	slices.SortStableFunc(out, func(a, b call) int { return cmp.Compare(a.time, b.time) })
	return out
}

// affectedBy selects the calls that a fault affects; false if calls could not avoid it.
func affectedBy(s plan.PlannedFault) (affectedCalls, bool) {
	f := s.Fault
	kind := experiment.FaultKinds[f.Kind]
	one := func(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }
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
		struck := map[string]bool{}
		for _, turn := range s.Targets {
			struck[turn.Name] = true
		}
		affects := func(c call) bool { return struck[c.server] }
		return affectedCalls{affects, affects}, true
	case kind.Links && (f.Link == "" || f.Link == "nodo") && (f.ToZone != "" || f.Zone != "" || len(f.Servers) > 0):
		affects := func(c call) bool {
			return (f.FromZone == "" || c.fromZone == f.FromZone) && (f.ToZone == "" || c.toZone == f.ToZone) &&
				(f.Zone == "" || c.fromZone == f.Zone || c.toZone == f.Zone) && one(f.Proxies, c.proxy) && one(f.Servers, c.server)
		}
		return affectedCalls{affects, affects}, true
	}
	return affectedCalls{}, false
}

// callsBetween are the calls in a span of seconds.
func callsBetween(cs []call, from, to float64) []call {
	i, _ := slices.BinarySearchFunc(cs, from, func(c call, at float64) int { return cmp.Compare(c.time, at) })
	j, _ := slices.BinarySearchFunc(cs, to, func(c call, at float64) int { return cmp.Compare(c.time, at) })
	return cs[i:max(i, j)]
}
