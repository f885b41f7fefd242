package model

import (
	"strconv"

	"merlinpick/balancer"
	"merlinpick/internal/cluster/adapter"
	"merlinpick/internal/cluster/state"
)

// fleet is a proxy's part in what the proxies share.
type clusterMember struct {
	store              *state.Store
	outbound           transmitQueue
	lastHeard          int64 // when anybody was, virtual time
	lastProbe          int64
	deafUntil          int64  // until then it leaves out what it hears, on its own clock
	lastTick           int64  // when its loop ran last, on its own clock
	falseZones         []int  // of zones
	agesCountedAt      int64  // the second in which ages were last counted
	reportedUnhealthy  []bool // by nodo: others call it bad, and mean its present start
	evacuatedZones     uint64 // zones that its Balancer has left, as of its last turn
	agreementCheckedAt int64  // when that was last held against the others of its zone
}

// What waits in a socket grows older than it says. So a proxy whose loop stood for longer than stallMost leaves out
// what it hears until stallDeaf later, when all that waited has been read.
const (
	maxLoopGap   = sec
	deafAfterGap = 300 * ms
)

// join begins a proxy's part with an empty view.
func (p *proxy) joinCluster() {
	if !p.sim.cfg.Cluster {
		return
	}
	var lies []int
	if p.cluster != nil {
		lies = p.cluster.falseZones
	}
	sim, now := p.sim, p.clock()
	p.cluster = &clusterMember{lastHeard: sim.now, lastTick: now, falseZones: lies,
		store:    state.New(state.Identity{Name: p.name, Zone: zoneName(p.zone), StartedAtMs: now / ms}, state.Limits{}),
		outbound: newTransmitQueue(sim.gossip.transmitCount)}
	life := p.incarnation
	sim.after(sim.gossip.random.Int64N(gossipInterval), evGossip, p.id, func() { p.deliver(life, func() { p.gossip(life) }) })
	first := sim.gossip.random.Int64N(fullExchangeInterval)
	if sim.now > 0 { // one that joins a fleet exchanges all with one that it knows, at once
		first = 0
	}
	sim.after(first, evGossip, p.id, func() { p.deliver(life, func() { p.fullExchange(life) }) })
}

// hear takes a packet in.
func (p *proxy) receive(k gossipPacket) {
	now := p.clock()
	if (now-p.cluster.lastTick > maxLoopGap || now < p.cluster.deafUntil) && p.sim.cfg.seeded != seedStalled {
		p.sim.result.DroppedAfterPause++
		return
	}
	p.cluster.lastHeard = p.sim.now
	in := p.unpack(k)
	news := p.cluster.store.Merge(now, in)
	p.sim.gossip.publications.recordReceived(p, news)
	p.cluster.outbound.add(news)
}

// exchange is the part of the loop's turn that tells and hears.
func (p *proxy) exchangeReports() {
	f, sim, now := p.cluster, p.sim, p.clock()
	if now-f.lastTick > maxLoopGap {
		f.deafUntil = now + deafAfterGap
	}
	f.lastTick = now
	items := adapter.ToObservations(p.balancer.Reports(now), sim.zoneNumbers)
	if sim.cfg.ExtraLoadReports > 0 {
		items = append(items, p.extraLoadReports()...)
	}
	told := f.store.Publish(now, append(items, p.falseReports()...))
	sim.gossip.publications.recordPublished(p, told)
	f.outbound.add(told)
	p.balancer.HandlePeerReports(now, p, p.peerReports(now))
	sim.check.checkDecisions(p, now)
}

// peers is what the view knows, as the Balancer takes it.
func (p *proxy) peerReports(now int64) balancer.PeerReports {
	sim := p.sim
	known := p.cluster.store.PeerEntries(now)
	h := balancer.PeerReports{Isolated: sim.now-p.cluster.lastHeard >= isolationTimeout, Reports: make([]balancer.Report, 0, len(known))}
	h.LiveReplicas, h.LiveReplicasInZone = sim.gossip.count(sim, p)
	if p.id == 0 && sim.cfg.seeded == seedDeaf {
		return h
	}
	p.cluster.reportedUnhealthy = make([]bool, len(sim.servers))
	for i := range known {
		if sim.cfg.seeded == seedAfterExpiry {
			known[i].ObservedAt -= known[i].TTL
		}
		sim.check.checkEntryUse(p, now, &known[i])
		if r, ok := p.report(&known[i]); ok {
			h.Reports = append(h.Reports, r)
		}
	}
	return h
}

func indicator(so bool) float64 {
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
	r, ok := adapter.ToReport(kind, e, p.sim.zoneNumbers)
	if kind == balancer.ReportServerUnhealthy && p.sim.cfg.seeded == seedPreviousStart {
		r.StartTime = p.listed[p.sim.serverByName(r.Server).id].StartTime
	}
	return r, ok
}

// lie has a proxy say that all nodos of a zone are bad, or end that.
func (p *proxy) setFalseReports(zone, by int) {
	if p.cluster == nil {
		return
	}
	if by > 0 {
		p.cluster.falseZones = append(p.cluster.falseZones, zone)
		return
	}
	for i, z := range p.cluster.falseZones {
		if z == zone {
			p.cluster.falseZones = append(p.cluster.falseZones[:i], p.cluster.falseZones[i+1:]...)
			return
		}
	}
}

// falsehoods are what a liar says. Say takes the first of two items on one subject.
func (p *proxy) falseReports() (out []state.Observation) {
	for _, z := range p.cluster.falseZones {
		body := state.Body{Fault: adapter.WireFault(balancer.FaultUnresponsive), Calls: 1000, BadFraction: 1}
		out = append(out, state.Observation{Kind: state.ZoneUnhealthy, Subject: zoneName(z), Body: body})
		for _, target := range p.sim.servers {
			if target.zone == z {
				out = append(out, state.Observation{Kind: state.ServerUnhealthy, Subject: target.name, SubjectStartMs: p.listed[target.id].StartTime / ms, Body: body})
			}
		}
	}
	return out
}

// chatter is what a proxy tells where only the spreading is looked at: so many summaries of nodos, which all move.
func (p *proxy) extraLoadReports() (out []state.Observation) {
	for i := range min(p.sim.cfg.ExtraLoadReports, len(p.sim.servers)) {
		target := p.sim.servers[(p.id+i)%len(p.sim.servers)]
		out = append(out, state.Observation{Kind: state.ServerLoad, Subject: target.name,
			Body: state.Body{Calls: 100, Value: 1000 + 1000*p.sim.gossip.random.Float64()}})
	}
	return out
}
