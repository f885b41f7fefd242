package balancer

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"merlinpick/internal/tailweights"
)

// The data that decisions read. What here decides, or why it does not: docs/policy.md.

const throttlingLogInterval = 10 * second // between log lines of one copy

// node holds the statistics that rules read: calls in flight and calls passed.
type node struct {
	inFlight     int
	peakInFlight int
	admitted     window
}

// classState is a class's rule and what is known of its times.
type classState struct {
	rule      concurrencyLimit
	yield     feedbackRound // evidence of classes that are worth clearly more
	mean      float64       // of successes
	base      float64       // the mean when little waits
	seen      float64       // successes
	errorRate float64       // running part of failed calls over all servers
	waiting   []*attempt    // at the front: in order of sending, those not yet slow
	retired   bool          // the settings have it no more; it is free once no request of it is open
}

type server struct {
	Server
	slowness     float64 // running time of its calls against the mean of all
	whole        health
	classes      []health // for the calls of each class
	inFlight     int
	hash         uint64
	warmFraction float64 // least part of its capacity, as of the last draw among cold ones
	probePending bool    // back from a ban and not tried since
	seen         callStats
	okAt         int64         // when this copy was last answered by it
	told         float64       // part of its weight that the verdicts of others leave
	verdict      serverReports // what copies say of it now
	refused      bool          // it refused a connection, and has answered nothing since
	damped       bool          // removals and returns are not acted on
	since        int64         // since then
	load         loadStats
	sum          fleetLoad // as of the last round of tuning
	fit          tailweights.Fit
	tune         float64 // logarithm of the factor that its weight is tuned by
	tuneWas      float64 // before the last step
	tuned        float64 // the factor

	provenUntil int64 // until then it is shown to be listed, see staleness.go
	disprovenAt int64 // a call sent then was not taken
}

// health is what is left of a server's weight, and its running part of failed calls.
type health struct{ score, errorRate float64 }

// forget drops what was learned of a server.
func (s *server) resetLearned(classes int) {
	s.slowness, s.whole, s.classes = 1, health{score: 1}, make([]health, classes)
	s.seen, s.okAt, s.told, s.verdict = callStats{}, 0, 1, serverReports{}
	s.damped, s.refused, s.provenUntil, s.disprovenAt = false, false, 0, 0
	s.load, s.sum, s.fit, s.tune, s.tuneWas, s.tuned = loadStats{}, fleetLoad{}, tailweights.Fit{}, 0, 0, 1
	for i := range s.classes {
		s.classes[i].score = 1
	}
}

// place enters a server that is listed for the first time.
func (b *Balancer) place(id string) *server {
	s := &server{Server: Server{ID: id}, hash: hashID(id)}
	s.resetLearned(len(b.classes))
	b.byID[id] = s
	b.all = append(b.all, s)
	b.fresh = append(b.fresh, s)
	return s
}

// gather has the ring hold the servers that are listed now: those that are new take their places, those that are gone
// leave theirs.
func (b *Balancer) gather() {
	b.ring = slices.DeleteFunc(b.ring, func(s *server) bool { return s.State == ServerRemoved })
	fresh := slices.DeleteFunc(b.fresh, func(s *server) bool { return s.State == ServerRemoved })
	if b.fresh = nil; len(fresh) == 0 {
		return
	}
	slices.SortFunc(fresh, onRing)
	ring := make([]*server, 0, len(b.ring)+len(fresh))
	for _, s := range b.ring {
		for len(fresh) > 0 && onRing(fresh[0], s) < 0 {
			ring, fresh = append(ring, fresh[0]), fresh[1:]
		}
		ring = append(ring, s)
	}
	b.ring = append(ring, fresh...)
}

// partOf is one observation of a running part: 1 if it is so, else 0.
func indicator(so bool) float64 {
	if so {
		return 1
	}
	return 0
}

type attempt struct {
	server          *server
	sentAt          int64
	zone            int // as listed at the time of sending
	cell            int
	slow            bool // counted as slow before its end
	quiet           bool // counted as bad before its end
	responseStarted bool // its answer has begun
	counted         bool // in flight, see count
	mayHaveExecuted bool // outstanding, or ended without proof that it never ran
	pending         bool
}

// turn is the line of one key's requests in the order of their arrival.
type keyQueue struct {
	key       string
	waiting   []*request // the first is the one whose turn it is
	restUntil int64      // until then the key rests
}

type request struct {
	Request
	Settings   *Settings // those that it began with hold for it to its end
	receivedAt int64
	queue      *keyQueue // nil if it need not wait its turn
	attempts   []*attempt
	done       bool
	pending    int // attempts without outcome
}

// join puts a request last in its key's line.
func (b *Balancer) join(q *request) {
	q.queue = b.turns[q.Key]
	if q.queue == nil {
		q.queue = &keyQueue{key: q.Key}
		b.turns[q.Key] = q.queue
	}
	q.queue.waiting = append(q.queue.waiting, q)
}

// tidy forgets a key that nobody waits for and that rests no more.
func (b *Balancer) tidy(now int64, t *keyQueue) {
	if len(t.waiting) == 0 && now >= t.restUntil {
		delete(b.turns, t.key)
	}
}

// tried tells whether an attempt of the request went to the server.
func (q *request) triedOn(s *server) bool {
	for _, a := range q.attempts {
		if a.server == s {
			return true
		}
	}
	return false
}

// hash orders servers alike at every copy, by nothing that their names may mean.
func hashID(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never fails
	return h.Sum64()
}

// round gathers finishes of calls sent since the last change, and judges them once they are enough, so
// that sparse copies learn by evidence and one trouble is answered by one cut.
type feedbackRound struct {
	startedAt      int64
	finished, bad  int
	maxBadFraction float64
	maxDuration    int64 // after this long a few finishes make a round
}

// threadRule limits calls in flight.
type concurrencyLimit struct {
	node
	max      float64
	min      float64
	feedback feedbackRound
}

// originRule limits the calls passed per second for one tenant.
type tenantQuota struct {
	node
	requests decayingCount // its requests
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
	middle    float64          // mean time under little load over the classes
	measured  float64          // calls
	tail      tailweights.Norm // of the times of this copy's answered calls in this round, as multiples of their class's
	tailCalls float64
	tailWas   float64 // in the last round
	tuneAt    int64   // when the next round is due
	step      float64
	solver    tailweights.Solver
	reported  int64 // when the last log line was written
	refusals  [rejectReasonCount]int64
}

// enter counts a call in.
func (n *node) acquire() {
	n.inFlight++
	n.peakInFlight = max(n.peakInFlight, n.inFlight)
}

// count counts an attempt in: a server has begun with it, or is about to. One whose body is still coming is not
// counted yet, since how long that takes is its client's doing.
func (b *Balancer) count(q *request, a *attempt) {
	a.counted = true
	a.server.inFlight++
	b.tier.acquire()
	b.classes[q.Class].rule.acquire()
	if b.s.Tier == 0 {
		b.classes[q.Class].waiting = append(b.classes[q.Class].waiting, a)
	}
}

// pick returns the drawn server at which the sum of weights passes x, or nil if none has weight or x is below 0.
func (b *Balancer) pick(x float64) (last *server) {
	for i, w := range b.weights {
		if w > 0 && x >= 0 {
			last = b.drawn[i]
			if x -= w; x < 0 {
				break
			}
		}
	}
	return last
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

// leave counts an attempt out.
func (b *Balancer) leave(q *request, a *attempt) {
	if !a.counted {
		return
	}
	a.counted = false
	a.server.inFlight--
	b.tier.inFlight--
	b.classes[q.Class].rule.inFlight--
}

// tenant is the number that the request's tenant has now, -1 without one.
func (b *Balancer) tenant(q *request) int {
	if q.Tenant < 0 || q.Tenant >= len(q.Settings.Tenants) {
		return -1
	}
	if q.Settings == b.s {
		return q.Tenant
	}
	name := q.Settings.Tenants[q.Tenant].Name
	return slices.IndexFunc(b.s.Tenants, func(t Tenant) bool { return t.Name == name })
}

// Rules are the settings in force, with the classes by the numbers that requests have for them.
func (b *Balancer) Settings() *Settings { return b.s }

// origin is the node of the request's tenant; without one the tenant rule is skipped.
func (b *Balancer) origin(q *request) *tenantQuota {
	if i := b.tenant(q); i >= 0 {
		return &b.tenants[i]
	}
	return nil
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

// Servers tells how many servers are listed, and how many of these are avoided: they are banned or, for their
// failures, get trials at most.
func (b *Balancer) ServerCounts() (listed, avoided int) {
	for _, s := range b.all {
		if b.banned[s.ID] || s.State == ServerReady && (s.damped || s.whole.score < healthyScore) {
			avoided++
		}
	}
	return len(b.all), avoided
}

// Refusals are how many requests were refused for each reason.
func (b *Balancer) Rejections() map[RejectReason]int64 {
	out := map[RejectReason]int64{}
	for why, n := range b.refusals {
		out[RejectReason(why)] = n
	}
	return out
}

// report tells on-call staff when traffic inside the shares is held back, and which way calls lean.
func (b *Balancer) report(now int64, h Host) {
	if b.share >= 1 || now-b.reported < throttlingLogInterval && b.reported != 0 {
		return
	}
	b.reported = now
	h.Log(TenantsThrottled{Tier: b.s.Tier, QuotaMultiple: b.share, InFlight: b.tier.inFlight, FailureRate: b.errs, SpilloverWeight: b.spill})
}
