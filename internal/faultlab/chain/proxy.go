package chain

import (
	"fmt"
	"strconv"

	"merlinpick/balancer"
)

// callResult says how a call ended for its caller.
type callResult int

const (
	failed callResult = iota
	succeeded
	rejected
)

// proxy is a balancer before a tier and its balancer.Host.
type proxy struct {
	sim     *simulation
	tier    int
	number  int
	policy  *balancer.Balancer
	calls   map[string]*call // in progress, by id
	lastID  int
	handled int // calls
	retries int // attempts, without the first one of each call
}

// call is a request in progress.
type call struct {
	id       string
	deadline int64
	reply    func(callResult)
	finished bool
	attempts []*attempt
}

// attempt is one attempt of a call at a server.
type attempt struct {
	proxy    *proxy
	call     *call
	number   int
	sent     int64
	finished bool
	job      *job // at the server, once it has arrived there
}

// newProxy adds a proxy whose endpoint list contains all servers of the tier.
func (sim *simulation) newProxy(tier, number int) (*proxy, error) {
	settings := sim.config.Settings
	settings.Tier, settings.Replicas, settings.ReplicaIndex = tier, sim.config.Width, number
	policy, err := balancer.New(settings, sim.config.Seed<<16+uint64(tier<<8+number))
	if err != nil {
		return nil, err
	}
	p := &proxy{sim: sim, tier: tier, number: number, policy: policy, calls: map[string]*call{}}
	var servers []balancer.Server
	for i := range sim.config.Width {
		servers = append(servers, balancer.Server{ID: fmt.Sprint(i), State: balancer.ServerReady, CapacityHint: 1})
	}
	policy.UpdateEndpoints(sim.now, p, balancer.UpdateSnapshot, servers)
	sim.proxies = append(sim.proxies, p)
	return p, nil
}

// handle starts a call with a timeout. The function that it returns cancels the call.
func (p *proxy) handle(timeout int64, reply func(callResult)) (cancel func()) {
	p.lastID++
	p.handled++
	c := &call{id: fmt.Sprint(p.lastID), deadline: p.sim.now + timeout, reply: reply}
	p.calls[c.id] = c
	p.sim.after(timeout, func() { p.cancel(c) })
	p.policy.HandleRequest(p.sim.now, p, balancer.Request{ID: c.id, Tenant: -1, Deadline: c.deadline})
	return func() { p.cancel(c) }
}

// cancel ends a call that its caller cancelled or that timed out.
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

// finish ends a call once.
func (p *proxy) finish(c *call, result callResult) {
	if c.finished {
		return
	}
	c.finished = true
	delete(p.calls, c.id)
	c.reply(result)
}

// Send implements balancer.Host.
func (p *proxy) Send(id, server string, _, timeout int64) {
	c := p.calls[id]
	a := &attempt{proxy: p, call: c, number: len(c.attempts), sent: p.sim.now}
	c.attempts = append(c.attempts, a)
	if a.number > 0 {
		p.retries++
	}
	deadline := c.deadline
	if timeout != 0 {
		deadline = min(deadline, p.sim.now+timeout)
	}
	number, err := strconv.Atoi(server)
	if err != nil {
		panic("chain: server not listed: " + server)
	}
	target := p.sim.tiers[p.tier][number]
	p.sim.after(networkDelay, func() { target.receive(a, deadline) })
	if deadline < c.deadline {
		p.sim.after(deadline-p.sim.now, func() { p.finishAttempt(a, balancer.StatusTimedOut) })
	}
}

// finishAttempt ends an attempt once, and its call if it succeeded.
func (p *proxy) finishAttempt(a *attempt, status balancer.Status) {
	if a.finished {
		return
	}
	a.finished = true
	if status == balancer.StatusOK {
		p.finish(a.call, succeeded)
	}
	if (status == balancer.StatusTimedOut || status == balancer.StatusCancelled) && a.job != nil {
		p.sim.after(networkDelay, a.job.cancel)
	}
	p.policy.HandleOutcome(p.sim.now, p, balancer.Outcome{RequestID: a.call.id, Attempt: a.number, Status: status, Latency: p.sim.now - a.sent,
		RequestDone: a.call.finished})
}

// Reject implements balancer.Host.
func (p *proxy) Reject(id string, _ int64) {
	if c := p.calls[id]; c != nil {
		p.sim.result.RejectedBefore[p.tier]++
		p.finish(c, rejected)
	}
}

// Fail implements balancer.Host.
func (p *proxy) Fail(id string) {
	if c := p.calls[id]; c != nil {
		p.finish(c, failed)
	}
}

// SetTimer implements balancer.Host.
func (p *proxy) SetTimer(delay int64, token string) {
	p.sim.after(delay, func() { p.policy.HandleTimer(p.sim.now, p, token) })
}

// Watch implements balancer.Host.
func (p *proxy) Watch() {}

// Log implements balancer.Host.
func (p *proxy) Log(balancer.Event) {}
