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
const Budget = 0.5

// Scene is a proxy with its servers and its list.
type Scene struct {
	Servers *Servers
	List    *List
	Proxy   *Proxy
}

// Open sets a scene up.
func Open(program, dir string, nodos, zones int, limits Limits, seed uint64) (*Scene, error) {
	s := &Scene{}
	var err error
	if s.Servers, err = ListenServers(nodos, zones); err != nil {
		return nil, err
	}
	if s.List, err = ListenList(s.Servers); err == nil {
		s.Proxy, err = StartProxy(program, dir, s.List, zones, limits, seed)
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close ends all of it.
func (s *Scene) Close() {
	if s.Proxy != nil {
		s.Proxy.Close()
	}
	if s.List != nil {
		s.List.Close()
	}
	s.Servers.Close()
}

// Phase is something that goes on while calls are made.
type Phase string

// The phases.
const (
	Calm     Phase = "calm"
	Snapshot Phase = "whole lists" // wholeEvery
	Gone     Phase = "a zone goes" // home's servers die; the list tells it goneTold later
)

const (
	snapshotInterval = 250 * time.Millisecond
	removalNotified  = time.Second
)

// Play makes calls while a phase lasts.
func (s *Scene) Play(ctx context.Context, c *Caller, phase Phase, long time.Duration) (*Metrics, error) {
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
					s.List.Whole()
				case <-ctx.Done():
				}
			}
		case Gone:
			if wait(ctx, long/4) {
				s.Servers.Lose(0)
			}
			if wait(ctx, removalNotified) {
				s.List.Zone(0, false)
			}
			<-ctx.Done()
			if err := s.Servers.Return(0); err != nil {
				failed <- err
				return
			}
			s.List.Zone(0, true)
		}
		failed <- nil
	}()
	f := c.Run(ctx, long)
	stop()
	return f, <-failed
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// OverError is a proxy that adds more than its aim.
type OverError struct {
	Phase      Phase
	Added, Aim float64 // ms
	Quantile   float64
}

func (e *OverError) Error() string {
	return fmt.Sprintf("%s: the proxy adds %.3f ms at p%g, over %.3f ms; see docs/capacity/slopes/path.toml for causes that are known",
		e.Phase, e.Added, e.Quantile, e.Aim)
}

// Within is nil if what is added at a quantile is within a bound.
func (f *Metrics) Within(phase Phase, quantile, bound float64) error {
	if added := f.Added(quantile); added > bound {
		return &OverError{phase, added, bound, quantile}
	}
	return nil
}
