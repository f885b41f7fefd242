package proxy

import "time"

// drain finishes the accepted requests after SIGTERM. Requests that are still open at the cutoff, which
// drainTimes sets, are ended.
func (p *Proxy) drain() {
	acceptFor, endWithin := p.drainTimes(p.frontend.CurrentClasses())
	cutoff := time.Now().Add(endWithin)
	p.loop.post(func() { p.loop.shortenDeadlines(p.loop.clock.at(cutoff)) })
	p.frontend.Drain(acceptFor, cutoff, p.successorServing)
}
