// Package stubserver is a stub of a backend server: it has slots, a queue, a limit on connections, a slow start and an
// overload threshold, and speaks the platform's protocol.
//
// Work is simulated by waiting: a request of w ms of work holds one slot for w / speed, in real time. On a machine that is
// late the stub is slow, too; the run reports its lateness.
package stubserver

import (
	"math/rand/v2"
	"sync"
	"time"

	"merlinpick/internal/faultlab/referee"
)

// Spec is what a server is.
type Spec struct {
	Name  string
	Zone  string
	Cell  int
	Speed float64 // of a slot
	Slots int
	Queue int

	MaxConnections   int
	ConnectDelay     time.Duration // before a new connection's first request is seen
	ConnectWork      time.Duration // that it costs, beside its own work
	IdleTimeout      time.Duration
	StartCapacity    float64
	SlowStart        time.Duration
	OverloadMultiple float64
	OverloadWindow   time.Duration
	CancelsWork      bool
	Seed             uint64
}

// Job is what the lab's plan knows of a request by its id.
type Job struct {
	Work          time.Duration
	ResponseBytes int // bytes
	Proxy         string
}

// World is what a server asks of the rest of the lab.
type Lab interface {
	Job(id string) (Job, bool)
	// Fell tells that the server has fallen over, and stays down until it is started again.
	OverloadFailed(name string)
}

// Server is one server. Its connections come from links; the lab starts, stops and hampers it.
type Server struct {
	spec    Spec
	lab     Lab
	referee *referee.Referee

	mu          sync.Mutex
	up          bool
	startedAt   time.Time // of its last start
	slowStart   bool      // that start was a cold one
	incarnation int       // goes up at each start and end
	draining    bool
	faults      map[*Fault]struct{}
	fault       Fault // the sum of them
	conns       int
	busy        int
	queue       []*queuedJob
	recentWork  []workArrival // work within the last Spec.Fall, while cold
	rng         *rand.Rand
}

// New is a server that is not up yet.
func New(spec Spec, world Lab, ref *referee.Referee) *Server {
	return &Server{spec: spec, lab: world, referee: ref, fault: Fault{Slowdown: 1}, faults: map[*Fault]struct{}{}, rng: rand.New(rand.NewPCG(spec.Seed, 7))}
}

// Start brings it up, cold or long warm.
func (s *Server) Start(at time.Time, cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up, s.startedAt, s.slowStart, s.draining = true, at, cold, false
	s.incarnation++
	s.busy, s.queue, s.recentWork = 0, nil, nil
}

// Stop ends the process: what is in work is gone. The lab resets its connections.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = false
	s.incarnation++
	for _, job := range s.queue {
		job.start <- false
	}
	s.busy, s.queue = 0, nil
}

// Drain has it turn new requests away and finish what it has.
func (s *Server) Drain(on bool) { s.locked(func() { s.draining = on }) }

// Hamper is what can be wrong with a server that is up.
type Fault struct {
	Slowdown       float64 // its work takes so many times as long; 0 is 1
	ErrorFraction  float64 // part of what it works on that gets 500
	GarbleFraction float64 // part of its answers that it spoils
	Hangs          bool    // it takes requests and never answers
}

// Hamper hampers it until end is called. Several add up, and each ends by itself.
func (s *Server) ApplyFault(h Fault) (end func()) {
	p := &h
	s.locked(func() { s.faults[p] = struct{}{}; s.combineFaults() })
	return func() { s.locked(func() { delete(s.faults, p); s.combineFaults() }) }
}

func (s *Server) combineFaults() {
	s.fault = Fault{Slowdown: 1}
	for h := range s.faults {
		if h.Slowdown > 0 {
			s.fault.Slowdown *= h.Slowdown
		}
		s.fault.ErrorFraction = 1 - (1-s.fault.ErrorFraction)*(1-h.ErrorFraction)
		s.fault.GarbleFraction = 1 - (1-s.fault.GarbleFraction)*(1-h.GarbleFraction)
		s.fault.Hangs = s.fault.Hangs || h.Hangs
	}
}

func (s *Server) locked(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// share is its present part of its capacity: it rises evenly from the start to the end of the cold time.
func (s *Server) capacityFraction(now time.Time) float64 {
	if !s.slowStart || s.spec.SlowStart <= 0 {
		return 1
	}
	part := float64(now.Sub(s.startedAt)) / float64(s.spec.SlowStart)
	return min(1, s.spec.StartCapacity+(1-s.spec.StartCapacity)*part)
}
