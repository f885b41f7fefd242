package model

import (
	"fmt"

	"merlinpick/balancer"
)

// Rule is something that must hold after every event of every run.
type Rule string

const (
	ruleEnds    Rule = "ends"    // nothing is acted on after its end, nor a verdict on a nodo's former start
	ruleAgree   Rule = "agree"   // proxies of a zone that hear each other have one view of the zones, but for agreeMost
	ruleBudget  Rule = "budget"  // what is out by verdict is within its part of the tier
	ruleCold    Rule = "cold"    // no nodo tips by what proxies send that know of its start
	ruleSomeone Rule = "someone" // not all zones are away at once
	ruleNodo    Rule = "nodo"    // no nodo holds more than its slots and its queue (of the model itself)
	ruleRequest Rule = "request" // one answer to each request in its time; none run twice that must not be
)

const (
	slack      = 100 * ms // beyond a client's time, for clocks that run slow
	toldPart   = 2.0 / 3  // of the work that tips a nodo: from here on it is of those who knew
	faultsKept = 20       // in full
	keyedSlack = 50 * ms  // of a class's window
)

// Violation is a rule that was broken.
type Violation struct {
	At   int64
	Rule Rule
	What string
}

func (v Violation) String() string {
	return fmt.Sprintf("%.3f s: %s: %s", float64(v.At)/float64(sec), v.Rule, v.What)
}

// seeded is a fault of the fleet's own, put in by a test to see it caught.
type seeded int

const (
	seedNone        seeded = iota
	seedOverfull           // nodos take one more than their queue holds
	seedTwoAnswers         // a refusal is answered twice
	seedResend             // what may have run is given out as never begun
	seedStartUntold        // proxies are told of a nodo's start, not that it was just now
	seedAfterEnd           // entries are used beyond their end
	seedFormer             // a verdict on a nodo's former start is given out as on the present one
	seedDeaf               // one proxy takes nothing of what it is told
	seedNoBudget           // the part that is out is counted as if the tier were a tenth of it
	seedAllAway            // all zones are given out as away
	seedStalled            // a proxy that was stopped takes what waited in its socket as if it had just come
)

// checker keeps the books that the rules are checked by. They share nothing with what they check.
type checker struct {
	w       *world
	faulted map[Rule]int
	fleet   fleetCheck
}

func (c *checker) begin(w *world) {
	c.w, c.faulted = w, map[Rule]int{}
	c.fleet.begin(w)
}

func (c *checker) fault(r Rule, format string, a ...any) {
	res := &c.w.res
	res.Broken++
	if c.faulted[r]++; c.faulted[r] <= faultsKept {
		res.Violations = append(res.Violations, Violation{c.w.now, r, fmt.Sprintf(format, a...)})
	}
}

// after looks at what the event just now may have touched.
func (c *checker) after(w *world) {
	if n := w.touched; n != nil {
		w.touched = nil
		if n.busy > w.cfg.Slots || len(n.queue) > w.cfg.Queue || n.busy < 0 {
			c.fault(ruleNodo, "%s has %d in work and %d waiting", n.name, n.busy, len(n.queue))
		}
	}
}

// tipped judges a nodo that fell over by the part of the work that came from proxies that knew of its start.
func (c *checker) tipped(n *nodo, told float64) {
	if told >= toldPart {
		c.fault(ruleCold, "%s fell %.2f s after its start, %.0f %% of the work from proxies that knew of it", n.name,
			float64(c.w.now-n.since)/float64(sec), 100*told)
	}
}

// sent judges a send by the request's earlier ones.
func (c *checker) sent(p *proxy, q *request, a *attempt) {
	if q.closed {
		c.fault(ruleRequest, "%s sends %s after its end", p.name, q.id)
	}
	if p.told[a.to.id].State == balancer.ServerRemoved {
		c.fault(ruleRequest, "%s sends %s to %s, which its list does not have", p.name, q.id, a.to.name)
	}
	k := &c.w.cfg.Classes[q.class]
	for _, e := range q.tries {
		if !e.ended {
			c.fault(ruleRequest, "%s has two attempts of %s out", p.name, q.id)
		}
		if !e.mayRun || k.Idempotency == balancer.Idempotent {
			continue
		}
		same := k.DedupScope == balancer.DedupScopeAll || k.DedupScope == balancer.DedupScopeZone && e.zone == a.zone ||
			k.DedupScope == balancer.DedupScopeCell && e.to == a.to
		if k.Idempotency == balancer.NonIdempotent || !same || c.w.now-e.sent > k.DedupWindow+keyedSlack {
			c.fault(ruleRequest, "%s sends %s of class %s again after it may have run", p.name, q.id, k.Name)
		}
	}
}

// answered judges a final answer as it is given.
func (c *checker) answered(p *proxy, q *request) {
	if q.closed {
		c.fault(ruleRequest, "%s answers %s again", p.name, q.id)
	}
}

// unanswered judges a request whose client goes without an answer.
func (c *checker) unanswered(p *proxy, q *request) {
	if !q.excused {
		c.fault(ruleRequest, "%s left %s unanswered, with %d sends", p.name, q.id, len(q.tries))
	}
}
