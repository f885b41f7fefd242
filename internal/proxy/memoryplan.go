package proxy

import (
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/upstream"
)

// How the memory limit of a process is divided. The heap gets a fraction of it; the rest is for the program's
// text, the C library, and what the garbage collector is late with. The heap has to hold, at the same time:
// what the process takes without clients, all connections, all requests in flight, and all buffers. If that is
// more than there is, the buffers shrink first, down to a minimum, and then the number of connections.
const (
	heapFraction = 0.6 // of the memory limit
	// minHeapBytes is the least limit of the heap: with less, the runtime would spend most of its time on
	// garbage collection.
	minHeapBytes = 12 << 20

	baseHeapBytes = 5 << 20 // the runtime, the balancer, the endpoint list and the metrics

	// clientConnBytes is what an open client connection takes: the stack of its goroutine, the buffers of
	// net/http, and the first part of a head (clientconn.UnmeteredBuffer).
	clientConnBytes = 20 << 10
	// requestBytes is what a request in flight takes beside its connection: the stacks of its attempt and of
	// the goroutine that watches its client, the connection to the backend, small heads, and one buffer that
	// copies its response.
	requestBytes = 28 << 10

	// There are four kinds of buffers, each with a limit of its own: request heads, request bodies, responses,
	// and those that copy streamed requests. These are the most and the least of each, as fractions of the
	// memory limit.
	bufferKinds       = 4
	maxBufferFraction = 1.0 / 8
	minBufferFraction = 1.0 / 32

	// minStreamBuffer is the least size of a buffer that copies a streamed body; upstream.DefaultStreamBuffer is
	// the largest.
	minStreamBuffer = 4 << 10
)

// memoryPlan holds the limits of a process that follow from its memory and its descriptors.
type memoryPlan struct {
	heap                      int // soft limit of the heap in bytes; 0: none
	clients, backends, reject int // connections, see connLimits; backends also limits requests in flight
	buffers                   int // bytes of each kind of buffers
	streamBuffer              int // size in bytes of a buffer that copies a streamed body
}

// planMemory returns the limits of this process. If shared, it has half of the proxy's memory and descriptors.
func (cfg Config) planMemory(shared bool) memoryPlan {
	clients, backends, reject := cfg.connLimits(shared)
	plan := memoryPlan{clients: max(clients, minConns), backends: max(backends, minConns), reject: reject,
		buffers: downstream.DefaultMemory}
	memory := cfg.MemoryBytes
	if shared {
		memory, plan.buffers = memory/2, plan.buffers/2
	}
	if memory > 0 {
		plan.fit(float64(memory))
	}
	plan.streamBuffer = streamBufferSize(plan.buffers, plan.backends)
	return plan
}

// fit adjusts buffers and connections to a memory limit in bytes.
func (plan *memoryPlan) fit(memory float64) {
	heap := heapFraction * memory
	plan.heap = max(minHeapBytes, int(heap))
	connections := float64((plan.clients+plan.reject)*clientConnBytes + plan.backends*requestBytes)
	forBuffers := (heap - baseHeapBytes - connections) / bufferKinds
	buffers := max(minBufferFraction*memory, min(maxBufferFraction*memory, forBuffers))
	plan.buffers = int(buffers)
	if forConnections := heap - baseHeapBytes - bufferKinds*buffers; forConnections < connections {
		plan.scaleConnections(max(forConnections, 0) / connections)
	}
}

// scaleConnections reduces the limits of connections to a fraction.
func (plan *memoryPlan) scaleConnections(fraction float64) {
	scale := func(n, least int) int { return max(least, int(fraction*float64(n))) }
	plan.clients = scale(plan.clients, minConns)
	plan.backends = scale(plan.backends, minConns)
	plan.reject = scale(plan.reject, minRejectConns)
}

// streamBufferSize returns the size with which as many requests can be streamed as may be in flight, if there
// is memory for that.
func streamBufferSize(memory, requests int) int {
	size := (memory/requests - downstream.HTTPCopyBuffer) / downstream.StreamBuffers
	return max(minStreamBuffer, min(upstream.DefaultStreamBuffer, size))
}
