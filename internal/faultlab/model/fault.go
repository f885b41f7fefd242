package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// FaultKind is what goes wrong.
type FaultKind int

const (
	ZoneLost           FaultKind = iota // Zone, nodos and proxies: nobody answers; it returns cold
	CutResponses                        // what Zone's nodos answer to the proxies of To is lost, and what Zone tells To
	CutBoth                             // nothing passes between Zone and To; connections do not come up
	ProxyKilled                         // Who; started again at the end
	ProxyPaused                         // Who; continued at the end
	ServerKilled                        // Who; started cold at the end
	ServerErrors                        // Who: Value of their answers are errors
	ServerSlow                          // Who: work takes Value times as long
	ServerUnresponsive                  // Who take requests and answer none
	ServerFlaps                         // Who fail for Every, are well for Every, and so on
	GossipLoss                          // Value of the packets is lost
	GossipDelay                         // packets come up to Value seconds late, in any order
	GossipPartition                     // nothing is told from Zone to To; with Zone < 0 nowhere
	ByzantineProxies                    // Who (proxies) say that all nodos of Zone are bad, and that Zone is
	faultKindCount
)

func (k FaultKind) String() string {
	if k < 0 || k >= faultKindCount {
		return "unknown"
	}
	return [...]string{"zone_lost", "cut_answers", "cut_both", "proxy_killed", "proxy_halted", "nodo_killed", "nodo_fails",
		"nodo_slow", "nodo_silent", "nodo_flaps", "gossip_lost", "gossip_late", "gossip_cut", "liars"}[k]
}

// Fault is one fault and its time. With a To below 0 a cut concerns Zone and all others.
type Fault struct {
	Kind         FaultKind
	At, Duration int64
	Zone, To     int
	Targets      []int
	Value        float64
	Period       int64
}

func (f Fault) String() string {
	return fmt.Sprintf("%s at %.1f s for %.1f s: zone %d to %d, %v, %g", f.Kind, float64(f.At)/float64(sec),
		float64(f.Duration)/float64(sec), f.Zone, f.To, f.Targets, f.Value)
}

func (f *Fault) valid(c *Config) bool {
	most := c.Servers
	if f.onProxies() {
		most = c.Proxies
	}
	return f.Kind >= 0 && f.Kind < faultKindCount && f.At >= 0 && f.Duration > 0 && f.Zone < c.Zones && f.To < c.Zones &&
		(f.Zone >= 0 || f.Kind == GossipPartition) && (f.Kind != ServerFlaps || f.Period > 0) &&
		!slices.ContainsFunc(f.Targets, func(i int) bool { return i < 0 || i >= most })
}

func (f *Fault) onProxies() bool {
	return f.Kind == ProxyKilled || f.Kind == ProxyPaused || f.Kind == ByzantineProxies
}

// plan has a fault begin and end.
func (w *simulation) schedule(f *Fault) {
	w.after(f.At, evFault, int(f.Kind), func() { w.startFault(f) })
	w.after(f.At+f.Duration, evFault, int(f.Kind), func() { w.endFault(f) })
}

func (w *simulation) startFault(f *Fault) {
	switch f.Kind {
	case ZoneLost:
		for _, target := range w.servers {
			if target.zone == f.Zone {
				target.darkness++
				target.stop()
			}
		}
		for _, p := range w.proxies {
			if p.zone == f.Zone {
				p.kill()
			}
		}
	case CutResponses, CutBoth, GossipPartition:
		w.changeLinks(f, 1)
	case ServerFlaps:
		w.flap(f, true)
	case GossipLoss:
		w.network.gossipLoss += f.Value
	case GossipDelay:
		w.network.gossipDelay += int64(f.Value * float64(sec))
	}
	for _, i := range f.Targets {
		switch f.Kind {
		case ProxyKilled:
			w.proxies[i].kill()
		case ProxyPaused:
			w.proxies[i].pause()
		case ServerKilled:
			w.servers[i].stop()
		case ServerErrors, ServerSlow, ServerUnresponsive:
			w.servers[i].faults = append(w.servers[i].faults, f)
		case ByzantineProxies:
			w.proxies[i].setFalseReports(f.Zone, 1)
		}
	}
}

func (w *simulation) endFault(f *Fault) {
	switch f.Kind {
	case ZoneLost:
		for _, target := range w.servers {
			if target.zone == f.Zone {
				target.darkness--
				target.start()
			}
		}
		for _, p := range w.proxies {
			if p.zone == f.Zone {
				w.restart(p)
			}
		}
	case CutResponses, CutBoth, GossipPartition:
		w.changeLinks(f, -1)
	case GossipLoss:
		w.network.gossipLoss -= f.Value
	case GossipDelay:
		w.network.gossipDelay -= int64(f.Value * float64(sec))
	}
	for _, i := range f.Targets {
		switch f.Kind {
		case ProxyKilled:
			w.restart(w.proxies[i])
		case ProxyPaused:
			w.proxies[i].resume()
		case ServerKilled:
			w.servers[i].start()
		case ServerErrors, ServerSlow, ServerUnresponsive:
			target := w.servers[i]
			target.faults = slices.DeleteFunc(target.faults, func(h *Fault) bool { return h == f })
		case ByzantineProxies:
			w.proxies[i].setFalseReports(f.Zone, -1)
		}
	}
}

func (w *simulation) restart(p *proxy) {
	if err := p.start(); err != nil {
		panic(err) // the same settings were accepted at its first start
	}
}

// cut counts a cut of links in or out.
func (w *simulation) changeLinks(f *Fault, by int) {
	for a := range w.cfg.Zones {
		for b := range w.cfg.Zones {
			out := f.Zone < 0 || a == f.Zone && (f.To < 0 && a != b || b == f.To)
			back := f.Kind == CutBoth && (b == f.Zone && (f.To < 0 && a != b || a == f.To))
			if !out && !back {
				continue
			}
			w.network.cutGossip[a*w.cfg.Zones+b] += by
			if f.Kind != GossipPartition {
				w.network.cutResponses[a*w.cfg.Zones+b] += by
			}
			if f.Kind == CutBoth {
				w.network.cutRequests[a*w.cfg.Zones+b] += by
			}
		}
	}
	w.gossip.updateReachable(w)
}

// flap has nodos fail and recover in turn.
func (w *simulation) flap(f *Fault, bad bool) {
	if w.now >= f.At+f.Duration {
		return
	}
	left := f.At + f.Duration - w.now
	if bad {
		w.schedule(&Fault{Kind: ServerErrors, At: 0, Duration: min(f.Period, left), Targets: f.Targets, Value: max(f.Value, 0.9)})
	}
	w.after(f.Period, evFault, int(f.Kind), func() { w.flap(f, !bad) })
}

// Schedule draws a schedule of faults from the seed for a configuration: some few that overlap, of all kinds, the last
// over before the run is.
func Schedule(c *Config) []Fault {
	r := source(c.Seed, chanceFaults)
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

// liars are a third of each zone's proxies, rounded down: more would be most of those that saw anything.
func byzantineTargets(c *Config) (who []int) {
	in := map[int]int{}
	for i := range c.Proxies {
		zone := i * c.Zones / c.Proxies
		if in[zone]++; in[zone] <= (c.Proxies/c.Zones)/3 {
			who = append(who, i)
		}
	}
	return who
}

// some draws from one up to a part of n.
func randomTargets(r *rand.Rand, n int, most float64) []int {
	who := r.Perm(n)[:1+r.IntN(max(1, int(most*float64(n))))]
	slices.Sort(who)
	return who
}
