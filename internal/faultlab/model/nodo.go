package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"merlinpick/balancer"
)

// nodo is a server: slots, a queue, a cold start, and a load at which it falls over while cold. Its rules are those of
// the lab's stand-in (internal/faultlab/stubserver), without connections.
type nodo struct {
	w       *world
	id      int
	name    string
	zone    int
	rnd     *rand.Rand
	up      bool
	dark    int   // its zone is lost: nobody answers, not even to refuse
	starts  int   // and ends: what was in work before is gone
	since   int64 // of its last start; the first was long ago
	cold    bool
	busy    int
	queue   []*attempt
	came    []arrival // within the last Fall, while cold
	hampers []*Fault
}

// arrival is work that came to a cold nodo.
type arrival struct {
	at   int64
	work int64
	told bool // its proxy knew of the start
}

func newNodo(w *world, id int, chance *rand.Rand) *nodo {
	return &nodo{w: w, id: id, name: fmt.Sprintf("n%03d", id), zone: id * w.cfg.Zones / w.cfg.Nodos, up: true,
		rnd: rand.New(rand.NewPCG(chance.Uint64(), 1))}
}

// nodoNamed is the nodo of a name that a Balancer was given.
func (w *world) nodoNamed(name string) *nodo {
	i, err := strconv.Atoi(name[1:])
	if err != nil || i >= len(w.nodos) {
		panic("model: no nodo is named " + name)
	}
	return w.nodos[i]
}

// launched is its start as the list has it: whole milliseconds of Unix time, 0 for long ago.
func (n *nodo) launched() int64 {
	if !n.cold {
		return 0
	}
	return epoch + n.since/ms*ms
}

func (n *nodo) entry(state balancer.ServerState) balancer.Server {
	return balancer.Server{ID: n.name, Zone: n.zone, Cell: n.id, CapacityHint: 1, State: state, StartTime: n.launched()}
}

// start brings it up, cold, and has the list say so.
func (n *nodo) start() {
	if n.up || n.dark > 0 {
		return
	}
	n.up, n.cold, n.since, n.came = true, true, n.w.now, nil
	n.starts++
	n.w.list(n, balancer.ServerReady, n.w.cfg.ListCome)
}

// end stops the process: its callers' connections are reset, unless its whole zone went dark.
func (n *nodo) end() {
	if !n.up {
		return
	}
	n.up = false
	n.starts++
	for _, a := range n.queue {
		n.reset(a)
	}
	n.busy, n.queue = 0, nil
	n.w.list(n, balancer.ServerRemoved, n.w.cfg.ListGone)
}

func (n *nodo) reset(a *attempt) {
	a.place = nowhere
	if n.dark == 0 {
		n.answer(a, balancer.StatusReset)
	}
}

// slow is how many times as long its work takes; fails the part of it that fails; silent whether it answers nothing.
func (n *nodo) slow() float64 {
	x := 1.0
	for _, f := range n.hampers {
		if f.Kind == NodoSlow {
			x *= f.Value
		}
	}
	return x
}

func (n *nodo) fails() float64 {
	x := 0.0
	for _, f := range n.hampers {
		if f.Kind == NodoFails {
			x = 1 - (1-x)*(1-f.Value)
		}
	}
	return x
}

func (n *nodo) silent() bool {
	return slices.ContainsFunc(n.hampers, func(f *Fault) bool { return f.Kind == NodoSilent })
}

// share is the present part of its capacity.
func (n *nodo) share(at int64) float64 {
	c := n.w.cfg
	if !n.cold || at-n.since >= c.Cold {
		return 1
	}
	return c.StartCapacity + (1-c.StartCapacity)*float64(max(at-n.since, 0))/float64(c.Cold)
}

// take takes an attempt that reached it.
func (n *nodo) take(a *attempt) {
	n.w.touched = n
	switch {
	case n.dark > 0: // nobody answers
	case !n.up:
		n.answer(a, balancer.StatusConnectFailed)
	case n.silent():
		a.place = held
	case n.tips(a):
		n.w.res.Tips++
		n.end()
		n.answer(a, balancer.StatusReset)
		n.w.after(n.w.cfg.Cold/2, evFault, n.id, n.start)
	case n.busy < n.w.cfg.Slots:
		n.busy++
		n.begin(a)
	case len(n.queue) < n.limit():
		a.place = queued
		n.queue = append(n.queue, a)
	default:
		n.answer(a, balancer.StatusRejected)
	}
}

func (n *nodo) limit() int {
	if n.w.cfg.seeded == seedOverfull {
		return n.w.cfg.Queue + 1
	}
	return n.w.cfg.Queue
}

// tips counts work that comes to a cold nodo and tells whether the last window held more than it stands, with room for
// one request more. The share of the window's middle stands for all of it.
func (n *nodo) tips(a *attempt) bool {
	c, now := n.w.cfg, n.w.now
	if !n.cold || now-n.since > c.Cold+c.Fall {
		n.came = nil
		return false
	}
	n.came = append(n.came, arrival{now, a.q.work, a.p.told[n.id].StartTime == n.launched()})
	from := now - c.Fall
	for n.came[0].at < from {
		n.came = n.came[1:]
	}
	sum, told := int64(0), int64(0)
	for _, x := range n.came {
		sum += x.work
		if x.told {
			told += x.work
		}
	}
	from = max(from, n.since)
	stands := c.TipMultiple * n.share((from+now)/2) * c.Speed / n.slow() * float64(c.Slots) * float64(c.Fall)
	if float64(sum) <= stands+float64(a.q.work) {
		return false
	}
	if n.slow() == 1 { // that it is slow, besides, nobody could know yet
		n.w.check.tipped(n, float64(told)/float64(sum))
	}
	return true
}

// begin holds a slot for an attempt until its work is done.
func (n *nodo) begin(a *attempt) {
	a.place = held
	took := float64(a.q.work) * n.slow() / (n.w.cfg.Speed * n.share(n.w.now))
	life := n.starts
	n.w.after(int64(took), evWork, n.id, func() { n.done(a, life) })
}

func (n *nodo) done(a *attempt, life int) {
	if n.starts != life {
		n.reset(a)
		return
	}
	n.w.touched = n
	a.place = nowhere
	if n.busy--; len(n.queue) > 0 {
		next := n.queue[0]
		n.queue = n.queue[1:]
		n.busy++
		n.begin(next)
	}
	switch {
	case n.silent():
	case n.rnd.Float64() < n.fails():
		n.answer(a, balancer.StatusError)
	default:
		n.answer(a, balancer.StatusOK)
	}
}

// leave drops an attempt whose caller has gone; what is in work goes on.
func (n *nodo) leave(a *attempt) {
	if a.place == queued {
		a.place = nowhere
		n.queue = slices.DeleteFunc(n.queue, func(x *attempt) bool { return x == a })
	}
}

// answer sends an end back to the proxy, where the way is open.
func (n *nodo) answer(a *attempt, s balancer.Status) {
	if n.w.net.heard(n.zone, a.p.zone) {
		n.w.after(n.w.net.delay(n.zone, a.p.zone), evOutcome, a.p.id, func() { a.p.deliver(a.life, func() { a.p.outcome(a, s) }) })
	}
}
