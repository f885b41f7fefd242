package run

import (
	"testing"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/link"
)

// A link fault affects the gossip that one proxy sends to another: its datagrams, and its direction of the
// connections that either of the two dials.
func TestMatchesGossip(t *testing.T) {
	ends := func(from, to string) link.Ends {
		return link.Ends{Kind: "gossip", From: from + "-p1", FromZone: from, To: to + "-p1", ToZone: to}
	}
	total := func(fault experiment.Fault, ends link.Ends) (total link.Effect) {
		all := []linkEffect{{crossesZoneBorder(fault.Zone), link.Silent}}
		if fault.Kind != "zone_cut" {
			all = gossipEffects(fault, link.Effect{Loss: fault.Fraction})
		}
		for _, effect := range all {
			if effect.match(ends) {
				total.CutOut, total.CutBack = total.CutOut || effect.CutOut, total.CutBack || effect.CutBack
				total.Loss += effect.Loss
			}
		}
		return total
	}
	for _, test := range []struct {
		name     string
		fault    experiment.Fault
		from, to string
		arrives  bool // what from sends, on connections that from dials and on those that to dials
		loss     float64
	}{
		{"another kind of link", experiment.Fault{Kind: "cut", Link: "nodo"}, "a", "b", true, 0},
		{"nodos' links of all kinds", experiment.Fault{Kind: "cut", Servers: []string{"a-s1"}}, "a", "b", true, 0},
		{"all", experiment.Fault{Kind: "cut"}, "a", "b", false, 0},
		{"out of a zone", experiment.Fault{Kind: "cut", Link: "gossip", Zone: "a", Direction: "out"}, "a", "b", false, 0},
		{"out of a zone, into it", experiment.Fault{Kind: "cut", Link: "gossip", Zone: "a", Direction: "out"}, "b", "a", true, 0},
		{"into a zone", experiment.Fault{Kind: "cut", Link: "gossip", Zone: "a", Direction: "back"}, "b", "a", false, 0},
		{"both ways, within the zone", experiment.Fault{Kind: "cut", Link: "gossip", Zone: "a"}, "a", "a", true, 0},
		{"of a pair of zones", experiment.Fault{Kind: "cut", FromZone: "a", ToZone: "b", Direction: "out"}, "a", "b", false, 0},
		{"of another pair", experiment.Fault{Kind: "cut", FromZone: "a", ToZone: "b"}, "a", "c", true, 0},
		{"of a proxy", experiment.Fault{Kind: "cut", Link: "gossip", Proxies: []string{"a-p1"}, Direction: "out"}, "a", "b", false, 0},
		{"of other proxies", experiment.Fault{Kind: "cut", Link: "gossip", Proxies: []string{"c-p1"}}, "a", "b", true, 0},
		{"loss everywhere counts once", experiment.Fault{Kind: "loss", Link: "gossip", Fraction: 0.3}, "a", "b", true, 0.3},
		{"loss one way", experiment.Fault{Kind: "loss", FromZone: "a", ToZone: "b", Direction: "out", Fraction: 0.3}, "b", "a", true, 0},
		{"a zone cut off", experiment.Fault{Kind: "zone_cut", Zone: "a"}, "b", "a", false, 0},
		{"another zone cut off", experiment.Fault{Kind: "zone_cut", Zone: "a"}, "b", "c", true, 0},
	} {
		dialing, dialed := total(test.fault, ends(test.from, test.to)),
			total(test.fault, ends(test.to, test.from))
		if dialing.CutOut == test.arrives || dialed.CutBack == test.arrives || dialing.Loss != test.loss {
			t.Errorf("%s: got %+v where the sender dials, %+v where it is dialed; want arrival %v, loss %v",
				test.name, dialing, dialed, test.arrives, test.loss)
		}
	}
}
