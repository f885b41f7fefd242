package chain

import "merlinpick/balancer"

// server works on calls in its slots; what waits for the next tier holds none.
type server struct {
	sim          *simulation
	tier, number int
	downstream   *proxy // of the next tier; nil of the last
	busy         int
	queue        []*job
}

// job is a call at a server.
type job struct {
	server     *server
	attempt    *attempt
	deadline   int64 // its proxy waits so long
	cancelled  bool  // its caller has left
	cancelCall func()
}

const queuedPerSlot = 10 // times the slots

// come takes an attempt that has reached the server.
func (s *server) receive(a *attempt, until int64) {
	if a.finished {
		return
	}
	s.sim.result.Attempts[s.tier]++
	if s.downstream == nil && s.sim.now >= s.sim.config.Fault.Start {
		s.sim.result.LastTierAttempts++
	}
	j := &job{server: s, attempt: a, deadline: until}
	if a.job = j; s.busy < s.sim.config.Slots {
		s.start(j)
	} else if len(s.queue) < queuedPerSlot*s.sim.config.Slots {
		s.queue = append(s.queue, j)
	} else {
		j.respond(balancer.StatusRejected)
	}
}

func (s *server) start(j *job) {
	s.busy++
	work, bad := float64(s.sim.config.MeanWork)*s.sim.random.ExpFloat64(), false
	if hit := s.sim.config.Fault; s.downstream == nil && s.sim.now >= hit.Start && (hit.Share == 0 || float64(s.number) < hit.Share*float64(s.sim.config.Width)) {
		if hit.Hang {
			return // its slot is never free again
		}
		if hit.Slow > 0 {
			work *= hit.Slow
		}
		bad = s.sim.random.Float64() < hit.Errors
	}
	s.sim.after(int64(work), func() {
		s.busy--
		s.startQueued()
		switch {
		case j.cancelled && !s.sim.config.IgnoreCancellation:
		case s.downstream == nil && bad:
			j.respond(balancer.StatusError)
		case s.downstream == nil:
			j.respond(balancer.StatusOK)
		case j.deadline <= s.sim.now:
			j.respond(balancer.StatusError)
		default:
			j.cancelCall = s.downstream.handle(j.deadline-s.sim.now, func(what callResult) {
				status := balancer.StatusError
				if what == succeeded {
					status = balancer.StatusOK
				}
				j.respond(status)
			})
		}
	})
}

// following begins what waited.
func (s *server) startQueued() {
	for len(s.queue) > 0 && s.busy < s.sim.config.Slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if !j.cancelled || s.sim.config.IgnoreCancellation {
			s.start(j)
		}
	}
}

// left is the news that the caller has left.
func (j *job) cancel() {
	if j.cancelled = true; j.cancelCall != nil && !j.server.sim.config.IgnoreCancellation {
		j.cancelCall()
	}
}

func (j *job) respond(status balancer.Status) {
	j.server.sim.after(network, func() { j.attempt.proxy.finishAttempt(j.attempt, status) })
}
