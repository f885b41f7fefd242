package proxy

import (
	"merlinpick/internal/management"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/upstream"
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
	plan := p.config.planMemory(shared)
	p.frontend.SetLimits(plan.clients, plan.backends, plan.reject)
	p.frontend.SetMemory(downstream.MemoryLimits{Bodies: plan.buffers, Heads: plan.buffers, Streams: plan.buffers,
		StreamBuffer: plan.streamBuffer})
	p.loop.pool.SetLimits(upstream.Limits{MaxOpen: plan.backends, ResponseBytes: plan.buffers, StreamBuffer: plan.streamBuffer})
	if plan.heap > 0 && p.config.SetHeapLimit != nil {
		p.config.SetHeapLimit(int64(plan.heap))
	}
	p.config.Logger.Info("resource limits", "memory_bytes", p.config.MemoryBytes, "descriptors", p.config.MaxDescriptors,
		"shared", shared, "heap_bytes", plan.heap, "client_connections", plan.clients, "requests_in_flight", plan.backends,
		"buffer_bytes", plan.buffers, "stream_buffer_bytes", plan.streamBuffer)
}
