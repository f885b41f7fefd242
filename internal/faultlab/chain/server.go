package chain

import "merlinpick/balancer"

// server works on calls in its slots; what waits for the next tier holds none.
type server struct {
	w            *world
	tier, number int
	own          *proxy // of the next tier; nil of the last
	busy         int
	queue        []*job
}

// job is a call at a server.
type job struct {
	n     *server
	a     *attempt
	until int64 // its proxy waits so long
	gone  bool  // its caller has left
	leave func()
}

const queues = 10 // times the slots

// come takes an attempt that has reached the server.
func (n *server) come(a *attempt, until int64) {
	if a.ended {
		return
	}
	n.w.res.Attempts[n.tier]++
	if n.own == nil && n.w.now >= n.w.cfg.Last.From {
		n.w.res.LastSince++
	}
	j := &job{n: n, a: a, until: until}
	if a.job = j; n.busy < n.w.cfg.Slots {
		n.begin(j)
	} else if len(n.queue) < queues*n.w.cfg.Slots {
		n.queue = append(n.queue, j)
	} else {
		j.answer(balancer.StatusRejected)
	}
}

func (n *server) begin(j *job) {
	n.busy++
	work, bad := float64(n.w.cfg.Work)*n.w.rnd.ExpFloat64(), false
	if hit := n.w.cfg.Last; n.own == nil && n.w.now >= hit.From && (hit.Share == 0 || float64(n.number) < hit.Share*float64(n.w.cfg.Width)) {
		if hit.Hang {
			return // its slot is never free again
		}
		if hit.Slow > 0 {
			work *= hit.Slow
		}
		bad = n.w.rnd.Float64() < hit.Errors
	}
	n.w.after(int64(work), func() {
		n.busy--
		n.following()
		switch {
		case j.gone && !n.w.cfg.Keeps:
		case n.own == nil && bad:
			j.answer(balancer.StatusError)
		case n.own == nil:
			j.answer(balancer.StatusOK)
		case j.until <= n.w.now:
			j.answer(balancer.StatusError)
		default:
			j.leave = n.own.take(j.until-n.w.now, func(what answer) {
				status := balancer.StatusError
				if what == ok {
					status = balancer.StatusOK
				}
				j.answer(status)
			})
		}
	})
}

// following begins what waited.
func (n *server) following() {
	for len(n.queue) > 0 && n.busy < n.w.cfg.Slots {
		j := n.queue[0]
		n.queue = n.queue[1:]
		if !j.gone || n.w.cfg.Keeps {
			n.begin(j)
		}
	}
}

// left is the news that the caller has left.
func (j *job) left() {
	if j.gone = true; j.leave != nil && !j.n.w.cfg.Keeps {
		j.leave()
	}
}

func (j *job) answer(status balancer.Status) {
	j.n.w.after(network, func() { j.a.p.outcome(j.a, status) })
}
