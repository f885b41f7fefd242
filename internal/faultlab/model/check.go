package model

import (
	"fmt"

	"merlinpick/balancer"
)

// Rule is something that must hold after every event of every run.
type Rule string

const (
	ruleExpiry         Rule = "ends"    // nothing is acted on after its end, nor a verdict on a nodo's former start
	ruleAgreement      Rule = "agree"   // proxies of a zone that hear each other have one view of the zones, but for agreeMost
	ruleEjectionBudget Rule = "budget"  // what is out by verdict is within its part of the tier
	ruleSlowStart      Rule = "cold"    // no nodo tips by what proxies send that know of its start
	ruleSomeZone       Rule = "someone" // not all zones are away at once
	ruleServerCapacity Rule = "nodo"    // no nodo holds more than its slots and its queue (of the model itself)
	ruleRequest        Rule = "request" // one answer to each request in its time; none run twice that must not be
)

const (
	clientTimeoutSlack   = 100 * ms // beyond a client's time, for clocks that run slow
	minInformedFraction  = 2.0 / 3  // of the work that tips a nodo: from here on it is of those who knew
	maxViolationsPerRule = 20       // in full
	dedupWindowSlack     = 50 * ms  // of a class's window
)

// Violation is a rule that was broken.
type Violation struct {
	At     int64
	Rule   Rule
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%.3f s: %s: %s", float64(v.At)/float64(sec), v.Rule, v.Detail)
}

// seeded is a fault of the fleet's own, put in by a test to see it caught.
type seededFault int

const (
	seedNone          seededFault = iota
	seedOverfull                  // nodos take one more than their queue holds
	seedTwoAnswers                // a refusal is answered twice
	seedResend                    // what may have run is given out as never begun
	seedStartHidden               // proxies are told of a nodo's start, not that it was just now
	seedAfterExpiry               // entries are used beyond their end
	seedPreviousStart             // a verdict on a nodo's former start is given out as on the present one
	seedDeaf                      // one proxy takes nothing of what it is told
	seedNoBudget                  // the part that is out is counted as if the tier were a tenth of it
	seedAllEvacuated              // all zones are given out as away
	seedStalled                   // a proxy that was stopped takes what waited in its socket as if it had just come
)

// checker keeps the books that the rules are checked by. They share nothing with what they check.
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
	res := &c.sim.result
	res.ViolationCount++
	if c.violations[r]++; c.violations[r] <= maxViolationsPerRule {
		res.Violations = append(res.Violations, Violation{c.sim.now, r, fmt.Sprintf(format, a...)})
	}
}

// after looks at what the event just now may have touched.
func (c *checker) afterEvent(sim *simulation) {
	if target := sim.touchedServer; target != nil {
		sim.touchedServer = nil
		if target.inFlight > sim.cfg.Slots || len(target.queue) > sim.cfg.Queue || target.inFlight < 0 {
			c.violated(ruleServerCapacity, "%s has %d in work and %d waiting", target.name, target.inFlight, len(target.queue))
		}
	}
}

// tipped judges a nodo that fell over by the part of the work that came from proxies that knew of its start.
func (c *checker) checkOverload(target *server, told float64) {
	if told >= minInformedFraction {
		c.violated(ruleSlowStart, "%s fell %.2f s after its start, %.0f %% of the work from proxies that knew of it", target.name,
			float64(c.sim.now-target.startedAt)/float64(sec), 100*told)
	}
}

// sent judges a send by the request's earlier ones.
func (c *checker) checkSend(p *proxy, req *request, a *attempt) {
	if req.closed {
		c.violated(ruleRequest, "%s sends %s after its end", p.name, req.id)
	}
	if p.listed[a.server.id].State == balancer.ServerRemoved {
		c.violated(ruleRequest, "%s sends %s to %s, which its list does not have", p.name, req.id, a.server.name)
	}
	k := &c.sim.cfg.Classes[req.class]
	for _, e := range req.attempts {
		if !e.ended {
			c.violated(ruleRequest, "%s has two attempts of %s out", p.name, req.id)
		}
		if !e.mayHaveExecuted || k.Idempotency == balancer.Idempotent {
			continue
		}
		same := k.DedupScope == balancer.DedupScopeAll || k.DedupScope == balancer.DedupScopeZone && e.zone == a.zone ||
			k.DedupScope == balancer.DedupScopeCell && e.server == a.server
		if k.Idempotency == balancer.NonIdempotent || !same || c.sim.now-e.sentAt > k.DedupWindow+dedupWindowSlack {
			c.violated(ruleRequest, "%s sends %s of class %s again after it may have run", p.name, req.id, k.Name)
		}
	}
}

// answered judges a final answer as it is given.
func (c *checker) checkAnswer(p *proxy, req *request) {
	if req.closed {
		c.violated(ruleRequest, "%s answers %s again", p.name, req.id)
	}
}

// unanswered judges a request whose client goes without an answer.
func (c *checker) checkUnanswered(p *proxy, req *request) {
	if !req.excused {
		c.violated(ruleRequest, "%s left %s unanswered, with %d sends", p.name, req.id, len(req.attempts))
	}
}
