package logic

import (
	"cmp"
	"slices"
)

// What this copy calls bad when it tells others, and what the verdicts of others do to a server's weight.

const (
	freshSpan   = 2 * second / 5 // evidence on a zone that stands well, and on a server, fades over this
	trialSpan   = 2 * second     // the same of a zone that gets trials only
	zoneFresh   = second         // evidence on a zone is told for so long after the latest call
	trialFresh  = 4 * second     // the same of a zone that gets trials only
	serverFresh = 5 * second     // the same of a server
	quietMeans  = 3.0            // a call that is out for so many mean times counts as bad until it ends
	quietLeast  = second / 10    // but for so long at least
	serverCalls = 5.0            // evidence on a server is that of about its last so many calls
	badServer   = 0.5            // part of bad calls from which a server is called bad

	verdictOthers = 2         // copies that must call a server bad before that touches its weight
	verdictCalls  = 3.0       // and the bad calls that they must have seen together
	verdictMost   = 10.0      // calls of one copy count as no more than this
	verdictPart   = 1.0 / 3.0 // of a tier's or a zone's ready servers: verdicts take out no more
	linkServers   = 3         // a copy that sees so many servers bad over two zones or more, and none well in
	linkPart      = 0.6       // most of what it tried, has a bad link of its own and tells nothing
)

// causeOf is how an attempt that ended so counts as evidence on its server.
func causeOf(s Status) Cause {
	return [...]Cause{OK: NoCause, Error: Failing, FullUp: Crowded, TimedOut: Silent, ConnectFailed: Silent,
		Reset: Silent, Cancelled: Silent, Moot: Silent}[s]
}

// quiet tells whether a call is out for far longer than calls take: it then counts as bad until it ends. Of
// one that must not run twice the time-out comes seconds later.
func (b *Balancer) quiet(now int64, class int, a *attempt) bool {
	return now-a.sent > max(quietLeast, int64(quietMeans*b.classes[class].mean))
}

// callsBad tells whether this copy calls a server bad.
func (s *server) callsBad() bool {
	return s.seen.part() >= badServer || s.whole.left < wellPart && s.seen.badAt > s.okAt
}

// callsZoneBad tells whether this copy calls a zone bad: most calls are, and at least half of its servers.
func callsZoneBad(e evidence, t tried) bool {
	return e.part() >= zoneBad && t.lateBad > 0 && 2*t.lateBad >= t.late
}

// serversSince is for how long a server that was tried counts for that.
func serversSince(z *zone) int64 {
	if z != nil && z.Standing == Away {
		return trialFresh
	}
	return zoneFresh / 2
}

// ownLink tells whether what this copy sees is more likely a bad link of its own: then it condemns nobody.
func ownLink(t *tried, anyWell bool) bool {
	return t.bad >= linkServers && t.badZones > 1 && float64(t.bad) > linkPart*float64(t.all) && !anyWell
}

// condemn leaves trials at most to servers that enough copies call bad, the worst first, as far as the budget
// goes. What this copy was answered since tells more. Silence is told of a way, not of a server: only that of
// copies in this zone counts.
func (b *Balancer) condemn(now int64) {
	b.sumServers(now, func(n Notice) bool { return n.Cause != Silent || n.Zone == b.s.Zone }, verdictMost)
	var bad []*server
	in := map[int]int{}
	for _, s := range b.ready {
		v := &s.verdict
		s.told = 1
		in[s.Zone]++
		if v.others > 0 && v.bad >= min(verdictOthers, b.peers.Living-1) && v.bad > v.well &&
			v.calls >= verdictCalls && s.okAt <= v.at {
			bad = append(bad, s)
		}
	}
	slices.SortFunc(bad, func(x, y *server) int {
		return cmp.Or(cmp.Compare(y.verdict.calls, x.verdict.calls), cmp.Compare(x.ID, y.ID))
	})
	left, out := b.damp(now)
	for _, s := range bad {
		if !s.damped && left > 0 && out[s.Zone] < budget(in[s.Zone]) {
			left, out[s.Zone], s.told = left-1, out[s.Zone]+1, healthFloor
		}
	}
}

// budget is how many of so many servers verdicts may take out: never the only one.
func budget(ready int) int { return min(ready-1, max(1, int(verdictPart*float64(ready)))) }
