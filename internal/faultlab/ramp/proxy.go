package ramp

import (
	"fmt"

	"merlinpick/balancer"
)

// proxy is one process: a Balancer, what it knows, and its clients.
type proxy struct {
	w     *world
	id    int
	zone  int
	rate  float64
	b     *balancer.Balancer
	life  int
	known map[string]int64 // starts that it was told of
	reqs  map[string]*request
}

type request struct {
	balancer.Request
	tries int // of the client
	sends int
	done  bool
}

type attempt struct {
	p     *proxy
	q     *request
	n     int
	life  int
	sent  int64
	work  float64
	ended bool
}

func (w *world) classes() []balancer.Class {
	aim := max(500*ms, int64(12*w.work))
	return []balancer.Class{
		{Name: "once", LatencyObjective: aim, Deadline: 3 * aim, PriorityWeight: 10, Idempotency: balancer.NonIdempotent},
		{Name: "keyed", LatencyObjective: aim, Deadline: 3 * aim, PriorityWeight: 3, LateWeight: 0.3, Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupScopeZone, DedupWindow: 5 * sec},
		{Name: "safe", LatencyObjective: aim, Deadline: 3 * aim, PriorityWeight: 1, LateWeight: 0.3, Idempotency: balancer.Idempotent},
	}
}

// boot starts the process, which knows nothing but the settings and the list.
func (p *proxy) boot() {
	w := p.w
	b, err := balancer.New(w.settings(p), w.Seed*1000+uint64(p.id)+uint64(p.life)<<40)
	if err != nil {
		panic(err)
	}
	p.b, p.known, p.reqs = b, map[string]int64{}, map[string]*request{}
	p.life++
	var list []balancer.Server
	for _, s := range w.servers {
		if s.state != balancer.ServerRemoved {
			list = append(list, s.entry())
			p.known[s.id] = s.launched
		}
	}
	b.UpdateEndpoints(w.now, p, balancer.UpdateSnapshot, list)
}

// tell has the list's entry reach the process.
func (p *proxy) tell(e balancer.Server, after int64) {
	life := p.life
	p.w.after(after, func() {
		if p.life == life {
			p.known[e.ID] = e.StartTime
			p.b.UpdateEndpoints(p.w.now, p, balancer.UpdateDelta, []balancer.Server{e})
		}
	})
}

func (p *proxy) arrive() {
	p.w.after(int64(p.w.rnd.ExpFloat64()*1e6/(p.rate*p.w.surge)), p.arrive)
	p.ask(p.w.rnd.IntN(3), 0)
}

func (p *proxy) ask(class, tries int) {
	w := p.w
	w.ids++
	q := &request{Request: balancer.Request{ID: fmt.Sprint(w.ids), Class: class, Tenant: -1}, tries: tries}
	q.Deadline = w.now + w.classes()[class].Deadline
	p.reqs[q.ID] = q
	if w.now >= 1000*sec+turnAt {
		w.cold.asked++
	}
	p.b.HandleRequest(w.now, p, q.Request)
}

// Send, Refuse, Fail, SetTimer, Watch and Log make it the Balancer's host.
func (p *proxy) Send(id, server string, _, timeout int64) {
	q := p.reqs[id]
	a := &attempt{p: p, q: q, n: q.sends, life: p.life, sent: p.w.now, work: 0.4 + 1.2*p.w.rnd.Float64()}
	q.sends++
	s, way := p.w.byID[server], ms
	if s.zone != p.zone {
		way = 10 * ms
	}
	p.w.after(way, func() { s.take(a) })
	if timeout == 0 {
		timeout = q.Deadline - p.w.now
	}
	p.w.after(timeout, func() { a.end(balancer.StatusTimedOut, 0) })
}

func (p *proxy) Reject(id string, after int64) {
	q := p.reqs[id]
	if q.sends == 0 && p.w.now >= 1000*sec+turnAt {
		p.w.cold.unsent++
	}
	p.over(q, true)
}

func (p *proxy) Fail(id string) { p.over(p.reqs[id], p.reqs[id].Class == 2) }

// over ends a request unserved; half of the clients come again, twice at most.
func (p *proxy) over(q *request, again bool) {
	if q.done {
		return
	}
	q.done = true
	if again && q.tries < 2 && p.w.rnd.Float64() < 0.5 {
		life := p.life
		p.w.after(75*ms+p.w.rnd.Int64N(525*ms), func() {
			if p.life == life {
				p.ask(q.Class, q.tries+1)
			}
		})
	}
}

func (p *proxy) SetTimer(delay int64, token string) {
	life := p.life
	p.w.after(delay, func() {
		if p.life == life {
			p.b.HandleTimer(p.w.now, p, token)
		}
	})
}
func (p *proxy) Watch()             {}
func (p *proxy) Log(balancer.Event) {}

// end gives an attempt's outcome to its process after some time on the way.
func (a *attempt) end(status balancer.Status, way int64) {
	p := a.p
	p.w.after(way, func() {
		if a.ended || a.life != p.life {
			return
		}
		a.ended = true
		closed := a.q.done || status == balancer.StatusOK
		if status == balancer.StatusOK && !a.q.done {
			a.q.done = true
			if p.w.now >= 1000*sec+turnAt {
				p.w.cold.served++
			}
		}
		p.b.HandleOutcome(p.w.now, p, balancer.Outcome{RequestID: a.q.ID, Attempt: a.n, Status: status, Latency: p.w.now - a.sent, RequestDone: closed})
	})
}

// settings is what the configuration says to a process.
func (w *world) settings(p *proxy) balancer.Settings {
	return balancer.Settings{Replicas: w.Proxies, ReplicaIndex: p.id, Zone: p.zone, ZoneCount: w.Zones, MaxAttempts: 3,
		DrainGrace: 500 * ms, SlowStartMinCapacity: w.Start, SlowStartDuration: w.Cold, OverloadMultiple: w.Tip, OverloadWindow: w.Fall, Classes: w.classes()}
}
