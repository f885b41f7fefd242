package model

import (
	"merlinpick/balancer"
	"merlinpick/internal/cluster/state"
)

// What must hold of what proxies share, looked at each time that a proxy hands it to its Balancer.

const (
	hopsMost    = 6            // that an entry takes to the last proxy
	aheadMost   = 2 * delayFar // of a hop, without a fault that makes packets late
	agreeMost   = 5 * sec      // proxies of a zone that hear each other differ no longer: one that left alone stays away 3 s
	calmTime    = 6 * sec      // they hear each other when gossip is sound, and they run, for so long
	calmLoss    = 0.35         // gossip that loses more is not sound
	calmLag     = 300 * ms     // nor is gossip that is later
	budgetPart  = 1.0 / 3.0    // of a tier's or a zone's nodos: no more are out by verdict at one proxy
	budgetLeast = 1            // nodo that may be, where there are two or more
	lookAll     = 50           // up to so many proxies all are looked at in full, beyond that so many in turn
)

// group is what the proxies of one zone hold of another: agreed or not, and since when.
type group struct {
	mixed int64 // since when they differ; -1 while they do not
	first int64 // when the first of them left the other zone; -1 while none has
}

// fleetCheck is what the checker keeps of the fleet.
type fleetCheck struct {
	late   int64   // what a packet's way may take at most, in the faults of this run
	rough  []int64 // by zone: when its proxies last heard each other badly
	groups []group // by zone and zone seen
}

func (f *fleetCheck) begin(w *world) {
	f.rough = make([]int64, w.cfg.Zones)
	f.groups = make([]group, w.cfg.Zones*w.cfg.Zones)
	for i := range f.groups {
		f.groups[i] = group{-1, -1}
	}
	for i := range w.cfg.Faults {
		if x := &w.cfg.Faults[i]; x.Kind == GossipLate {
			f.late += int64(x.Value * float64(sec))
		}
	}
}

// used judges an entry that is handed to a Balancer, by its end on the proxy's clock and by its true age.
func (c *checker) used(p *proxy, now int64, e *state.Entry) {
	if now >= e.ExpiresAt() {
		c.fault(ruleEnds, "%s uses what %s said of %s %d us after its end", p.name, e.Observer, e.Subject, now-e.ExpiresAt())
	}
	w := c.w
	if e.Kind == state.ServerUnhealthy {
		if n := w.nodoNamed(e.Subject); e.SubjectStartMs == p.told[n.id].StartTime/ms {
			p.fleet.bad[n.id] = true
		}
	}
	if n := len(w.proxies); n > lookAll && (w.now/tickEvery+int64(p.id))%int64(n/lookAll) != 0 {
		return
	}
	age := w.gossip.book.age(w.now, e)
	if age < 0 {
		return
	}
	if w.now/sec != p.fleet.aged && e.Kind == state.ServerLoad {
		w.res.Loads.add(age)
	} else if w.now/sec != p.fleet.aged {
		w.res.Ages.add(age)
	}
	over := age - e.TTL
	w.res.Overrun = max(w.res.Overrun, over)
	if over > hopsMost*(aheadMost+c.fleet.late)+int64(2*w.cfg.ClockDrift*float64(e.TTL))+stallMost {
		c.fault(ruleEnds, "%s uses what %s said of %s %.2f s ago, for a life of %.2f s", p.name, e.Observer, e.Subject,
			float64(age)/float64(sec), float64(e.TTL)/float64(sec))
	}
}

// polled judges a Balancer's state after it was told.
func (c *checker) polled(p *proxy, now int64) {
	w := c.w
	p.fleet.aged = w.now / sec
	c.removed(p)
	away, all := uint64(0), true
	for _, z := range p.b.ZoneStates(now) {
		out := z.Phase == balancer.ZoneEvacuated || w.cfg.seeded == seedAllAway
		if all = all && out; out {
			away |= 1 << z.Zone
		}
	}
	if away != 0 && all {
		c.fault(ruleSomeone, "%s has left all zones", p.name)
	}
	changed := away != p.fleet.away
	p.fleet.away = away
	if w.net.talk[p.zone*w.cfg.Zones+p.zone] > 0 || w.net.loss > calmLoss || w.net.lag > calmLag {
		c.fleet.rough[p.zone] = w.now
	}
	if changed || w.now-p.fleet.agreed >= sec {
		p.fleet.agreed = w.now
		c.agree(p.zone)
	}
}

// agree looks whether the proxies of a zone hold the same of all zones.
func (c *checker) agree(zone int) {
	w := c.w
	all, some, n := ^uint64(0), uint64(0), 0
	for _, p := range w.proxies {
		if p.zone == zone && p.hears() {
			all, some, n = all&p.fleet.away, some|p.fleet.away, n+1
		}
	}
	calm := w.now-c.fleet.rough[zone] >= calmTime
	for z := range w.cfg.Zones {
		g, bit := &c.fleet.groups[zone*w.cfg.Zones+z], uint64(1)<<z
		switch {
		case n < 2 || !calm || all&bit == some&bit:
			if g.first >= 0 && n > 1 && calm {
				w.res.Mixed.add(w.now - g.first)
				if all&bit != 0 {
					w.res.Leaves.add(w.now - g.first)
				}
			}
			g.mixed, g.first = -1, -1
		case g.mixed < 0:
			g.mixed, g.first = w.now, w.now
		case w.now-g.mixed > agreeMost:
			c.fault(ruleAgree, "proxies of %s differ on %s for %.2f s", zoneName(zone), zoneName(z),
				float64(w.now-g.mixed)/float64(sec))
			g.mixed = w.now
		}
	}
}

// hears tells whether a proxy has run long enough to hold what the others of its zone do, and tells the truth.
func (p *proxy) hears() bool {
	now := p.w.now
	return p.fleet != nil && p.up && !p.stopped && len(p.fleet.lies) == 0 &&
		(p.since == 0 || now-p.since > calmTime) && (p.contAt == 0 || now-p.contAt > calmTime)
}

// removed judges how much of the tier, and of each zone, is out by the word of others.
func (c *checker) removed(p *proxy) {
	gone := p.b.EjectedServers()
	if len(gone) == 0 {
		return
	}
	w := c.w
	ready, out := make([]int, w.cfg.Zones+1), make([]int, w.cfg.Zones+1) // the last is the tier
	for i := range p.told {
		if p.told[i].State == balancer.ServerReady {
			ready[p.told[i].Zone]++
			ready[w.cfg.Zones]++
		}
	}
	for _, id := range gone {
		n := w.nodoNamed(id)
		if !p.fleet.bad[n.id] {
			c.fault(ruleEnds, "%s leaves %s out, which nobody calls bad since its start", p.name, id)
		}
		out[n.zone]++
		out[w.cfg.Zones]++
	}
	for i, n := range out {
		most := max(budgetLeast, int(budgetPart*float64(ready[i])))
		if w.cfg.seeded == seedNoBudget {
			most /= 10
		}
		if n > most {
			c.fault(ruleBudget, "%s has %d of %d nodos out by verdict, in %d of %d zones", p.name, n, ready[i], i, w.cfg.Zones)
		}
	}
}
