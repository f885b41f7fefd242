package model

import (
	"fmt"

	"merlinpick/balancer"
)

// Rule is an invariant that must hold after every event of every run.
type Rule string

const (
	ruleExpiry         Rule = "expiry"          // no expired entry is used, nor a report on a server's previous start
	ruleAgreement      Rule = "agreement"       // proxies of a zone that hear each other evacuate the same zones
	ruleEjectionBudget Rule = "ejection-budget" // ejections by peers' reports are within their budget
	ruleSlowStart      Rule = "slow-start"      // no server is overloaded by proxies that know of its start
	ruleSomeZone       Rule = "some-zone"       // not all zones are evacuated at once
	ruleServerCapacity Rule = "server-capacity" // no server exceeds its slots and queue (checks the model itself)
	ruleRequest        Rule = "request"         // one answer to each request in time; no forbidden second execution
)

const (
	clientTimeoutSlack   = 100 * ms // after a client's deadline, for proxies with slow clocks
	minInformedFraction  = 2.0 / 3  // of the work that overloads a server: from here on it is a violation
	maxViolationsPerRule = 20       // with details
	dedupWindowSlack     = 50 * ms  // a repetition may be so late
)

// Violation records one violation of a rule.
type Violation struct {
	At     int64 // microseconds of virtual time
	Rule   Rule
	Detail string
}

// String returns the violation with its time in seconds.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f s: %s: %s", float64(v.At)/float64(sec), v.Rule, v.Detail)
}

// seededFault is a defect that a test injects into a run, to see that the checks detect it.
type seededFault int

const (
	seedNone            seededFault = iota
	seedQueueOverLimit              // servers accept one more than their queue holds
	seedTwoAnswers                  // a rejection is answered twice
	seedExecutionHidden             // an attempt that may have been executed is reported as not executed
	seedStartHidden                 // the list hides that a server has just started
	seedUsesExpired                 // entries are used after their expiry
	seedPreviousStart               // a report on a server's previous start counts for the current one
	seedIgnoresEntries              // one proxy ignores all entries
	seedSmallBudget                 // ejections are compared with a tenth of the budget
	seedAllEvacuated                // all zones are reported as evacuated
	seedAcceptsStale                // a paused proxy accepts old gossip as if it had just arrived
)

// checker checks the rules. It shares no state with the code that it checks.
type checker struct {
	sim        *simulation
	violations map[Rule]int
	cluster    clusterCheck
}

func (c *checker) begin(sim *simulation) {
	c.sim, c.violations = sim, map[Rule]int{}
	c.cluster.begin(sim)
}

func (c *checker) violated(r Rule, format string, a ...any) {
	result := &c.sim.result
	result.ViolationCount++
	if c.violations[r]++; c.violations[r] <= maxViolationsPerRule {
		result.Violations = append(result.Violations, Violation{c.sim.now, r, fmt.Sprintf(format, a...)})
	}
}

// afterEvent checks the server that the last event changed.
func (c *checker) afterEvent(sim *simulation) {
	if target := sim.touchedServer; target != nil {
		sim.touchedServer = nil
		if target.inFlight > sim.cfg.Slots || len(target.queue) > sim.cfg.Queue || target.inFlight < 0 {
			c.violated(ruleServerCapacity, "%s has %d in flight and %d queued", target.name, target.inFlight,
				len(target.queue))
		}
	}
}

// checkOverload checks an overloaded server by the fraction of its work that came from proxies that knew of its start.
func (c *checker) checkOverload(target *server, informed float64) {
	if informed >= minInformedFraction {
		c.violated(ruleSlowStart,
			"%s was overloaded %.2f s after its start, %.0f %% of the work by proxies that knew of the start",
			target.name, float64(c.sim.now-target.startedAt)/float64(sec), 100*informed)
	}
}

// checkSend checks an attempt against the request's earlier ones.
func (c *checker) checkSend(p *proxy, req *request, a *attempt) {
	if req.closed {
		c.violated(ruleRequest, "%s sends request %s after it was answered", p.name, req.id)
	}
	if p.listed[a.server.id].State == balancer.ServerRemoved {
		c.violated(ruleRequest, "%s sends request %s to %s, which is not in its list", p.name, req.id,
			a.server.name)
	}
	class := &c.sim.cfg.Classes[req.class]
	for _, earlier := range req.attempts {
		if !earlier.ended {
			c.violated(ruleRequest, "%s has two attempts of request %s in flight", p.name, req.id)
		}
		if !earlier.mayHaveExecuted || class.Idempotency == balancer.Idempotent {
			continue
		}
		sameScope := class.DedupScope == balancer.DedupScopeAll ||
			class.DedupScope == balancer.DedupScopeZone && earlier.zone == a.zone ||
			class.DedupScope == balancer.DedupScopeCell && earlier.server == a.server
		expired := c.sim.now-earlier.sentAt > class.DedupWindow+dedupWindowSlack
		if class.Idempotency == balancer.NonIdempotent || !sameScope || expired {
			c.violated(ruleRequest, "%s sends request %s of class %s again after it may have been executed",
				p.name, req.id, class.Name)
		}
	}
}

// checkAnswer checks a final answer.
func (c *checker) checkAnswer(p *proxy, req *request) {
	if req.closed {
		c.violated(ruleRequest, "%s answers request %s a second time", p.name, req.id)
	}
}

// checkUnanswered checks a request whose client got no answer in time.
func (c *checker) checkUnanswered(p *proxy, req *request) {
	if !req.excused {
		c.violated(ruleRequest, "%s left request %s unanswered after %d attempts", p.name, req.id,
			len(req.attempts))
	}
}
