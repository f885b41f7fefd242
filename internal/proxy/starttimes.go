package proxy

import (
	"time"

	"merlinpick/internal/discovery"
)

// starts are the servers' last starts on the clock of events, by name. The list gives them as Unix times, which are
// compared with the wall clock once, when a start is first told: how old it is then does not change with a later step of
// that clock.
type startTimes map[string]startTime

type startTime struct {
	sinceMs int64 // as the list tells it
	at      int64 // on the clock of events
}

// of gives the start of an entry, at a moment of the clock of events and the wall clock; 0 is long ago.
func (s startTimes) startOf(e discovery.Endpoint, now int64, wall time.Time) int64 {
	if e.StartedAtMs == 0 {
		delete(s, e.Name)
		return 0
	}
	known, ok := s[e.Name]
	if !ok || known.sinceMs != e.StartedAtMs {
		age := max(0, wall.UnixMicro()-e.StartedAtMs*1000)
		known = startTime{e.StartedAtMs, now - age}
		s[e.Name] = known
	}
	return known.at
}

// keep forgets the servers that a whole list does not name.
func (s startTimes) retainListed(entries []discovery.Endpoint) {
	named := make(map[string]bool, len(entries))
	for _, e := range entries {
		named[e.Name] = true
	}
	for name := range s {
		if !named[name] {
			delete(s, name)
		}
	}
}
