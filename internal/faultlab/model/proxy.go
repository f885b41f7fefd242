package model

import (
	"fmt"
	"math/rand/v2"

	"merlinpick/balancer"
)

// epoch is the Unix time at the start of each run, in microseconds.
const epoch = int64(1_800_000_000) * sec

const (
	loopInterval   = 100 * ms // of the proxy's loop
	maxInboxGossip = 128      // gossip packets in a paused proxy's socket; more are dropped
)

// proxy simulates one process of the program: a balancer, its host, and a clock.
type proxy struct {
	sim         *simulation
	id          int
	name        string
	zone        int
	clockOffset int64   // of its clock, at the start of the run
	clockRate   float64 // of its clock; 1 is exact
	up          bool
	stopped     bool // paused, until it is resumed
	startedAt   int64
	downAt      int64 // when it last ended or was paused
	resumedAt   int64 // when it was last resumed
	incarnation int
	balancer    *balancer.Balancer
	requests    map[string]*request
	listed      []balancer.Server // as the proxy knows them, by server
	inbox       []func()          // handlers of what arrived while it was paused
	inboxGossip int               // gossip packets in the inbox
	cluster     *clusterMember    // nil without a cluster
}

// request is a client's request at a proxy.
type request struct {
	id        string
	class     int
	work      int64 // microseconds on a slot of speed 1
	arrivedAt int64
	deadline  int64
	closed    bool // answered, or the client is gone
	attempts  []*attempt
	excused   bool // it may stay unanswered, since its proxy was paused meanwhile
}

// attemptPlace says where an attempt is at its server.
type attemptPlace uint8

const (
	placeNone attemptPlace = iota
	placeQueued
	placeInSlot
)

// attempt is one attempt of a request at a server.
type attempt struct {
	request         *request
	number          int
	proxy           *proxy
	incarnation     int // of the proxy
	server          *server
	zone            int // of the server, as listed
	sentAt          int64
	place           attemptPlace
	ended           bool // the proxy has its outcome
	mayHaveExecuted bool
}

func newProxy(sim *simulation, id int, clocks *rand.Rand) *proxy {
	return &proxy{sim: sim, id: id, name: fmt.Sprintf("p%03d", id), zone: id * sim.cfg.Zones / sim.cfg.Proxies,
		clockOffset: int64((2*clocks.Float64() - 1) * float64(sim.cfg.MaxClockOffset)),
		clockRate:   1 + (2*clocks.Float64()-1)*sim.cfg.MaxClockDrift}
}

// clock returns the Unix time by the proxy's clock, in microseconds.
func (p *proxy) clock() int64 { return epoch + p.clockOffset + int64(float64(p.sim.now)*p.clockRate) }

// realDuration converts a duration by the proxy's clock to virtual time.
func (p *proxy) realDuration(d int64) int64 { return int64(float64(d) / p.clockRate) }

// start starts the process with the endpoint list and no other state.
func (p *proxy) start() error {
	if p.up {
		return nil
	}
	seed := source(p.sim.cfg.Seed, streamProxies+uint64(p.id)<<32+uint64(p.incarnation)<<8)
	b, err := balancer.New(p.sim.cfg.settings(p.id, p.zone), seed.Uint64())
	if err != nil {
		return err
	}
	p.incarnation++
	p.balancer, p.up, p.stopped, p.startedAt = b, true, false, p.sim.now
	p.sim.gossip.membershipChanged(p.sim)
	p.requests, p.inbox, p.inboxGossip = map[string]*request{}, nil, 0
	p.listed = make([]balancer.Server, len(p.sim.servers))
	var list []balancer.Server
	for i, target := range p.sim.servers {
		state := balancer.ServerRemoved
		if target.up {
			state = balancer.ServerReady
			list = append(list, target.entry(state))
		}
		p.listed[i] = target.entry(state)
	}
	p.balancer.UpdateEndpoints(p.clock(), p, balancer.UpdateSnapshot, list)
	p.joinCluster()
	incarnation := p.incarnation
	p.after(seed.Int64N(loopInterval), evTick, incarnation, func() { p.tick(incarnation) })
	return nil
}

// kill ends the process: the connections to its clients and servers break.
func (p *proxy) kill() {
	if !p.up {
		return
	}
	p.up, p.stopped, p.inbox, p.downAt = false, false, nil, p.sim.now
	p.sim.gossip.membershipChanged(p.sim)
	p.incarnation++
	for _, req := range sortedRequests(p.requests) {
		for _, a := range req.attempts {
			p.sim.cancelAttempt(a)
		}
		if !req.closed {
			req.closed = true
			p.sim.result.countEnd(p.sim, req, endProxyKilled)
		}
	}
	p.requests = nil
}

// pause stops the process like SIGSTOP, until resume is called.
func (p *proxy) pause() {
	if p.up && !p.stopped {
		p.stopped, p.downAt = true, p.sim.now
		p.sim.gossip.membershipChanged(p.sim)
		for _, req := range p.requests {
			req.excused = true
		}
	}
}

// resume continues the process: it handles everything that arrived meanwhile, in order, with its clock
// advanced.
func (p *proxy) resume() {
	if !p.up || !p.stopped {
		return
	}
	p.stopped, p.resumedAt = false, p.sim.now
	p.sim.gossip.membershipChanged(p.sim)
	for len(p.inbox) > 0 && p.up && !p.stopped {
		run := p.inbox[0]
		p.inbox = p.inbox[1:]
		run()
	}
	p.inboxGossip = 0
}

// deliver calls run in the process now, or once it is resumed, but not in a later incarnation.
func (p *proxy) deliver(incarnation int, run func()) {
	switch {
	case !p.up || p.incarnation != incarnation:
	case p.stopped:
		p.inbox = append(p.inbox, func() { p.deliver(incarnation, run) })
	default:
		run()
	}
}

// after schedules run in the process, unless another incarnation runs by then.
func (p *proxy) after(delay int64, kind eventKind, incarnation int, run func()) {
	p.sim.after(delay, kind, p.id, func() { p.deliver(incarnation, run) })
}

// tick is one iteration of the proxy's loop.
func (p *proxy) tick(incarnation int) {
	if p.cluster != nil {
		p.exchangeReports()
	}
	p.after(p.realDuration(loopInterval), evTick, incarnation, func() { p.tick(incarnation) })
}

// announce delivers a change of the endpoint list to every proxy.
func (sim *simulation) announce(target *server, state balancer.ServerState, delay int64) {
	e, generation := target.entry(state), target.generation
	for _, p := range sim.proxies {
		sim.after(delay+sim.network.delay(0, p.zone), evList, p.id, func() {
			p.deliver(p.incarnation, func() {
				if target.generation != generation { // superseded
					return
				}
				p.listed[target.id] = e
				announced := e
				if sim.cfg.seeded == seedStartHidden {
					announced.StartTime = 0
				}
				p.balancer.UpdateEndpoints(p.clock(), p, balancer.UpdateDelta, []balancer.Server{announced})
			})
		})
	}
}

// handle passes a client's request to the balancer.
func (p *proxy) handle(req *request) {
	p.requests[req.id] = req
	left := int64(float64(req.deadline-p.sim.now) * p.clockRate)
	p.balancer.HandleRequest(p.clock(), p, balancer.Request{ID: req.id, Class: req.class, Deadline: p.clock() + left})
}

// Send implements balancer.Host.
func (p *proxy) Send(id, server string, _, timeout int64) {
	sim, req := p.sim, p.requests[id]
	if req == nil {
		sim.check.violated(ruleRequest, "%s sent request %s, which it does not have", p.name, id)
		return
	}
	target := sim.serverByName(server)
	sim.record(evSend, p.id, int64(target.id))
	a := &attempt{request: req, number: len(req.attempts), proxy: p, incarnation: p.incarnation, server: target,
		zone: target.zone, sentAt: sim.now, mayHaveExecuted: true}
	sim.check.checkSend(p, req, a)
	req.attempts = append(req.attempts, a)
	sim.result.countSend(sim, a)
	if timeout == 0 {
		timeout = int64(float64(req.deadline-sim.now) * p.clockRate)
	}
	p.after(p.realDuration(timeout), evTimeout, a.incarnation, func() { p.outcome(a, balancer.StatusTimedOut) })
	if target.zoneLosses > 0 || !sim.network.passesRequests(p.zone, target.zone) {
		p.after(p.realDuration(sim.cfg.DialTimeout), evOutcome, a.incarnation, func() { p.outcome(a, balancer.StatusConnectFailed) })
		return
	}
	sim.after(sim.network.delay(p.zone, target.zone), evAttempt, target.id, func() {
		if !a.ended { // else it was cancelled before it arrived
			target.accept(a)
		}
	})
}

// outcome reports the end of an attempt to the balancer.
func (p *proxy) outcome(a *attempt, status balancer.Status) {
	if a.ended {
		return
	}
	a.ended = true
	a.mayHaveExecuted = status != balancer.StatusRejected && status != balancer.StatusConnectFailed
	if p.sim.cfg.seeded == seedExecutionHidden && status == balancer.StatusReset {
		status = balancer.StatusConnectFailed
	}
	p.sim.cancelAttempt(a)
	if status == balancer.StatusOK && !a.request.closed {
		p.closeRequest(a.request, endServed)
	}
	p.balancer.HandleOutcome(p.clock(), p,
		balancer.Outcome{RequestID: a.request.id, Attempt: a.number, Status: status,
			RequestDone: a.request.closed,
			Latency:     int64(float64(p.sim.now-a.sentAt) * p.clockRate)})
	if a.request.closed {
		p.removeIfDone(a.request)
	}
}

// cancelAttempt ends an attempt and removes it from its server's queue.
func (sim *simulation) cancelAttempt(a *attempt) {
	a.ended = true
	if a.place == placeQueued {
		sim.after(sim.network.delay(a.proxy.zone, a.server.zone), evAttempt, a.server.id,
			func() { a.server.dropQueued(a) })
	}
}

// closeRequest ends a request for its client.
func (p *proxy) closeRequest(req *request, end requestEnd) {
	p.sim.check.checkAnswer(p, req)
	if req.closed {
		return
	}
	req.closed = true
	p.sim.result.countEnd(p.sim, req, end)
	if p.sim.cfg.seeded == seedTwoAnswers && end == endRejected {
		p.sim.check.checkAnswer(p, req)
	}
}

func (p *proxy) removeIfDone(req *request) {
	for _, a := range req.attempts {
		if !a.ended {
			return
		}
	}
	delete(p.requests, req.id)
}

// Reject implements balancer.Host.
func (p *proxy) Reject(id string, after int64) { p.answer(id, evReject, endRejected) }

// Fail implements balancer.Host.
func (p *proxy) Fail(id string) { p.answer(id, evFail, endFailed) }

func (p *proxy) answer(id string, kind eventKind, end requestEnd) {
	p.sim.record(kind, p.id, 0)
	req := p.requests[id]
	if req == nil {
		p.sim.check.violated(ruleRequest, "%s answers request %s, which it does not have", p.name, id)
		return
	}
	p.closeRequest(req, end)
	p.removeIfDone(req)
}

// SetTimer implements balancer.Host.
func (p *proxy) SetTimer(delay int64, token string) {
	incarnation := p.incarnation
	p.sim.after(p.realDuration(delay), evTimer, p.id, func() {
		p.deliver(incarnation, func() { p.balancer.HandleTimer(p.clock(), p, token) })
	})
}

// Watch implements balancer.Host.
func (p *proxy) Watch() {}

// Log implements balancer.Host.
func (p *proxy) Log(event balancer.Event) {
	if p.sim.cfg.log != nil {
		p.sim.cfg.log(p.sim.now, p.name, event.String())
	}
}

// cancel ends a request whose client has given up.
func (p *proxy) cancel(req *request) {
	if req.closed {
		return
	}
	p.sim.check.checkUnanswered(p, req)
	req.closed = true
	p.sim.result.countEnd(p.sim, req, endUnanswered)
	p.balancer.HandleClientGone(p.clock(), p, req.id)
	for _, a := range req.attempts {
		if !a.ended {
			p.outcome(a, balancer.StatusCancelled)
		}
	}
	p.removeIfDone(req)
}
