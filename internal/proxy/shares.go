package proxy

import (
	"cmp"

	"merlinpick/internal/management"
)

const (
	// Descriptors that are neither a client's nor a backend's: the runtime's, listeners, discovery's calls and
	// watches, the folder of bans, and some more. While two processes are one proxy they are reckoned closer.
	ownSockets = 20
	ownShared  = 16
	overPart   = 16 // one in so many is kept to refuse on
	overLeast  = 4
	// Of the rest: clients hold idle and half-written connections too. What is left for backends is a third of
	// all where that is 192 or more, as many as clients use for requests at once.
	clientPart = 0.55
	leastEach  = 8 // connections on either side, at least

	defaultHold = 16 << 20
)

// parts tells how many connections there may be of clients and to backends, and how many more of clients to refuse
// on. While two processes are one proxy each has half of all.
func (cfg Config) parts(shared bool) (clients, backends, over int) {
	sockets, own := cfg.MaxDescriptors, ownSockets
	if shared {
		sockets, own = sockets/2, ownShared
	}
	if cfg.Managed {
		own += management.MaxConns + 1
	}
	if cfg.Cluster != nil {
		own += cfg.Cluster.Descriptors
	}
	over = min(overCap, max(overLeast, sockets/overPart))
	rest := sockets - own - over
	clients = int(clientPart * float64(rest))
	return clients, rest - clients, over
}

// share has this process keep to its part of memory and descriptors while another of the proxy lives, or not.
func (p *Proxy) share(with bool) {
	clients, backends, over := p.cfg.parts(with)
	p.front.limit(max(clients, leastEach), max(backends, leastEach), over)
	part, hold := 1.0, cmp.Or(p.cfg.BodyMemory, defaultHold)
	if with {
		part, hold = 0.5, hold/2
	}
	p.front.holds.limit(hold)
	p.front.firsts.limit(hold)
	p.loop.pool.limit(max(backends, leastEach), hold)
	if p.cfg.OnMemoryShare != nil {
		p.cfg.OnMemoryShare(part)
	}
}

// join counts the other processes of the proxy that live: a predecessor, a successor.
func (p *Proxy) join(n int32) {
	others := p.others.Add(n)
	p.share(others > 0)
	if others == 0 {
		p.loop.post(func() { p.loop.bal.HandleOtherProcessExit(p.loop.clock.now()) })
	}
}
