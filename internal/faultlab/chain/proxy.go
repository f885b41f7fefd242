package chain

import (
	"fmt"

	"merlinpick/balancer"
)

type answer int

const (
	failed answer = iota
	ok
	rejected
)

// proxy is one copy of the module before a tier, as its host.
type proxy struct {
	w              *world
	tier, number   int
	bal            *balancer.Balancer
	calls          map[string]*call
	next           int
	taken, further int
}

// call is a request that the proxy has taken.
type call struct {
	id       string
	giveUp   int64
	reply    func(answer)
	over     bool
	attempts []*attempt
}

type attempt struct {
	p      *proxy
	call   *call
	number int
	sent   int64
	ended  bool
	job    *job // at the server, once it has come there
}

func (w *world) newProxy(tier, number int) (*proxy, error) {
	s := w.cfg.Settings
	s.Tier, s.Replicas, s.ReplicaIndex = tier, w.cfg.Width, number
	bal, err := balancer.New(s, w.cfg.Seed<<16+uint64(tier<<8+number))
	if err != nil {
		return nil, err
	}
	p := &proxy{w: w, tier: tier, number: number, bal: bal, calls: map[string]*call{}}
	var list []balancer.Server
	for i := range w.cfg.Width {
		list = append(list, balancer.Server{ID: fmt.Sprint(i), State: balancer.ServerReady, CapacityHint: 1})
	}
	bal.UpdateEndpoints(w.now, p, balancer.UpdateSnapshot, list)
	w.all = append(w.all, p)
	return p, nil
}

// take takes a call of a caller that waits so long. What it returns has the caller leave.
func (p *proxy) take(wait int64, reply func(answer)) (leave func()) {
	p.next++
	p.taken++
	c := &call{id: fmt.Sprint(p.next), giveUp: p.w.now + wait, reply: reply}
	p.calls[c.id] = c
	p.w.after(wait, func() { p.leave(c) })
	p.bal.HandleRequest(p.w.now, p, balancer.Request{ID: c.id, Tenant: -1, Deadline: c.giveUp})
	return func() { p.leave(c) }
}

// leave ends a call that nobody waits for any more.
func (p *proxy) leave(c *call) {
	if c.over {
		return
	}
	p.end(c, failed)
	p.bal.HandleClientGone(p.w.now, p, c.id)
	for _, a := range c.attempts {
		p.outcome(a, balancer.StatusCancelled)
	}
}

func (p *proxy) end(c *call, what answer) {
	if c.over {
		return
	}
	c.over = true
	delete(p.calls, c.id)
	c.reply(what)
}

// Send implements logic.Host.
func (p *proxy) Send(id, server string, _, timeout int64) {
	c := p.calls[id]
	a := &attempt{p: p, call: c, number: len(c.attempts), sent: p.w.now}
	c.attempts = append(c.attempts, a)
	if a.number > 0 {
		p.further++
	}
	until := c.giveUp
	if timeout != 0 {
		until = min(until, p.w.now+timeout)
	}
	var i int
	fmt.Sscan(server, &i)
	n := p.w.tiers[p.tier][i]
	p.w.after(network, func() { n.come(a, until) })
	if until < c.giveUp {
		p.w.after(until-p.w.now, func() { p.outcome(a, balancer.StatusTimedOut) })
	}
}

// outcome ends an attempt once.
func (p *proxy) outcome(a *attempt, status balancer.Status) {
	if a.ended {
		return
	}
	a.ended = true
	if status == balancer.StatusOK {
		p.end(a.call, ok)
	}
	if (status == balancer.StatusTimedOut || status == balancer.StatusCancelled) && a.job != nil {
		p.w.after(network, a.job.left)
	}
	p.bal.HandleOutcome(p.w.now, p, balancer.Outcome{RequestID: a.call.id, Attempt: a.number, Status: status, Latency: p.w.now - a.sent,
		RequestDone: a.call.over})
}

// Refuse implements logic.Host.
func (p *proxy) Reject(id string, _ int64) {
	if c := p.calls[id]; c != nil {
		p.w.res.Declined[p.tier]++
		p.end(c, rejected)
	}
}

// Fail implements logic.Host.
func (p *proxy) Fail(id string) {
	if c := p.calls[id]; c != nil {
		p.end(c, failed)
	}
}

// SetTimer implements logic.Host.
func (p *proxy) SetTimer(delay int64, token string) {
	p.w.after(delay, func() { p.bal.HandleTimer(p.w.now, p, token) })
}

// Watch implements logic.Host.
func (p *proxy) Watch() {}

// Log implements logic.Host.
func (p *proxy) Log(balancer.Event) {}
