// Package stubserver is a stub of a backend server. It speaks the platform's protocol and has slots, a queue,
// a connection limit, slow start, and an overload threshold. It does not know how proxies work and checks no
// rules: the referee does.
//
// Work is simulated by waiting: w ms of work occupy a slot for w / speed ms of real time.
package stubserver

import (
	"math/rand/v2"
	"sync"
	"time"

	"merlinpick/internal/faultlab/referee"
)

// Spec describes a server.
type Spec struct {
	Name  string
	Zone  string
	Cell  int
	Speed float64 // work done per unit of time in a slot
	Slots int     // requests executed at a time
	Queue int     // requests that may wait for a slot

	MaxConnections   int           // requests on further connections are rejected
	ConnectDelay     time.Duration // delay of a new connection's first request
	ConnectWork      time.Duration // work added to a new connection's first request
	IdleTimeout      time.Duration // after which an idle connection is closed
	StartCapacity    float64       // fraction of the full capacity at the beginning of slow start
	SlowStart        time.Duration // time from the start until full capacity
	OverloadMultiple float64       // see detectOverload
	OverloadWindow   time.Duration // see detectOverload
	CancelsWork      bool          // whether work stops when its client closes the connection
	Seed             uint64
}

// Job is a request's work, response size and proxy according to the lab's plan.
type Job struct {
	Work          time.Duration
	ResponseBytes int
	Proxy         string
}

// Lab is the interface to the lab that a server needs.
type Lab interface {
	// Job returns the job of a request id; false if the id is unknown.
	Job(id string) (Job, bool)
	// OverloadFailed reports that a server failed under overload. The lab must stop the server.
	OverloadFailed(name string)
}

// Server is a stub server. It gets its connections from links. The lab starts and stops it and applies
// faults.
type Server struct {
	spec    Spec
	lab     Lab
	referee *referee.Referee

	mu          sync.Mutex
	up          bool
	startedAt   time.Time // time of the last start
	slowStart   bool      // whether the last start was with slow start
	incarnation int       // increases at each start and stop
	draining    bool
	faults      map[*Fault]struct{}
	fault       Fault // combination of faults
	conns       int   // open connections
	busy        int   // occupied slots
	queue       []*queuedJob
	recentWork  []workArrival // work of the last OverloadWindow, recorded during slow start only
	rng         *rand.Rand
}

// New returns a server that is not started.
func New(spec Spec, lab Lab, ref *referee.Referee) *Server {
	return &Server{spec: spec, lab: lab, referee: ref, fault: Fault{Slowdown: 1},
		faults: map[*Fault]struct{}{}, rng: rand.New(rand.NewPCG(spec.Seed, 7))}
}

// Start starts the server at a time, with slow start or at full capacity.
func (s *Server) Start(at time.Time, slowStart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up, s.startedAt, s.slowStart, s.draining = true, at, slowStart, false
	s.incarnation++
	s.busy, s.queue, s.recentWork = 0, nil, nil
}

// Stop stops the server and drops its queue and its work. The lab resets the connections.
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

// Drain switches draining on or off. A draining server rejects new requests and finishes those in flight.
func (s *Server) Drain(on bool) { s.locked(func() { s.draining = on }) }

// Fault is a fault of a running server.
type Fault struct {
	Slowdown       float64 // factor of the duration of work; 0 means 1
	ErrorFraction  float64 // fraction of the requests that are answered with 500
	GarbleFraction float64 // fraction of the responses that violate the protocol
	Hangs          bool    // requests are accepted but never answered
}

// ApplyFault applies a fault until end is called. Several faults are combined, and each ends independently.
func (s *Server) ApplyFault(fault Fault) (end func()) {
	p := &fault
	s.locked(func() { s.faults[p] = struct{}{}; s.combineFaults() })
	return func() { s.locked(func() { delete(s.faults, p); s.combineFaults() }) }
}

// combineFaults sets fault to the combination of all active faults. The lock must be held.
func (s *Server) combineFaults() {
	s.fault = Fault{Slowdown: 1}
	for fault := range s.faults {
		if fault.Slowdown > 0 {
			s.fault.Slowdown *= fault.Slowdown
		}
		s.fault.ErrorFraction = 1 - (1-s.fault.ErrorFraction)*(1-fault.ErrorFraction)
		s.fault.GarbleFraction = 1 - (1-s.fault.GarbleFraction)*(1-fault.GarbleFraction)
		s.fault.Hangs = s.fault.Hangs || fault.Hangs
	}
}

// locked calls change while it holds the server's lock.
func (s *Server) locked(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// capacityFraction returns the fraction of the full capacity at a time. It rises linearly during slow start.
func (s *Server) capacityFraction(now time.Time) float64 {
	if !s.slowStart || s.spec.SlowStart <= 0 {
		return 1
	}
	fraction := float64(now.Sub(s.startedAt)) / float64(s.spec.SlowStart)
	return min(1, s.spec.StartCapacity+(1-s.spec.StartCapacity)*fraction)
}
