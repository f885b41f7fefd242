package model

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
)

// The front that leads clients to proxies takes notice of one that has ended or stopped after this long, and leads
// them to another, of the same zone where there is one.
const frontNotice = 2 * sec

// clients send requests on an open loop: what the fleet does changes nothing about when they come.
type clients struct {
	rnd    *rand.Rand
	sums   []float64 // of the proxies' parts, running
	shares []float64 // of the classes', running
	n      int
}

func (c *clients) begin(w *world) {
	c.rnd = source(w.cfg.Seed, chanceClients)
	sum := 0.0
	for range w.proxies {
		sum += math.Exp(w.cfg.Skew * c.rnd.NormFloat64())
		c.sums = append(c.sums, sum)
	}
	sum = 0
	for _, k := range w.cfg.Classes {
		sum += k.Share
		c.shares = append(c.shares, sum)
	}
	c.next(w)
}

func (c *clients) next(w *world) {
	w.after(int64(c.rnd.ExpFloat64()/w.cfg.Rate*float64(sec)), evArrival, c.n, func() {
		c.arrive(w)
		c.next(w)
	})
}

// draw draws an index by running sums.
func draw(r *rand.Rand, sums []float64) int {
	return min(sort.SearchFloat64s(sums, r.Float64()*sums[len(sums)-1]), len(sums)-1)
}

// arrive draws all of a request before it looks at any proxy, so that the arrivals are the same whatever happens.
func (c *clients) arrive(w *world) {
	c.n++
	at, class, part := draw(c.rnd, c.sums), draw(c.rnd, c.shares), c.rnd.Float64()
	k := &w.cfg.Classes[class]
	q := &request{id: strconv.Itoa(c.n), class: class, came: w.now, giveUp: w.now + k.Deadline,
		work: k.WorkMin + int64(part*float64(k.WorkMax-k.WorkMin))}
	w.res.take(w.now, k.PriorityWeight)
	p := c.front(w, w.proxies[at])
	if p == nil || !p.up {
		w.res.count(w, q, unreached)
		return
	}
	life := p.life
	q.excused = p.stopped
	p.deliver(life, func() {
		if !q.closed {
			p.take(q)
		}
	})
	w.after(k.Deadline+slack, evGiveUp, p.id, func() {
		if q.closed {
			return
		}
		if p.stopped { // nobody is there to be told: the client goes all the same
			q.closed = true
			w.res.count(w, q, unanswered)
			return
		}
		p.deliver(life, func() { p.withdraw(q) })
	})
}

// front is the proxy that a client of one gets to.
func (c *clients) front(w *world, p *proxy) *proxy {
	if p.seemsUp() {
		return p
	}
	for _, near := range []bool{true, false} {
		for i := 1; i < len(w.proxies); i++ {
			// Clients of one proxy spread over the others: the step is the request's own.
			o := w.proxies[(p.id+1+(c.n+i)%(len(w.proxies)-1))%len(w.proxies)]
			if (o.zone == p.zone) == near && o.seemsUp() && o.up {
				return o
			}
		}
	}
	return nil
}

// seemsUp is what the front believes of a proxy.
func (p *proxy) seemsUp() bool { return p.up && !p.stopped || p.w.now-p.downAt < frontNotice }

func sortedRequests(m map[string]*request) []*request {
	return slices.SortedFunc(maps.Values(m), func(a, b *request) int { return cmp.Or(cmp.Compare(a.came, b.came), cmp.Compare(a.id, b.id)) })
}
