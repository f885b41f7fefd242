// The decisions of the balancer; its interface is in api.go. Before each send the rules are checked in order,
// as Sentinel's FlowSlot does: the tier's (thread grade, cluster node), the tenant's (QPS grade, origin
// node), the class's (thread grade, default node). A call over a count fails fast, unsent. Counts start high,
// rise after timely rounds, are cut after bad ones. What passes goes to a server by a weighted random draw.
package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"

	"merlinpick/internal/tailweights"
)

// New returns a Balancer for the settings; all its random draws come from the seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{s: &s, rnd: rand.New(rand.NewPCG(seed, seed)), byID: map[string]*server{},
		reqs: map[string]*request{}, turns: map[string]*keyQueue{}, backoff: minWatchBackoff,
		tenants: make([]tenantQuota, len(s.Tenants)), classes: make([]classState, len(s.Classes))}
	b.share, b.shareMost, b.shareBad, b.spill = maxQuotaMultiple, maxQuotaMultiple, overloadQuotaMultiple, startSpillover
	if s.Tier > 0 {
		b.share, b.shareMost, b.shareBad, b.spill = innerTierQuotaMultiple, innerTierQuotaMultiple, innerTierQuotaMultiple, minSpillover
	}
	for i, c := range s.Classes {
		b.classes[i] = b.freshClass(c)
	}
	b.derive()
	b.tier = b.freshRule(b.shareEv.maxDuration)
	return b, nil
}

// derive takes what follows from the settings in force.
func (b *Balancer) derive() {
	if b.s.RetryBudgetWindow == 0 {
		b.s.RetryBudgetWindow, b.s.RetryBudgetMin, b.s.RetryBudgetRatio = defaultBudgetWindow, defaultBudgetMin, defaultBudgetRatio
	}
	b.fair = 0
	for _, t := range b.s.Tenants { // a copy that carries more than its part learns a higher multiple
		b.fair += t.Quota / float64(b.s.Replicas)
	}
	span := int64(0)
	for i, c := range b.s.Classes {
		if !b.classes[i].retired {
			span = max(span, feedbackRoundObjectives*c.LatencyObjective)
		}
	}
	b.shareEv.maxBadFraction, b.shareEv.maxDuration = maxSlowFraction, span
	b.spillEv.maxBadFraction, b.spillEv.maxDuration = maxSlowFraction, span
	b.tier.feedback.maxDuration = span
}

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

// refuse gives a hint spread so that clients don't return together, nor too late for an answer in their aim.
func (b *Balancer) refuse(now int64, h Host, q *request, why RejectReason) {
	b.refusals[why]++
	most := min(q.Settings.MaxRetryAfter, int64(retryAfterFraction*float64(q.Settings.Classes[q.Class].LatencyObjective)))
	h.Reject(q.ID, most/2+b.rnd.Int64N(most/2+1))
	b.finish(now, h, q)
}

// finish marks a request as over and forgets it once all its attempts have ended; only then is it the
// turn of the next one with its key.
func (b *Balancer) finish(now int64, h Host, q *request) {
	q.done = true
	if q.pending > 0 {
		return
	}
	delete(b.reqs, q.ID)
	if t := q.queue; t != nil {
		t.waiting = slices.DeleteFunc(t.waiting, func(x *request) bool { return x == q })
		b.next(now, h, t)
	}
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

// learn takes what an attempt's end tells of the server, the counts, the shares and the zones.
func (b *Balancer) learn(now int64, q *request, a *attempt, o Outcome) {
	if o.Status == StatusCancelled || o.Status == StatusNotSent {
		return
	}
	b.prove(a.server, a.sentAt, o.Status)
	c, k, failed := &b.classes[q.Class], q.Settings.Classes[q.Class], o.Status != StatusOK
	blame := b.judge(a.server, q.Class, o.Status)
	a.server.refused = o.Status == StatusConnectFailed || failed && a.server.refused
	if b.zones != nil {
		b.note(now, a, faultOfStatus[o.Status])
		b.measure(now, a.server, q.Class, o)
	}
	if !failed {
		b.reward(c, a.server, float64(o.Latency))
	}
	spent := float64(now - a.sentAt)
	late := failed && !blame || !failed && spent > lateFraction*float64(k.LatencyObjective)
	slow := late || !failed && spent > b.slowBar(q.Class)
	b.tier.learn(&b.tier.feedback, now, a.sentAt, late)
	c.rule.learn(&c.rule.feedback, now, a.sentAt, late)
	if !a.slow {
		b.press(now, q.Class, a, slow, slow || failed)
	}
}

// press takes evidence on shares and home; slow calls of a class worth clearly more cut a class's count, too.
func (b *Balancer) press(now int64, class int, a *attempt, slow, homeBad bool) {
	for i := range b.classes {
		// One with no call out since it last learned has nothing to yield: its count would fall to the least.
		if c := &b.classes[i]; c.rule.peakInFlight > 0 && b.value(class) > preemptionRatio*b.value(i) {
			c.rule.learn(&c.yield, now, a.sentAt, slow)
		}
	}
	if f := b.shareEv.record(now, a.sentAt, slow); f == 1 && b.share < 1 {
		b.share = min(1, b.share+quotaIncreaseBelowShare)
	} else if f == 1 {
		b.share = min(b.shareMost, b.share+quotaIncreaseAboveShare)
	} else if f > 0 {
		b.share = max(minQuotaMultiple, min(b.share, b.shareBad)*f)
	}
	if a.zone == b.s.Zone {
		if f := b.spillEv.record(now, a.sentAt, homeBad); f == 1 {
			b.spill = max(minSpillover, b.spill*spilloverDecay)
		} else if f > 0 {
			b.spill = min(1, b.spill+spilloverIncrease)
		}
	}
}

// watch counts calls as slow when they have been out for the slow bar: in a jam they end seconds later.
func (b *Balancer) watch(now int64) {
	for i := range b.classes {
		c := &b.classes[i]
		for bar := int64(b.slowBar(i)); len(c.waiting) > 0 && now-c.waiting[0].sentAt > bar; {
			a := c.waiting[0]
			c.waiting = c.waiting[1:]
			if a.pending && !a.responseStarted {
				a.slow = true
				b.press(now, i, a, true, true)
			}
		}
	}
}

// Balancer decides for one proxy.
type Balancer struct {
	s         *Settings // in force; Classes by slot
	rnd       *rand.Rand
	byID      map[string]*server
	all       []*server       // in order of first listing
	ring      []*server       // the same by onRing: at 1,300 servers to sort them at each change takes half a millisecond
	fresh     []*server       // listed for the first time, not on the ring yet
	banned    map[string]bool // by hand; listed or not
	ready     []*server       // those that new calls may go to, this copy's subset first
	reqs      map[string]*request
	turns     map[string]*keyQueue
	tier      concurrencyLimit
	tenants   []tenantQuota
	classes   []classState
	fair      float64 // rate of all tenants inside their shares at one copy
	share     float64 // multiple of its share that a tenant may pass
	shareMost float64
	shareBad  float64 // what a bad round leaves of share at most
	shareEv   feedbackRound
	spill     float64 // weight of servers in other zones
	spillEv   feedbackRound
	errs      float64       // running part of failed calls over all servers
	taken     eventTimes    // requests
	came      decayingCount // requests, over a longer time
	further   eventTimes    // attempts beyond each request's first
	draws     window        // whether a server was found or none
	free      int64         // the free part of the allowance for further attempts is this Balancer's from then on
	shared    bool          // another process of this proxy sends too
	born      int64         // when the first request came
	confirmed int64         // when the list was last confirmed, or came to a fresh copy
	heard     bool          // the list was confirmed at all
	backoff   int64         // before the next try at a subscription
	asked     bool          // a subscription was asked for
	weights   []float64     // of drawn
	drawn     []*server     // those that the present draw is among
	near, far int           // ready[:near] are at home, ready[far:] in zones that are away
	zones     []zone        // nil until others are to be told or heard
	peers     PeerReports   // what others told last
	tells     []Report      // what this copy told last
	drained   map[int]bool
	flaps     map[string]observedFlap // by server
	damper    flapDamper
	dampedAt  int64 // when the last log line on them was written, and what it said

	dampedSaid string

	loads     []Report // what this copy told last of loads
	loadAt    int64
	middle    float64              // mean time under little load over the classes
	measured  float64              // calls
	tail      tailweights.TailNorm // of the times of this copy's answered calls in this round, as multiples of their class's
	tailCalls float64
	tailWas   float64 // in the last round
	tuneAt    int64   // when the next round is due
	step      float64
	solver    tailweights.Solver
	reported  int64 // when the last log line was written
	refusals  [rejectReasonCount]int64
}

// arrived notes a request that this copy has taken.
func (b *Balancer) arrived(now int64, q *request) {
	b.born = cmp.Or(b.born, now)
	b.taken.add(now, b.s.RetryBudgetWindow)
	b.came.add(now)
	if t := b.origin(q); t != nil {
		t.requests.add(now)
	}
	b.reqs[q.ID] = q
}
