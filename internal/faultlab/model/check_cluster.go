package model

import (
	"merlinpick/balancer"
	"merlinpick/internal/cluster/state"
)

// What must hold of what proxies share, looked at each time that a proxy hands it to its Balancer.

const (
	maxHops            = 6            // that an entry takes to the last proxy
	maxHopDelay        = 2 * delayFar // of a hop, without a fault that makes packets late
	maxDisagreement    = 5 * sec      // proxies of a zone that hear each other differ no longer: one that left alone stays away 3 s
	calmDuration       = 6 * sec      // they hear each other when gossip is sound, and they run, for so long
	maxCalmLoss        = 0.35         // gossip that loses more is not sound
	maxCalmDelay       = 300 * ms     // nor is gossip that is later
	maxEjectedFraction = 1.0 / 3.0    // of a tier's or a zone's nodos: no more are out by verdict at one proxy
	minEjectable       = 1            // nodo that may be, where there are two or more
	maxProxiesInFull   = 50           // up to so many proxies all are looked at in full, beyond that so many in turn
)

// group is what the proxies of one zone hold of another: agreed or not, and since when.
type zoneAgreement struct {
	differsSince  int64 // since when they differ; -1 while they do not
	firstDiffered int64 // when the first of them left the other zone; -1 while none has
}

// fleetCheck is what the checker keeps of the fleet.
type clusterCheck struct {
	maxGossipDelay int64           // what a packet's way may take at most, in the faults of this run
	lastDisturbed  []int64         // by zone: when its proxies last heard each other badly
	agreements     []zoneAgreement // by zone and zone seen
}

func (f *clusterCheck) begin(sim *simulation) {
	f.lastDisturbed = make([]int64, sim.cfg.Zones)
	f.agreements = make([]zoneAgreement, sim.cfg.Zones*sim.cfg.Zones)
	for i := range f.agreements {
		f.agreements[i] = zoneAgreement{-1, -1}
	}
	for i := range sim.cfg.Faults {
		if x := &sim.cfg.Faults[i]; x.Kind == GossipDelay {
			f.maxGossipDelay += int64(x.Value * float64(sec))
		}
	}
}

// used judges an entry that is handed to a Balancer, by its end on the proxy's clock and by its true age.
func (c *checker) checkEntryUse(p *proxy, now int64, e *state.Entry) {
	if now >= e.ExpiresAt() {
		c.violated(ruleExpiry, "%s uses what %s said of %s %d us after its end", p.name, e.Observer, e.Subject, now-e.ExpiresAt())
	}
	sim := c.sim
	if e.Kind == state.ServerUnhealthy {
		if target := sim.serverByName(e.Subject); e.SubjectStartMs == p.listed[target.id].StartTime/ms {
			p.cluster.reportedUnhealthy[target.id] = true
		}
	}
	if n := len(sim.proxies); n > maxProxiesInFull && (sim.now/loopInterval+int64(p.id))%int64(n/maxProxiesInFull) != 0 {
		return
	}
	age := sim.gossip.publications.age(sim.now, e)
	if age < 0 {
		return
	}
	if sim.now/sec != p.cluster.agesCountedAt && e.Kind == state.ServerLoad {
		sim.result.LoadAges.add(age)
	} else if sim.now/sec != p.cluster.agesCountedAt {
		sim.result.HealthAges.add(age)
	}
	over := age - e.TTL
	sim.result.MaxOverrun = max(sim.result.MaxOverrun, over)
	if over > maxHops*(maxHopDelay+c.cluster.maxGossipDelay)+int64(2*sim.cfg.MaxClockDrift*float64(e.TTL))+maxLoopGap {
		c.violated(ruleExpiry, "%s uses what %s said of %s %.2f s ago, for a life of %.2f s", p.name, e.Observer, e.Subject,
			float64(age)/float64(sec), float64(e.TTL)/float64(sec))
	}
}

// polled judges a Balancer's state after it was told.
func (c *checker) checkDecisions(p *proxy, now int64) {
	sim := c.sim
	p.cluster.agesCountedAt = sim.now / sec
	c.checkEjections(p)
	away, all := uint64(0), true
	for _, z := range p.balancer.ZoneStates(now) {
		out := z.Phase == balancer.ZoneEvacuated || sim.cfg.seeded == seedAllEvacuated
		if all = all && out; out {
			away |= 1 << z.Zone
		}
	}
	if away != 0 && all {
		c.violated(ruleSomeZone, "%s has left all zones", p.name)
	}
	changed := away != p.cluster.evacuatedZones
	p.cluster.evacuatedZones = away
	if sim.network.cutGossip[p.zone*sim.cfg.Zones+p.zone] > 0 || sim.network.gossipLoss > maxCalmLoss || sim.network.gossipDelay > maxCalmDelay {
		c.cluster.lastDisturbed[p.zone] = sim.now
	}
	if changed || sim.now-p.cluster.agreementCheckedAt >= sec {
		p.cluster.agreementCheckedAt = sim.now
		c.checkAgreement(p.zone)
	}
}

// agree looks whether the proxies of a zone hold the same of all zones.
func (c *checker) checkAgreement(zone int) {
	sim := c.sim
	all, some, n := ^uint64(0), uint64(0), 0
	for _, p := range sim.proxies {
		if p.zone == zone && p.isInSync() {
			all, some, n = all&p.cluster.evacuatedZones, some|p.cluster.evacuatedZones, n+1
		}
	}
	calm := sim.now-c.cluster.lastDisturbed[zone] >= calmDuration
	for z := range sim.cfg.Zones {
		g, bit := &c.cluster.agreements[zone*sim.cfg.Zones+z], uint64(1)<<z
		switch {
		case n < 2 || !calm || all&bit == some&bit:
			if g.firstDiffered >= 0 && n > 1 && calm {
				sim.result.Disagreements.add(sim.now - g.firstDiffered)
				if all&bit != 0 {
					sim.result.EvacuationSpread.add(sim.now - g.firstDiffered)
				}
			}
			g.differsSince, g.firstDiffered = -1, -1
		case g.differsSince < 0:
			g.differsSince, g.firstDiffered = sim.now, sim.now
		case sim.now-g.differsSince > maxDisagreement:
			c.violated(ruleAgreement, "proxies of %s differ on %s for %.2f s", zoneName(zone), zoneName(z),
				float64(sim.now-g.differsSince)/float64(sec))
			g.differsSince = sim.now
		}
	}
}

// hears tells whether a proxy has run long enough to hold what the others of its zone do, and tells the truth.
func (p *proxy) isInSync() bool {
	now := p.sim.now
	return p.cluster != nil && p.up && !p.stopped && len(p.cluster.falseZones) == 0 &&
		(p.startedAt == 0 || now-p.startedAt > calmDuration) && (p.resumedAt == 0 || now-p.resumedAt > calmDuration)
}

// removed judges how much of the tier, and of each zone, is out by the word of others.
func (c *checker) checkEjections(p *proxy) {
	gone := p.balancer.EjectedServers()
	if len(gone) == 0 {
		return
	}
	sim := c.sim
	ready, out := make([]int, sim.cfg.Zones+1), make([]int, sim.cfg.Zones+1) // the last is the tier
	for i := range p.listed {
		if p.listed[i].State == balancer.ServerReady {
			ready[p.listed[i].Zone]++
			ready[sim.cfg.Zones]++
		}
	}
	for _, id := range gone {
		target := sim.serverByName(id)
		if !p.cluster.reportedUnhealthy[target.id] {
			c.violated(ruleExpiry, "%s leaves %s out, which nobody calls bad since its start", p.name, id)
		}
		out[target.zone]++
		out[sim.cfg.Zones]++
	}
	for i, n := range out {
		most := max(minEjectable, int(maxEjectedFraction*float64(ready[i])))
		if sim.cfg.seeded == seedNoBudget {
			most /= 10
		}
		if n > most {
			c.violated(ruleEjectionBudget, "%s has %d of %d nodos out by verdict, in %d of %d zones", p.name, n, ready[i], i, sim.cfg.Zones)
		}
	}
}
