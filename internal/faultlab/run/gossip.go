package run

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/result"
)

// buildGossip puts a relay before each proxy, by which the others find it.
func (f *fleet) buildGossip() (err error) {
	if !f.exp.Cluster.On {
		return nil
	}
	for _, m := range f.order {
		if m.relay, err = f.relay(m.node, m.ordinal); err != nil {
			return err
		}
	}
	return nil
}

// relay puts a relay before a member of the gossip, and has those of all others know it by its own address.
func (f *fleet) relay(to experiment.Node, ordinal int) (*link.Relay, error) {
	own := netip.MustParseAddrPort(f.block.gossip(ordinal, 0)).Addr()
	f.mu.Lock()
	f.speakers[own] = to
	f.mu.Unlock()
	return f.net.Relay(f.block.relay(ordinal), func(ip netip.Addr) (link.Ends, time.Duration, bool) {
		f.mu.Lock()
		from, ok := f.speakers[ip]
		f.mu.Unlock()
		return link.Ends{Kind: "gossip", From: from.Name, FromZone: from.Zone, To: to.Name, ToZone: to.Zone},
			f.delay(from.Zone, to.Zone), ok
	})
}

// gossipReport is what the relays of proxies passed on. Where one had no room, the lab took part in the loss.
func (f *fleet) gossipReport() (*result.Gossip, error) {
	if !f.exp.Cluster.On {
		return nil, nil
	}
	var out result.Gossip
	over := 0
	for _, m := range f.order {
		p := m.relay.Passed()
		out.Packets, out.Bytes, over = out.Packets+p.On, out.Bytes+p.Bytes, over+p.Over
	}
	if over > 0 {
		return &out, fmt.Errorf("%d datagrams of the gossip found no room in the lab", over)
	}
	return &out, nil
}

// speaks is a process's part of the configuration in which the proxies act as one; nil if they do not. From now on its
// relay leads to that process, also while a predecessor still ends.
func (f *fleet) speaks(m *member) (map[string]any, error) {
	if m.relay == nil {
		return nil, nil
	}
	bind := f.block.gossip(m.ordinal, m.count)
	if err := m.relay.To(bind); err != nil {
		return nil, err
	}
	return map[string]any{"bind": bind, "advertise": m.relay.Addr(), "label": f.exp.Cluster.Label, "seeds": f.seeds(m.node)}, nil
}

// seeds are the proxies that another member is told to join at: the first of each zone, then the second, and so on.
func (f *fleet) seeds(of experiment.Node) []string {
	order := slices.Clone(f.order)
	nth := map[string]int{}
	in := map[*member]int{}
	for _, o := range order {
		in[o] = nth[o.node.Zone]
		nth[o.node.Zone]++
	}
	slices.SortStableFunc(order, func(a, b *member) int { return in[a] - in[b] })
	var out []string
	for _, o := range order {
		if o.node.Name != of.Name && len(out) < f.exp.Cluster.Seeds {
			out = append(out, o.relay.Addr())
		}
	}
	return out
}

// gossips matches the gossip that a fault of links is aimed at, from the side that it names and to it: what one sends
// on some links is what it is answered on others, since either dials. The side is that of from_zone, zone or proxies, and
// the other one to_zone or all the rest; with no side named it is all of it.
func gossips(f experiment.Fault) (out, back func(link.Ends) bool) {
	if f.Link != "" && f.Link != "gossip" || len(f.Servers) > 0 {
		none := func(link.Ends) bool { return false }
		return none, none
	}
	named := f.FromZone != "" || f.Zone != "" || len(f.Proxies) > 0
	side := func(name, zone string) bool {
		return (f.FromZone == "" || zone == f.FromZone) && (f.Zone == "" || zone == f.Zone) &&
			(len(f.Proxies) == 0 || slices.Contains(f.Proxies, name))
	}
	other := func(name, zone string) bool {
		if f.ToZone != "" {
			return zone == f.ToZone
		}
		return !named || !side(name, zone)
	}
	out = func(e link.Ends) bool {
		return e.Kind == "gossip" && side(e.From, e.FromZone) && other(e.To, e.ToZone)
	}
	back = func(e link.Ends) bool {
		return e.Kind == "gossip" && side(e.To, e.ToZone) && other(e.From, e.FromZone)
	}
	return out, back
}

// toGossip is what a fault of links does to gossip.
func toGossip(f experiment.Fault, e link.Effect) []reach {
	out, back := gossips(f)
	if f.Kind == "cut" {
		other := map[string]string{"out": "back", "back": "out"}
		return []reach{{out, cutEffect(f.Direction)}, {back, cutEffect(other[f.Direction])}}
	}
	return []reach{{func(l link.Ends) bool {
		return f.Direction != "back" && out(l) || f.Direction != "out" && back(l)
	}, e}}
}
