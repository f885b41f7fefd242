// Package path measures what a proxy adds to a call, beside a plain exchange over loopback in the same run, and what it
// costs a proxy without calls to follow the list: by the number of listed servers, while all is calm, while whole lists
// arrive and while a zone goes.
//
// The proxy is a real process. Callers, servers and the list share the process that measures; servers answer at once. Every
// listed server has a listener of its own.
package path

import (
	"context"
	"fmt"
	"time"
)

// Budget is what a proxy may add for 99 calls in 100, in ms.
const LatencyObjective = 0.5

// Scene is a proxy with its servers and its list.
type Testbed struct {
	Servers  *Servers
	Registry *Registry
	Proxy    *Proxy
}

// Open sets a scene up.
func Open(program, dir string, nodos, zones int, limits Limits, seed uint64) (*Testbed, error) {
	s := &Testbed{}
	var err error
	if s.Servers, err = StartServers(nodos, zones); err != nil {
		return nil, err
	}
	if s.Registry, err = StartRegistry(s.Servers); err == nil {
		s.Proxy, err = StartProxy(program, dir, s.Registry, zones, limits, seed)
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close ends all of it.
func (t *Testbed) Close() {
	if t.Proxy != nil {
		t.Proxy.Close()
	}
	if t.Registry != nil {
		t.Registry.Close()
	}
	t.Servers.Close()
}

// Phase is something that goes on while calls are made.
type Phase string

// The phases.
const (
	Calm     Phase = "calm"
	Snapshot Phase = "whole lists" // wholeEvery
	ZoneLoss Phase = "a zone goes" // home's servers die; the list tells it goneTold later
)

const (
	snapshotInterval = 250 * time.Millisecond
	removalNotified  = time.Second
)

// Play makes calls while a phase lasts.
func (t *Testbed) RunPhase(ctx context.Context, c *LoadGenerator, phase Phase, long time.Duration) (*Metrics, error) {
	ctx, stop := context.WithCancel(ctx)
	failed := make(chan error, 1)
	go func() {
		switch phase {
		case Snapshot:
			tick := time.NewTicker(snapshotInterval)
			defer tick.Stop()
			for ctx.Err() == nil {
				select {
				case <-tick.C:
					t.Registry.PublishSnapshot()
				case <-ctx.Done():
				}
			}
		case ZoneLoss:
			if sleep(ctx, long/4) {
				t.Servers.StopZone(0)
			}
			if sleep(ctx, removalNotified) {
				t.Registry.SetZoneListed(0, false)
			}
			<-ctx.Done()
			if err := t.Servers.RestartZone(0); err != nil {
				failed <- err
				return
			}
			t.Registry.SetZoneListed(0, true)
		}
		failed <- nil
	}()
	f := c.Run(ctx, long)
	stop()
	return f, <-failed
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// OverError is a proxy that adds more than its aim.
type ObjectiveError struct {
	Phase            Phase
	Added, Objective float64 // ms
	Quantile         float64
}

func (e *ObjectiveError) Error() string {
	return fmt.Sprintf("%s: the proxy adds %.3f ms at p%g, over %.3f ms; see docs/capacity/slopes/path.toml for causes that are known",
		e.Phase, e.Added, e.Quantile, e.Objective)
}

// Within is nil if what is added at a quantile is within a bound.
func (m *Metrics) CheckAdded(phase Phase, quantile, bound float64) error {
	if added := m.Added(quantile); added > bound {
		return &ObjectiveError{phase, added, bound, quantile}
	}
	return nil
}
