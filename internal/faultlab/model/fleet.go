package model

import (
	"strconv"

	"merlinpick/balancer"
	"merlinpick/internal/cluster/adapter"
	"merlinpick/internal/cluster/state"
)

// fleet is a proxy's part in what the proxies share.
type fleet struct {
	view   *state.Store
	spread spread
	heard  int64 // when anybody was, virtual time
	probed int64
	deaf   int64  // until then it leaves out what it hears, on its own clock
	ticked int64  // when its loop ran last, on its own clock
	lies   []int  // of zones
	aged   int64  // the second in which ages were last counted
	bad    []bool // by nodo: others call it bad, and mean its present start
	away   uint64 // zones that its Balancer has left, as of its last turn
	agreed int64  // when that was last held against the others of its zone
}

// What waits in a socket grows older than it says. So a proxy whose loop stood for longer than stallMost leaves out
// what it hears until stallDeaf later, when all that waited has been read.
const (
	stallMost = sec
	stallDeaf = 300 * ms
)

// join begins a proxy's part with an empty view.
func (p *proxy) join() {
	if !p.w.cfg.Peers {
		return
	}
	var lies []int
	if p.fleet != nil {
		lies = p.fleet.lies
	}
	w, now := p.w, p.clock()
	p.fleet = &fleet{heard: w.now, ticked: now, lies: lies,
		view:   state.New(state.Identity{Name: p.name, Zone: zoneName(p.zone), StartedAtMs: now / ms}, state.Limits{}),
		spread: newSpread(w.gossip.times)}
	life := p.life
	w.after(w.gossip.rnd.Int64N(gossipEvery), evGossip, p.id, func() { p.deliver(life, func() { p.gossip(life) }) })
	first := w.gossip.rnd.Int64N(fullEvery)
	if w.now > 0 { // one that joins a fleet exchanges all with one that it knows, at once
		first = 0
	}
	w.after(first, evGossip, p.id, func() { p.deliver(life, func() { p.full(life) }) })
}

// hear takes a packet in.
func (p *proxy) hear(k packet) {
	now := p.clock()
	if (now-p.fleet.ticked > stallMost || now < p.fleet.deaf) && p.w.cfg.seeded != seedStalled {
		p.w.res.Stalled++
		return
	}
	p.fleet.heard = p.w.now
	in := p.unpack(k)
	news := p.fleet.view.Merge(now, in)
	p.w.gossip.book.came(p, news)
	p.fleet.spread.add(news)
}

// exchange is the part of the loop's turn that tells and hears.
func (p *proxy) exchange() {
	f, w, now := p.fleet, p.w, p.clock()
	if now-f.ticked > stallMost {
		f.deaf = now + stallDeaf
	}
	f.ticked = now
	items := adapter.ToObservations(p.b.Reports(now), w.zoneNumbers)
	if w.cfg.Chatter > 0 {
		items = append(items, p.chatter()...)
	}
	told := f.view.Publish(now, append(items, p.falsehoods()...))
	w.gossip.book.told(p, told)
	f.spread.add(told)
	p.b.HandlePeerReports(now, p, p.peers(now))
	w.check.polled(p, now)
}

// peers is what the view knows, as the Balancer takes it.
func (p *proxy) peers(now int64) balancer.PeerReports {
	w := p.w
	known := p.fleet.view.PeerEntries(now)
	h := balancer.PeerReports{Isolated: w.now-p.fleet.heard >= aloneAfter, Reports: make([]balancer.Report, 0, len(known))}
	h.LiveReplicas, h.LiveReplicasInZone = w.gossip.count(w, p)
	if p.id == 0 && w.cfg.seeded == seedDeaf {
		return h
	}
	p.fleet.bad = make([]bool, len(w.nodos))
	for i := range known {
		if w.cfg.seeded == seedAfterEnd {
			known[i].ObservedAt -= known[i].TTL
		}
		w.check.used(p, now, &known[i])
		if r, ok := p.report(&known[i]); ok {
			h.Reports = append(h.Reports, r)
		}
	}
	return h
}

func partOf(so bool) float64 {
	if so {
		return 1
	}
	return 0
}

func zoneName(z int) string { return "z" + strconv.Itoa(z) }

// zoneNumbers maps the names of zones to their numbers.
func zoneNumbers(zones int) map[string]int {
	numbers := make(map[string]int, zones)
	for zone := range zones {
		numbers[zoneName(zone)] = zone
	}
	return numbers
}

// report converts an entry to the balancer's terms; false if it is about or from a zone that does not exist.
func (p *proxy) report(e *state.Entry) (balancer.Report, bool) {
	kind, known := adapter.ReportKind(e.Kind)
	if !known {
		return balancer.Report{}, false
	}
	r, ok := adapter.ToReport(kind, e, p.w.zoneNumbers)
	if kind == balancer.ReportServerUnhealthy && p.w.cfg.seeded == seedFormer {
		r.StartTime = p.told[p.w.nodoNamed(r.Server).id].StartTime
	}
	return r, ok
}

// lie has a proxy say that all nodos of a zone are bad, or end that.
func (p *proxy) lie(zone, by int) {
	if p.fleet == nil {
		return
	}
	if by > 0 {
		p.fleet.lies = append(p.fleet.lies, zone)
		return
	}
	for i, z := range p.fleet.lies {
		if z == zone {
			p.fleet.lies = append(p.fleet.lies[:i], p.fleet.lies[i+1:]...)
			return
		}
	}
}

// falsehoods are what a liar says. Say takes the first of two items on one subject.
func (p *proxy) falsehoods() (out []state.Observation) {
	for _, z := range p.fleet.lies {
		body := state.Body{Fault: adapter.WireFault(balancer.FaultUnresponsive), Calls: 1000, BadFraction: 1}
		out = append(out, state.Observation{Kind: state.ZoneUnhealthy, Subject: zoneName(z), Body: body})
		for _, n := range p.w.nodos {
			if n.zone == z {
				out = append(out, state.Observation{Kind: state.ServerUnhealthy, Subject: n.name, SubjectStartMs: p.told[n.id].StartTime / ms, Body: body})
			}
		}
	}
	return out
}

// chatter is what a proxy tells where only the spreading is looked at: so many summaries of nodos, which all move.
func (p *proxy) chatter() (out []state.Observation) {
	for i := range min(p.w.cfg.Chatter, len(p.w.nodos)) {
		n := p.w.nodos[(p.id+i)%len(p.w.nodos)]
		out = append(out, state.Observation{Kind: state.ServerLoad, Subject: n.name,
			Body: state.Body{Calls: 100, Value: 1000 + 1000*p.w.gossip.rnd.Float64()}})
	}
	return out
}
