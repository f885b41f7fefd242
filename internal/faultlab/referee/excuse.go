package referee

import (
	"fmt"
	"slices"
	"time"
)

// isExcused reports whether a fault of the lab kept the proxy from answering an attempt.
func (r *Referee) isExcused(clientAttempt *ClientAttempt) bool {
	proxy := r.proxies[clientAttempt.Proxy]
	if proxy == nil {
		return false
	}
	from, to := clientAttempt.StartedAt, clientAttempt.Deadline.Add(maxLateness)
	if !clientAttempt.EndedAt.IsZero() && clientAttempt.EndedAt.After(to) {
		to = clientAttempt.EndedAt
	}
	for _, s := range proxy.excuses {
		if s.start.Before(to) && s.end.After(from) {
			return true
		}
	}
	return false
}

// BeginExcusedSpan starts a span in which the lab keeps a proxy from serving: the proxy is killed or stopped,
// or the links from its clients are cut. The returned function ends the span.
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

// BeginConnectionFlood starts a span in which idle clients use up a proxy's connections, so that it may close
// new ones unread. The returned function ends the span.
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

// BeginCostlySpan starts a span in which clients of the lab keep a proxy busy without waiting for anybody: answers to
// others may not be late. The returned function ends the span.
func (r *Referee) BeginCostlySpan(proxy string, at time.Time) (end func(time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxy(proxy)
	i := len(p.costly)
	p.costly = append(p.costly, span{at, at.Add(24 * time.Hour)})
	return func(to time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		p.costly[i].end = to
	}
}

// Late is the rule that an answer is not late because other clients keep the proxy busy.
const Late = "late"

// checkLate checks an answer after its deadline: it breaks a rule if costly clients kept the proxy busy meanwhile.
func (r *Referee) checkLate(clientAttempt *ClientAttempt, at time.Time, late time.Duration) {
	busy := slices.ContainsFunc(r.proxy(clientAttempt.Proxy).costly, func(s span) bool {
		return s.start.Before(at) && s.end.After(clientAttempt.StartedAt)
	})
	if busy && !r.isExcused(clientAttempt) {
		r.violate(Violation{Rule: Late, At: at, Proxy: clientAttempt.Proxy, Attempt: clientAttempt.ID,
			Text: fmt.Sprintf("answered %v after its deadline, beside costly clients", late.Round(time.Millisecond))})
	}
}

// isFlooded reports whether idle clients used up the proxy's connections at some time during the attempt.
func (r *Referee) isFlooded(clientAttempt *ClientAttempt) bool {
	return slices.ContainsFunc(r.proxy(clientAttempt.Proxy).floods, func(s span) bool {
		return s.start.Before(clientAttempt.EndedAt) && s.end.After(clientAttempt.StartedAt)
	})
}
