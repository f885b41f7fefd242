package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// FaultKind is a kind of fault. Targets, Zone, To, Value and Period are fields of Fault.
type FaultKind int

const (
	ZoneLost           FaultKind = iota // servers and proxies of Zone are down; servers return in slow start
	CutResponses                        // responses and gossip from Zone to To are lost
	CutBoth                             // no connection, response or gossip between Zone and To
	ProxyKilled                         // Targets; started again at the end
	ProxyPaused                         // Targets; resumed at the end
	ServerKilled                        // Targets; started again at the end, in slow start
	ServerErrors                        // Targets: fraction Value of their responses are errors
	ServerSlow                          // Targets: work takes Value times as long
	ServerUnresponsive                  // Targets accept requests and do not respond
	ServerFlaps                         // Targets fail for Period, are healthy for Period, and so on
	GossipLoss                          // fraction Value of the packets is lost
	GossipDelay                         // packets are up to Value seconds late, and reordered
	GossipPartition                     // no gossip from Zone to To; with Zone < 0 none at all
	ByzantineProxies                    // Targets (proxies) report Zone and all its servers as unhealthy
	faultKindCount
)

// String returns the kind's name.
func (k FaultKind) String() string {
	if k < 0 || k >= faultKindCount {
		return "unknown"
	}
	return [...]string{"zone lost", "responses cut", "links cut", "proxy killed", "proxy paused", "server killed",
		"server errors", "server slow", "server unresponsive", "server flaps", "gossip loss", "gossip delay",
		"gossip partition", "byzantine proxies"}[k]
}

// Fault is a fault from At for Duration, in microseconds. To < 0 stands for all zones but Zone.
type Fault struct {
	Kind         FaultKind
	At, Duration int64
	Zone, To     int
	Targets      []int
	Value        float64
	Period       int64
}

// String returns the fault with its times in seconds.
func (f Fault) String() string {
	return fmt.Sprintf("%s at %.1f s for %.1f s: zone %d to %d, %v, %g", f.Kind, float64(f.At)/float64(sec),
		float64(f.Duration)/float64(sec), f.Zone, f.To, f.Targets, f.Value)
}

func (f *Fault) valid(c *Config) bool {
	maximum := c.Servers
	if f.onProxies() {
		maximum = c.Proxies
	}
	return f.Kind >= 0 && f.Kind < faultKindCount && f.At >= 0 && f.Duration > 0 && f.Zone < c.Zones && f.To < c.Zones &&
		(f.Zone >= 0 || f.Kind == GossipPartition) && (f.Kind != ServerFlaps || f.Period > 0) &&
		!slices.ContainsFunc(f.Targets, func(i int) bool { return i < 0 || i >= maximum })
}

func (f *Fault) onProxies() bool {
	return f.Kind == ProxyKilled || f.Kind == ProxyPaused || f.Kind == ByzantineProxies
}

// schedule schedules a fault's start and end.
func (sim *simulation) schedule(f *Fault) {
	sim.after(f.At, evFault, int(f.Kind), func() { sim.startFault(f) })
	sim.after(f.At+f.Duration, evFault, int(f.Kind), func() { sim.endFault(f) })
}

func (sim *simulation) startFault(f *Fault) {
	switch f.Kind {
	case ZoneLost:
		for _, target := range sim.servers {
			if target.zone == f.Zone {
				target.zoneLosses++
				target.stop()
			}
		}
		for _, p := range sim.proxies {
			if p.zone == f.Zone {
				p.kill()
			}
		}
	case CutResponses, CutBoth, GossipPartition:
		sim.changeLinks(f, 1)
	case ServerFlaps:
		sim.flap(f, true)
	case GossipLoss:
		sim.network.gossipLoss += f.Value
	case GossipDelay:
		sim.network.gossipDelay += int64(f.Value * float64(sec))
	}
	for _, i := range f.Targets {
		switch f.Kind {
		case ProxyKilled:
			sim.proxies[i].kill()
		case ProxyPaused:
			sim.proxies[i].pause()
		case ServerKilled:
			sim.servers[i].stop()
		case ServerErrors, ServerSlow, ServerUnresponsive:
			sim.servers[i].faults = append(sim.servers[i].faults, f)
		case ByzantineProxies:
			sim.proxies[i].setFalseReports(f.Zone, 1)
		}
	}
}

func (sim *simulation) endFault(f *Fault) {
	switch f.Kind {
	case ZoneLost:
		for _, target := range sim.servers {
			if target.zone == f.Zone {
				target.zoneLosses--
				target.start()
			}
		}
		for _, p := range sim.proxies {
			if p.zone == f.Zone {
				sim.restart(p)
			}
		}
	case CutResponses, CutBoth, GossipPartition:
		sim.changeLinks(f, -1)
	case GossipLoss:
		sim.network.gossipLoss -= f.Value
	case GossipDelay:
		sim.network.gossipDelay -= int64(f.Value * float64(sec))
	}
	for _, i := range f.Targets {
		switch f.Kind {
		case ProxyKilled:
			sim.restart(sim.proxies[i])
		case ProxyPaused:
			sim.proxies[i].resume()
		case ServerKilled:
			sim.servers[i].start()
		case ServerErrors, ServerSlow, ServerUnresponsive:
			target := sim.servers[i]
			target.faults = slices.DeleteFunc(target.faults, func(h *Fault) bool { return h == f })
		case ByzantineProxies:
			sim.proxies[i].setFalseReports(f.Zone, -1)
		}
	}
}

func (sim *simulation) restart(p *proxy) {
	if err := p.start(); err != nil {
		panic(err) // impossible: the same settings were valid at its first start
	}
}

// changeLinks adds a cut of links (by = 1) or removes it (by = -1).
func (sim *simulation) changeLinks(f *Fault, by int) {
	for a := range sim.cfg.Zones {
		for b := range sim.cfg.Zones {
			out := f.Zone < 0 || a == f.Zone && (f.To < 0 && a != b || b == f.To)
			back := f.Kind == CutBoth && (b == f.Zone && (f.To < 0 && a != b || a == f.To))
			if !out && !back {
				continue
			}
			sim.network.cutGossip[a*sim.cfg.Zones+b] += by
			if f.Kind != GossipPartition {
				sim.network.cutResponses[a*sim.cfg.Zones+b] += by
			}
			if f.Kind == CutBoth {
				sim.network.cutRequests[a*sim.cfg.Zones+b] += by
			}
		}
	}
	sim.gossip.updateReachable(sim)
}

// flap makes a fault's servers fail and recover in turn.
func (sim *simulation) flap(f *Fault, bad bool) {
	if sim.now >= f.At+f.Duration {
		return
	}
	left := f.At + f.Duration - sim.now
	if bad {
		sim.schedule(&Fault{Kind: ServerErrors, At: 0, Duration: min(f.Period, left), Targets: f.Targets,
			Value: max(f.Value, 0.9)})
	}
	sim.after(f.Period, evFault, int(f.Kind), func() { sim.flap(f, !bad) })
}

// Schedule draws one to four faults of any kind, which may overlap, from the configuration's seed. All of
// them end before the run does.
func Schedule(c *Config) []Fault {
	r := source(c.Seed, streamFaults)
	var out []Fault
	for range 1 + r.IntN(4) {
		f := Fault{Kind: FaultKind(r.IntN(int(faultKindCount))), Zone: r.IntN(c.Zones), To: r.IntN(c.Zones+1) - 1}
		f.At = c.Duration/10 + r.Int64N(c.Duration/2)
		f.Duration = c.Duration/40 + r.Int64N(c.Duration*9/10-f.At)
		if f.To == f.Zone {
			f.To = -1
		}
		switch f.Kind {
		case ProxyKilled, ProxyPaused:
			f.Targets = randomTargets(r, c.Proxies, 0.7)
		case ServerKilled, ServerErrors, ServerSlow, ServerUnresponsive, ServerFlaps:
			f.Targets = randomTargets(r, c.Servers, 0.3)
		case ByzantineProxies:
			f.Targets = byzantineTargets(c)
		case GossipPartition:
			f.Zone = r.IntN(c.Zones+1) - 1
		}
		switch f.Kind {
		case ServerErrors:
			f.Value = 0.2 + 0.8*r.Float64()
		case ServerSlow:
			f.Value = 2 + 8*r.Float64()
		case GossipLoss:
			f.Value = 0.1 + 0.6*r.Float64()
		case GossipDelay:
			f.Value = 0.05 + 2*r.Float64()
		case ServerFlaps:
			f.Value, f.Period = 1, 500*ms+r.Int64N(5*sec)
		}
		out = append(out, f)
	}
	return out
}

// byzantineTargets returns a third of each zone's proxies, rounded down: more of them could be a majority of
// those that observe a server.
func byzantineTargets(c *Config) (targets []int) {
	proxiesInZone := map[int]int{}
	for i := range c.Proxies {
		zone := i * c.Zones / c.Proxies
		if proxiesInZone[zone]++; proxiesInZone[zone] <= (c.Proxies/c.Zones)/3 {
			targets = append(targets, i)
		}
	}
	return targets
}

// randomTargets draws at least one and up to a fraction of n indices.
func randomTargets(r *rand.Rand, n int, maxFraction float64) []int {
	targets := r.Perm(n)[:1+r.IntN(max(1, int(maxFraction*float64(n))))]
	slices.Sort(targets)
	return targets
}
