package balancer

import "math"

// callStats counts calls, and the bad ones among them. The counts decay with time and with each further call,
// so that the bad fraction is that of the latest calls even where there are few of them.
type callStats struct {
	calls, bad float64 // as of lastAt
	lastAt     moment  // when the latest call ended; 0: no call yet
	fault      Fault   // of the latest bad call
	lastBadAt  moment  // when the latest bad call ended
}

// record records the end of a call; fault is NoFault if it was answered. Earlier calls decay with the time
// constant decay, and together count as at most maxCalls-1.
func (c *callStats) record(now moment, decay span, maxCalls float64, fault Fault) {
	keep := math.Exp(-float64(now.since(c.lastAt)) / float64(decay))
	keep *= min(1, (maxCalls-1)/max(keep*c.calls, 1))
	c.calls, c.bad, c.lastAt = c.calls*keep+1, c.bad*keep, now
	if fault != NoFault {
		c.bad, c.fault, c.lastBadAt = c.bad+1, fault, now
	}
}

// retractBad removes one bad call from the counts because it was answered after all.
func (c *callStats) retractBad() { c.bad = max(0, c.bad-1) }

// seenWithin reports whether the latest call ended at most length ago.
func (c *callStats) seenWithin(now moment, length span) bool {
	return c.lastAt != 0 && now.since(c.lastAt) <= length
}

// badFraction returns the fraction of bad calls, from 0 to 1; it is 0 without calls.
func (c *callStats) badFraction() float64 { return c.bad / max(c.calls, 1e-9) }
