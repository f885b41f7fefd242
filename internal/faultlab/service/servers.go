package service

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"merlinpick/internal/faultlab/linear"
	"merlinpick/internal/faultlab/sleep"
	"merlinpick/internal/registry/registrar"
	"merlinpick/internal/registry/state"
	"merlinpick/internal/registry/watch"
)

const (
	readEvery   = 150 * time.Millisecond
	hollowReads = time.Second // where lists are long
	readWait    = 3 * time.Second
	renewPart   = 3 // of a lease passes between two renewals
	againAfter  = 100 * time.Millisecond
	reader      = 0 // the reader's number in the history; servers' are from 1 on
)

// servers is the registrations: one goroutine for each process of a server, which registers it, renews its lease, and says
// once that it drains or goes.
type servers struct {
	s    *Service
	ctx  context.Context
	stop context.CancelFunc
	all  sync.WaitGroup

	mu    sync.Mutex
	alive map[string]*life
	names map[string]bool // all that there ever were, for the reader
	next  int
	lacks int // of living servers, the most that a read has lacked
}

// life is one process of a server.
type life struct {
	ref   state.InstanceRef
	rec   state.Record
	n     int
	words chan string // what it has to say: Draining, Deleted
	known bool        // it is in the list, and has said nothing since that takes it out
	die   context.CancelFunc
}

func newServers(s *Service) *servers {
	n := &servers{s: s, alive: map[string]*life{}, names: map[string]bool{}, next: reader}
	n.ctx, n.stop = context.WithCancel(context.Background())
	return n
}

func (n *servers) close() {
	n.stop()
	n.all.Wait()
}

// Server is a server as the list is to have it.
type Server struct {
	Name, Zone, Type string
	Group            int
	Since            int64
}

// Begin has a process of a server register and renew until it drains and goes, or dies. The call that it gives waits until
// it is in the list.
func (s *Service) Begin(e Server) (registered func(ctx context.Context) error) {
	n := s.servers
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	ctx, die := context.WithCancel(n.ctx)
	// Each proxy has an address of its own for it (see readdress); this one is nobody's.
	rec := state.Record{Endpoint: state.Endpoint{Name: e.Name, Address: "nodo.invalid:1", Zone: e.Zone, Type: e.Type, Cell: e.Group,
		Status: state.StatusServing, Weight: 1, StartedAtMs: e.Since}, Instance: fmt.Sprint(e.Since, "-", n.next), LeaseMs: s.cfg.Lease.Milliseconds()}
	l := &life{ref: state.InstanceRef{Name: e.Name, Instance: rec.Instance}, rec: rec, n: n.next, words: make(chan string, 2), die: die}
	n.alive[e.Name], n.names[e.Name] = l, true
	first := make(chan struct{})
	n.all.Go(func() { s.live(ctx, l, sync.OnceFunc(func() { close(first) })) })
	return func(ctx context.Context) error {
		select {
		case <-first:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("%s is not in the list: %w", e.Name, ctx.Err())
		}
	}
}

// Drain has a server say that it drains; Die ends its process: one that has drained says that it goes, another is silent.
func (s *Service) Drain(name string) { s.say(name, state.StatusDraining) }

// Die ends a server's process.
func (s *Service) Die(name string) { s.say(name, state.StatusDeleted) }

func (s *Service) say(name, word string) {
	n := s.servers
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.alive[name]; l != nil {
		if word == state.StatusDeleted {
			delete(n.alive, name)
		}
		l.known = false
		l.words <- word
	}
}

// living are the servers that have to be in the list.
func (n *servers) living() map[string]*life {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]*life{}
	for name, l := range n.alive {
		if l.known {
			out[name] = l
		}
	}
	return out
}

// lack notes how many servers a read lacked that lived before and after it.
func (n *servers) lack(before map[string]*life, values map[string]string) {
	after, lacks := n.living(), 0
	for name, l := range before {
		if after[name] == l && values[name] == linear.Absent {
			lacks++
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lacks = max(n.lacks, lacks)
}

// live is the life of one process of a server.
func (s *Service) live(ctx context.Context, l *life, registered func()) {
	defer l.die()
	client := s.near[l.rec.Zone]
	if !s.register(ctx, client, l) {
		return
	}
	s.servers.mu.Lock()
	l.known = len(l.words) == 0
	s.servers.mu.Unlock()
	registered()
	drains := false
	// Its lease may end at any moment after the last renewal that is known to have been taken.
	mayEnd := s.history.Begin(linear.Remove, l.ref.Name, l.value(), l.n)
	for pause := s.cfg.Lease / renewPart; ; {
		select {
		case word := <-l.words:
			switch {
			case word == state.StatusDraining:
				drains = true
				s.write(ctx, linear.Drain, l, func(ctx context.Context) error { _, err := client.Drain(ctx, l.ref); return err }, state.StatusDraining)
				continue
			case drains:
				s.write(ctx, linear.Remove, l, func(ctx context.Context) error { _, err := client.Deregister(ctx, l.ref); return err }, state.StatusDeleted)
			}
			return
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		begun := s.history.Begin(linear.Remove, l.ref.Name, l.value(), l.n)
		_, err := client.Renew(ctx, l.ref)
		var no *registrar.RejectedError
		switch {
		case err == nil:
			mayEnd(false, true) // it did not
			mayEnd, pause = begun, s.cfg.Lease/renewPart
			continue
		case errors.As(err, &no) && no.Code == state.ResultUnknown:
			if drains || !s.register(ctx, client, l) {
				return
			}
			mayEnd, pause = begun, s.cfg.Lease/renewPart // and the end before stays in the history
			continue
		case errors.As(err, &no):
			s.log.Error("a nodo was refused", "nodo", l.ref.Name, "error", err)
			return
		}
		begun(false, true)
		pause = againAfter
	}
}

// value names the process in the history: the published list tells its start, not its instance.
func (l *life) value() string { return fmt.Sprint(l.rec.StartedAtMs) }

func (s *Service) register(ctx context.Context, client *registrar.Client, l *life) bool {
	return s.write(ctx, linear.Register, l, func(ctx context.Context) error { _, err := client.Register(ctx, l.rec); return err }, state.StatusServing)
}

// write makes a call that is repeated until it is answered, and notes it.
func (s *Service) write(ctx context.Context, kind linear.Operation, l *life, call func(context.Context) error, status string) bool {
	end := s.history.Begin(kind, l.ref.Name, l.value(), l.n)
	err := call(ctx)
	var no *registrar.RejectedError
	end(err == nil, errors.As(err, &no))
	if err == nil {
		s.delays.confirm(l.ref.Name, status, l.rec.StartedAtMs, time.Now())
	}
	return err == nil
}

// read asks for the current list, of one member after another, until the context ends.
func (s *Service) read(ctx context.Context) {
	every := readEvery
	if s.cfg.Hollow != nil {
		every = hollowReads
	}
	for n := 0; sleep.For(ctx, every); n++ {
		m := s.members[n%len(s.members)]
		// Names that are not in the list count too: those that were there before the call.
		s.servers.mu.Lock()
		values := map[string]string{}
		for name := range s.servers.names {
			values[name] = linear.Absent
		}
		s.servers.mu.Unlock()
		living := s.servers.living()
		begun := time.Now()
		var l watch.Response
		if s.get(m, "/catalog/members?consistent=1", readWait, &l) != nil {
			continue
		}
		for _, e := range l.Endpoints {
			if !s.hollow(e.Name) { // those are in no history
				values[e.Name] = linear.Value(e.Status, fmt.Sprint(e.StartedAtMs))
			}
		}
		s.servers.lack(living, values)
		s.history.RecordRead(reader, begun, values)
	}
}
