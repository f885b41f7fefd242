package model

// Case is a fault that is simulated with and without a cluster, on the same seeds.
type Case struct {
	Name     string
	Target   Target
	At       int64
	Duration int64
	Set      func(*Config)
}

// Cases returns comparisons on 30 proxies and 45 servers in three zones.
func Cases() []Case {
	const at, last = 10 * sec, 15 * sec
	one := func(f Fault) func(*Config) {
		f.At, f.Duration = at, last
		return func(c *Config) { c.Faults = append(c.Faults, f) }
	}
	home := make([]int, 15)
	for i := range home {
		home[i] = 15 + i
	}
	zone, server := Target{Server: -1, Zone: 1}, Target{Server: 20}
	ownZone := Target{Server: -1, Zone: 1, OwnProxies: true}
	return []Case{
		{"calm", zone, at, last, func(*Config) {}},
		{"zone lost", zone, at, last, one(Fault{Kind: ZoneLost, Zone: 1})},
		{"one-way cut", zone, at, last, one(Fault{Kind: CutResponses, Zone: 1, To: -1})},
		{"zone's servers unresponsive", ownZone, at, last, one(Fault{Kind: ServerUnresponsive, Targets: home})},
		{"zone's servers fail", ownZone, at, last, one(Fault{Kind: ServerErrors, Targets: home, Value: 0.9})},
		{"zone cut off", ownZone, at, last, one(Fault{Kind: CutBoth, Zone: 1, To: -1})},
		{"server unresponsive", server, at, last, one(Fault{Kind: ServerUnresponsive, Targets: []int{20}})},
		{"server fails", server, at, last, one(Fault{Kind: ServerErrors, Targets: []int{20}, Value: 0.9})},
		{"third lies", zone, at, last, func(c *Config) {
			c.Faults = append(c.Faults, Fault{Kind: ByzantineProxies, Zone: 1, Targets: byzantineTargets(c),
				At: at, Duration: last})
		}},
		{"gossip cut", zone, at, last, one(Fault{Kind: GossipPartition, Zone: -1})},
		{"zone lost, gossip cut", zone, at, last, func(c *Config) {
			c.Faults = append(c.Faults, Fault{Kind: GossipPartition, Zone: -1, At: 2 * sec, Duration: 25 * sec},
				Fault{Kind: ZoneLost, Zone: 1, At: at, Duration: last})
		}},
		{"zone lost, 30 % loss", zone, at, last, func(c *Config) {
			c.Loss = 0.3
			c.Faults = append(c.Faults, Fault{Kind: ZoneLost, Zone: 1, At: at, Duration: last})
		}},
	}
}

// Config returns the case's configuration for a seed.
func (k *Case) Config(seed uint64, peers bool) Config {
	c := Default()
	c.Seed, c.Cluster, c.Duration = seed, peers, k.At+k.Duration+10*sec
	c.Proxies, c.Servers = 30, 45
	c.Rate = 0.55 * c.Capacity()
	k.Set(&c)
	return c
}
