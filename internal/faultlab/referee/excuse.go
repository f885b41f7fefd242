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
	from, to := clientAttempt.StartedAt, clientAttempt.dueAt().Add(maxLateness)
	if !clientAttempt.EndedAt.IsZero() && clientAttempt.EndedAt.After(to) {
		to = clientAttempt.EndedAt
	}
	return overlap(proxy.excuses, from, to)
}

// overlap reports whether any of the spans overlaps the time between from and to.
func overlap(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.start.Before(to) && s.end.After(from) })
}

// beginSpan adds a span that begins at a time to a list of a proxy's. The returned function ends it.
func (r *Referee) beginSpan(name string, list func(*proxy) *[]span, at time.Time) (end func(time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	spans := list(r.proxy(name))
	i := len(*spans)
	*spans = append(*spans, span{at, at.Add(24 * time.Hour)})
	return func(to time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		(*spans)[i].end = to
	}
}

// BeginExcusedSpan starts a span in which the lab keeps a proxy from serving: the proxy is killed or stopped,
// or the links from its clients are cut. The returned function ends the span.
func (r *Referee) BeginExcusedSpan(proxyName string, at time.Time) (end func(time.Time)) {
	return r.beginSpan(proxyName, func(p *proxy) *[]span { return &p.excuses }, at)
}

// BeginConnectionFlood starts a span in which idle clients use up a proxy's connections, so that it may close
// new ones unread. The returned function ends the span.
func (r *Referee) BeginConnectionFlood(proxyName string, at time.Time) (end func(time.Time)) {
	endSpan := r.beginSpan(proxyName, func(p *proxy) *[]span { return &p.floods }, at)
	return func(to time.Time) { endSpan(to.Add(floodRecovery)) }
}

// BeginCostlySpan starts a span in which clients of the lab keep a proxy busy without waiting for anybody: answers to
// others may not be late. The returned function ends the span.
func (r *Referee) BeginCostlySpan(proxyName string, at time.Time) (end func(time.Time)) {
	return r.beginSpan(proxyName, func(p *proxy) *[]span { return &p.costly }, at)
}

// Late is the rule that an answer is not late because other clients keep the proxy busy.
const Late = "late"

// checkLate checks an answer after its deadline: it breaks a rule if costly clients kept the proxy busy meanwhile.
func (r *Referee) checkLate(clientAttempt *ClientAttempt, at time.Time, late time.Duration) {
	busy := overlap(r.proxy(clientAttempt.Proxy).costly, clientAttempt.StartedAt, at)
	if busy && !r.isExcused(clientAttempt) {
		r.violate(Violation{Rule: Late, At: at, Proxy: clientAttempt.Proxy, Attempt: clientAttempt.ID,
			Text: fmt.Sprintf("answered %v after its deadline, beside costly clients", late.Round(time.Millisecond))})
	}
}

// isFlooded reports whether idle clients used up the proxy's connections at some time during the attempt.
func (r *Referee) isFlooded(clientAttempt *ClientAttempt) bool {
	return overlap(r.proxy(clientAttempt.Proxy).floods, clientAttempt.StartedAt, clientAttempt.EndedAt)
}
