package balancer

import "math"

// callStats is a fading count of calls and of the bad ones among them. It fades with time and with each
// further call, so that the bad fraction is that of the latest calls even where calls have become few.
type callStats struct {
	calls, bad float64 // as of lastAt
	lastAt     moment  // when the latest call ended; 0: none yet
	fault      Fault   // of the latest bad call
	lastBadAt  moment  // when that ended
}

// record takes the end of a call; NoFault for one that was answered. Earlier calls fade with the time
// constant decay and count as no more than maxCalls-1.
func (c *callStats) record(now moment, decay span, maxCalls float64, fault Fault) {
	keep := math.Exp(-float64(now.since(c.lastAt)) / float64(decay))
	keep *= min(1, (maxCalls-1)/max(keep*c.calls, 1))
	c.calls, c.bad, c.lastAt = c.calls*keep+1, c.bad*keep, now
	if fault != NoFault {
		c.bad, c.fault, c.lastBadAt = c.bad+1, fault, now
	}
}

// retractBad takes back one bad call: it was answered after all.
func (c *callStats) retractBad() { c.bad = max(0, c.bad-1) }

// seenWithin reports whether the latest call ended no longer ago than a span.
func (c *callStats) seenWithin(now moment, length span) bool {
	return c.lastAt != 0 && now.since(c.lastAt) <= length
}

// badFraction is the bad part of the calls, 0 to 1; 0 without calls.
func (c *callStats) badFraction() float64 { return c.bad / max(c.calls, 1e-9) }
