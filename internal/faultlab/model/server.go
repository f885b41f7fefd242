package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"merlinpick/balancer"
)

// server simulates a server with slots, a queue and slow start, which fails under overload while it warms up.
// Its rules are those of internal/faultlab/stubserver, without connections.
type server struct {
	sim        *simulation
	id         int
	name       string
	zone       int
	random     *rand.Rand
	up         bool
	zoneLosses int   // active zone losses: while there is one, it does not even refuse connections
	generation int   // counts starts and stops; work of an earlier generation is lost
	startedAt  int64 // of its last start
	slowStart  bool
	inFlight   int
	queue      []*attempt
	arrivals   []arrival // within the last OverloadWindow, while it warms up
	faults     []*Fault
}

// arrival is work that arrived at a warming server.
type arrival struct {
	at       int64
	work     int64
	informed bool // the proxy that sent it knew of the start
}

func newServer(sim *simulation, id int, chance *rand.Rand) *server {
	return &server{sim: sim, id: id, name: fmt.Sprintf("n%03d", id), zone: id * sim.cfg.Zones / sim.cfg.Servers, up: true,
		random: rand.New(rand.NewPCG(chance.Uint64(), 1))}
}

// serverByName returns the server of a name that a balancer was given.
func (sim *simulation) serverByName(name string) *server {
	i, err := strconv.Atoi(name[1:])
	if err != nil || i >= len(sim.servers) {
		panic("model: no server is named " + name)
	}
	return sim.servers[i]
}

// listedStart returns the start time in the endpoint list: Unix time in microseconds, rounded down to
// milliseconds; 0 for a server that has run for long.
func (s *server) listedStart() int64 {
	if !s.slowStart {
		return 0
	}
	return epoch + s.startedAt/ms*ms
}

func (s *server) entry(state balancer.ServerState) balancer.Server {
	return balancer.Server{ID: s.name, Zone: s.zone, Cell: s.id, CapacityHint: 1, State: state, StartTime: s.listedStart()}
}

// start starts the process in slow start, and announces it.
func (s *server) start() {
	if s.up || s.zoneLosses > 0 {
		return
	}
	s.up, s.slowStart, s.startedAt, s.arrivals = true, true, s.sim.now, nil
	s.generation++
	s.sim.announce(s, balancer.ServerReady, s.sim.cfg.ListAddDelay)
}

// stop ends the process: its connections are reset, unless its zone is lost.
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
	if s.zoneLosses == 0 {
		s.respond(a, balancer.StatusReset)
	}
}

// slowdown returns the factor by which work takes longer.
func (s *server) slowdown() float64 {
	factor := 1.0
	for _, f := range s.faults {
		if f.Kind == ServerSlow {
			factor *= f.Value
		}
	}
	return factor
}

// errorRate returns the fraction of responses that are errors.
func (s *server) errorRate() float64 {
	rate := 0.0
	for _, f := range s.faults {
		if f.Kind == ServerErrors {
			rate = 1 - (1-rate)*(1-f.Value)
		}
	}
	return rate
}

// isUnresponsive reports whether the server does not respond to requests.
func (s *server) isUnresponsive() bool {
	return slices.ContainsFunc(s.faults, func(f *Fault) bool { return f.Kind == ServerUnresponsive })
}

// capacityFraction returns the fraction of its capacity that the server has at a time.
func (s *server) capacityFraction(at int64) float64 {
	c := s.sim.cfg
	if !s.slowStart || at-s.startedAt >= c.SlowStartDuration {
		return 1
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*float64(max(at-s.startedAt, 0))/float64(c.SlowStartDuration)
}

// accept puts an arriving attempt into a slot or the queue, or rejects it.
func (s *server) accept(a *attempt) {
	s.sim.touchedServer = s
	switch {
	case s.zoneLosses > 0: // no response at all
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
	if s.sim.cfg.seeded == seedQueueOverLimit {
		return s.sim.cfg.Queue + 1
	}
	return s.sim.cfg.Queue
}

// isOverloaded records work that arrives at a warming server, and reports whether the work of the last window
// exceeds what the server can take by more than this request. The capacity in the middle of the window counts
// for all of it.
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
	sum, informed := int64(0), int64(0)
	for _, x := range s.arrivals {
		sum += x.work
		if x.informed {
			informed += x.work
		}
	}
	from = max(from, s.startedAt)
	capacity := c.OverloadMultiple * s.capacityFraction((from+now)/2) * c.Speed / s.slowdown() * float64(c.Slots) *
		float64(c.OverloadWindow)
	if float64(sum) <= capacity+float64(a.request.work) {
		return false
	}
	if s.slowdown() == 1 { // else proxies could not know of the slowdown
		s.sim.check.checkOverload(s, float64(informed)/float64(sum))
	}
	return true
}

// process holds a slot for an attempt until its work is done.
func (s *server) process(a *attempt) {
	a.place = placeInSlot
	took := float64(a.request.work) * s.slowdown() / (s.sim.cfg.Speed * s.capacityFraction(s.sim.now))
	generation := s.generation
	s.sim.after(int64(took), evWork, s.id, func() { s.done(a, generation) })
}

func (s *server) done(a *attempt, generation int) {
	if s.generation != generation {
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

// dropQueued removes a cancelled attempt from the queue; work in a slot continues.
func (s *server) dropQueued(a *attempt) {
	if a.place == placeQueued {
		a.place = placeNone
		s.queue = slices.DeleteFunc(s.queue, func(x *attempt) bool { return x == a })
	}
}

// respond sends a status to the proxy, unless the network drops it.
func (s *server) respond(a *attempt, status balancer.Status) {
	if s.sim.network.passesResponses(s.zone, a.proxy.zone) {
		a.proxy.after(s.sim.network.delay(s.zone, a.proxy.zone), evOutcome, a.incarnation, func() { a.proxy.outcome(a, status) })
	}
}
