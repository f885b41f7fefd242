package proxy

import "time"

// drain serves on after SIGTERM until what was taken is answered, or must be cut off.
func (p *Proxy) drain() {
	acceptFor, endWithin := p.drainTimes(p.frontend.CurrentClasses())
	cutoff := time.Now().Add(endWithin)
	p.loop.post(func() { p.loop.shortenDeadlines(p.loop.clock.at(cutoff)) })
	p.frontend.Drain(acceptFor, cutoff, p.successorServing)
}
