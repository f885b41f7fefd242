package ramp

import (
	"fmt"
	"math"

	"merlinpick/balancer"
)

const (
	slots    = 4.0 // of a server
	maxQueue = 40  // calls
)

// serverSpeeds are the speeds of three kinds of servers; their mean is 1.
var serverSpeeds = []float64{1.45, 0.95, 0.6}

// server has slots, which work at its capacity fraction, and a queue. It does not fail under overload, so
// that a run checks every window.
type server struct {
	sim          *simulation
	id           string
	zone         int
	startTime    int64
	state        balancer.ServerState
	up           bool    // if false, connections are refused
	unresponsive bool    // requests are accepted and never answered
	failing      bool    // requests are answered with an error at once
	unreachable  bool    // connections time out
	speed        float64 // of its kind; not in the list
	slowdown     float64
	inFlight     int
	queue        []*attempt
	generation   int
	arrivals     []arrival
	calls        float64 // while it warms up; of a warm server since the scenario's start
}

type arrival struct {
	at       int64
	work     float64 // in calls of mean work
	informed bool    // the process that sent it knew of the server's start
}

// addServer adds a server; startTime is 0 for one that has run for long.
func (sim *simulation) addServer(zone int, startTime int64) *server {
	s := &server{sim: sim, id: fmt.Sprint("s", len(sim.servers)), zone: zone,
		startTime: startTime, state: balancer.ServerReady,
		up: true, slowdown: 1, speed: serverSpeeds[len(sim.servers)/sim.Zones%len(serverSpeeds)]}
	sim.servers, sim.serverByID[s.id] = append(sim.servers, s), s
	return s
}

func (s *server) endpoint() balancer.Server {
	return balancer.Server{ID: s.id, Zone: s.zone, Cell: s.zone, State: s.state, CapacityHint: 1, StartTime: s.startTime}
}

// announce sends the current endpoint to all processes, to each with its own delay.
func (s *server) announce() {
	e := s.endpoint()
	for _, p := range s.sim.proxies {
		p.sendUpdate(e, s.sim.random.Int64N(s.sim.MaxListDelay))
	}
}

// stop ends the process: queued calls are reset.
func (s *server) stop() {
	s.up = false
	s.generation++
	for _, a := range s.queue {
		a.finish(balancer.StatusReset, 0)
	}
	s.queue, s.inFlight = nil, 0
}

// restart restarts the process, in slow start.
func (s *server) restart() {
	s.stop()
	s.up, s.unreachable, s.unresponsive, s.failing, s.slowdown, s.state = true, false, false, false, 1, balancer.ServerReady
	s.startTime, s.arrivals, s.calls = s.sim.now, nil, 0
	s.announce()
}

// capacityFraction returns the capacity as a fraction of that of a warm server, by the settings.
func (s *server) capacityFraction(at int64) float64 {
	if s.startTime == 0 || at-s.startTime >= s.sim.SlowStartDuration {
		return 1
	}
	age, c := float64(max(at-s.startTime, 0)), &s.sim.Config
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*age/float64(c.SlowStartDuration)
}

// accept starts, queues or rejects an attempt that arrives, and checks the window that ends with it.
func (s *server) accept(a *attempt) {
	s.checkWindow(a)
	switch {
	case s.unreachable:
		s.sim.after(250*ms, func() { a.finish(balancer.StatusConnectFailed, 0) })
	case !s.up:
		a.finish(balancer.StatusConnectFailed, ms)
	case s.unresponsive:
	case s.failing:
		a.finish(balancer.StatusError, ms)
	case s.inFlight < int(slots):
		s.process(a)
	case len(s.queue) < maxQueue:
		s.queue = append(s.queue, a)
	default:
		a.finish(balancer.StatusRejected, ms)
	}
}

func (s *server) process(a *attempt) {
	s.inFlight++
	generation := s.generation
	s.sim.after(int64(a.work*s.sim.meanWork*s.slowdown/s.speed/s.capacityFraction(s.sim.now)), func() {
		if s.generation != generation {
			a.finish(balancer.StatusReset, 0)
			return
		}
		if s.inFlight--; len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.process(next)
		}
		if !s.unresponsive {
			a.finish(balancer.StatusOK, ms)
		}
	})
}

// checkWindow compares the window that ends now with its budget.
func (s *server) checkWindow(a *attempt) {
	sim := s.sim
	age := sim.now - s.startTime
	if s.startTime == 0 && sim.now-1000*sec >= scenarioStart ||
		s.startTime > 0 && age < sim.SlowStartDuration {
		s.calls++
	}
	if !s.up || s.unreachable || s.startTime == 0 || age >= sim.SlowStartDuration {
		return
	}
	s.arrivals = append(s.arrivals, arrival{sim.now, a.work, a.proxy.listedStarts[s.id] == s.startTime})
	from := sim.now - sim.OverloadWindow
	for s.arrivals[0].at < from {
		s.arrivals = s.arrivals[1:]
	}
	sum, informed := 0.0, 0.0
	for _, x := range s.arrivals {
		sum += x.work
		if x.informed {
			informed += x.work
		}
	}
	middle := (max(from, s.startTime) + sim.now) / 2
	n := sim.OverloadMultiple * s.capacityFraction(middle) * slots * s.speed / sim.meanWork * float64(sim.OverloadWindow)
	bound := n + 2*math.Sqrt(n) + 2
	if informed > sum*2/3 && sum/bound > sim.result.WorstWindow {
		sim.result.WorstWindow, sim.result.Excess, sim.result.WindowBudget = sum/bound, sum-bound, n
	}
}
