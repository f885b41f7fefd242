package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"merlinpick/balancer"
)

// nodo is a server: slots, a queue, a cold start, and a load at which it falls over while cold. Its rules are those of
// the lab's stand-in (internal/faultlab/stubserver), without connections.
type server struct {
	sim        *simulation
	id         int
	name       string
	zone       int
	random     *rand.Rand
	up         bool
	darkness   int   // its zone is lost: nobody answers, not even to refuse
	generation int   // and ends: what was in work before is gone
	startedAt  int64 // of its last start; the first was long ago
	slowStart  bool
	inFlight   int
	queue      []*attempt
	arrivals   []arrival // within the last Fall, while cold
	faults     []*Fault
}

// arrival is work that came to a cold nodo.
type arrival struct {
	at       int64
	work     int64
	informed bool // its proxy knew of the start
}

func newServer(sim *simulation, id int, chance *rand.Rand) *server {
	return &server{sim: sim, id: id, name: fmt.Sprintf("n%03d", id), zone: id * sim.cfg.Zones / sim.cfg.Servers, up: true,
		random: rand.New(rand.NewPCG(chance.Uint64(), 1))}
}

// nodoNamed is the nodo of a name that a Balancer was given.
func (w *simulation) serverByName(name string) *server {
	i, err := strconv.Atoi(name[1:])
	if err != nil || i >= len(w.servers) {
		panic("model: no nodo is named " + name)
	}
	return w.servers[i]
}

// launched is its start as the list has it: whole milliseconds of Unix time, 0 for long ago.
func (s *server) listedStart() int64 {
	if !s.slowStart {
		return 0
	}
	return epoch + s.startedAt/ms*ms
}

func (s *server) entry(state balancer.ServerState) balancer.Server {
	return balancer.Server{ID: s.name, Zone: s.zone, Cell: s.id, CapacityHint: 1, State: state, StartTime: s.listedStart()}
}

// start brings it up, cold, and has the list say so.
func (s *server) start() {
	if s.up || s.darkness > 0 {
		return
	}
	s.up, s.slowStart, s.startedAt, s.arrivals = true, true, s.sim.now, nil
	s.generation++
	s.sim.announce(s, balancer.ServerReady, s.sim.cfg.ListAddDelay)
}

// end stops the process: its callers' connections are reset, unless its whole zone went dark.
func (s *server) stop() {
	if !s.up {
		return
	}
	s.up = false
	s.generation++
	for _, a := range s.queue {
		s.reset(a)
	}
	s.inFlight, s.queue = 0, nil
	s.sim.announce(s, balancer.ServerRemoved, s.sim.cfg.ListRemoveDelay)
}

func (s *server) reset(a *attempt) {
	a.place = placeNone
	if s.darkness == 0 {
		s.respond(a, balancer.StatusReset)
	}
}

// slow is how many times as long its work takes; fails the part of it that fails; silent whether it answers nothing.
func (s *server) slowdown() float64 {
	x := 1.0
	for _, f := range s.faults {
		if f.Kind == ServerSlow {
			x *= f.Value
		}
	}
	return x
}

func (s *server) errorRate() float64 {
	x := 0.0
	for _, f := range s.faults {
		if f.Kind == ServerErrors {
			x = 1 - (1-x)*(1-f.Value)
		}
	}
	return x
}

func (s *server) isUnresponsive() bool {
	return slices.ContainsFunc(s.faults, func(f *Fault) bool { return f.Kind == ServerUnresponsive })
}

// share is the present part of its capacity.
func (s *server) capacityFraction(at int64) float64 {
	c := s.sim.cfg
	if !s.slowStart || at-s.startedAt >= c.SlowStartDuration {
		return 1
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*float64(max(at-s.startedAt, 0))/float64(c.SlowStartDuration)
}

// take takes an attempt that reached it.
func (s *server) accept(a *attempt) {
	s.sim.touchedServer = s
	switch {
	case s.darkness > 0: // nobody answers
	case !s.up:
		s.respond(a, balancer.StatusConnectFailed)
	case s.isUnresponsive():
		a.place = placeInSlot
	case s.isOverloaded(a):
		s.sim.result.Overloads++
		s.stop()
		s.respond(a, balancer.StatusReset)
		s.sim.after(s.sim.cfg.SlowStartDuration/2, evFault, s.id, s.start)
	case s.inFlight < s.sim.cfg.Slots:
		s.inFlight++
		s.process(a)
	case len(s.queue) < s.queueLimit():
		a.place = placeQueued
		s.queue = append(s.queue, a)
	default:
		s.respond(a, balancer.StatusRejected)
	}
}

func (s *server) queueLimit() int {
	if s.sim.cfg.seeded == seedOverfull {
		return s.sim.cfg.Queue + 1
	}
	return s.sim.cfg.Queue
}

// tips counts work that comes to a cold nodo and tells whether the last window held more than it stands, with room for
// one request more. The share of the window's middle stands for all of it.
func (s *server) isOverloaded(a *attempt) bool {
	c, now := s.sim.cfg, s.sim.now
	if !s.slowStart || now-s.startedAt > c.SlowStartDuration+c.OverloadWindow {
		s.arrivals = nil
		return false
	}
	s.arrivals = append(s.arrivals, arrival{now, a.request.work, a.proxy.listed[s.id].StartTime == s.listedStart()})
	from := now - c.OverloadWindow
	for s.arrivals[0].at < from {
		s.arrivals = s.arrivals[1:]
	}
	sum, told := int64(0), int64(0)
	for _, x := range s.arrivals {
		sum += x.work
		if x.informed {
			told += x.work
		}
	}
	from = max(from, s.startedAt)
	stands := c.OverloadMultiple * s.capacityFraction((from+now)/2) * c.Speed / s.slowdown() * float64(c.Slots) * float64(c.OverloadWindow)
	if float64(sum) <= stands+float64(a.request.work) {
		return false
	}
	if s.slowdown() == 1 { // that it is slow, besides, nobody could know yet
		s.sim.check.checkOverload(s, float64(told)/float64(sum))
	}
	return true
}

// begin holds a slot for an attempt until its work is done.
func (s *server) process(a *attempt) {
	a.place = placeInSlot
	took := float64(a.request.work) * s.slowdown() / (s.sim.cfg.Speed * s.capacityFraction(s.sim.now))
	life := s.generation
	s.sim.after(int64(took), evWork, s.id, func() { s.done(a, life) })
}

func (s *server) done(a *attempt, life int) {
	if s.generation != life {
		s.reset(a)
		return
	}
	s.sim.touchedServer = s
	a.place = placeNone
	if s.inFlight--; len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.inFlight++
		s.process(next)
	}
	switch {
	case s.isUnresponsive():
	case s.random.Float64() < s.errorRate():
		s.respond(a, balancer.StatusError)
	default:
		s.respond(a, balancer.StatusOK)
	}
}

// leave drops an attempt whose caller has gone; what is in work goes on.
func (s *server) dropQueued(a *attempt) {
	if a.place == placeQueued {
		a.place = placeNone
		s.queue = slices.DeleteFunc(s.queue, func(x *attempt) bool { return x == a })
	}
}

// answer sends an end back to the proxy, where the way is open.
func (s *server) respond(a *attempt, status balancer.Status) {
	if s.sim.network.passesResponses(s.zone, a.proxy.zone) {
		s.sim.after(s.sim.network.delay(s.zone, a.proxy.zone), evOutcome, a.proxy.id, func() { a.proxy.deliver(a.incarnation, func() { a.proxy.outcome(a, status) }) })
	}
}
