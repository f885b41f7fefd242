package stubserver

import (
	"time"
)

type workArrival struct {
	at    time.Time
	work  time.Duration
	proxy string
}

type queuedJob struct {
	work      time.Duration
	arrivedAt time.Time
	start     chan bool // true: begins; false: the server has ended
	startedAt time.Time
	duration  time.Duration // that its slot is held
	canceled  bool          // left the queue
	deadline  time.Time     // its caller has given up by then
}

// admit gives a request a slot or a place in the queue, or turns it away. A warming server that is sent too much falls
// over: then it tells what came, by proxy.
func (s *Server) admit(work time.Duration, proxy string, over bool, incarnation int, until time.Time) (job *queuedJob, turned bool,
	fell map[string]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.incarnation != incarnation || s.fault.Hangs {
		return nil, false, nil
	}
	now := time.Now()
	if fell = s.overloadBy(now, work, proxy); fell != nil {
		return nil, false, fell
	}
	if s.draining || over || s.busy >= s.spec.Slots && len(s.queue) >= s.spec.Queue {
		return nil, true, nil
	}
	job = &queuedJob{work: work, arrivedAt: now, start: make(chan bool, 1), deadline: until}
	if s.busy < s.spec.Slots {
		s.busy++
		s.startJob(job, now)
	} else {
		s.queue = append(s.queue, job)
	}
	return job, false, nil
}

// tip counts work that comes to a warming server, and tells whether the last window was more than it can stand: the
// multiple of what it could have done in that time, with room for one request more than that.
func (s *Server) overloadBy(now time.Time, work time.Duration, proxy string) map[string]time.Duration {
	if !s.slowStart || now.Sub(s.startedAt) > s.spec.SlowStart+s.spec.OverloadWindow {
		s.recentWork = nil
		return nil
	}
	s.recentWork = append(s.recentWork, workArrival{now, work, proxy})
	from := now.Add(-s.spec.OverloadWindow)
	for len(s.recentWork) > 0 && s.recentWork[0].at.Before(from) {
		s.recentWork = s.recentWork[1:]
	}
	if now.Sub(s.startedAt) < s.spec.OverloadWindow {
		from = s.startedAt
	}
	sum := time.Duration(0)
	for _, a := range s.recentWork {
		sum += a.work
	}
	// The window is never shorter than the stated one: the share of its middle stands for all of it.
	share := s.capacityFraction(from.Add(now.Sub(from) / 2))
	budget := s.spec.OverloadMultiple * share * s.spec.Speed / s.fault.Slowdown * float64(s.spec.Slots) * float64(s.spec.OverloadWindow)
	if float64(sum) <= budget+float64(work) {
		return nil
	}
	by := map[string]time.Duration{}
	for _, a := range s.recentWork {
		by[a.proxy] += a.work
	}
	return by
}

// begin holds a slot for a job, from now on.
func (s *Server) startJob(job *queuedJob, now time.Time) {
	job.startedAt = now
	job.duration = time.Duration(float64(job.work) * s.fault.Slowdown / (s.spec.Speed * s.capacityFraction(now)))
	job.start <- true
}

// release gives a slot that was free from a moment on to the next in the queue whose caller still waits. The next one
// begins at that moment, or when it came, rather than now: timers are up to a millisecond late, and a queue would add
// that up.
func (s *Server) releaseSlot(incarnation int, free time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != incarnation {
		return
	}
	for len(s.queue) > 0 {
		job := s.queue[0]
		s.queue = s.queue[1:]
		if job.canceled {
			continue
		}
		if job.arrivedAt.After(free) {
			free = job.arrivedAt
		}
		s.startJob(job, free)
		return
	}
	s.busy--
}

// sweep forgets the jobs at the queue's head that have left, so that a queue of them is not a full one.
func (s *Server) removeCanceled() {
	kept := s.queue[:0]
	for _, job := range s.queue {
		if !job.canceled {
			kept = append(kept, job)
		}
	}
	s.queue = kept
}
