package hollow

import (
	"net/netip"
	"time"

	"merlinpick/internal/faultlab/link"
)

// Relays configures one relay in front of each cluster member, which adds loss and delay between members. The
// relays' cost is part of the process's CPU time.
type Relays struct {
	Members            map[string]RelayMember `json:"speakers"` // all members of the cluster, by source IP
	RegionDelayUs      int64                  `json:"local_us"` // one way, within a region
	CrossRegionDelayUs int64                  `json:"cross_us"` // one way, between regions
}

// RelayMember is a cluster member as the relays identify it.
type RelayMember struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// openRelays opens a relay in front of each of the process's proxies.
func (p *Process) openRelays() error {
	c := p.cfg.Relays
	if c == nil {
		return nil
	}
	p.network = link.New(uint64(len(p.cfg.Name)))
	members := map[netip.Addr]RelayMember{}
	for ip, s := range c.Members {
		addr, err := netip.ParseAddr(ip)
		if err != nil {
			return err
		}
		members[addr] = s
	}
	for _, x := range p.cfg.Proxies {
		bindAddr, err := netip.ParseAddrPort(x.Bind)
		if err != nil {
			return err
		}
		to := members[bindAddr.Addr()]
		r, err := p.network.Relay(x.Advertise, func(ip netip.Addr) (link.Ends, time.Duration, bool) {
			from, ok := members[ip]
			delay := c.CrossRegionDelayUs
			if from.Region == to.Region {
				delay = c.RegionDelayUs
			}
			return link.Ends{Kind: "gossip", From: from.Name, FromZone: from.Region, To: to.Name, ToZone: to.Region},
				time.Duration(delay) * time.Microsecond, ok
		})
		if err != nil {
			return &FailedError{p.cfg.Name, x.Name, err.Error()}
		}
		if err := r.SetTarget(x.Bind); err != nil {
			return err
		}
		p.memberRelays = append(p.memberRelays, r)
	}
	return nil
}

// loseDatagrams drops a fraction of the gossip datagrams to the process's proxies until end is called.
func (p *Process) loseDatagrams(fraction float64) (end func() error, err error) {
	if p.network == nil {
		return func() error { return nil }, nil
	}
	return p.network.Apply(func(e link.Ends) bool { return e.Kind == "gossip" }, link.Effect{Loss: fraction})
}

// droppedByRelays returns how many datagrams relays dropped because their queue was full. These losses are
// caused by the lab itself and not by a fault.
func (p *Process) droppedByRelays() (n int) {
	for _, r := range p.memberRelays {
		n += r.Counters().Overflowed
	}
	return n
}
