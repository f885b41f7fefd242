// Package path measures what a proxy adds to a call, beside a plain exchange over loopback in the same run, and what it
// costs a proxy without calls to follow the list: by the number of listed nodos, while all is calm, while whole lists
// arrive and while a zone goes.
//
// The proxy is a real process. Callers, nodos and the list share the process that measures; nodos answer at once. Every
// listed nodo has a listener of its own.
package path

import (
	"context"
	"fmt"
	"time"
)

// Aim is what a proxy may add for 99 calls in 100, in ms.
const Aim = 0.5

// Scene is a proxy with its nodos and its list.
type Scene struct {
	Nodos *Nodos
	List  *List
	Proxy *Proxy
}

// Open sets a scene up.
func Open(program, dir string, nodos, zones int, limits Limits, seed uint64) (*Scene, error) {
	s := &Scene{}
	var err error
	if s.Nodos, err = ListenNodos(nodos, zones); err != nil {
		return nil, err
	}
	if s.List, err = ListenList(s.Nodos); err == nil {
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
	s.Nodos.Close()
}

// Phase is something that goes on while calls are made.
type Phase string

// The phases.
const (
	Calm  Phase = "calm"
	Whole Phase = "whole lists" // wholeEvery
	Gone  Phase = "a zone goes" // home's nodos die; the list tells it goneTold later
)

const (
	wholeEvery = 250 * time.Millisecond
	goneTold   = time.Second
)

// Play makes calls while a phase lasts.
func (s *Scene) Play(ctx context.Context, c *Caller, phase Phase, long time.Duration) (*Figures, error) {
	ctx, stop := context.WithCancel(ctx)
	failed := make(chan error, 1)
	go func() {
		switch phase {
		case Whole:
			tick := time.NewTicker(wholeEvery)
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
				s.Nodos.Lose(0)
			}
			if wait(ctx, goneTold) {
				s.List.Zone(0, false)
			}
			<-ctx.Done()
			if err := s.Nodos.Return(0); err != nil {
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
func (f *Figures) Within(phase Phase, quantile, bound float64) error {
	if added := f.Added(quantile); added > bound {
		return &OverError{phase, added, bound, quantile}
	}
	return nil
}
