package proxy

import (
	"cmp"

	"merlinpick/internal/management"
	"merlinpick/internal/proxy/downstream"
)

const (
	// Descriptors used for neither clients nor backends: the runtime, listeners, discovery calls and watches,
	// the state directory, and a few spare ones. While two processes share the limit of one proxy, fewer are
	// spare.
	reservedDescriptors       = 20
	reservedDescriptorsShared = 16

	rejectConnsDivisor = 16 // one of 16 descriptors is reserved for connections that are only rejected
	minRejectConns     = 4

	// Clients get more than half of the remaining descriptors, since some of their connections are idle or
	// have sent only part of a request. With a limit of 192 descriptors or more, this leaves a third of all
	// for connections to backends. Their limit is also the limit of requests in flight.
	clientConnFraction = 0.55
	minConns           = 8 // least number of connections for clients, and for backends
)

// connLimits returns the limits of connections from clients and to backends, and of additional client
// connections that are only rejected. If shared, this process has half of the descriptors, since a second
// process of the proxy is running.
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

// applyResourceShare sets this process's limits of memory and connections: all of the proxy's, or half if
// shared with another process of the proxy.
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
