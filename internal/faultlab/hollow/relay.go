package hollow

import (
	"net/netip"
	"time"

	"merlinpick/internal/faultlab/link"
)

// Relays stand before a process's members of the fleet, for losses and delays between members: each has one, by which all
// others find it. What they cost the process is in its CPU, so that figures of that are not those of members.
type Relays struct {
	Members            map[string]RelayMember `json:"speakers"` // all members of the fleet, by the IP that they speak from
	RegionDelayUs      int64                  `json:"local_us"` // one way within a region, and between two
	CrossRegionDelayUs int64                  `json:"cross_us"`
}

// Speaker is a member of the fleet as relays know it.
type RelayMember struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// relays opens a relay before each of a process's proxies.
func (p *Process) openRelays() error {
	c := p.cfg.Relays
	if c == nil {
		return nil
	}
	p.network = link.New(uint64(len(p.cfg.Name)))
	speakers := map[netip.Addr]RelayMember{}
	for ip, s := range c.Members {
		addr, err := netip.ParseAddr(ip)
		if err != nil {
			return err
		}
		speakers[addr] = s
	}
	for _, x := range p.cfg.Proxies {
		own, err := netip.ParseAddrPort(x.Bind)
		if err != nil {
			return err
		}
		to := speakers[own.Addr()]
		r, err := p.network.Relay(x.Advertise, func(ip netip.Addr) (link.Ends, time.Duration, bool) {
			from, ok := speakers[ip]
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
		if err := r.To(x.Bind); err != nil {
			return err
		}
		p.memberRelays = append(p.memberRelays, r)
	}
	return nil
}

// lose has part of the datagrams that come to all of the process's members be lost until the call that it gives.
func (p *Process) loseDatagrams(part float64) (end func() error, err error) {
	if p.network == nil {
		return func() error { return nil }, nil
	}
	return p.network.Apply(func(e link.Ends) bool { return e.Kind == "gossip" }, link.Effect{Loss: part})
}

// over counts datagrams for which relays had no room: the lab's own losses.
func (p *Process) droppedByRelays() (n int) {
	for _, r := range p.memberRelays {
		n += r.Passed().Over
	}
	return n
}
