package balancer

import (
	"cmp"
	"math/rand/v2"
	"strings"
)

// Balancer makes the decisions of one proxy. It owns the open requests and the order of the steps. Each rule
// is a type in its own file, and only that type writes the rule's state:
//
//	admission     limits of attempts in flight, priority of classes, Retry-After
//	quotas        request rate of each tenant
//	ordering      order of the requests with one key
//	retries       attempts after the first, retry budget, deadlines, timeouts
//	selection     weighted random choice of a server
//	slowStart     weight of servers that are warming up
//	outliers      health of servers, ejection
//	damping       damping of servers that flap
//	locality      evacuation and recovery of zones, weight of remote servers
//	spillover     weight of other zones by the state of the local one
//	members       servers of the endpoint list
//	listEvidence  evidence of membership while the endpoint list is stale
//	subscription  watches of the endpoint list
//	loads         load of servers over all replicas
//	tuning        weights that keep the latency tail low
//	reports       reports of this replica and of the others
//
// A request is checked in this order: the limit of the tier, the quota of its tenant, the limit of its class,
// its deadline, and last whether there is a server for it. A request over a limit is rejected at once.
type Balancer struct {
	*shared
	requests map[string]*request // by ID, until all attempts have ended

	admission    *admission
	quotas       *quotas
	ordering     *ordering
	retries      *retryPolicy
	selection    *selection
	slowStart    *slowStart
	outliers     *outlierDetection
	damping      *flapDamping
	locality     *locality
	spillover    *spillover
	members      *membership
	listEvidence *listEvidence
	subscription *subscription
	loads        *loadTracker
	tuning       *weightTuning
	reports      *reportExchange
}

// New returns a Balancer with the given settings; all its random draws come from the seed. An error is always
// a *SettingsError.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	common := &shared{settings: &s, random: rand.New(rand.NewPCG(seed, seed)),
		classes: make([]classState, len(s.Classes))}
	b := &Balancer{shared: common, requests: map[string]*request{}}
	b.reports = &reportExchange{}
	b.members = newMembership(common)
	b.listEvidence = newListEvidence(common)
	b.subscription = newSubscription(common)
	b.ordering = newOrdering()
	b.admission = newAdmission(common)
	b.quotas = newQuotas(common)
	b.retries = newRetryPolicy(common)
	b.slowStart = newSlowStart(common)
	b.spillover = newSpillover(&s)
	b.locality = newLocality(common, b.members, b.spillover, b.reports)
	b.outliers = newOutlierDetection(common, b.members, b.reports)
	b.damping = newFlapDamping(common, b.members, b.reports)
	b.loads = newLoadTracker(common, b.members, b.reports)
	b.tuning = &weightTuning{shared: common, members: b.members, loads: b.loads, slowStart: b.slowStart,
		reports: b.reports, locality: b.locality}
	b.selection = &selection{shared: common, members: b.members, listEvidence: b.listEvidence,
		locality: b.locality, retries: b.retries, slowStart: b.slowStart}
	for i, rules := range s.Classes {
		b.classes[i] = b.newClass(rules)
	}
	b.applySettings()
	return b, nil
}

// newClass returns the state of a class without any history.
func (b *Balancer) newClass(rules Class) classState {
	return classState{admission: b.admission.newClass(rules), latency: newClassLatency(rules)}
}

// applySettings derives the configuration of the rules from the current settings. The feedback rounds of
// rules that all classes share last as long as those of the class with the longest latency objective.
func (b *Balancer) applySettings() {
	withDefaultBudget(b.settings)
	roundDuration := span(0)
	for i, rules := range b.settings.Classes {
		if !b.classes[i].retired {
			roundDuration = max(roundDuration, feedbackRoundObjectives*span(rules.LatencyObjective))
		}
	}
	b.quotas.configure(roundDuration)
	b.spillover.configure(roundDuration)
	b.admission.configure(roundDuration)
}

// HandleTimer handles the expiry of a timer that was set by Host.SetTimer. It ignores the token if the watch
// is open already, the queued request has started or ended, or the queue no longer exists.
func (b *Balancer) HandleTimer(nowMicros int64, host Host, token string) {
	now := moment(nowMicros)
	if token == watchTimer {
		if b.subscription.requestWatch() {
			host.Watch()
		}
	} else if id, ok := strings.CutPrefix(token, queueTimeoutTimer); ok {
		if request := b.requests[id]; request != nil && !request.done && len(request.attempts) == 0 {
			b.reject(now, host, request, RejectQueueTimeout)
		}
	} else if key, ok := strings.CutPrefix(token, cooldownTimer); ok && b.ordering.queues[key] != nil {
		b.startNext(now, host, b.ordering.queues[key])
	}
}

// HandleRequest handles a request from a client. It sends or rejects the request at once, unless the request
// has to wait in the queue of its key. A request whose ID is already open is ignored; one of an unknown class
// fails.
func (b *Balancer) HandleRequest(nowMicros int64, host Host, received Request) {
	now := moment(nowMicros)
	if b.requests[received.ID] != nil {
		return
	}
	received.Settings = cmp.Or(received.Settings, b.settings)
	if received.Class < 0 || received.Class >= len(received.Settings.Classes) {
		host.Fail(received.ID)
		return
	}
	b.recordSlowAttempts(now)
	request := &request{Request: received, receivedAt: now}
	b.register(now, request)
	if b.ordering.isOrdered(request) {
		b.enqueue(now, host, request)
	} else {
		b.start(now, host, request)
	}
}

// register adds a request to the open ones and counts it.
func (b *Balancer) register(now moment, request *request) {
	b.requests[request.ID] = request
	b.arrivals.record(now)
	b.retries.recordRequest(now)
	b.quotas.recordRequest(now, request)
}

// enqueue puts a request into the queue of its key, starts it if it is the first one, and rejects it if the
// requests before it would take too long.
func (b *Balancer) enqueue(now moment, host Host, request *request) {
	b.ordering.join(request)
	b.startNext(now, host, request.queue)
	if len(request.attempts) > 0 || request.done {
		return
	}
	mean := b.classes[request.Class].latency.mean
	if wait, ok := request.queue.maxWait(b.retries.latestStart(now, request), mean); ok {
		host.SetTimer(wait, queueTimeoutTimer+request.ID)
	} else {
		b.reject(now, host, request, RejectQueueTimeout)
	}
}

// startNext starts the request of a queue that may run now, or the next one if that is rejected.
func (b *Balancer) startNext(now moment, host Host, queue *keyQueue) {
	for request := queue.next(now); request != nil; request = queue.next(now) {
		b.start(now, host, request)
	}
	b.ordering.discardIdle(now, queue)
}

// start sends the first attempt of a request if all rules admit the request, and rejects it otherwise.
func (b *Balancer) start(now moment, host Host, request *request) {
	admitted := b.admission.admitsTier() && b.quotas.admits(now, request) &&
		b.admission.admitsClass(request.Class)
	switch {
	case !admitted:
		b.reject(now, host, request, RejectOverLimit)
	case !b.retries.canMeetDeadline(now, request):
		b.reject(now, host, request, RejectNoTimeLeft)
	case !b.send(now, host, request):
		b.reject(now, host, request, RejectNoServer)
	default:
		b.quotas.recordAdmitted(now, request)
	}
}

// send sends an attempt of a request. It returns false if there is no server to send it to.
func (b *Balancer) send(now moment, host Host, request *request) bool {
	server := b.selection.choose(now, request)
	if server == nil {
		return false
	}
	window := b.retries.sendWindow(now, request, server)
	attempt := &attempt{server: server, sentAt: now, zone: server.Zone, cell: server.Cell, pending: true,
		mayHaveExecuted: true}
	request.attempts = append(request.attempts, attempt)
	request.pending++
	b.selection.recordSend(now)
	if !request.BodyPending {
		b.admission.acquire(request.Class, attempt)
	}
	timeout := b.retries.attemptTimeout(now, request)
	host.Send(request.ID, server.ID, int64(window), int64(timeout))
	return true
}

// retry sends another attempt of a request if limits, deadline, budget and idempotency allow one.
func (b *Balancer) retry(now moment, host Host, request *request) bool {
	chance := b.random.Float64()
	if len(request.attempts) >= request.Settings.MaxAttempts || !b.retries.canMeetDeadline(now, request) ||
		!b.admission.admitsRetry(request.Class, chance) || !b.retries.budgetAllows(now) ||
		!b.send(now, host, request) {
		return false
	}
	b.retries.recordRetry(now)
	return true
}

// reject ends a request without serving it; its client may safely repeat it.
func (b *Balancer) reject(now moment, host Host, request *request, reason RejectReason) {
	host.Reject(request.ID, b.admission.reject(request, reason))
	b.finish(now, host, request)
}

// finish marks a request as done and removes it once all its attempts have ended; only then may the next
// request with its key start.
func (b *Balancer) finish(now moment, host Host, request *request) {
	request.done = true
	if request.pending > 0 {
		return
	}
	delete(b.requests, request.ID)
	if request.queue != nil {
		b.ordering.leave(request)
		b.startNext(now, host, request.queue)
	}
}

// HandleResponseStarted handles the start of a streamed response. How long the rest takes depends on the
// client, so the attempt's latency ends here.
func (b *Balancer) HandleResponseStarted(nowMicros int64, id string) {
	now := moment(nowMicros)
	request := b.requests[id]
	if request == nil || request.done {
		return
	}
	request.done = true
	for _, attempt := range request.attempts {
		if attempt.pending {
			attempt.responseStarted = true
			b.admission.release(request.Class, attempt)
			latency := int64(now.since(attempt.sentAt))
			b.recordOutcome(now, request, attempt, Outcome{Status: StatusOK, Latency: latency})
		}
	}
}

// HandleBodyReceived handles the end of a request's body. The request's latency is measured from now on, and
// deadline, in µs on the event clock, is when its client stops waiting. It returns the timeout of the
// pending attempt, in µs; 0 if the request has ended.
func (b *Balancer) HandleBodyReceived(nowMicros int64, id string, deadline int64) (timeout int64) {
	now := moment(nowMicros)
	request := b.requests[id]
	if request == nil || request.done {
		return 0
	}
	request.BodyPending, request.Deadline, request.receivedAt = false, deadline, now
	for _, attempt := range request.attempts {
		if attempt.pending {
			attempt.sentAt = now
			b.admission.acquire(request.Class, attempt)
		}
	}
	return max(int64(b.retries.deadline(request).since(now)), 1)
}

// HandleClientGone handles a client that disconnected: nothing waits for the response any more.
func (b *Balancer) HandleClientGone(nowMicros int64, host Host, id string) {
	now := moment(nowMicros)
	if request := b.requests[id]; request != nil {
		b.finish(now, host, request)
	}
}

// HandleOutcome handles the end of an attempt. A request that still needs a response is retried, rejected or
// failed at once. Outcomes of unknown attempts are ignored.
func (b *Balancer) HandleOutcome(nowMicros int64, host Host, outcome Outcome) {
	now := moment(nowMicros)
	request := b.requests[outcome.RequestID]
	if request == nil || outcome.Attempt < 0 || outcome.Attempt >= len(request.attempts) ||
		!request.attempts[outcome.Attempt].pending {
		return
	}
	b.recordSlowAttempts(now)
	attempt := request.attempts[outcome.Attempt]
	attempt.pending = false
	request.pending--
	if attempt.responseStarted { // its latency is recorded already; a failure may have followed
		if outcome.Status != StatusOK && outcome.Status != StatusCancelled {
			b.outliers.attribute(attempt.server, request.Class, outcome.Status)
		}
		b.finish(now, host, request)
		return
	}
	attempt.mayHaveExecuted = mayHaveExecuted(outcome.Status, request.Settings)
	b.admission.release(request.Class, attempt)
	b.recordOutcome(now, request, attempt, outcome)
	b.logThrottling(now, host)
	if request.queue != nil && mayStillRun(outcome.Status) {
		host.SetTimer(request.queue.startCooldown(now, request.Settings), cooldownTimer+request.Key)
	}
	b.conclude(now, host, request, outcome)
}

// conclude finishes, retries, rejects or fails a request after one of its attempts has ended.
func (b *Balancer) conclude(now moment, host Host, request *request, outcome Outcome) {
	switch {
	case outcome.RequestDone || request.done:
		b.finish(now, host, request)
	case request.pending > 0:
		return // the other attempt's outcome decides
	case !outcome.NotReplayable && b.retry(now, host, request):
		return // sent again
	case b.retries.mayReject(request):
		b.reject(now, host, request, RejectRetriesExhausted)
	default:
		host.Fail(request.ID)
		b.finish(now, host, request)
	}
}
