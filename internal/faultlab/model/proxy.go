package model

import (
	"fmt"
	"math/rand/v2"

	"merlinpick/balancer"
)

// epoch is Unix time at the beginning of every run, in microseconds.
const epoch = int64(1_800_000_000) * sec

const (
	tickEvery = 100 * ms // the proxy's loop polls its Balancer so often
	inboxMost = 128      // gossip packets that wait in a stopped proxy's socket; further ones are dropped
)

// proxy is one process of the program: a Balancer, its host, and a clock of its own.
type proxy struct {
	w       *world
	id      int
	name    string
	zone    int
	clockBy int64   // its clock's lead at the run's beginning
	pace    float64 // of its clock
	up      bool
	stopped bool // until it is continued
	since   int64
	downAt  int64 // when it last ended or was stopped
	contAt  int64 // when it was last continued
	life    int
	b       *balancer.Balancer
	reqs    map[string]*request
	told    []balancer.Server // by nodo, as its list has it
	inbox   []func()          // what came while it was stopped
	waits   int               // of it, gossip packets
	fleet   *fleet            // its part in the gossip; nil without peers
}

// request is one that a client has handed to a proxy.
type request struct {
	id      string
	class   int
	work    int64
	came    int64
	giveUp  int64
	closed  bool
	tries   []*attempt
	excused bool // its proxy was stopped or ended meanwhile
}

// place is where an attempt is at its nodo.
type place uint8

const (
	nowhere place = iota
	queued
	held
)

// attempt is one send of a request.
type attempt struct {
	q      *request
	n      int
	p      *proxy
	life   int // the proxy's
	to     *nodo
	zone   int // of the nodo, as listed
	sent   int64
	place  place
	ended  bool // the proxy has its outcome
	mayRun bool
}

func newProxy(w *world, id int, clocks *rand.Rand) *proxy {
	return &proxy{w: w, id: id, name: fmt.Sprintf("p%03d", id), zone: id * w.cfg.Zones / w.cfg.Proxies,
		clockBy: int64((2*clocks.Float64() - 1) * float64(w.cfg.ClockOff)),
		pace:    1 + (2*clocks.Float64()-1)*w.cfg.ClockDrift}
}

// clock is what its clock shows: Unix time, more or less.
func (p *proxy) clock() int64 { return epoch + p.clockBy + int64(float64(p.w.now)*p.pace) }

// lasts is how long a time by its clock really is.
func (p *proxy) lasts(d int64) int64 { return int64(float64(d) / p.pace) }

// start begins the process with nothing known but the list.
func (p *proxy) start() error {
	if p.up {
		return nil
	}
	seed := source(p.w.cfg.Seed, chanceProxies+uint64(p.id)<<32+uint64(p.life)<<8)
	b, err := balancer.New(p.w.cfg.settings(p.id, p.zone), seed.Uint64())
	if err != nil {
		return err
	}
	p.life++
	p.b, p.up, p.stopped, p.since = b, true, false, p.w.now
	p.w.gossip.stir(p.w)
	p.reqs, p.inbox, p.waits = map[string]*request{}, nil, 0
	p.told = make([]balancer.Server, len(p.w.nodos))
	var list []balancer.Server
	for i, n := range p.w.nodos {
		state := balancer.ServerRemoved
		if n.up {
			state = balancer.ServerReady
			list = append(list, n.entry(state))
		}
		p.told[i] = n.entry(state)
	}
	p.b.UpdateEndpoints(p.clock(), p, balancer.UpdateSnapshot, list)
	p.join()
	life := p.life
	p.w.after(seed.Int64N(tickEvery), evTick, p.id, func() { p.deliver(life, func() { p.tick(life) }) })
	return nil
}

// end kills the process: its clients and nodos see their connections end.
func (p *proxy) end() {
	if !p.up {
		return
	}
	p.up, p.stopped, p.inbox, p.downAt = false, false, nil, p.w.now
	p.w.gossip.stir(p.w)
	p.life++
	for _, q := range sortedRequests(p.reqs) {
		for _, a := range q.tries {
			p.w.leave(a)
		}
		if !q.closed {
			q.closed = true
			p.w.res.count(p.w, q, broken)
		}
	}
	p.reqs = nil
}

// stop halts the process as SIGSTOP does, until cont.
func (p *proxy) stop() {
	if p.up && !p.stopped {
		p.stopped, p.downAt = true, p.w.now
		p.w.gossip.stir(p.w)
		for _, q := range p.reqs {
			q.excused = true
		}
	}
}

// cont lets it run again: it finds all that came meanwhile, in order, with its clock far on.
func (p *proxy) cont() {
	if !p.up || !p.stopped {
		return
	}
	p.stopped, p.contAt = false, p.w.now
	p.w.gossip.stir(p.w)
	for len(p.inbox) > 0 && p.up && !p.stopped {
		do := p.inbox[0]
		p.inbox = p.inbox[1:]
		do()
	}
	p.waits = 0
}

// deliver has the process take something, now or when it is continued; never one that began since.
func (p *proxy) deliver(life int, do func()) {
	switch {
	case !p.up || p.life != life:
	case p.stopped:
		p.inbox = append(p.inbox, func() { p.deliver(life, do) })
	default:
		do()
	}
}

// tick is one turn of the loop that polls the Balancer.
func (p *proxy) tick(life int) {
	if p.fleet != nil {
		p.exchange()
	}
	p.w.after(p.lasts(tickEvery), evTick, p.id, func() { p.deliver(life, func() { p.tick(life) }) })
}

// list brings a change of the list to every proxy.
func (w *world) list(n *nodo, state balancer.ServerState, delay int64) {
	e, starts := n.entry(state), n.starts
	for _, p := range w.proxies {
		w.after(delay+w.net.delay(0, p.zone), evList, p.id, func() {
			p.deliver(p.life, func() {
				if n.starts != starts { // superseded
					return
				}
				p.told[n.id] = e
				said := e
				if w.cfg.seeded == seedStartUntold {
					said.StartTime = 0
				}
				p.b.UpdateEndpoints(p.clock(), p, balancer.UpdateDelta, []balancer.Server{said})
			})
		})
	}
}

// take hands over a client's request.
func (p *proxy) take(q *request) {
	p.reqs[q.id] = q
	left := int64(float64(q.giveUp-p.w.now) * p.pace)
	p.b.HandleRequest(p.clock(), p, balancer.Request{ID: q.id, Class: q.class, Deadline: p.clock() + left})
}

// Send, Refuse, Fail, SetTimer, Watch and Log make a proxy its Balancer's host.
func (p *proxy) Send(id, server string, _, timeout int64) {
	w, q := p.w, p.reqs[id]
	if q == nil {
		w.check.fault(ruleRequest, "%s sent %s, which it does not have", p.name, id)
		return
	}
	n := w.nodoNamed(server)
	w.note(evSend, p.id, int64(n.id))
	a := &attempt{q: q, n: len(q.tries), p: p, life: p.life, to: n, zone: n.zone, sent: w.now, mayRun: true}
	w.check.sent(p, q, a)
	q.tries = append(q.tries, a)
	w.res.sent(w, a)
	if timeout == 0 {
		timeout = int64(float64(q.giveUp-w.now) * p.pace)
	}
	w.after(p.lasts(timeout), evTimeout, p.id, func() { p.deliver(a.life, func() { p.outcome(a, balancer.StatusTimedOut) }) })
	if n.dark > 0 || !w.net.open(p.zone, n.zone) {
		w.after(p.lasts(w.cfg.Dial), evOutcome, p.id, func() { p.deliver(a.life, func() { p.outcome(a, balancer.StatusConnectFailed) }) })
		return
	}
	w.after(w.net.delay(p.zone, n.zone), evAttempt, n.id, func() {
		if !a.ended { // its caller has gone before it came
			n.take(a)
		}
	})
}

// outcome brings the end of an attempt to the Balancer.
func (p *proxy) outcome(a *attempt, s balancer.Status) {
	if a.ended {
		return
	}
	a.ended = true
	a.mayRun = s != balancer.StatusRejected && s != balancer.StatusConnectFailed
	if p.w.cfg.seeded == seedResend && s == balancer.StatusReset {
		s = balancer.StatusConnectFailed
	}
	p.w.leave(a)
	if s == balancer.StatusOK && !a.q.closed {
		p.close(a.q, served)
	}
	p.b.HandleOutcome(p.clock(), p, balancer.Outcome{RequestID: a.q.id, Attempt: a.n, Status: s, RequestDone: a.q.closed,
		Latency: int64(float64(p.w.now-a.sent) * p.pace)})
	if a.q.closed {
		p.forget(a.q)
	}
}

// leave tells an attempt's nodo that its caller has gone.
func (w *world) leave(a *attempt) {
	a.ended = true
	if a.place == queued {
		w.after(w.net.delay(a.p.zone, a.to.zone), evAttempt, a.to.id, func() { a.to.leave(a) })
	}
}

// close ends a request towards its client.
func (p *proxy) close(q *request, e end) {
	p.w.check.answered(p, q)
	if q.closed {
		return
	}
	q.closed = true
	p.w.res.count(p.w, q, e)
	if p.w.cfg.seeded == seedTwoAnswers && e == refused {
		p.w.check.answered(p, q)
	}
}

func (p *proxy) forget(q *request) {
	for _, a := range q.tries {
		if !a.ended {
			return
		}
	}
	delete(p.reqs, q.id)
}

func (p *proxy) Reject(id string, after int64) { p.final(id, evRefuse, refused) }
func (p *proxy) Fail(id string)                { p.final(id, evFail, failed) }

func (p *proxy) final(id string, k kind, e end) {
	p.w.note(k, p.id, 0)
	q := p.reqs[id]
	if q == nil {
		p.w.check.fault(ruleRequest, "%s answers %s, which it does not have", p.name, id)
		return
	}
	p.close(q, e)
	p.forget(q)
}

func (p *proxy) SetTimer(delay int64, token string) {
	life := p.life
	p.w.after(p.lasts(delay), evTimer, p.id, func() {
		p.deliver(life, func() { p.b.HandleTimer(p.clock(), p, token) })
	})
}

func (p *proxy) Watch() {}
func (p *proxy) Log(event balancer.Event) {
	if p.w.cfg.log != nil {
		p.w.cfg.log(p.w.now, p.name, event.String())
	}
}

// withdraw is the client's going: its time is over.
func (p *proxy) withdraw(q *request) {
	if q.closed {
		return
	}
	p.w.check.unanswered(p, q)
	q.closed = true
	p.w.res.count(p.w, q, unanswered)
	p.b.HandleClientGone(p.clock(), p, q.id)
	for _, a := range q.tries {
		if !a.ended {
			p.outcome(a, balancer.StatusCancelled)
		}
	}
	p.forget(q)
}
