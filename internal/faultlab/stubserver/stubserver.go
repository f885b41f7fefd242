// Package stubserver is a stub of a backend server: it has slots, a queue, a limit of connections, slow start and an overload
// threshold, and speaks the platform's protocol. It knows nothing of proxies and never judges: the referee does.
//
// Work is simulated by waiting: w ms of work hold a slot for w / speed ms of real time.
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
	Speed float64 // of a slot
	Slots int
	Queue int

	MaxConnections   int
	ConnectDelay     time.Duration // of a new connection's first request
	ConnectWork      time.Duration // added to a new connection's first request
	IdleTimeout      time.Duration
	StartCapacity    float64
	SlowStart        time.Duration
	OverloadMultiple float64
	OverloadWindow   time.Duration
	CancelsWork      bool
	Seed             uint64
}

// Job is a request's work, response size and proxy, by the lab's plan.
type Job struct {
	Work          time.Duration
	ResponseBytes int // bytes
	Proxy         string
}

// Lab is what a server needs of the rest of the lab.
type Lab interface {
	Job(id string) (Job, bool)
	// OverloadFailed reports that a server failed under overload; it must be stopped.
	OverloadFailed(name string)
}

// Server is a stub server. Its connections come from links; the lab starts and stops it and applies faults.
type Server struct {
	spec    Spec
	lab     Lab
	referee *referee.Referee

	mu          sync.Mutex
	up          bool
	startedAt   time.Time // time of the last start
	slowStart   bool      // the last start was with slow start
	incarnation int       // increases at each start and end
	draining    bool
	faults      map[*Fault]struct{}
	fault       Fault // all of them combined
	conns       int
	busy        int
	queue       []*queuedJob
	recentWork  []workArrival // within the last OverloadWindow, during slow start
	rng         *rand.Rand
}

// New returns a server that is not started.
func New(spec Spec, world Lab, ref *referee.Referee) *Server {
	return &Server{spec: spec, lab: world, referee: ref, fault: Fault{Slowdown: 1}, faults: map[*Fault]struct{}{}, rng: rand.New(rand.NewPCG(spec.Seed, 7))}
}

// Start starts the server, with slow start or at full capacity.
func (s *Server) Start(at time.Time, slowStart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up, s.startedAt, s.slowStart, s.draining = true, at, slowStart, false
	s.incarnation++
	s.busy, s.queue, s.recentWork = 0, nil, nil
}

// Stop ends the server with its queue and its work. The lab resets the connections.
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

// Drain has the server reject new requests and finish those in flight.
func (s *Server) Drain(on bool) { s.locked(func() { s.draining = on }) }

// Fault is what is wrong with a running server.
type Fault struct {
	Slowdown       float64 // factor of the duration of work; 0 is 1
	ErrorFraction  float64 // fraction of the requests that get 500
	GarbleFraction float64 // fraction of the responses that violate the protocol
	Hangs          bool    // requests are accepted and never answered
}

// ApplyFault applies a fault until end is called. Several faults are combined, and each ends independently.
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

// locked calls change with the server's lock.
func (s *Server) locked(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// capacityFraction is the current fraction of the full capacity: it rises linearly during slow start.
func (s *Server) capacityFraction(now time.Time) float64 {
	if !s.slowStart || s.spec.SlowStart <= 0 {
		return 1
	}
	fraction := float64(now.Sub(s.startedAt)) / float64(s.spec.SlowStart)
	return min(1, s.spec.StartCapacity+(1-s.spec.StartCapacity)*fraction)
}
