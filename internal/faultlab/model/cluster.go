package model

import (
	"strconv"

	"merlinpick/balancer"
	"merlinpick/internal/cluster/adapter"
	"merlinpick/internal/cluster/state"
)

// clusterMember is a proxy's cluster state. Times are in microseconds of the virtual clock, unless stated
// otherwise.
type clusterMember struct {
	store              *state.Store
	outbound           transmitQueue
	lastHeard          int64 // from any other member
	lastProbe          int64
	dropUntil          int64  // on the proxy's clock: it drops gossip until then
	lastTick           int64  // on the proxy's clock
	falseZones         []int  // zones that it falsely reports as unhealthy
	agesCountedAt      int64  // the second of the run in which ages were last recorded
	reportedUnhealthy  []bool // by server: peers report it, and mean its current start
	evacuatedZones     uint64 // as a bit set, at the last iteration of the loop
	agreementCheckedAt int64
}

// Entries that wait in a socket are older than their ages say. A proxy whose loop was paused for longer than
// maxLoopGap therefore drops gossip for dropAfterGap, until everything that waited has been read.
const (
	maxLoopGap   = sec
	dropAfterGap = 300 * ms
)

// joinCluster starts a proxy's membership with an empty store.
func (p *proxy) joinCluster() {
	if !p.sim.cfg.Cluster {
		return
	}
	var falseZones []int
	if p.cluster != nil {
		falseZones = p.cluster.falseZones
	}
	sim, now := p.sim, p.clock()
	p.cluster = &clusterMember{lastHeard: sim.now, lastTick: now, falseZones: falseZones,
		store:    state.New(state.Identity{Name: p.name, Zone: zoneName(p.zone), StartedAtMs: now / ms}, state.Limits{}),
		outbound: newTransmitQueue(sim.gossip.transmitCount)}
	incarnation := p.incarnation
	p.after(sim.gossip.random.Int64N(gossipInterval), evGossip, incarnation, func() { p.gossip(incarnation) })
	first := sim.gossip.random.Int64N(fullExchangeInterval)
	if sim.now > 0 { // a proxy that joins a running cluster makes a full exchange at once
		first = 0
	}
	p.after(first, evGossip, incarnation, func() { p.fullExchange(incarnation) })
}

// receive merges a packet and queues the entries that changed the store.
func (p *proxy) receive(packet gossipPacket) {
	now := p.clock()
	if (now-p.cluster.lastTick > maxLoopGap || now < p.cluster.dropUntil) &&
		p.sim.cfg.seeded != seedAcceptsStale {
		p.sim.result.DroppedAfterPause++
		return
	}
	p.cluster.lastHeard = p.sim.now
	entries := p.unpack(packet)
	changed := p.cluster.store.Merge(now, entries)
	p.sim.gossip.publications.recordReceived(p, changed)
	p.cluster.outbound.add(changed)
}

// exchangeReports is the part of a loop iteration that publishes the proxy's reports and passes those of its
// peers to the balancer.
func (p *proxy) exchangeReports() {
	member, sim, now := p.cluster, p.sim, p.clock()
	if now-member.lastTick > maxLoopGap {
		member.dropUntil = now + dropAfterGap
	}
	member.lastTick = now
	observations := adapter.ToObservations(p.balancer.Reports(now), sim.zoneNumbers)
	if sim.cfg.ExtraLoadReports > 0 {
		observations = append(observations, p.extraLoadReports()...)
	}
	published := member.store.Publish(now, append(observations, p.falseReports()...))
	sim.gossip.publications.recordPublished(p, published)
	member.outbound.add(published)
	p.balancer.HandlePeerReports(now, p, p.peerReports(now))
	sim.check.checkDecisions(p, now)
}

// peerReports converts the peers' entries in the store to the balancer's reports.
func (p *proxy) peerReports(now int64) balancer.PeerReports {
	sim := p.sim
	entries := p.cluster.store.PeerEntries(now)
	reports := balancer.PeerReports{Isolated: sim.now-p.cluster.lastHeard >= isolationTimeout,
		Reports: make([]balancer.Report, 0, len(entries))}
	reports.LiveReplicas, reports.LiveReplicasInZone = sim.gossip.countLive(sim, p)
	if p.id == 0 && sim.cfg.seeded == seedIgnoresEntries {
		return reports
	}
	p.cluster.reportedUnhealthy = make([]bool, len(sim.servers))
	for i := range entries {
		if sim.cfg.seeded == seedUsesExpired {
			entries[i].ObservedAt -= entries[i].TTL
		}
		sim.check.checkEntryUse(p, now, &entries[i])
		if report, ok := p.report(&entries[i]); ok {
			reports.Reports = append(reports.Reports, report)
		}
	}
	return reports
}

// indicator returns 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
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

// report converts an entry to the balancer's report; false if its kind or a zone that it names is unknown.
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

// setFalseReports makes a proxy report a zone and all its servers as unhealthy (by > 0), or ends that.
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

// falseReports returns a byzantine proxy's observations. They follow the true ones, and Publish takes the
// first one of each subject.
func (p *proxy) falseReports() (out []state.Observation) {
	for _, z := range p.cluster.falseZones {
		body := state.Body{Fault: adapter.WireFault(balancer.FaultUnresponsive), Calls: 1000, BadFraction: 1}
		out = append(out, state.Observation{Kind: state.ZoneUnhealthy, Subject: zoneName(z), Body: body})
		for _, target := range p.sim.servers {
			if target.zone == z {
				out = append(out, state.Observation{Kind: state.ServerUnhealthy, Subject: target.name,
					SubjectStartMs: p.listed[target.id].StartTime / ms, Body: body})
			}
		}
	}
	return out
}

// extraLoadReports returns load reports that change all the time, for runs that only measure propagation.
func (p *proxy) extraLoadReports() (out []state.Observation) {
	for i := range min(p.sim.cfg.ExtraLoadReports, len(p.sim.servers)) {
		target := p.sim.servers[(p.id+i)%len(p.sim.servers)]
		out = append(out, state.Observation{Kind: state.ServerLoad, Subject: target.name,
			Body: state.Body{Calls: 100, Value: 1000 + 1000*p.sim.gossip.random.Float64()}})
	}
	return out
}
