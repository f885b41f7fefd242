package main

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"
)

// gridVariable is the environment variable with which TestMemoryStaysWithinLimit plays all cells of the grid, for
// 20 minutes, and not only those that took the most memory beyond their limit.
const gridVariable = "MERLINPICK_MEMORY_GRID"

const (
	crowdDuration     = 5 * time.Second
	gridCrowdDuration = 8 * time.Second
	soundPerSecond    = 40
)

// cell is a cell of the grid: a proxy with these limits, and a crowd beside sound requests.
type cell struct {
	limits
	crowdSize int
	crowd     string
}

func (c cell) String() string {
	return fmt.Sprintf("%d MB, %d descriptors, %d clients, %s", c.memoryMB, c.descriptors, c.crowdSize, c.crowd)
}

// crowdNames are the crowds of the grid.
var crowdNames = []string{"many fields", "different fields", "half heads", "slow readers", "stopped uploads", "slow writers", "idle", "mixed"}

var crowds = map[string]peer{
	"many fields":      manyFieldsPeer,
	"different fields": differentFieldsPeer,
	"half heads":       halfHeadPeer,
	"slow readers":     slowReaderPeer,
	"stopped uploads":  stoppedUploadPeer,
	"slow writers":     slowWriterPeer,
	"idle":             idlePeer,
	"mixed":            mixed(manyFieldsPeer, differentFieldsPeer, slowReaderPeer, stoppedUploadPeer, slowWriterPeer, halfHeadPeer),
}

// cells returns the cells to play.
func cells() (all []cell) {
	if os.Getenv(gridVariable) == "" {
		for _, name := range []string{"many fields", "different fields", "slow readers", "stopped uploads", "mixed"} {
			all = append(all, cell{limits{32, 1024}, 400, name})
		}
		return all
	}
	for _, l := range []limits{{32, 1024}, {32, 256}, {48, 512}, {64, 256}, {96, 1024}, {192, 1024}} {
		for _, size := range []int{400, 1200} {
			for _, name := range crowdNames {
				all = append(all, cell{l, size, name})
			}
		}
	}
	return all
}

// TestMemoryStaysWithinLimit guards against a proxy that is killed for its memory: hundreds of clients send heads of
// very many short fields, stop in the middle of uploads, write in small pieces or read long responses slowly.
func TestMemoryStaysWithinLimit(t *testing.T) {
	for _, c := range cells() {
		t.Run(c.String(), func(t *testing.T) {
			p := startProxy(t, startServers(t), c.limits)
			duration := crowdDuration
			if os.Getenv(gridVariable) != "" {
				duration = gridCrowdDuration
			}
			ctx, stop := context.WithTimeout(t.Context(), duration)
			defer stop()
			crowdEnded := make(chan struct{})
			go func() { defer close(crowdEnded); runCrowd(ctx, p.address, c.crowdSize, crowds[c.crowd]) }()
			sound := sendSound(ctx, p.address, soundPerSecond)
			<-crowdEnded
			peak := p.peakKB(t)
			t.Logf("%v: peak %.1f MiB; sound requests: %v", c, float64(peak)/1024, sound)
			if limit := c.memoryMB << 10; peak > limit {
				t.Errorf("the proxy had %d kB of memory, and is killed over %d kB", peak, limit)
			}
		})
	}
}
