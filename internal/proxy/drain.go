package proxy

import "time"

// drain serves on after SIGTERM until what was taken is answered, or must be cut off.
func (p *Proxy) drain() {
	stay, left := p.drainTimes(p.frontend.CurrentClasses())
	cutoff := time.Now().Add(left)
	p.loop.post(func() { p.loop.shortenDeadlines(p.loop.clock.at(cutoff)) })
	p.frontend.Drain(stay, cutoff, p.successorServing)
}
