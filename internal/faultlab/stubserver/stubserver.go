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

	MaxConns         int
	ConnectDelay     time.Duration // before a new connection's first request is seen
	ConnectWork      time.Duration // that it costs, beside its own work
	IdleClose        time.Duration
	StartCapacity    float64
	SlowStart        time.Duration
	OverloadMultiple float64
	Fall             time.Duration
	Cancelling       bool
	Seed             uint64
}

// Job is what the lab's plan knows of a request by its id.
type Job struct {
	Work   time.Duration
	Answer int // bytes
	Proxy  string
}

// World is what a server asks of the rest of the lab.
type World interface {
	Job(id string) (Job, bool)
	// Fell tells that the server has fallen over, and stays down until it is started again.
	Fell(name string)
}

// Server is one server. Its connections come from links; the lab starts, stops and hampers it.
type Server struct {
	spec  Spec
	world World
	ref   *referee.Referee

	mu          sync.Mutex
	up          bool
	since       time.Time // of its last start
	slowStart   bool      // that start was a cold one
	incarnation int       // goes up at each start and end
	draining    bool
	hampers     map[*Hamper]struct{}
	now         Hamper // the sum of them
	conns       int
	busy        int
	queue       []*job
	came        []arrival // work within the last Spec.Fall, while cold
	rng         *rand.Rand
}

// New is a server that is not up yet.
func New(spec Spec, world World, ref *referee.Referee) *Server {
	return &Server{spec: spec, world: world, ref: ref, now: Hamper{Slow: 1}, hampers: map[*Hamper]struct{}{}, rng: rand.New(rand.NewPCG(spec.Seed, 7))}
}

// Start brings it up, cold or long warm.
func (n *Server) Start(at time.Time, cold bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up, n.since, n.slowStart, n.draining = true, at, cold, false
	n.incarnation++
	n.busy, n.queue, n.came = 0, nil, nil
}

// Stop ends the process: what is in work is gone. The lab resets its connections.
func (n *Server) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up = false
	n.incarnation++
	for _, j := range n.queue {
		j.start <- false
	}
	n.busy, n.queue = 0, nil
}

// Drain has it turn new requests away and finish what it has.
func (n *Server) Drain(on bool) { n.with(func() { n.draining = on }) }

// Hamper is what can be wrong with a server that is up.
type Hamper struct {
	Slow   float64 // its work takes so many times as long; 0 is 1
	Errors float64 // part of what it works on that gets 500
	Garble float64 // part of its answers that it spoils
	Hang   bool    // it takes requests and never answers
}

// Hamper hampers it until end is called. Several add up, and each ends by itself.
func (n *Server) Hamper(h Hamper) (end func()) {
	p := &h
	n.with(func() { n.hampers[p] = struct{}{}; n.sum() })
	return func() { n.with(func() { delete(n.hampers, p); n.sum() }) }
}

func (n *Server) sum() {
	n.now = Hamper{Slow: 1}
	for h := range n.hampers {
		if h.Slow > 0 {
			n.now.Slow *= h.Slow
		}
		n.now.Errors = 1 - (1-n.now.Errors)*(1-h.Errors)
		n.now.Garble = 1 - (1-n.now.Garble)*(1-h.Garble)
		n.now.Hang = n.now.Hang || h.Hang
	}
}

func (n *Server) with(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// share is its present part of its capacity: it rises evenly from the start to the end of the cold time.
func (n *Server) share(now time.Time) float64 {
	if !n.slowStart || n.spec.SlowStart <= 0 {
		return 1
	}
	part := float64(now.Sub(n.since)) / float64(n.spec.SlowStart)
	return min(1, n.spec.StartCapacity+(1-n.spec.StartCapacity)*part)
}
