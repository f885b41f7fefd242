package balancer

import "fmt"

// checker is a Host that checks each action of a Balancer against records of its own, which share no code
// with the Balancer. Violations are numbered by the rule that they break:
//
//	rule 1  a request gets one answer, within its deadline, and nothing is sent after that
//	rule 2  a request is not sent or rejected if that could execute it twice against its class's idempotency
//	rule 3  a draining or removed server gets nothing once DrainGrace is over
//	rule 5  requests with one key run one at a time, in order of receipt
//	rule 6  retries stay within the retry budget
type checker struct {
	settings   Settings
	now        int64
	lines      []string // all actions; goldenActions is a hash of them, so their words must not change
	requests   map[string]*requestRecord
	listed     map[string]Server // latest entry of each server
	leftAt     map[string]int64  // when a server was first listed as draining, or not listed any more
	violations []string
	timers     []pendingTimer
	watches    int
	drained    map[int]bool
	received   []int64                     // when requests were received
	retries    []int64                     // when attempts after a request's first one were sent
	queues     map[string][]*requestRecord // by key, the requests that must run in order, as received
	cooldowns  map[string]int64            // by key, when the next request may start
}

// pendingTimer is a timer that the Balancer has asked for.
type pendingTimer struct {
	due   int64
	token string
}

// requestRecord is what the checker knows of a request.
type requestRecord struct {
	request  Request
	closed   bool // answered, or the client has disconnected
	attempts []*attemptRecord
	pending  []int // indexes of attempts that have not ended
}

// attemptRecord is what the checker knows of an attempt.
type attemptRecord struct {
	server          Server // its list entry when the attempt was sent
	sent            int64
	timeout         int64 // µs
	ended           bool
	mayHaveExecuted bool // not ended, or ended without proof that the server did not execute it
}

// violation records a violation, with the time in µs since the start.
func (c *checker) violation(format string, a ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %d: ", c.now-start)+fmt.Sprintf(format, a...))
}

// Send checks an attempt and records it.
func (c *checker) Send(id, server string, within, timeout int64) {
	c.lines = append(c.lines, fmt.Sprintf("%d send %s %s %d", c.now, id, server, timeout))
	k := c.requests[id]
	if k == nil || k.closed {
		c.violation("rule 1: request %s was sent after its end", id)
		return
	}
	s, known := c.listed[server]
	if !known {
		c.violation("request %s was sent to the unknown server %s", id, server)
		return
	}
	if c.drained[s.Zone] {
		c.violation("request %s was sent to %s, whose zone is drained", id, server)
	}
	if left, ok := c.leftAt[server]; ok && c.now-left > c.settings.DrainGrace {
		c.violation("rule 3: request %s was sent to %s, which left the list %d us ago",
			id, server, c.now-left)
	}
	if len(k.attempts) >= c.settings.MaxAttempts {
		c.violation("request %s was sent more than %d times", id, c.settings.MaxAttempts)
	}
	limit := int64(0)
	for _, t := range k.attempts {
		c.checkIdempotency(k, t, s)
		if class := c.settings.Classes[k.request.Class]; t.mayHaveExecuted && class.Idempotency == IdempotentWithKey && limit == 0 {
			limit = t.sent + class.DedupWindow - c.now
		}
	}
	if within != limit {
		c.violation("rule 2: request %s has a send window of %d us, want %d", id, within, limit)
	}
	if len(k.attempts) > 0 {
		c.checkBudget(id)
	}
	c.checkOrder(k)
	if timeout < 0 || c.now+timeout > k.request.Deadline {
		c.violation("rule 1: request %s times out %d us after its deadline",
			id, c.now+timeout-k.request.Deadline)
	}
	if timeout == 0 {
		timeout = k.request.Deadline - c.now
	}
	k.pending = append(k.pending, len(k.attempts))
	k.attempts = append(k.attempts, &attemptRecord{server: s, sent: c.now, timeout: timeout, mayHaveExecuted: true})
}

// checkBudget checks that a retry is within the retry budget and records it.
func (c *checker) checkBudget(id string) {
	c.retries = append(c.retries, c.now)
	within := func(times []int64) (n float64) {
		for _, at := range times {
			if at > c.now-c.settings.RetryBudgetWindow {
				n++
			}
		}
		return n
	}
	if c.settings.RetryBudgetWindow > 0 && within(c.retries) > c.settings.RetryBudgetMin+c.settings.RetryBudgetRatio*within(c.received) {
		c.violation("rule 6: request %s was retried beyond the retry budget", id)
	}
}

// checkOrder checks that all earlier requests with the same key are over, and that its cool-down is.
func (c *checker) checkOrder(k *requestRecord) {
	if !c.settings.Classes[k.request.Class].Ordered || k.request.Key == "" {
		return
	}
	for _, earlier := range c.queues[k.request.Key] {
		if earlier == k {
			break
		}
		if !earlier.closed || len(earlier.pending) > 0 {
			c.violation("rule 5: request %s was sent before %s was over", k.request.ID, earlier.request.ID)
		}
	}
	if len(k.attempts) == 0 && c.now < c.cooldowns[k.request.Key] {
		c.violation("rule 5: request %s was sent %d us before the end of its key's cool-down", k.request.ID,
			c.cooldowns[k.request.Key]-c.now)
	}
}

// checkIdempotency checks that a request may be sent to a server after an earlier attempt.
func (c *checker) checkIdempotency(k *requestRecord, earlier *attemptRecord, to Server) {
	class := c.settings.Classes[k.request.Class]
	if !earlier.ended {
		c.violation("request %s has two attempts in flight", k.request.ID)
	}
	if !earlier.mayHaveExecuted || class.Idempotency == Idempotent {
		return
	}
	sameGroup := class.DedupScope == DedupScopeAll || class.DedupScope == DedupScopeZone && earlier.server.Zone == to.Zone ||
		class.DedupScope == DedupScopeCell && earlier.server.Cell == to.Cell
	if class.Idempotency == NonIdempotent || !sameGroup || c.now-earlier.sent > class.DedupWindow {
		c.violation("rule 2: request %s of class %d was sent again after it may have been executed",
			k.request.ID, k.request.Class)
	}
}

// Reject checks that the client may safely repeat the request.
func (c *checker) Reject(id string, after int64) {
	c.lines = append(c.lines, fmt.Sprintf("%d refuse %s", c.now, id))
	k := c.recordAnswer(id)
	if k == nil {
		return
	}
	class := c.settings.Classes[k.request.Class]
	for _, t := range k.attempts {
		if t.mayHaveExecuted && class.Idempotency != Idempotent && !(class.Idempotency == IdempotentWithKey && class.DedupScope == DedupScopeAll) {
			c.violation("rule 2: request %s was rejected after it may have been executed", id)
		}
	}
}

// Fail checks that the request has no other answer.
func (c *checker) Fail(id string) {
	c.lines = append(c.lines, fmt.Sprintf("%d fail %s", c.now, id))
	c.recordAnswer(id)
}

// recordAnswer records the answer of a request; nil if it is not open.
func (c *checker) recordAnswer(id string) *requestRecord {
	k := c.requests[id]
	if k == nil || k.closed {
		c.violation("rule 1: request %s was answered twice", id)
		return nil
	}
	if c.now > k.request.Deadline {
		c.violation("rule 1: request %s was answered %d us after its deadline", id, c.now-k.request.Deadline)
	}
	k.closed = true
	return k
}

// SetTimer records a timer, which the driver fires when it is due.
func (c *checker) SetTimer(delay int64, token string) {
	c.timers = append(c.timers, pendingTimer{c.now + delay, token})
}
func (c *checker) Log(Event) {}
func (c *checker) Watch()    { c.watches++ }

// recordList records an update of the endpoint list.
func (c *checker) recordList(kind UpdateKind, entries []Server) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		c.listed[e.ID] = e
		if e.State == ServerReady {
			delete(c.leftAt, e.ID)
		} else if _, ok := c.leftAt[e.ID]; !ok {
			c.leftAt[e.ID] = c.now
		}
	}
	if kind == UpdateDelta {
		return
	}
	for id := range c.listed {
		if _, ok := c.leftAt[id]; !listed[id] && !ok {
			c.leftAt[id] = c.now
		}
	}
}
