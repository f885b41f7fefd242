package proxy

import (
	"cmp"

	"merlinpick/internal/management"
	"merlinpick/internal/proxy/downstream"
)

const (
	// Descriptors that are neither a client's nor a backend's: the runtime's, listeners, discovery's calls and watches, the
	// state directory, and some more. While two processes are one proxy there is less to spare.
	reservedDescriptors       = 20
	reservedDescriptorsShared = 16

	rejectConnsDivisor = 16 // one descriptor in so many is reserved for rejections
	minRejectConns     = 4

	// Of the rest: clients hold idle and half-written connections too. What is left for backends is a third of all where
	// that is 192 or more, as many as clients use for requests at once.
	clientConnFraction = 0.55
	minConns           = 8 // on either side, at least
)

// connLimits returns how many connections there may be of clients and to backends, and how many more of clients to reject
// on. While two processes are one proxy (shared) each has half of all.
func (cfg Config) connLimits(shared bool) (clients, backends, reject int) {
	descriptors, reserved := cfg.MaxDescriptors, reservedDescriptors
	if shared {
		descriptors, reserved = descriptors/2, reservedDescriptorsShared
	}
	if cfg.Managed {
		reserved += management.MaxConns + 1
	}
	if cfg.Cluster != nil {
		reserved += cfg.Cluster.Descriptors
	}
	reject = min(downstream.MaxRejectConns, max(minRejectConns, descriptors/rejectConnsDivisor))
	available := descriptors - reserved - reject
	clients = int(clientConnFraction * float64(available))
	return clients, available - clients, reject
}

// applyResourceShare has this process keep to its part of memory and descriptors, half of them while it shares with another
// process of the proxy.
func (p *Proxy) applyResourceShare(shared bool) {
	clients, backends, reject := p.config.connLimits(shared)
	p.frontend.SetLimits(max(clients, minConns), max(backends, minConns), reject)
	fraction, memory := 1.0, cmp.Or(p.config.BodyMemory, downstream.DefaultBodyMemory)
	if shared {
		fraction, memory = 0.5, memory/2
	}
	p.frontend.SetMemory(memory)
	p.loop.pool.SetLimits(max(backends, minConns), memory)
	if p.config.OnMemoryShare != nil {
		p.config.OnMemoryShare(fraction)
	}
}
