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

// frontEndDetection is how long the clients' front end takes to detect that a proxy ended or was paused. It
// then routes the proxy's clients to another one, of the same zone if there is one.
const frontEndDetection = 2 * sec

// clients send requests in an open loop: arrivals do not depend on the cluster's behaviour.
type clients struct {
	random      *rand.Rand
	proxyShares []float64 // of the requests, cumulative
	classShares []float64 // of the requests, cumulative
	arrivals    int
}

func (c *clients) begin(sim *simulation) {
	c.random = source(sim.cfg.Seed, streamClients)
	sum := 0.0
	for range sim.proxies {
		sum += math.Exp(sim.cfg.Skew * c.random.NormFloat64())
		c.proxyShares = append(c.proxyShares, sum)
	}
	sum = 0
	for _, class := range sim.cfg.Classes {
		sum += class.Share
		c.classShares = append(c.classShares, sum)
	}
	c.next(sim)
}

// next schedules the next arrival.
func (c *clients) next(sim *simulation) {
	sim.after(int64(c.random.ExpFloat64()/sim.cfg.Rate*float64(sec)), evArrival, c.arrivals, func() {
		c.arrive(sim)
		c.next(sim)
	})
}

// draw draws an index by cumulative weights.
func draw(r *rand.Rand, sums []float64) int {
	return min(sort.SearchFloat64s(sums, r.Float64()*sums[len(sums)-1]), len(sums)-1)
}

// arrive draws a request completely before it uses the state of any proxy, so that the arrivals do not depend
// on it.
func (c *clients) arrive(sim *simulation) {
	c.arrivals++
	at, class, part := draw(c.random, c.proxyShares), draw(c.random, c.classShares), c.random.Float64()
	k := &sim.cfg.Classes[class]
	req := &request{id: strconv.Itoa(c.arrivals), class: class, arrivedAt: sim.now, deadline: sim.now + k.Deadline,
		work: k.WorkMin + int64(part*float64(k.WorkMax-k.WorkMin))}
	sim.result.countArrival(sim.now, k.PriorityWeight)
	p := c.proxyFor(sim, sim.proxies[at])
	if p == nil || !p.up {
		sim.result.countEnd(sim, req, endUnreached)
		return
	}
	incarnation := p.incarnation
	req.excused = p.stopped
	p.deliver(incarnation, func() {
		if !req.closed {
			p.handle(req)
		}
	})
	sim.after(k.Deadline+clientTimeoutSlack, evClientTimeout, p.id, func() {
		if req.closed {
			return
		}
		if p.stopped { // the proxy cannot act on it
			req.closed = true
			sim.result.countEnd(sim, req, endUnanswered)
			return
		}
		p.deliver(incarnation, func() { p.cancel(req) })
	})
}

// proxyFor returns the proxy to which the front end routes a client of p; nil if there is none.
func (c *clients) proxyFor(sim *simulation, p *proxy) *proxy {
	if p.seemsUp() {
		return p
	}
	for _, near := range []bool{true, false} {
		for i := 1; i < len(sim.proxies); i++ {
			// The start differs by request, so that clients spread over the others.
			peer := sim.proxies[(p.id+1+(c.arrivals+i)%(len(sim.proxies)-1))%len(sim.proxies)]
			if (peer.zone == p.zone) == near && peer.seemsUp() && peer.up {
				return peer
			}
		}
	}
	return nil
}

// seemsUp reports whether the front end considers a proxy up.
func (p *proxy) seemsUp() bool { return p.up && !p.stopped || p.sim.now-p.downAt < frontEndDetection }

func sortedRequests(m map[string]*request) []*request {
	return slices.SortedFunc(maps.Values(m), func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.id, b.id))
	})
}
