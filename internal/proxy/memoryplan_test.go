package proxy

import (
	"fmt"
	"testing"
)

// The ranges of a proxy's limits, by the operators' pages.
var (
	memoryRangeMB   = []int{32, 40, 48, 64, 96, 128, 192}
	descriptorRange = []int{256, 384, 512, 768, 1024}
)

// TestPlanFitsMemory guards against limits of connections and buffers that add up to more than the memory limit, over
// the whole range of both settings, for a single process and for one that shares with another.
func TestPlanFitsMemory(t *testing.T) {
	for _, memoryMB := range memoryRangeMB {
		for _, descriptors := range descriptorRange {
			for _, shared := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d MB, %d descriptors, shared %t", memoryMB, descriptors, shared), func(t *testing.T) {
					cfg := Config{MaxDescriptors: descriptors, MemoryBytes: memoryMB << 20, Managed: true}
					plan := cfg.planMemory(shared)
					clients, backends, reject := cfg.connLimits(shared)
					if plan.clients > clients || plan.backends > backends || plan.reject > reject {
						t.Errorf("got %+v, want at most %d, %d and %d connections", plan, clients, backends, reject)
					}
					taken := baseHeapBytes + (plan.clients+plan.reject)*clientConnBytes + plan.backends*requestBytes +
						bufferKinds*plan.buffers
					if taken > plan.heap {
						t.Errorf("connections and buffers of %+v take %d bytes, want at most the heap", plan, taken)
					}
					if plan.heap > memoryMB<<20 || min(plan.clients, plan.backends) < minConns || plan.buffers < minStreamBuffer {
						t.Errorf("got %+v, want a heap within the memory limit and some of everything", plan)
					}
				})
			}
		}
	}
}

// TestPlanKeepsConnectionsWhereMemorySuffices checks that the memory limit reduces connections only where it has to.
func TestPlanKeepsConnectionsWhereMemorySuffices(t *testing.T) {
	for _, tt := range []struct {
		memoryMB, descriptors int
		reduced               bool
	}{
		{32, 256, false}, {48, 256, false}, {48, 512, false}, {64, 384, false}, {96, 1024, false}, {192, 1024, false},
		{0, 1024, false}, // memory limit not known
		{32, 1024, true}, {48, 1024, true},
	} {
		cfg := Config{MaxDescriptors: tt.descriptors, MemoryBytes: tt.memoryMB << 20}
		clients, backends, _ := cfg.connLimits(false)
		plan := cfg.planMemory(false)
		if reduced := plan.clients < clients || plan.backends < backends; reduced != tt.reduced {
			t.Errorf("%d MB, %d descriptors: got %+v of %d and %d connections, want reduced %t",
				tt.memoryMB, tt.descriptors, plan, clients, backends, tt.reduced)
		}
	}
}
