package chain

import "merlinpick/balancer"

// server works on calls in its slots. A call that waits for the next tier does not hold a slot.
type server struct {
	sim        *simulation
	tier       int
	number     int
	downstream *proxy // of the next tier; nil at the last
	busy       int    // slots
	queue      []*job
}

// job is a call at a server.
type job struct {
	server     *server
	attempt    *attempt
	deadline   int64  // of the attempt at its proxy
	cancelled  bool   // by its caller
	cancelCall func() // cancels the call to the next tier; nil before that call
}

// queuedPerSlot is the length of a server's queue for each of its slots.
const queuedPerSlot = 10

// receive starts, queues or rejects an attempt that has reached the server.
func (s *server) receive(a *attempt, deadline int64) {
	if a.finished {
		return
	}
	s.sim.result.Attempts[s.tier]++
	if s.downstream == nil && s.sim.now >= s.sim.config.Fault.Start {
		s.sim.result.LastTierAttempts++
	}
	j := &job{server: s, attempt: a, deadline: deadline}
	a.job = j
	switch slots := s.sim.config.Slots; {
	case s.busy < slots:
		s.start(j)
	case len(s.queue) < queuedPerSlot*slots:
		s.queue = append(s.queue, j)
	default:
		j.respond(balancer.StatusRejected)
	}
}

// start works on a job in a free slot. A hanging job never frees its slot.
func (s *server) start(j *job) {
	s.busy++
	work, fails := float64(s.sim.config.MeanWork)*s.sim.random.ExpFloat64(), false
	if s.isFaulty() {
		fault := s.sim.config.Fault
		if fault.Hang {
			return
		}
		if fault.Slow > 0 {
			work *= fault.Slow
		}
		fails = s.sim.random.Float64() < fault.Errors
	}
	s.sim.after(int64(work), func() {
		s.busy--
		s.startQueued()
		s.workDone(j, fails)
	})
}

// isFaulty reports whether the fault affects the server now.
func (s *server) isFaulty() bool {
	fault := s.sim.config.Fault
	return s.downstream == nil && s.sim.now >= fault.Start &&
		(fault.Share == 0 || float64(s.number) < fault.Share*float64(s.sim.config.Width))
}

// workDone answers a job whose own work is done, or calls the next tier for it.
func (s *server) workDone(j *job, fails bool) {
	switch {
	case j.cancelled && !s.sim.config.IgnoreCancellation:
	case s.downstream == nil && fails:
		j.respond(balancer.StatusError)
	case s.downstream == nil:
		j.respond(balancer.StatusOK)
	case j.deadline <= s.sim.now:
		j.respond(balancer.StatusError)
	default:
		j.cancelCall = s.downstream.handle(j.deadline-s.sim.now, func(result callResult) {
			if result == succeeded {
				j.respond(balancer.StatusOK)
			} else {
				j.respond(balancer.StatusError)
			}
		})
	}
}

// startQueued starts queued jobs while slots are free, and drops those that are cancelled.
func (s *server) startQueued() {
	for len(s.queue) > 0 && s.busy < s.sim.config.Slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if !j.cancelled || s.sim.config.IgnoreCancellation {
			s.start(j)
		}
	}
}

// cancel is called when the cancellation by the caller reaches the server.
func (j *job) cancel() {
	j.cancelled = true
	if j.cancelCall != nil && !j.server.sim.config.IgnoreCancellation {
		j.cancelCall()
	}
}

// respond sends the result to the proxy.
func (j *job) respond(status balancer.Status) {
	j.server.sim.after(networkDelay, func() { j.attempt.proxy.finishAttempt(j.attempt, status) })
}
