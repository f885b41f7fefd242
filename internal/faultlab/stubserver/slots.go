package stubserver

import (
	"time"
)

// workArrival is work that a proxy sent and the time of its arrival.
type workArrival struct {
	at    time.Time
	work  time.Duration
	proxy string
}

// queuedJob is a request that is queued or has a slot.
type queuedJob struct {
	work      time.Duration
	arrivedAt time.Time
	start     chan bool // receives true when the job starts, or false if the server stops
	startedAt time.Time
	duration  time.Duration // for which the job occupies its slot
	canceled  bool          // whether the client has closed the connection
	deadline  time.Time     // of the client; zero if unknown
}

// admit gives a request a slot or a place in the queue, or rejects it. A server in slow start may fail under
// overload: then overload holds the work that each proxy sent. All results are zero if the server hangs or
// has stopped.
func (s *Server) admit(x *exchange, work time.Duration, deadline time.Time) (job *queuedJob, rejected bool,
	overload map[string]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.incarnation != x.incarnation || s.fault.Hangs {
		return nil, false, nil
	}
	now := time.Now()
	if overload = s.detectOverload(now, work, x.job.Proxy); overload != nil {
		return nil, false, overload
	}
	if s.draining || x.overLimit || s.busy >= s.spec.Slots && len(s.queue) >= s.spec.Queue {
		return nil, true, nil
	}
	job = &queuedJob{work: work, arrivedAt: now, start: make(chan bool, 1), deadline: deadline}
	if s.busy < s.spec.Slots {
		s.busy++
		s.startJob(job, now)
	} else {
		s.queue = append(s.queue, job)
	}
	return job, false, nil
}

// detectOverload records work that arrives during slow start. It returns the work of the last OverloadWindow
// by proxy if that is an overload: more than OverloadMultiple times the work that the server can do in the
// window, plus the work of this request. Otherwise it returns nil.
func (s *Server) detectOverload(now time.Time, work time.Duration, proxy string) map[string]time.Duration {
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
	total := time.Duration(0)
	for _, a := range s.recentWork {
		total += a.work
	}
	// The capacity rises linearly, so that its value in the middle of the window is the average.
	fraction := s.capacityFraction(from.Add(now.Sub(from) / 2))
	budget := s.spec.OverloadMultiple * fraction * s.spec.Speed / s.fault.Slowdown * float64(s.spec.Slots) * float64(s.spec.OverloadWindow)
	if float64(total) <= budget+float64(work) {
		return nil
	}
	by := map[string]time.Duration{}
	for _, a := range s.recentWork {
		by[a.proxy] += a.work
	}
	return by
}

// startJob starts a job that has a slot, at a time. The lock must be held.
func (s *Server) startJob(job *queuedJob, now time.Time) {
	job.startedAt = now
	job.duration = time.Duration(float64(job.work) * s.fault.Slowdown / (s.spec.Speed * s.capacityFraction(now)))
	job.start <- true
}

// releaseSlot gives a slot that became free at a time to the next job in the queue that is not canceled. The
// job starts at that time, or at its arrival if that is later, rather than now, so that the delays of timers
// do not add up in a queue.
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

// removeCanceled removes canceled jobs from the queue. The lock must be held.
func (s *Server) removeCanceled() {
	kept := s.queue[:0]
	for _, job := range s.queue {
		if !job.canceled {
			kept = append(kept, job)
		}
	}
	s.queue = kept
}
