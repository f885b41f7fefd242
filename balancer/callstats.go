package balancer

import "math"

// evidence counts calls and how many of them were bad. Both fade, with time and with each further call, so
// that the part is that of the latest: it must also tell of a zone that calls have begun to avoid.
type callStats struct {
	calls, bad float64 // as of last
	lastAt     int64
	fault      Fault // of the latest that was bad
	lastBadAt  int64 // when that was
}

// add takes the end of a call: NoCause for one that was answered.
func (e *callStats) record(now, span int64, most float64, cause Fault) {
	keep := math.Exp(-float64(now-e.lastAt) / float64(span))
	keep *= min(1, (most-1)/max(keep*e.calls, 1))
	e.calls, e.bad, e.lastAt = e.calls*keep+1, e.bad*keep, now
	if cause != NoFault {
		e.bad, e.fault, e.lastBadAt = e.bad+1, cause, now
	}
}

// amend takes back that a call was bad: it was answered after all.
func (e *callStats) retractBad() { e.bad = max(0, e.bad-1) }

// since tells whether the latest call was no longer ago than span.
func (e *callStats) seenWithin(now, span int64) bool { return e.lastAt != 0 && now-e.lastAt <= span }

func (e *callStats) badFraction() float64 { return e.bad / max(e.calls, 1e-9) }
