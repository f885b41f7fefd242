// Package words puts what the module saw in the fleet's words, and what others said in the module's. They are the same,
// but for zones, which bear numbers there and names here, and for times in microseconds there and milliseconds here.
package words

import (
	"fernlanding/internal/fleet/view"
	"fernlanding/logic"
)

// kinds are the fleet's kinds, in the order of the module's.
var kinds = [...]view.Kind{logic.ServerBad: view.ServerBad, logic.ServerHealthy: view.ServerWell, logic.ZoneBad: view.ZoneBad,
	logic.ZoneHealthy: view.ZoneWell, logic.ServerFlap: view.ServerFlap, logic.ServerLoad: view.ServerLoad}

func ofZone(k logic.NoticeKind) bool { return k == logic.ZoneBad || k == logic.ZoneHealthy }

// names are the zones' names by number.
func names(zones map[string]int) []string {
	out := make([]string, len(zones))
	for name, n := range zones {
		out[n] = name
	}
	return out
}

// Items are what the module saw. Zones are numbered from 0 without a gap.
func Items(seen []logic.Notice, zones map[string]int) []view.Item {
	names := names(zones)
	out := make([]view.Item, 0, len(seen))
	for _, n := range seen {
		i := view.Item{Kind: kinds[n.Kind], Subject: n.Server, Start: max(0, n.Launched/1000),
			Body: view.Body{Cause: uint8(n.Cause), Calls: n.Calls, Bad: n.Bad, Value: n.Value}}
		if ofZone(n.Kind) {
			if n.Of >= len(names) {
				continue
			}
			i.Subject, i.Start = names[n.Of], 0
		}
		out = append(out, i)
	}
	return out
}

// Notices are what others say and has not ended, in the module's words. What tells of a zone that this proxy does not
// know, or comes from one, is left out and counted: its list names zones, others do not.
func Notices(now int64, entries []view.Entry, zones map[string]int) (out []logic.Notice, lost int64) {
	kind := map[view.Kind]logic.NoticeKind{}
	for k, v := range kinds {
		kind[v] = logic.NoticeKind(k)
	}
	out = make([]logic.Notice, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		k, known := kind[e.Kind]
		if !known || e.Gone || e.End() <= now {
			continue
		}
		from, ok := zones[e.Zone]
		n := logic.Notice{Kind: k, Cause: logic.Cause(e.Body.Cause), Observer: e.Observer, Zone: from, Calls: e.Body.Calls,
			Bad: e.Body.Bad, Value: e.Body.Value, At: e.Made}
		if n.Cause > logic.Crowded { // of a newer version
			n.Cause = logic.Failing
		}
		if ofZone(k) {
			var of bool
			n.Of, of = zones[e.Subject]
			ok = ok && of
		} else {
			n.Server, n.Launched = e.Subject, e.Start*1000
		}
		if !ok {
			lost++
			continue
		}
		out = append(out, n)
	}
	return out, lost
}
