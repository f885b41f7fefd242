package model

// Case is a fault that is simulated with and without a cluster, on the same seeds.
type Case struct {
	Name     string
	Target   Target        // what the fault affects
	At       int64         // start of the fault, in microseconds
	Duration int64         // of the fault, in microseconds
	Set      func(*Config) // adds the fault
}

// Cases returns the cases, for 30 proxies and 45 servers in three zones.
func Cases() []Case {
	const at, duration = 10 * sec, 15 * sec
	withFault := func(f Fault) func(*Config) {
		f.At, f.Duration = at, duration
		return func(c *Config) { c.Faults = append(c.Faults, f) }
	}
	zoneServers := make([]int, 15)
	for i := range zoneServers {
		zoneServers[i] = 15 + i
	}
	zone, server := Target{Server: -1, Zone: 1}, Target{Server: 20}
	ownZone := Target{Server: -1, Zone: 1, OwnProxies: true}
	return []Case{
		{"calm", zone, at, duration, func(*Config) {}},
		{"zone lost", zone, at, duration, withFault(Fault{Kind: ZoneLost, Zone: 1})},
		{"one-way cut", zone, at, duration, withFault(Fault{Kind: CutResponses, Zone: 1, To: -1})},
		{"zone's servers unresponsive", ownZone, at, duration,
			withFault(Fault{Kind: ServerUnresponsive, Targets: zoneServers})},
		{"zone's servers fail", ownZone, at, duration,
			withFault(Fault{Kind: ServerErrors, Targets: zoneServers, Value: 0.9})},
		{"zone cut off", ownZone, at, duration, withFault(Fault{Kind: CutBoth, Zone: 1, To: -1})},
		{"server unresponsive", server, at, duration,
			withFault(Fault{Kind: ServerUnresponsive, Targets: []int{20}})},
		{"server fails", server, at, duration,
			withFault(Fault{Kind: ServerErrors, Targets: []int{20}, Value: 0.9})},
		{"third lies", zone, at, duration, func(c *Config) {
			c.Faults = append(c.Faults, Fault{Kind: ByzantineProxies, Zone: 1, Targets: byzantineTargets(c),
				At: at, Duration: duration})
		}},
		{"gossip cut", zone, at, duration, withFault(Fault{Kind: GossipPartition, Zone: -1})},
		{"zone lost, gossip cut", zone, at, duration, func(c *Config) {
			c.Faults = append(c.Faults, Fault{Kind: GossipPartition, Zone: -1, At: 2 * sec, Duration: 25 * sec},
				Fault{Kind: ZoneLost, Zone: 1, At: at, Duration: duration})
		}},
		{"zone lost, 30 % loss", zone, at, duration, func(c *Config) {
			c.Loss = 0.3
			c.Faults = append(c.Faults, Fault{Kind: ZoneLost, Zone: 1, At: at, Duration: duration})
		}},
	}
}

// Config returns the case's configuration for a seed, with or without a cluster.
func (k *Case) Config(seed uint64, peers bool) Config {
	c := Default()
	c.Seed, c.Cluster, c.Duration = seed, peers, k.At+k.Duration+10*sec
	c.Proxies, c.Servers = 30, 45
	c.Rate = 0.55 * c.Capacity()
	k.Set(&c)
	return c
}
