package proxy

import (
	"cmp"

	"merlinpick/internal/management"
)

const (
	// Descriptors that are neither a client's nor a backend's: the runtime's, listeners, discovery's calls and
	// watches, the folder of bans, and some more. While two processes are one proxy they are reckoned closer.
	reservedDescriptors       = 20
	reservedDescriptorsShared = 16
	rejectConnsDivisor        = 16 // one in so many is kept to refuse on
	minRejectConns            = 4
	// Of the rest: clients hold idle and half-written connections too. What is left for backends is a third of
	// all where that is 192 or more, as many as clients use for requests at once.
	clientConnFraction = 0.55
	minConns           = 8 // connections on either side, at least

	defaultBodyMemory = 16 << 20
)

// parts tells how many connections there may be of clients and to backends, and how many more of clients to refuse
// on. While two processes are one proxy each has half of all.
func (cfg Config) connLimits(shared bool) (clients, backends, over int) {
	sockets, own := cfg.MaxDescriptors, reservedDescriptors
	if shared {
		sockets, own = sockets/2, reservedDescriptorsShared
	}
	if cfg.Managed {
		own += management.MaxConns + 1
	}
	if cfg.Cluster != nil {
		own += cfg.Cluster.Descriptors
	}
	over = min(maxRejectConns, max(minRejectConns, sockets/rejectConnsDivisor))
	rest := sockets - own - over
	clients = int(clientConnFraction * float64(rest))
	return clients, rest - clients, over
}

// share has this process keep to its part of memory and descriptors while another of the proxy lives, or not.
func (p *Proxy) applyResourceShare(with bool) {
	clients, backends, over := p.config.connLimits(with)
	p.frontend.setLimits(max(clients, minConns), max(backends, minConns), over)
	part, hold := 1.0, cmp.Or(p.config.BodyMemory, defaultBodyMemory)
	if with {
		part, hold = 0.5, hold/2
	}
	p.frontend.bodyMemory.setMax(hold)
	p.frontend.headMemory.setMax(hold)
	p.loop.pool.setLimits(max(backends, minConns), hold)
	if p.config.OnMemoryShare != nil {
		p.config.OnMemoryShare(part)
	}
}

// join counts the other processes of the proxy that live: a predecessor, a successor.
func (p *Proxy) addOtherProcesses(n int32) {
	others := p.otherProcesses.Add(n)
	p.applyResourceShare(others > 0)
	if others == 0 {
		p.loop.post(func() { p.loop.balancer.HandleOtherProcessExit(p.loop.clock.now()) })
	}
}
