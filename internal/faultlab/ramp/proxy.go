package ramp

import (
	"fmt"

	"merlinpick/balancer"
)

// proxy is one process: a balancer, its endpoint list, and its clients. Its rate is in requests a second.
type proxy struct {
	sim          *simulation
	id           int
	zone         int
	rate         float64
	balancer     *balancer.Balancer
	incarnation  int
	listedStarts map[string]int64 // start time by server
	requests     map[string]*request
}

type request struct {
	balancer.Request
	clientAttempts int
	attempts       int
	done           bool
}

type attempt struct {
	proxy       *proxy
	request     *request
	number      int
	incarnation int
	sentAt      int64
	work        float64
	ended       bool
}

func (sim *simulation) classes() []balancer.Class {
	objective := max(500*ms, int64(12*sim.meanWork))
	return []balancer.Class{
		{Name: "once", LatencyObjective: objective, Deadline: 3 * objective, PriorityWeight: 10,
			Idempotency: balancer.NonIdempotent},
		{Name: "keyed", LatencyObjective: objective, Deadline: 3 * objective, PriorityWeight: 3,
			LateWeight: 0.3, Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupScopeZone, DedupWindow: 5 * sec},
		{Name: "safe", LatencyObjective: objective, Deadline: 3 * objective, PriorityWeight: 1,
			LateWeight: 0.3, Idempotency: balancer.Idempotent},
	}
}

// start starts the process with the settings, the endpoint list and no other state.
func (p *proxy) start() {
	sim := p.sim
	b, err := balancer.New(sim.settings(p), sim.Seed*1000+uint64(p.id)+uint64(p.incarnation)<<40)
	if err != nil {
		panic(err)
	}
	p.balancer, p.listedStarts, p.requests = b, map[string]int64{}, map[string]*request{}
	p.incarnation++
	var list []balancer.Server
	for _, s := range sim.servers {
		if s.state != balancer.ServerRemoved {
			list = append(list, s.endpoint())
			p.listedStarts[s.id] = s.startTime
		}
	}
	b.UpdateEndpoints(sim.now, p, balancer.UpdateSnapshot, list)
}

// sendUpdate delivers an endpoint to the process after a delay, unless the process restarts before.
func (p *proxy) sendUpdate(e balancer.Server, after int64) {
	incarnation := p.incarnation
	p.sim.after(after, func() {
		if p.incarnation == incarnation {
			p.listedStarts[e.ID] = e.StartTime
			p.balancer.UpdateEndpoints(p.sim.now, p, balancer.UpdateDelta, []balancer.Server{e})
		}
	})
}

// nextArrival handles a new request and schedules the next one.
func (p *proxy) nextArrival() {
	p.sim.after(int64(p.sim.random.ExpFloat64()*1e6/(p.rate*p.sim.rateFactor)), p.nextArrival)
	p.request(p.sim.random.IntN(3), 0)
}

// request makes a request that clients have already attempted the given number of times.
func (p *proxy) request(class, clientAttempts int) {
	sim := p.sim
	sim.requestCount++
	req := &request{clientAttempts: clientAttempts,
		Request: balancer.Request{ID: fmt.Sprint(sim.requestCount), Class: class, Tenant: -1}}
	req.Deadline = sim.now + sim.classes()[class].Deadline
	p.requests[req.ID] = req
	if sim.now >= 1000*sec+scenarioStart {
		sim.sinceScenario.requests++
	}
	p.balancer.HandleRequest(sim.now, p, req.Request)
}

// Send implements balancer.Host.
func (p *proxy) Send(id, server string, _, timeout int64) {
	req := p.requests[id]
	a := &attempt{proxy: p, request: req, number: req.attempts, incarnation: p.incarnation,
		sentAt: p.sim.now, work: 0.4 + 1.2*p.sim.random.Float64()}
	req.attempts++
	s, delay := p.sim.serverByID[server], ms
	if s.zone != p.zone {
		delay = 10 * ms
	}
	p.sim.after(delay, func() { s.accept(a) })
	if timeout == 0 {
		timeout = req.Deadline - p.sim.now
	}
	p.sim.after(timeout, func() { a.finish(balancer.StatusTimedOut, 0) })
}

// Reject implements balancer.Host.
func (p *proxy) Reject(id string, after int64) {
	req := p.requests[id]
	if req.attempts == 0 && p.sim.now >= 1000*sec+scenarioStart {
		p.sim.sinceScenario.rejectedUnsent++
	}
	p.finishUnserved(req, true)
}

// Fail implements balancer.Host.
func (p *proxy) Fail(id string) { p.finishUnserved(p.requests[id], p.requests[id].Class == 2) }

// finishUnserved ends a request. If it is retryable, half of the clients repeat it, at most twice.
func (p *proxy) finishUnserved(req *request, retryable bool) {
	if req.done {
		return
	}
	req.done = true
	if retryable && req.clientAttempts < 2 && p.sim.random.Float64() < 0.5 {
		incarnation := p.incarnation
		p.sim.after(75*ms+p.sim.random.Int64N(525*ms), func() {
			if p.incarnation == incarnation {
				p.request(req.Class, req.clientAttempts+1)
			}
		})
	}
}

// SetTimer implements balancer.Host.
func (p *proxy) SetTimer(delay int64, token string) {
	incarnation := p.incarnation
	p.sim.after(delay, func() {
		if p.incarnation == incarnation {
			p.balancer.HandleTimer(p.sim.now, p, token)
		}
	})
}

// Watch implements balancer.Host.
func (p *proxy) Watch() {}

// Log implements balancer.Host.
func (p *proxy) Log(balancer.Event) {}

// finish reports an attempt's outcome to its process after the given network delay.
func (a *attempt) finish(status balancer.Status, delay int64) {
	p := a.proxy
	p.sim.after(delay, func() {
		if a.ended || a.incarnation != p.incarnation {
			return
		}
		a.ended = true
		closed := a.request.done || status == balancer.StatusOK
		if status == balancer.StatusOK && !a.request.done {
			a.request.done = true
			if p.sim.now >= 1000*sec+scenarioStart {
				p.sim.sinceScenario.served++
			}
		}
		p.balancer.HandleOutcome(p.sim.now, p, balancer.Outcome{RequestID: a.request.ID, Attempt: a.number, Status: status,
			Latency: p.sim.now - a.sentAt, RequestDone: closed})
	})
}

// settings returns a process's settings.
func (sim *simulation) settings(p *proxy) balancer.Settings {
	return balancer.Settings{Replicas: sim.Proxies, ReplicaIndex: p.id, Zone: p.zone, ZoneCount: sim.Zones, MaxAttempts: 3,
		DrainGrace: 500 * ms, SlowStartMinCapacity: sim.SlowStartMinCapacity,
		SlowStartDuration: sim.SlowStartDuration, OverloadMultiple: sim.OverloadMultiple,
		OverloadWindow: sim.OverloadWindow, Classes: sim.classes()}
}
