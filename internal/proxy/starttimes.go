package proxy

import (
	"time"

	"merlinpick/internal/discovery"
)

// startTimes holds when each server last started, by server name. The endpoint list gives Unix times. Each is
// converted to the loop's clock once, when it is first listed, so that a later step of the wall clock does
// not change the age of a server.
type startTimes map[string]startTime

// startTime is when one server last started.
type startTime struct {
	unixMs    int64 // as listed, in Unix milliseconds
	startedAt int64 // on the loop's clock, in microseconds
}

// startOf returns when an endpoint's server started, on the loop's clock in microseconds; 0 means long ago.
// now and wall are the current time on the loop's clock and on the wall clock.
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
	return known.startedAt
}

// retainListed removes the servers that a complete list does not name.
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
