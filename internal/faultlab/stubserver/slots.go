package stubserver

import (
	"time"
)

type arrival struct {
	at    time.Time
	work  time.Duration
	proxy string
}

type job struct {
	work      time.Duration
	came      time.Time
	start     chan bool // true: begins; false: the server has ended
	begun     time.Time
	holdsSlot time.Duration // that its slot is held
	gone      bool          // left the queue
	until     time.Time     // its caller has given up by then
}

// admit gives a request a slot or a place in the queue, or turns it away. A warming server that is sent too much falls
// over: then it tells what came, by proxy.
func (n *Server) admit(work time.Duration, proxy string, over bool, life int, until time.Time) (j *job, turned bool,
	fell map[string]time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.up || n.incarnation != life || n.now.Hang {
		return nil, false, nil
	}
	now := time.Now()
	if fell = n.overload(now, work, proxy); fell != nil {
		return nil, false, fell
	}
	if n.draining || over || n.busy >= n.spec.Slots && len(n.queue) >= n.spec.Queue {
		return nil, true, nil
	}
	j = &job{work: work, came: now, start: make(chan bool, 1), until: until}
	if n.busy < n.spec.Slots {
		n.busy++
		n.begin(j, now)
	} else {
		n.queue = append(n.queue, j)
	}
	return j, false, nil
}

// tip counts work that comes to a warming server, and tells whether the last window was more than it can stand: the
// multiple of what it could have done in that time, with room for one request more than that.
func (n *Server) overload(now time.Time, work time.Duration, proxy string) map[string]time.Duration {
	if !n.slowStart || now.Sub(n.since) > n.spec.SlowStart+n.spec.Fall {
		n.came = nil
		return nil
	}
	n.came = append(n.came, arrival{now, work, proxy})
	from := now.Add(-n.spec.Fall)
	for len(n.came) > 0 && n.came[0].at.Before(from) {
		n.came = n.came[1:]
	}
	if now.Sub(n.since) < n.spec.Fall {
		from = n.since
	}
	sum := time.Duration(0)
	for _, a := range n.came {
		sum += a.work
	}
	// The window is never shorter than the stated one: the share of its middle stands for all of it.
	share := n.share(from.Add(now.Sub(from) / 2))
	budget := n.spec.OverloadMultiple * share * n.spec.Speed / n.now.Slow * float64(n.spec.Slots) * float64(n.spec.Fall)
	if float64(sum) <= budget+float64(work) {
		return nil
	}
	by := map[string]time.Duration{}
	for _, a := range n.came {
		by[a.proxy] += a.work
	}
	return by
}

// begin holds a slot for a job, from now on.
func (n *Server) begin(j *job, now time.Time) {
	j.begun = now
	j.holdsSlot = time.Duration(float64(j.work) * n.now.Slow / (n.spec.Speed * n.share(now)))
	j.start <- true
}

// release gives a slot that was free from a moment on to the next in the queue whose caller still waits. The next one
// begins at that moment, or when it came, rather than now: timers are up to a millisecond late, and a queue would add
// that up.
func (n *Server) release(life int, free time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation != life {
		return
	}
	for len(n.queue) > 0 {
		j := n.queue[0]
		n.queue = n.queue[1:]
		if j.gone {
			continue
		}
		if j.came.After(free) {
			free = j.came
		}
		n.begin(j, free)
		return
	}
	n.busy--
}

// sweep forgets the jobs at the queue's head that have left, so that a queue of them is not a full one.
func (n *Server) sweep() {
	kept := n.queue[:0]
	for _, j := range n.queue {
		if !j.gone {
			kept = append(kept, j)
		}
	}
	n.queue = kept
}
