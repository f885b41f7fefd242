package ramp

import (
	"fmt"
	"math"

	"merlinpick/balancer"
)

const (
	slots     = 4.0
	queueMost = 40
)

// kinds are the speeds of servers: three kinds, the fastest over twice as fast as the slowest, 1 in the mean.
var kinds = []float64{1.45, 0.95, 0.6}

// server has slots that work at its present part of its speed, and a queue. It doesn't fall over, so that a run shows
// every window; what it would have fallen by is in the books.
type server struct {
	w        *world
	id       string
	zone     int
	launched int64
	state    balancer.ServerState
	up       bool    // it answers; otherwise connections are refused
	hangs    bool    // takes and never answers
	fails    bool    // answers an error at once
	dark     bool    // connections never come up
	speed    float64 // of its kind; nobody is told
	slow     float64
	busy     int
	queue    []*attempt
	life     int
	came     []arrival
	got      float64
}

type arrival struct {
	at   int64
	work float64 // in calls of mean work
	told bool
}

// add has a server start; launched is 0 for long ago.
func (w *world) add(zone int, launched int64) *server {
	s := &server{w: w, id: fmt.Sprint("s", len(w.servers)), zone: zone, launched: launched, state: balancer.ServerReady,
		up: true, slow: 1, speed: kinds[len(w.servers)/w.Zones%len(kinds)]}
	w.servers, w.byID[s.id] = append(w.servers, s), s
	return s
}

func (s *server) entry() balancer.Server {
	return balancer.Server{ID: s.id, Zone: s.zone, Cell: s.zone, State: s.state, CapacityHint: 1, StartTime: s.launched}
}

// list has the present entry go out to all processes, each in its own time.
func (s *server) list() {
	e := s.entry()
	for _, p := range s.w.copies {
		p.tell(e, s.w.rnd.Int64N(s.w.ListCome))
	}
}

// stop ends its process.
func (s *server) stop() {
	s.up = false
	s.life++
	for _, a := range s.queue {
		a.end(balancer.StatusReset, 0)
	}
	s.queue, s.busy = nil, 0
}

// restart starts it cold.
func (s *server) restart() {
	s.stop()
	s.up, s.dark, s.hangs, s.fails, s.slow, s.state = true, false, false, false, 1, balancer.ServerReady
	s.launched, s.came, s.got = s.w.now, nil, 0
	s.list()
}

// share is the present part of its capacity, as the settings allow it.
func (s *server) share(at int64) float64 {
	if s.launched == 0 || at-s.launched >= s.w.Cold {
		return 1
	}
	return s.w.Start + (1-s.w.Start)*float64(max(at-s.launched, 0))/float64(s.w.Cold)
}

func (s *server) take(a *attempt) {
	s.count(a)
	switch {
	case s.dark:
		s.w.after(250*ms, func() { a.end(balancer.StatusConnectFailed, 0) })
	case !s.up:
		a.end(balancer.StatusConnectFailed, ms)
	case s.hangs:
	case s.fails:
		a.end(balancer.StatusError, ms)
	case s.busy < int(slots):
		s.begin(a)
	case len(s.queue) < queueMost:
		s.queue = append(s.queue, a)
	default:
		a.end(balancer.StatusRejected, ms)
	}
}

func (s *server) begin(a *attempt) {
	s.busy++
	life := s.life
	s.w.after(int64(a.work*s.w.work*s.slow/s.speed/s.share(s.w.now)), func() {
		if s.life != life {
			a.end(balancer.StatusReset, 0)
			return
		}
		if s.busy--; len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.begin(next)
		}
		if !s.hangs {
			a.end(balancer.StatusOK, ms)
		}
	})
}

// count holds the window that ends now against its budget.
func (s *server) count(a *attempt) {
	w := s.w
	age := w.now - s.launched
	if s.launched == 0 && w.now-1000*sec >= turnAt || s.launched > 0 && age < w.Cold {
		s.got++
	}
	if !s.up || s.dark || s.launched == 0 || age >= w.Cold {
		return
	}
	s.came = append(s.came, arrival{w.now, a.work, a.p.known[s.id] == s.launched})
	from := w.now - w.Fall
	for s.came[0].at < from {
		s.came = s.came[1:]
	}
	sum, told := 0.0, 0.0
	for _, x := range s.came {
		sum += x.work
		if x.told {
			told += x.work
		}
	}
	n := w.Tip * s.share((max(from, s.launched)+w.now)/2) * slots * s.speed / w.work * float64(w.Fall)
	bound := n + 2*math.Sqrt(n) + 2
	if told > sum*2/3 && sum/bound > w.res.Worst {
		w.res.Worst, w.res.Excess, w.res.N = sum/bound, sum-bound, n
	}
}
