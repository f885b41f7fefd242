package balancer

// What becomes of a request: sent, refused, sent again, answered. Rules 1, 2, 5 and 6 are kept here.

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

const (
	retryAfterFraction = 0.5 // of the aim: the longest hint

	attemptTimeoutMeans = 12.0 // an attempt is given up after this many mean times
	minRemainingMeans   = 0.5  // a request with less time left than this many mean times cannot make it

	queueTimeoutTimer, cooldownTimer = "held ", "turn " // and a request, and a key
)

// Timer takes a timer that was asked for.
func (b *Balancer) HandleTimer(now int64, h Host, token string) {
	if token == watchTimer && !b.asked {
		b.asked = true
		h.Watch()
	} else if id, ok := strings.CutPrefix(token, queueTimeoutTimer); ok {
		if q := b.reqs[id]; q != nil && !q.done && len(q.attempts) == 0 {
			b.refuse(now, h, q, RejectQueueTimeout)
		}
	} else if key, ok := strings.CutPrefix(token, cooldownTimer); ok && b.turns[key] != nil {
		b.next(now, h, b.turns[key])
	}
}

// Request takes a request and sends or refuses it at once, unless it must wait for its key's turn (rule 5).
func (b *Balancer) HandleRequest(now int64, h Host, r Request) {
	if b.reqs[r.ID] != nil {
		return
	}
	under := cmp.Or(r.Settings, b.s)
	if r.Class < 0 || r.Class >= len(under.Classes) {
		h.Fail(r.ID)
		return
	}
	b.watch(now)
	q := &request{Request: r, Settings: under, receivedAt: now}
	b.arrived(now, q)
	if r.Key == "" || !under.Classes[r.Class].Ordered {
		b.start(now, h, q)
		return
	}
	b.join(q)
	if b.next(now, h, q.queue); len(q.attempts) > 0 || q.done {
		return
	}
	last := float64(b.deadline(q)-now) - minRemainingMeans*b.classes[r.Class].mean
	if float64(len(q.queue.waiting)-1)*b.classes[r.Class].mean > last { // this also bounds the line
		b.refuse(now, h, q, RejectQueueTimeout)
		return
	}
	h.SetTimer(max(int64(last), 0), queueTimeoutTimer+q.ID)
}

// start checks the rules and sends a request's first attempt, or refuses it.
func (b *Balancer) start(now int64, h Host, q *request) {
	switch {
	case !b.canPass(now, q):
		b.refuse(now, h, q, RejectOverLimit)
	case !b.inTime(now, q):
		b.refuse(now, h, q, RejectNoTimeLeft)
	case !b.send(now, h, q):
		b.refuse(now, h, q, RejectNoServer)
	default:
		if t := b.origin(q); t != nil {
			t.admitted.add(now)
		}
	}
}

// next starts the request whose turn it is, unless its key rests: an attempt may then still be running.
func (b *Balancer) next(now int64, h Host, t *keyQueue) {
	for len(t.waiting) > 0 && len(t.waiting[0].attempts) == 0 && now >= t.restUntil {
		b.start(now, h, t.waiting[0])
	}
	b.tidy(now, t)
}

// refuse gives a hint spread so that clients don't return together, nor too late for an answer in their aim.
func (b *Balancer) refuse(now int64, h Host, q *request, why RejectReason) {
	b.refusals[why]++
	most := min(q.Settings.MaxRetryAfter, int64(retryAfterFraction*float64(q.Settings.Classes[q.Class].LatencyObjective)))
	h.Reject(q.ID, most/2+b.rnd.Int64N(most/2+1))
	b.finish(now, h, q)
}

// deadline is when an answer stops being worth anything.
func (b *Balancer) deadline(q *request) int64 {
	switch k := q.Settings.Classes[q.Class]; {
	case q.BodyPending:
		return math.MaxInt64 / 2
	case b.s.Tier == 0 && k.LateWeight == 0:
		return min(q.Deadline, q.receivedAt+k.LatencyObjective)
	}
	return q.Deadline
}

// inTime tells whether a request can still be answered while that is worth something.
func (b *Balancer) inTime(now int64, q *request) bool {
	return float64(b.deadline(q)-now) > minRemainingMeans*b.classes[q.Class].mean
}

// send draws a server and sends an attempt there; false if there is none to send to.
func (b *Balancer) send(now int64, h Host, q *request) bool {
	s := b.draw(now, q)
	if s == nil {
		return false
	}
	within := b.within(now, q, s)
	a := &attempt{server: s, sentAt: now, zone: s.Zone, cell: s.Cell, mayHaveExecuted: true, pending: true}
	q.attempts = append(q.attempts, a)
	q.pending++
	b.tier.admitted.add(now)
	if !q.BodyPending {
		b.count(q, a)
	}
	h.Send(q.ID, s.ID, within, b.timeout(now, q))
	return true
}

// timeout gives an attempt up when its answer would be worth nothing, and before that where another may
// follow, so that a hung server frees its slot.
func (b *Balancer) timeout(now int64, q *request) int64 {
	if q.BodyPending {
		return 0
	}
	left := b.deadline(q) - now
	if q.Settings.Classes[q.Class].Idempotency != NonIdempotent && len(q.attempts) < q.Settings.MaxAttempts {
		left = min(left, int64(attemptTimeoutMeans*b.classes[q.Class].mean))
	}
	return max(left, 1)
}

// within keeps rule 2 for a further attempt: once one may have run, an unsafe request goes nowhere (-1), a
// keyed one only to the group that drops its repeats, while that remembers it: for so long; 0 for no limit.
func (b *Balancer) within(now int64, q *request, s *server) (left int64) {
	k := q.Settings.Classes[q.Class]
	for _, a := range q.attempts {
		if !a.mayHaveExecuted || k.Idempotency == Idempotent {
			continue
		}
		if k.Idempotency == NonIdempotent || now-a.sentAt >= k.DedupWindow ||
			k.DedupScope == DedupScopeZone && a.zone != s.Zone || k.DedupScope == DedupScopeCell && a.cell != s.Cell {
			return -1
		}
		left = cmp.Or(left, a.sentAt+k.DedupWindow-now) // the first one's ends first
	}
	return left
}

// mayRefuse keeps rule 2 for a refusal, which tells the client that trying again is harmless.
func (b *Balancer) mayRefuse(q *request) bool {
	k := q.Settings.Classes[q.Class]
	return k.Idempotency == Idempotent || k.Idempotency == IdempotentWithKey && k.DedupScope == DedupScopeAll ||
		!slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.mayHaveExecuted })
}

// Started takes the news that a streamed answer has begun and learns from it: the rest is at a client's pace.
func (b *Balancer) HandleResponseStarted(now int64, id string) {
	q := b.reqs[id]
	if q == nil || q.done {
		return
	}
	q.done = true
	for _, a := range q.attempts {
		if a.pending {
			a.responseStarted = true
			b.leave(q, a)
			b.learn(now, q, a, Outcome{Status: StatusOK, Latency: now - a.sentAt})
		}
	}
}

// Uploaded takes the news that a request's body has come: its time begins. It returns its attempt's time-out.
func (b *Balancer) HandleBodyReceived(now int64, id string, giveUp int64) (timeout int64) {
	q := b.reqs[id]
	if q == nil || q.done {
		return 0
	}
	q.BodyPending, q.Deadline, q.receivedAt = false, giveUp, now
	for _, a := range q.attempts {
		if a.pending {
			a.sentAt = now
			b.count(q, a)
		}
	}
	return max(b.deadline(q)-now, 1)
}

// Withdrawn takes the news that nobody waits for a request any more.
func (b *Balancer) HandleClientGone(now int64, h Host, id string) {
	if q := b.reqs[id]; q != nil {
		b.finish(now, h, q)
	}
}

// Outcome takes the end of an attempt; a request that is owed an answer gets it or a further attempt at once.
func (b *Balancer) HandleOutcome(now int64, h Host, o Outcome) {
	q := b.reqs[o.RequestID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || !q.attempts[o.Attempt].pending {
		return
	}
	b.watch(now)
	a := q.attempts[o.Attempt]
	a.pending = false
	if q.pending--; a.responseStarted { // learned from already, but for an answer that breaks off
		if o.Status != StatusOK && o.Status != StatusCancelled {
			b.judge(a.server, q.Class, o.Status)
		}
		b.finish(now, h, q)
		return
	}
	a.mayHaveExecuted = o.Status != StatusConnectFailed && o.Status != StatusNotSent && (o.Status != StatusRejected || q.Settings.RejectedMayHaveExecuted)
	b.leave(q, a)
	b.learn(now, q, a, o)
	b.report(now, h)
	if q.queue != nil && slices.Contains([]Status{StatusTimedOut, StatusReset, StatusCancelled}, o.Status) { // it may still run
		q.queue.restUntil = now + q.Settings.OrderingCooldown
		h.SetTimer(q.Settings.OrderingCooldown, cooldownTimer+q.Key)
	}
	if o.RequestDone || q.done {
		b.finish(now, h, q)
	} else if q.pending > 0 || !o.NotReplayable && b.again(now, h, q) {
		return
	} else if b.mayRefuse(q) {
		b.refuse(now, h, q, RejectRetriesExhausted)
	} else {
		h.Fail(q.ID)
		b.finish(now, h, q)
	}
}

// unspent is from when on no window holds what was spent of the budget until now, here or elsewhere.
func (b *Balancer) unspent(now int64) int64 { return now + b.s.RetryBudgetWindow }

// again makes a further attempt, where time, rules, rule 2 and the budget (rule 6) allow one. The budget's
// window ends now: an attempt at its far edge counts, a request taken there does not.
func (b *Balancer) again(now int64, h Host, q *request) bool {
	u, rule, from, free := b.rnd.Float64(), &b.classes[q.Class].rule, now-b.s.RetryBudgetWindow, b.s.RetryBudgetMin
	if now < b.free {
		free = 0
	}
	if len(q.attempts) >= q.Settings.MaxAttempts || !b.inTime(now, q) || !b.tier.admits(u) || !rule.admits(u) ||
		b.further.countSince(from)+1 > free+b.s.RetryBudgetRatio*b.taken.countSince(from+1) || !b.send(now, h, q) {
		return false
	}
	b.further.add(now, b.s.RetryBudgetWindow)
	return true
}
