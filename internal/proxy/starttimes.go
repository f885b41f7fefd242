package proxy

import (
	"time"

	"merlinpick/internal/discovery"
)

// startTimes are the servers' last starts by name, on the loop's clock. The list gives them as Unix times. Each is compared
// with the wall clock once, when it is first listed: a later step of that clock does not change how old a server is.
type startTimes map[string]startTime

type startTime struct {
	unixMs int64 // as listed
	moment int64 // of the loop's clock
}

// startOf is when an entry's server started, on the loop's clock in microseconds; 0 is long ago. now and wall are the same
// moment by both clocks.
func (s startTimes) startOf(e discovery.Endpoint, now int64, wall time.Time) int64 {
	if e.StartedAtMs == 0 {
		delete(s, e.Name)
		return 0
	}
	known, ok := s[e.Name]
	if !ok || known.unixMs != e.StartedAtMs {
		age := max(0, wall.UnixMicro()-e.StartedAtMs*1000)
		known = startTime{e.StartedAtMs, now - age}
		s[e.Name] = known
	}
	return known.moment
}

// retainListed forgets the servers that a whole list does not name.
func (s startTimes) retainListed(entries []discovery.Endpoint) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Name] = true
	}
	for name := range s {
		if !listed[name] {
			delete(s, name)
		}
	}
}
