// Package words puts what the module saw in the fleet's words, and what others said in the module's. They are the same,
// but for zones, which bear numbers there and names here, and for times in microseconds there and milliseconds here.
package adapter

import (
	"merlinpick/balancer"
	"merlinpick/internal/cluster/state"
)

// kinds are the fleet's kinds, in the order of the module's.
var kinds = [...]state.Kind{balancer.ReportServerUnhealthy: state.ServerUnhealthy, balancer.ReportServerHealthy: state.ServerHealthy, balancer.ReportZoneUnhealthy: state.ZoneUnhealthy,
	balancer.ReportZoneHealthy: state.ZoneHealthy, balancer.ReportServerFlap: state.ServerFlap, balancer.ReportServerLoad: state.ServerLoad}

func ofZone(k balancer.ReportKind) bool {
	return k == balancer.ReportZoneUnhealthy || k == balancer.ReportZoneHealthy
}

// names are the zones' names by number.
func names(zones map[string]int) []string {
	out := make([]string, len(zones))
	for name, n := range zones {
		out[n] = name
	}
	return out
}

// Items are what the module saw. Zones are numbered from 0 without a gap.
func ToObservations(seen []balancer.Report, zones map[string]int) []state.Observation {
	names := names(zones)
	out := make([]state.Observation, 0, len(seen))
	for _, n := range seen {
		i := state.Observation{Kind: kinds[n.Kind], Subject: n.Server, SubjectStartMs: max(0, n.StartTime/1000),
			Body: state.Body{Fault: uint8(n.Fault), Calls: n.Calls, BadFraction: n.BadFraction, Value: n.Value}}
		if ofZone(n.Kind) {
			if n.SubjectZone >= len(names) {
				continue
			}
			i.Subject, i.SubjectStartMs = names[n.SubjectZone], 0
		}
		out = append(out, i)
	}
	return out
}

// Notices are what others say and has not ended, in the module's words. What tells of a zone that this proxy does not
// know, or comes from one, is left out and counted: its list names zones, others do not.
func ToReports(now int64, entries []state.Entry, zones map[string]int) (out []balancer.Report, lost int64) {
	kind := map[state.Kind]balancer.ReportKind{}
	for k, v := range kinds {
		kind[v] = balancer.ReportKind(k)
	}
	out = make([]balancer.Report, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		k, known := kind[e.Kind]
		if !known || e.Withdrawn || e.ExpiresAt() <= now {
			continue
		}
		from, ok := zones[e.ObserverZone]
		n := balancer.Report{Kind: k, Fault: balancer.Fault(e.Body.Fault), Observer: e.Observer, ObserverZone: from, Calls: e.Body.Calls,
			BadFraction: e.Body.BadFraction, Value: e.Body.Value, LastObserved: e.ObservedAt}
		if n.Fault > balancer.FaultSaturated { // of a newer version
			n.Fault = balancer.FaultErrors
		}
		if ofZone(k) {
			var of bool
			n.SubjectZone, of = zones[e.Subject]
			ok = ok && of
		} else {
			n.Server, n.StartTime = e.Subject, e.SubjectStartMs*1000
		}
		if !ok {
			lost++
			continue
		}
		out = append(out, n)
	}
	return out, lost
}
