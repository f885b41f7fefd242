package run

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/result"
)

// errGossipDropped is gossip that the lab's relays dropped for a full queue.
var errGossipDropped = errors.New("gossip dropped")

// buildGossip puts a relay before each proxy, at the address that it advertises.
func (bed *testbed) buildGossip() (err error) {
	if !bed.experiment.Cluster.Enabled {
		return nil
	}
	for _, proxy := range bed.proxyOrder {
		if proxy.relay, err = bed.addRelay(proxy.node, proxy.ordinal); err != nil {
			return err
		}
	}
	return nil
}

// addRelay puts a relay before a member of the gossip, and registers the member's own address with all relays.
func (bed *testbed) addRelay(to experiment.Node, ordinal int) (*link.Relay, error) {
	own := netip.MustParseAddrPort(bed.block.gossip(ordinal, 0)).Addr()
	bed.mu.Lock()
	bed.gossipMembers[own] = to
	bed.mu.Unlock()
	return bed.net.Relay(bed.block.relay(ordinal), func(ip netip.Addr) (link.Ends, time.Duration, bool) {
		bed.mu.Lock()
		from, ok := bed.gossipMembers[ip]
		bed.mu.Unlock()
		return link.Ends{Kind: "gossip", From: from.Name, FromZone: from.Zone, To: to.Name, ToZone: to.Zone},
			bed.delay(from.Zone, to.Zone), ok
	})
}

// gossipReport is the traffic that the proxies' relays forwarded; an error if a relay's queue overflowed, since the lab then
// caused losses itself.
func (bed *testbed) gossipReport() (*result.Gossip, error) {
	if !bed.experiment.Cluster.Enabled {
		return nil, nil
	}
	var out result.Gossip
	dropped := 0
	for _, proxy := range bed.proxyOrder {
		p := proxy.relay.Counters()
		out.Packets, out.Bytes, dropped = out.Packets+p.Forwarded, out.Bytes+p.Bytes, dropped+p.Overflowed
	}
	if dropped > 0 {
		return &out, fmt.Errorf("%w: %d in the lab, use a less busy machine", errGossipDropped, dropped)
	}
	return &out, nil
}

// gossipConfig is the cluster section of a process's configuration; nil without a cluster. From now on the proxy's relay leads to
// that process, even while a predecessor is still ending.
func (bed *testbed) gossipConfig(proxy *proxyUnderTest) (map[string]any, error) {
	if proxy.relay == nil {
		return nil, nil
	}
	bind := bed.block.gossip(proxy.ordinal, proxy.starts)
	if err := proxy.relay.SetTarget(bind); err != nil {
		return nil, err
	}
	return map[string]any{"bind": bind, "advertise": proxy.relay.Address(), "label": bed.experiment.Cluster.Label, "seeds": bed.gossipSeeds(proxy.node)}, nil
}

// gossipSeeds are the proxies that a member joins at: the first of each zone, then the second, and so on.
func (bed *testbed) gossipSeeds(member experiment.Node) []string {
	order := slices.Clone(bed.proxyOrder)
	nth := map[string]int{}
	in := map[*proxyUnderTest]int{}
	for _, o := range order {
		in[o] = nth[o.node.Zone]
		nth[o.node.Zone]++
	}
	slices.SortStableFunc(order, func(a, b *proxyUnderTest) int { return in[a] - in[b] })
	var out []string
	for _, o := range order {
		if o.node.Name != member.Name && len(out) < bed.experiment.Cluster.Seeds {
			out = append(out, o.relay.Address())
		}
	}
	return out
}

// matchesGossip matches the gossip that a fault of links affects, from the side that it names (out) and to it (back). Either side
// dials, so that data of one direction is sent on some links and answered on others. The side is that of from_zone, zone or
// proxies, the other one to_zone or all the rest; with no side named both are all.
func matchesGossip(fault experiment.Fault) (out, back func(link.Ends) bool) {
	if fault.Link != "" && fault.Link != "gossip" || len(fault.Servers) > 0 {
		none := func(link.Ends) bool { return false }
		return none, none
	}
	named := fault.FromZone != "" || fault.Zone != "" || len(fault.Proxies) > 0
	side := func(name, zone string) bool {
		return (fault.FromZone == "" || zone == fault.FromZone) && (fault.Zone == "" || zone == fault.Zone) &&
			(len(fault.Proxies) == 0 || slices.Contains(fault.Proxies, name))
	}
	other := func(name, zone string) bool {
		if fault.ToZone != "" {
			return zone == fault.ToZone
		}
		return !named || !side(name, zone)
	}
	out = func(ends link.Ends) bool {
		return ends.Kind == "gossip" && side(ends.From, ends.FromZone) && other(ends.To, ends.ToZone)
	}
	back = func(ends link.Ends) bool {
		return ends.Kind == "gossip" && side(ends.To, ends.ToZone) && other(ends.From, ends.FromZone)
	}
	return out, back
}

// gossipEffects are the effects of a fault of links on gossip.
func gossipEffects(fault experiment.Fault, e link.Effect) []linkEffect {
	out, back := matchesGossip(fault)
	if fault.Kind == "cut" {
		other := map[string]string{"out": "back", "back": "out"}
		return []linkEffect{{out, cutEffect(fault.Direction)}, {back, cutEffect(other[fault.Direction])}}
	}
	return []linkEffect{{func(l link.Ends) bool {
		return fault.Direction != "back" && out(l) || fault.Direction != "out" && back(l)
	}, e}}
}
