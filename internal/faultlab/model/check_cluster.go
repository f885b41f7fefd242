package model

import (
	"merlinpick/balancer"
	"merlinpick/internal/cluster/state"
)

// This file checks the invariants of shared state, each time that a proxy passes entries to its balancer.

const (
	maxHops            = 6            // of an entry on its way to the last proxy
	maxHopDelay        = 2 * delayFar // of a packet, without a fault that delays it
	maxDisagreement    = 5 * sec      // of proxies that hear each other; one may evacuate alone for 3 s
	calmDuration       = 6 * sec      // of undisturbed gossip until proxies count as hearing each other
	maxCalmLoss        = 0.35         // gossip with more loss counts as disturbed
	maxCalmDelay       = 300 * ms     // gossip with more delay counts as disturbed
	maxEjectedFraction = 1.0 / 3.0    // of a tier's or a zone's servers, by peers' reports, at one proxy
	minEjectable       = 1            // servers that may be ejected whatever the fraction
	maxProxiesInFull   = 50           // with more proxies, so many are checked in each loop interval
)

// zoneAgreement tracks whether the proxies of one zone agree on evacuating another.
type zoneAgreement struct {
	differsSince  int64 // -1 while they agree
	firstDiffered int64 // when the first of them evacuated it; -1 while none has
}

// clusterCheck is the checker's state for the cluster.
type clusterCheck struct {
	maxGossipDelay int64           // that the faults of this run add, in microseconds
	lastDisturbed  []int64         // by zone: when gossip between its proxies was last disturbed
	agreements     []zoneAgreement // by observing and observed zone
}

func (c *clusterCheck) begin(sim *simulation) {
	c.lastDisturbed = make([]int64, sim.cfg.Zones)
	c.agreements = make([]zoneAgreement, sim.cfg.Zones*sim.cfg.Zones)
	for i := range c.agreements {
		c.agreements[i] = zoneAgreement{-1, -1}
	}
	for i := range sim.cfg.Faults {
		if fault := &sim.cfg.Faults[i]; fault.Kind == GossipDelay {
			c.maxGossipDelay += int64(fault.Value * float64(sec))
		}
	}
}

// checkEntryUse checks an entry that is passed to a balancer: its expiry on the proxy's clock, and its true age.
func (c *checker) checkEntryUse(p *proxy, now int64, e *state.Entry) {
	if now >= e.ExpiresAt() {
		c.violated(ruleExpiry, "%s uses an entry of %s about %s %d us after its expiry", p.name, e.Observer,
			e.Subject, now-e.ExpiresAt())
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
		c.violated(ruleExpiry, "%s uses an entry of %s about %s that is %.2f s old, with a TTL of %.2f s",
			p.name, e.Observer, e.Subject, float64(age)/float64(sec), float64(e.TTL)/float64(sec))
	}
}

// checkDecisions checks a balancer's state after it received reports.
func (c *checker) checkDecisions(p *proxy, now int64) {
	sim := c.sim
	p.cluster.agesCountedAt = sim.now / sec
	c.checkEjections(p)
	evacuated, all := uint64(0), true
	for _, z := range p.balancer.ZoneStates(now) {
		out := z.Phase == balancer.ZoneEvacuated || sim.cfg.seeded == seedAllEvacuated
		if all = all && out; out {
			evacuated |= 1 << z.Zone
		}
	}
	if evacuated != 0 && all {
		c.violated(ruleSomeZone, "%s has evacuated all zones", p.name)
	}
	changed := evacuated != p.cluster.evacuatedZones
	p.cluster.evacuatedZones = evacuated
	if !sim.network.passesGossip(p.zone, p.zone) || sim.network.gossipLoss > maxCalmLoss ||
		sim.network.gossipDelay > maxCalmDelay {
		c.cluster.lastDisturbed[p.zone] = sim.now
	}
	if changed || sim.now-p.cluster.agreementCheckedAt >= sec {
		p.cluster.agreementCheckedAt = sim.now
		c.checkAgreement(p.zone)
	}
}

// checkAgreement checks whether the proxies of a zone evacuate the same zones.
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
		agreement, bit := &c.cluster.agreements[zone*sim.cfg.Zones+z], uint64(1)<<z
		switch {
		case n < 2 || !calm || all&bit == some&bit:
			if agreement.firstDiffered >= 0 && n > 1 && calm {
				sim.result.Disagreements.add(sim.now - agreement.firstDiffered)
				if all&bit != 0 {
					sim.result.EvacuationSpread.add(sim.now - agreement.firstDiffered)
				}
			}
			agreement.differsSince, agreement.firstDiffered = -1, -1
		case agreement.differsSince < 0:
			agreement.differsSince, agreement.firstDiffered = sim.now, sim.now
		case sim.now-agreement.differsSince > maxDisagreement:
			c.violated(ruleAgreement, "proxies of %s disagree on the evacuation of %s for %.2f s",
				zoneName(zone), zoneName(z),
				float64(sim.now-agreement.differsSince)/float64(sec))
			agreement.differsSince = sim.now
		}
	}
}

// isInSync reports whether a proxy has run long enough to hold the same entries as the others of its zone,
// and is not byzantine.
func (p *proxy) isInSync() bool {
	now := p.sim.now
	return p.cluster != nil && p.up && !p.stopped && len(p.cluster.falseZones) == 0 &&
		(p.startedAt == 0 || now-p.startedAt > calmDuration) && (p.resumedAt == 0 || now-p.resumedAt > calmDuration)
}

// checkEjections checks how much of the tier, and of each zone, is ejected by peers' reports.
func (c *checker) checkEjections(p *proxy) {
	ejected := p.balancer.EjectedServers()
	if len(ejected) == 0 {
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
	for _, id := range ejected {
		target := sim.serverByName(id)
		if !p.cluster.reportedUnhealthy[target.id] {
			c.violated(ruleExpiry, "%s ejects %s, which no peer reported since its start", p.name, id)
		}
		out[target.zone]++
		out[sim.cfg.Zones]++
	}
	for i, n := range out {
		maximum := max(minEjectable, int(maxEjectedFraction*float64(ready[i])))
		if sim.cfg.seeded == seedSmallBudget {
			maximum /= 10
		}
		if n > maximum {
			c.violated(ruleEjectionBudget, "%s ejects %d of %d servers by peers' reports, in zone %d of %d",
				p.name, n, ready[i], i, sim.cfg.Zones)
		}
	}
}
