// Package path measures the latency that a proxy adds to a call, compared with direct calls over loopback in
// the same run, and the cost of following the endpoint list for a proxy without calls: for a number of listed
// servers, without events, while complete lists arrive, and while a zone is lost.
//
// The proxy is a real process. The load generator, the stub servers and the stub registry share the measuring
// process; each server has its own listener and answers at once. The package sets no budgets except
// LatencyObjective, and records nothing.
package path

import (
	"context"
	"fmt"
	"time"
)

// LatencyObjective is the maximum latency that a proxy should add at p99, in ms.
const LatencyObjective = 0.5

// Testbed is a proxy with its stub servers and its stub registry.
type Testbed struct {
	Servers  *Servers
	Registry *Registry
	Proxy    *Proxy
}

// Open starts a testbed with a number of servers spread over the proxy's zones.
func Open(servers int, options ProxyOptions) (*Testbed, error) {
	t := &Testbed{}
	var err error
	if t.Servers, err = StartServers(servers, options.Zones); err != nil {
		return nil, err
	}
	if t.Registry, err = StartRegistry(t.Servers); err == nil {
		t.Proxy, err = StartProxy(t.Registry, options)
	}
	if err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

// Close stops everything.
func (t *Testbed) Close() {
	if t.Proxy != nil {
		t.Proxy.Close()
	}
	if t.Registry != nil {
		t.Registry.Close()
	}
	t.Servers.Close()
}

// Phase names what happens while calls are made.
type Phase string

// The phases, with the names that the tests' flag -path.phase takes.
const (
	Calm     Phase = "calm"
	Snapshot Phase = "whole lists" // a complete list every snapshotInterval
	ZoneLoss Phase = "a zone goes" // the servers of the proxy's zone stop; the list follows after removalDelay
)

const (
	snapshotInterval = 250 * time.Millisecond
	removalDelay     = time.Second // from the loss of a zone until the list removes it
	homeZone         = 0           // the proxy's zone
)

// RunPhase makes calls for the given time during a phase, and then ends the phase.
func (t *Testbed) RunPhase(ctx context.Context, g *LoadGenerator, phase Phase, duration time.Duration) (*Metrics, error) {
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		switch phase {
		case Snapshot:
			t.publishSnapshots(ctx)
			ended <- nil
		case ZoneLoss:
			ended <- t.loseZone(ctx, duration/4)
		default:
			ended <- nil
		}
	}()
	m := g.Run(ctx, duration)
	stop()
	return m, <-ended
}

// publishSnapshots publishes a complete list every snapshotInterval until ctx ends.
func (t *Testbed) publishSnapshots(ctx context.Context) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.Registry.PublishSnapshot()
		case <-ctx.Done():
			return
		}
	}
}

// loseZone stops the servers of the proxy's zone after the given time, and restarts them when ctx ends.
func (t *Testbed) loseZone(ctx context.Context, after time.Duration) error {
	if sleep(ctx, after) {
		t.Servers.StopZone(homeZone)
	}
	if sleep(ctx, removalDelay) {
		t.Registry.SetZoneListed(homeZone, false)
	}
	<-ctx.Done()
	if err := t.Servers.RestartZone(homeZone); err != nil {
		return err
	}
	t.Registry.SetZoneListed(homeZone, true)
	return nil
}

// sleep waits for the duration, or returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// ObjectiveError reports a proxy that adds more latency than the objective.
type ObjectiveError struct {
	Phase            Phase
	Added, Objective float64 // ms
	Quantile         float64 // 0 to 100
}

// Error names the phase, both values and the file that lists known causes.
func (e *ObjectiveError) Error() string {
	return fmt.Sprintf(
		"%s: the proxy adds %.3f ms at p%g, objective %.3f ms; known causes: docs/capacity/slopes/path.toml",
		e.Phase, e.Added, e.Quantile, e.Objective)
}

// CheckAdded returns an ObjectiveError if the proxy adds more latency than an objective, in ms, at a
// quantile.
func (m *Metrics) CheckAdded(phase Phase, quantile, objective float64) error {
	if added := m.Added(quantile); added > objective {
		return &ObjectiveError{phase, added, objective, quantile}
	}
	return nil
}
