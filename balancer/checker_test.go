package balancer

import "fmt"

// checker is a Host that checks the rules by its own records, which share nothing with the Balancer.
type checker struct {
	settings   Settings
	now        int64
	lines      []string
	requests   map[string]*requestRecord
	listed     map[string]Server // what the list last said
	leftAt     map[string]int64  // when it first said that a server drains or is gone
	violations []string
	timers     []pendingTimer
	watches    int
	drained    map[int]bool
	received   []int64                     // when requests came
	retries    []int64                     // when attempts beyond a request's first were sent
	queues     map[string][]*requestRecord // of each key: what must keep its order, as it came
	cooldowns  map[string]int64            // when a key may go on after an attempt that may still run
}

// pendingTimer is a timer that the Balancer has asked for.
type pendingTimer struct {
	due   int64
	token string
}

// requestRecord is what the checker knows of a request.
type requestRecord struct {
	request  Request
	closed   bool
	attempts []*attemptRecord
	pending  []int
}

// attemptRecord is one attempt.
type attemptRecord struct {
	server          Server
	sent            int64
	timeout         int64
	ended           bool
	mayHaveExecuted bool // may have run
}

func (c *checker) violation(format string, a ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %d: ", c.now-start)+fmt.Sprintf(format, a...))
}
func (c *checker) Send(id, server string, within, timeout int64) {
	c.lines = append(c.lines, fmt.Sprintf("%d send %s %s %d", c.now, id, server, timeout))
	k := c.requests[id]
	if k == nil || k.closed {
		c.violation("rule 1: %s sent after its end", id)
		return
	}
	s, known := c.listed[server]
	if !known {
		c.violation("%s sent to unknown %s", id, server)
		return
	}
	if c.drained[s.Zone] {
		c.violation("%s sent to %s, whose zone is drained", id, server)
	}
	if left, ok := c.leftAt[server]; ok && c.now-left > c.settings.DrainGrace {
		c.violation("rule 3: %s sent to %s, which left %d us ago", id, server, c.now-left)
	}
	if len(k.attempts) >= c.settings.MaxAttempts {
		c.violation("%s sent more than %d times", id, c.settings.MaxAttempts)
	}
	limit := int64(0)
	for _, t := range k.attempts {
		c.checkIdempotency(k, t, s)
		if class := c.settings.Classes[k.request.Class]; t.mayHaveExecuted && class.Idempotency == IdempotentWithKey && limit == 0 {
			limit = t.sent + class.DedupWindow - c.now
		}
	}
	if within != limit {
		c.violation("rule 2: %s may go out for %d us, want %d", id, within, limit)
	}
	if len(k.attempts) > 0 {
		c.checkBudget(id)
	}
	c.checkOrder(k)
	if timeout < 0 || c.now+timeout > k.request.Deadline {
		c.violation("rule 1: %s may run %d us past its time", id, c.now+timeout-k.request.Deadline)
	}
	if timeout == 0 {
		timeout = k.request.Deadline - c.now
	}
	k.pending = append(k.pending, len(k.attempts))
	k.attempts = append(k.attempts, &attemptRecord{server: s, sent: c.now, timeout: timeout, mayHaveExecuted: true})
}
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
		c.violation("rule 6: %s sent beyond the budget", id)
	}
}
func (c *checker) checkOrder(k *requestRecord) {
	if !c.settings.Classes[k.request.Class].Ordered || k.request.Key == "" {
		return
	}
	for _, earlier := range c.queues[k.request.Key] {
		if earlier == k {
			break
		}
		if !earlier.closed || len(earlier.pending) > 0 {
			c.violation("rule 5: %s sent before %s was over", k.request.ID, earlier.request.ID)
		}
	}
	if len(k.attempts) == 0 && c.now < c.cooldowns[k.request.Key] {
		c.violation("rule 5: %s sent %d us before its key had rested", k.request.ID, c.cooldowns[k.request.Key]-c.now)
	}
}
func (c *checker) checkIdempotency(k *requestRecord, earlier *attemptRecord, to Server) {
	class := c.settings.Classes[k.request.Class]
	if !earlier.ended {
		c.violation("%s has two attempts out", k.request.ID)
	}
	if !earlier.mayHaveExecuted || class.Idempotency == Idempotent {
		return
	}
	sameGroup := class.DedupScope == DedupScopeAll || class.DedupScope == DedupScopeZone && earlier.server.Zone == to.Zone ||
		class.DedupScope == DedupScopeCell && earlier.server.Cell == to.Cell
	if class.Idempotency == NonIdempotent || !sameGroup || c.now-earlier.sent > class.DedupWindow {
		c.violation("rule 2: %s of class %d sent again after it may have run", k.request.ID, k.request.Class)
	}
}
func (c *checker) Reject(id string, after int64) {
	c.lines = append(c.lines, fmt.Sprintf("%d refuse %s", c.now, id))
	k := c.close(id)
	if k == nil {
		return
	}
	class := c.settings.Classes[k.request.Class]
	for _, t := range k.attempts {
		if t.mayHaveExecuted && class.Idempotency != Idempotent && !(class.Idempotency == IdempotentWithKey && class.DedupScope == DedupScopeAll) {
			c.violation("rule 2: %s refused after it may have run", id)
		}
	}
}
func (c *checker) Fail(id string) {
	c.lines = append(c.lines, fmt.Sprintf("%d fail %s", c.now, id))
	c.close(id)
}
func (c *checker) close(id string) *requestRecord {
	k := c.requests[id]
	if k == nil || k.closed {
		c.violation("rule 1: %s answered twice", id)
		return nil
	}
	if c.now > k.request.Deadline {
		c.violation("rule 1: %s answered %d us late", id, c.now-k.request.Deadline)
	}
	k.closed = true
	return k
}
func (c *checker) SetTimer(delay int64, token string) {
	c.timers = append(c.timers, pendingTimer{c.now + delay, token})
}
func (c *checker) Log(Event) {}
func (c *checker) Watch()    { c.watches++ }

// recordList takes what an endpoint list says.
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
