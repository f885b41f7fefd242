package chain

import (
	"fmt"

	"merlinpick/balancer"
)

type callResult int

const (
	failed callResult = iota
	succeeded
	rejected
)

// proxy is one copy of the module before a tier, as its host.
type proxy struct {
	sim              *simulation
	tier, number     int
	policy           *balancer.Balancer
	calls            map[string]*call
	lastID           int
	handled, retries int
}

// call is a request that the proxy has taken.
type call struct {
	id       string
	deadline int64
	reply    func(callResult)
	finished bool
	attempts []*attempt
}

type attempt struct {
	proxy    *proxy
	call     *call
	number   int
	sent     int64
	finished bool
	job      *job // at the server, once it has come there
}

func (w *simulation) newProxy(tier, number int) (*proxy, error) {
	s := w.config.Settings
	s.Tier, s.Replicas, s.ReplicaIndex = tier, w.config.Width, number
	bal, err := balancer.New(s, w.config.Seed<<16+uint64(tier<<8+number))
	if err != nil {
		return nil, err
	}
	p := &proxy{sim: w, tier: tier, number: number, policy: bal, calls: map[string]*call{}}
	var list []balancer.Server
	for i := range w.config.Width {
		list = append(list, balancer.Server{ID: fmt.Sprint(i), State: balancer.ServerReady, CapacityHint: 1})
	}
	bal.UpdateEndpoints(w.now, p, balancer.UpdateSnapshot, list)
	w.proxies = append(w.proxies, p)
	return p, nil
}

// take takes a call of a caller that waits so long. What it returns has the caller leave.
func (p *proxy) handle(wait int64, reply func(callResult)) (leave func()) {
	p.lastID++
	p.handled++
	c := &call{id: fmt.Sprint(p.lastID), deadline: p.sim.now + wait, reply: reply}
	p.calls[c.id] = c
	p.sim.after(wait, func() { p.cancel(c) })
	p.policy.HandleRequest(p.sim.now, p, balancer.Request{ID: c.id, Tenant: -1, Deadline: c.deadline})
	return func() { p.cancel(c) }
}

// leave ends a call that nobody waits for any more.
func (p *proxy) cancel(c *call) {
	if c.finished {
		return
	}
	p.finish(c, failed)
	p.policy.HandleClientGone(p.sim.now, p, c.id)
	for _, a := range c.attempts {
		p.finishAttempt(a, balancer.StatusCancelled)
	}
}

func (p *proxy) finish(c *call, what callResult) {
	if c.finished {
		return
	}
	c.finished = true
	delete(p.calls, c.id)
	c.reply(what)
}

// Send implements logic.Host.
func (p *proxy) Send(id, server string, _, timeout int64) {
	c := p.calls[id]
	a := &attempt{proxy: p, call: c, number: len(c.attempts), sent: p.sim.now}
	c.attempts = append(c.attempts, a)
	if a.number > 0 {
		p.retries++
	}
	until := c.deadline
	if timeout != 0 {
		until = min(until, p.sim.now+timeout)
	}
	var i int
	fmt.Sscan(server, &i)
	n := p.sim.tiers[p.tier][i]
	p.sim.after(network, func() { n.receive(a, until) })
	if until < c.deadline {
		p.sim.after(until-p.sim.now, func() { p.finishAttempt(a, balancer.StatusTimedOut) })
	}
}

// outcome ends an attempt once.
func (p *proxy) finishAttempt(a *attempt, status balancer.Status) {
	if a.finished {
		return
	}
	a.finished = true
	if status == balancer.StatusOK {
		p.finish(a.call, succeeded)
	}
	if (status == balancer.StatusTimedOut || status == balancer.StatusCancelled) && a.job != nil {
		p.sim.after(network, a.job.cancel)
	}
	p.policy.HandleOutcome(p.sim.now, p, balancer.Outcome{RequestID: a.call.id, Attempt: a.number, Status: status, Latency: p.sim.now - a.sent,
		RequestDone: a.call.finished})
}

// Refuse implements logic.Host.
func (p *proxy) Reject(id string, _ int64) {
	if c := p.calls[id]; c != nil {
		p.sim.result.RejectedBefore[p.tier]++
		p.finish(c, rejected)
	}
}

// Fail implements logic.Host.
func (p *proxy) Fail(id string) {
	if c := p.calls[id]; c != nil {
		p.finish(c, failed)
	}
}

// SetTimer implements logic.Host.
func (p *proxy) SetTimer(delay int64, token string) {
	p.sim.after(delay, func() { p.policy.HandleTimer(p.sim.now, p, token) })
}

// Watch implements logic.Host.
func (p *proxy) Watch() {}

// Log implements logic.Host.
func (p *proxy) Log(balancer.Event) {}
