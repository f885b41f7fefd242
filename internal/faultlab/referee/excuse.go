package referee

import (
	"slices"
	"time"
)

// excused tells whether the lab itself kept a proxy from answering a try.
func (r *Referee) isExcused(clientAttempt *ClientAttempt) bool {
	p := r.proxies[clientAttempt.Proxy]
	if p == nil {
		return false
	}
	from, to := clientAttempt.StartedAt, clientAttempt.Deadline.Add(maxLateness)
	if !clientAttempt.EndedAt.IsZero() && clientAttempt.EndedAt.After(to) {
		to = clientAttempt.EndedAt
	}
	for _, s := range p.excuses {
		if s.start.Before(to) && s.end.After(from) {
			return true
		}
	}
	return false
}

// Excuse opens a time in which the lab keeps a proxy from its duty: killed, stopped, its clients' links cut. The
// function that it returns ends it.
func (r *Referee) BeginExcusedSpan(proxy string, at time.Time) (end func(time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxy(proxy)
	i := len(p.excuses)
	p.excuses = append(p.excuses, span{at, at.Add(24 * time.Hour)})
	return func(to time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		p.excuses[i].end = to
	}
}

// Crowded opens a time in which idle clients fill a proxy, which may shut new connections unread then. The function that it
// returns ends it.
func (r *Referee) BeginConnectionFlood(proxy string, at time.Time) (end func(time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxy(proxy)
	i := len(p.floods)
	p.floods = append(p.floods, span{at, at.Add(24 * time.Hour)})
	return func(to time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		p.floods[i].end = to.Add(floodRecovery)
	}
}

// crowded tells whether a try's proxy was full of idle clients at some time of it.
func (r *Referee) isFlooded(clientAttempt *ClientAttempt) bool {
	return slices.ContainsFunc(r.proxy(clientAttempt.Proxy).floods, func(s span) bool {
		return s.start.Before(clientAttempt.EndedAt) && s.end.After(clientAttempt.StartedAt)
	})
}
