package referee

import (
	"slices"
	"time"
)

// excused tells whether the lab itself kept a proxy from answering a try.
func (r *Referee) excused(t *ClientAttempt) bool {
	p := r.proxies[t.Proxy]
	if p == nil {
		return false
	}
	from, to := t.Sent, t.Deadline.Add(maxLateness)
	if !t.Ended.IsZero() && t.Ended.After(to) {
		to = t.Ended
	}
	for _, s := range p.excuses {
		if s.from.Before(to) && s.to.After(from) {
			return true
		}
	}
	return false
}

// Excuse opens a time in which the lab keeps a proxy from its duty: killed, stopped, its clients' links cut. The
// function that it returns ends it.
func (r *Referee) Excuse(proxy string, at time.Time) (end func(time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxy(proxy)
	i := len(p.excuses)
	p.excuses = append(p.excuses, span{at, at.Add(24 * time.Hour)})
	return func(to time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		p.excuses[i].to = to
	}
}

// Crowded opens a time in which idle clients fill a proxy, which may shut new connections unread then. The function that it
// returns ends it.
func (r *Referee) Crowded(proxy string, at time.Time) (end func(time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxy(proxy)
	i := len(p.crowds)
	p.crowds = append(p.crowds, span{at, at.Add(24 * time.Hour)})
	return func(to time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		p.crowds[i].to = to.Add(crowdAfter)
	}
}

// crowded tells whether a try's proxy was full of idle clients at some time of it.
func (r *Referee) crowded(t *ClientAttempt) bool {
	return slices.ContainsFunc(r.proxy(t.Proxy).crowds, func(s span) bool { return s.from.Before(t.Ended) && s.to.After(t.Sent) })
}
