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

// errGossipDropped is returned if the lab's relays dropped datagrams because a queue was full.
var errGossipDropped = errors.New("the lab dropped gossip datagrams")

// buildGossip adds a relay for each proxy, at the gossip address that the proxy advertises.
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

// addRelay adds a relay for a member of the cluster, and registers the address that the member sends from
// with all relays.
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

// gossipReport returns the traffic that the proxies' relays forwarded. It returns an error if a relay's queue
// overflowed, since the lab then caused losses itself.
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
		return &out, fmt.Errorf("%w: %d in the relays of real proxies, use a less busy machine",
			errGossipDropped, dropped)
	}
	return &out, nil
}

// gossipConfig returns the cluster section of the configuration of a proxy's next process, nil without a
// cluster. It also points the proxy's relay at that process, even if a predecessor is still running.
func (bed *testbed) gossipConfig(proxy *proxyUnderTest) (map[string]any, error) {
	if proxy.relay == nil {
		return nil, nil
	}
	bind := bed.block.gossip(proxy.ordinal, proxy.starts)
	if err := proxy.relay.SetTarget(bind); err != nil {
		return nil, err
	}
	return map[string]any{"bind": bind, "advertise": proxy.relay.Address(),
		"label": bed.experiment.Cluster.Label, "seeds": bed.gossipSeeds(proxy.node)}, nil
}

// gossipSeeds returns the gossip addresses of the proxies that a member joins through: those of the first
// proxy of each zone, then of the second ones, and so on.
func (bed *testbed) gossipSeeds(member experiment.Node) []string {
	order := slices.Clone(bed.proxyOrder)
	zoneSizes := map[string]int{}
	indexInZone := map[*proxyUnderTest]int{}
	for _, proxy := range order {
		indexInZone[proxy] = zoneSizes[proxy.node.Zone]
		zoneSizes[proxy.node.Zone]++
	}
	slices.SortStableFunc(order, func(a, b *proxyUnderTest) int { return indexInZone[a] - indexInZone[b] })
	var out []string
	for _, proxy := range order {
		if proxy.node.Name != member.Name && len(out) < bed.experiment.Cluster.Seeds {
			out = append(out, proxy.relay.Address())
		}
	}
	return out
}

// matchesGossip returns functions that match the gossip links that a link fault affects: out those that the
// selected side dials, and back those that it is dialed on. Both sides dial, so the data of one direction is
// in requests on some links and in responses on others. The selected side is given by from_zone, zone or
// proxies, the other one by to_zone, or is all the rest. If nothing is selected, both sides are all members.
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

// gossipEffects returns the effects of a link fault on gossip.
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
