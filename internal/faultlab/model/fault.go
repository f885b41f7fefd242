package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// FaultKind is what goes wrong.
type FaultKind int

const (
	ZoneLost    FaultKind = iota // Zone, nodos and proxies: nobody answers; it returns cold
	CutAnswers                   // what Zone's nodos answer to the proxies of To is lost, and what Zone tells To
	CutBoth                      // nothing passes between Zone and To; connections do not come up
	ProxyKilled                  // Who; started again at the end
	ProxyHalted                  // Who; continued at the end
	NodoKilled                   // Who; started cold at the end
	NodoFails                    // Who: Value of their answers are errors
	NodoSlow                     // Who: work takes Value times as long
	NodoSilent                   // Who take requests and answer none
	NodoFlaps                    // Who fail for Every, are well for Every, and so on
	GossipLost                   // Value of the packets is lost
	GossipLate                   // packets come up to Value seconds late, in any order
	GossipCut                    // nothing is told from Zone to To; with Zone < 0 nowhere
	Liars                        // Who (proxies) say that all nodos of Zone are bad, and that Zone is
	faultKinds
)

func (k FaultKind) String() string {
	if k < 0 || k >= faultKinds {
		return "unknown"
	}
	return [...]string{"zone_lost", "cut_answers", "cut_both", "proxy_killed", "proxy_halted", "nodo_killed", "nodo_fails",
		"nodo_slow", "nodo_silent", "nodo_flaps", "gossip_lost", "gossip_late", "gossip_cut", "liars"}[k]
}

// Fault is one fault and its time. With a To below 0 a cut concerns Zone and all others.
type Fault struct {
	Kind     FaultKind
	At, For  int64
	Zone, To int
	Who      []int
	Value    float64
	Every    int64
}

func (f Fault) String() string {
	return fmt.Sprintf("%s at %.1f s for %.1f s: zone %d to %d, %v, %g", f.Kind, float64(f.At)/float64(sec),
		float64(f.For)/float64(sec), f.Zone, f.To, f.Who, f.Value)
}

func (f *Fault) fits(c *Config) bool {
	most := c.Nodos
	if f.onProxies() {
		most = c.Proxies
	}
	return f.Kind >= 0 && f.Kind < faultKinds && f.At >= 0 && f.For > 0 && f.Zone < c.Zones && f.To < c.Zones &&
		(f.Zone >= 0 || f.Kind == GossipCut) && (f.Kind != NodoFlaps || f.Every > 0) &&
		!slices.ContainsFunc(f.Who, func(i int) bool { return i < 0 || i >= most })
}

func (f *Fault) onProxies() bool {
	return f.Kind == ProxyKilled || f.Kind == ProxyHalted || f.Kind == Liars
}

// plan has a fault begin and end.
func (w *world) plan(f *Fault) {
	w.after(f.At, evFault, int(f.Kind), func() { w.begin(f) })
	w.after(f.At+f.For, evFault, int(f.Kind), func() { w.finish(f) })
}

func (w *world) begin(f *Fault) {
	switch f.Kind {
	case ZoneLost:
		for _, n := range w.nodos {
			if n.zone == f.Zone {
				n.dark++
				n.end()
			}
		}
		for _, p := range w.proxies {
			if p.zone == f.Zone {
				p.end()
			}
		}
	case CutAnswers, CutBoth, GossipCut:
		w.cut(f, 1)
	case NodoFlaps:
		w.flap(f, true)
	case GossipLost:
		w.net.loss += f.Value
	case GossipLate:
		w.net.lag += int64(f.Value * float64(sec))
	}
	for _, i := range f.Who {
		switch f.Kind {
		case ProxyKilled:
			w.proxies[i].end()
		case ProxyHalted:
			w.proxies[i].stop()
		case NodoKilled:
			w.nodos[i].end()
		case NodoFails, NodoSlow, NodoSilent:
			w.nodos[i].hampers = append(w.nodos[i].hampers, f)
		case Liars:
			w.proxies[i].lie(f.Zone, 1)
		}
	}
}

func (w *world) finish(f *Fault) {
	switch f.Kind {
	case ZoneLost:
		for _, n := range w.nodos {
			if n.zone == f.Zone {
				n.dark--
				n.start()
			}
		}
		for _, p := range w.proxies {
			if p.zone == f.Zone {
				w.restart(p)
			}
		}
	case CutAnswers, CutBoth, GossipCut:
		w.cut(f, -1)
	case GossipLost:
		w.net.loss -= f.Value
	case GossipLate:
		w.net.lag -= int64(f.Value * float64(sec))
	}
	for _, i := range f.Who {
		switch f.Kind {
		case ProxyKilled:
			w.restart(w.proxies[i])
		case ProxyHalted:
			w.proxies[i].cont()
		case NodoKilled:
			w.nodos[i].start()
		case NodoFails, NodoSlow, NodoSilent:
			n := w.nodos[i]
			n.hampers = slices.DeleteFunc(n.hampers, func(h *Fault) bool { return h == f })
		case Liars:
			w.proxies[i].lie(f.Zone, -1)
		}
	}
}

func (w *world) restart(p *proxy) {
	if err := p.start(); err != nil {
		panic(err) // the same settings were accepted at its first start
	}
}

// cut counts a cut of links in or out.
func (w *world) cut(f *Fault, by int) {
	for a := range w.cfg.Zones {
		for b := range w.cfg.Zones {
			out := f.Zone < 0 || a == f.Zone && (f.To < 0 && a != b || b == f.To)
			back := f.Kind == CutBoth && (b == f.Zone && (f.To < 0 && a != b || a == f.To))
			if !out && !back {
				continue
			}
			w.net.talk[a*w.cfg.Zones+b] += by
			if f.Kind != GossipCut {
				w.net.back[a*w.cfg.Zones+b] += by
			}
			if f.Kind == CutBoth {
				w.net.data[a*w.cfg.Zones+b] += by
			}
		}
	}
	w.gossip.reach(w)
}

// flap has nodos fail and recover in turn.
func (w *world) flap(f *Fault, bad bool) {
	if w.now >= f.At+f.For {
		return
	}
	left := f.At + f.For - w.now
	if bad {
		w.plan(&Fault{Kind: NodoFails, At: 0, For: min(f.Every, left), Who: f.Who, Value: max(f.Value, 0.9)})
	}
	w.after(f.Every, evFault, int(f.Kind), func() { w.flap(f, !bad) })
}

// Schedule draws a schedule of faults from the seed for a configuration: some few that overlap, of all kinds, the last
// over before the run is.
func Schedule(c *Config) []Fault {
	r := source(c.Seed, chanceFaults)
	var out []Fault
	for range 1 + r.IntN(4) {
		f := Fault{Kind: FaultKind(r.IntN(int(faultKinds))), Zone: r.IntN(c.Zones), To: r.IntN(c.Zones+1) - 1}
		f.At = c.Span/10 + r.Int64N(c.Span/2)
		f.For = c.Span/40 + r.Int64N(c.Span*9/10-f.At)
		if f.To == f.Zone {
			f.To = -1
		}
		switch f.Kind {
		case ProxyKilled, ProxyHalted:
			f.Who = some(r, c.Proxies, 0.7)
		case NodoKilled, NodoFails, NodoSlow, NodoSilent, NodoFlaps:
			f.Who = some(r, c.Nodos, 0.3)
		case Liars:
			f.Who = liars(c)
		case GossipCut:
			f.Zone = r.IntN(c.Zones+1) - 1
		}
		switch f.Kind {
		case NodoFails:
			f.Value = 0.2 + 0.8*r.Float64()
		case NodoSlow:
			f.Value = 2 + 8*r.Float64()
		case GossipLost:
			f.Value = 0.1 + 0.6*r.Float64()
		case GossipLate:
			f.Value = 0.05 + 2*r.Float64()
		case NodoFlaps:
			f.Value, f.Every = 1, 500*ms+r.Int64N(5*sec)
		}
		out = append(out, f)
	}
	return out
}

// liars are a third of each zone's proxies, rounded down: more would be most of those that saw anything.
func liars(c *Config) (who []int) {
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
func some(r *rand.Rand, n int, most float64) []int {
	who := r.Perm(n)[:1+r.IntN(max(1, int(most*float64(n))))]
	slices.Sort(who)
	return who
}
