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
	readInterval       = 150 * time.Millisecond
	hollowReadInterval = time.Second // used with hollow servers, which make the list long
	readTimeout        = 3 * time.Second
	renewalsPerLease   = 3 // renewals within the duration of a lease
	renewRetryPause    = 100 * time.Millisecond
	readerClientID     = 0 // client number of the reader in the history; servers have numbers from 1
)

// registrations runs the servers' registrations. Each process of a server has a goroutine that registers it,
// renews its lease, and announces once that it drains or ends.
type registrations struct {
	service *Service
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	mu           sync.Mutex
	live         map[string]*serverProcess // running processes, by server name
	names        map[string]bool           // names of all servers so far, for the reader
	lastClientID int                       // last client number that was assigned
	missing      int                       // most listed servers that were missing in one read
}

// serverProcess is one process of a server.
type serverProcess struct {
	ref      state.InstanceRef
	record   state.Record
	clientID int         // client number in the history
	statuses chan string // statuses to announce: draining, deleted
	listed   bool        // the server is registered and has announced no other status since
	stop     context.CancelFunc
}

// newRegistrations returns registrations without servers.
func newRegistrations(s *Service) *registrations {
	n := &registrations{service: s, live: map[string]*serverProcess{}, names: map[string]bool{},
		lastClientID: readerClientID}
	n.ctx, n.stop = context.WithCancel(context.Background())
	return n
}

// close stops all registrations without deregistering and waits for their end.
func (r *registrations) close() {
	r.stop()
	r.running.Wait()
}

// Server describes a server to register.
type Server struct {
	Name, Zone, Type string
	Group            int
	StartedAtMs      int64 // start time of its process in Unix milliseconds
}

// StartServer starts a process of a server, which registers and renews its lease until StopServer. The
// returned function waits until the server is registered.
func (s *Service) StartServer(server Server) (registered func(ctx context.Context) error) {
	registrations := s.registrations
	registrations.mu.Lock()
	defer registrations.mu.Unlock()
	registrations.lastClientID++
	clientID := registrations.lastClientID
	ctx, stop := context.WithCancel(registrations.ctx)
	// setAddresses replaces this address by a different one for each proxy; nothing connects to it.
	endpoint := state.Endpoint{Name: server.Name, Address: "nodo.invalid:1", Zone: server.Zone, Type: server.Type, Cell: server.Group,
		Status: state.StatusServing, Weight: 1, StartedAtMs: server.StartedAtMs}
	record := state.Record{Endpoint: endpoint, Instance: fmt.Sprint(server.StartedAtMs, "-", clientID),
		LeaseMs: s.config.Lease.Milliseconds()}
	process := &serverProcess{ref: state.InstanceRef{Name: server.Name, Instance: record.Instance},
		record: record, clientID: clientID, statuses: make(chan string, 2), stop: stop}
	registrations.live[server.Name], registrations.names[server.Name] = process, true
	first := make(chan struct{})
	registrations.running.Go(func() { s.runServer(ctx, process, sync.OnceFunc(func() { close(first) })) })
	return func(ctx context.Context) error {
		select {
		case <-first:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("server %s is not registered: %w", server.Name, ctx.Err())
		}
	}
}

// DrainServer has a server announce that it drains.
func (s *Service) DrainServer(name string) { s.sendStatus(name, state.StatusDraining) }

// StopServer ends a server's process. A draining server deregisters; any other lets its lease expire.
func (s *Service) StopServer(name string) { s.sendStatus(name, state.StatusDeleted) }

// sendStatus passes a status to the goroutine of a server's current process, if there is one.
func (s *Service) sendStatus(name, status string) {
	r := s.registrations
	r.mu.Lock()
	defer r.mu.Unlock()
	if server := r.live[name]; server != nil {
		if status == state.StatusDeleted {
			delete(r.live, name)
		}
		server.listed = false
		server.statuses <- status
	}
}

// listedServers returns the servers that must be in the list now, by name.
func (r *registrations) listedServers() map[string]*serverProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]*serverProcess{}
	for name, server := range r.live {
		if server.listed {
			out[name] = server
		}
	}
	return out
}

// recordMissing updates the maximum number of servers that were missing in a read although they were listed
// before and after it.
func (r *registrations) recordMissing(before map[string]*serverProcess, values map[string]string) {
	after, missing := r.listedServers(), 0
	for name, server := range before {
		if after[name] == server && values[name] == linear.Absent {
			missing++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missing = max(r.missing, missing)
}

// runServer runs one process of a server: its registration, its renewals and the announcements of its end.
func (s *Service) runServer(ctx context.Context, server *serverProcess, registered func()) {
	defer server.stop()
	client := s.registrars[server.record.Zone]
	if !s.register(ctx, client, server) {
		return
	}
	s.registrations.mu.Lock()
	server.listed = len(server.statuses) == 0
	s.registrations.mu.Unlock()
	registered()
	draining := false
	// The lease may expire at any time after the start of the last renewal that is known to have succeeded,
	// so the history holds a pending removal that begins there.
	endExpiry := s.history.Begin(linear.Remove, server.ref.Name, server.historyValue(), server.clientID)
	for pause := s.config.Lease / renewalsPerLease; ; {
		select {
		case status := <-server.statuses:
			if !s.announce(ctx, client, server, status, draining) {
				return
			}
			draining = true
			continue
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		endNextExpiry := s.history.Begin(linear.Remove, server.ref.Name, server.historyValue(),
			server.clientID)
		_, err := client.Renew(ctx, server.ref)
		var rejected *registrar.RejectedError
		switch {
		case err == nil:
			endExpiry(false, true) // the lease did not expire: remove the pending removal
			endExpiry, pause = endNextExpiry, s.config.Lease/renewalsPerLease
			continue
		case errors.As(err, &rejected) && rejected.Code == state.ResultUnknown:
			if draining || !s.register(ctx, client, server) {
				return
			}
			// The lease did expire: its removal stays in the history.
			endExpiry, pause = endNextExpiry, s.config.Lease/renewalsPerLease
			continue
		case errors.As(err, &rejected):
			s.log.Error("registration rejected", "endpoint", server.ref.Name, "error", err)
			return
		}
		endNextExpiry(false, true)
		pause = renewRetryPause
	}
}

// announce announces a status to the registry and reports whether the process continues, which it does only
// while draining. A process that ends without having drained announces nothing.
func (s *Service) announce(ctx context.Context, client *registrar.Client, server *serverProcess, status string, draining bool) bool {
	switch {
	case status == state.StatusDraining:
		s.write(ctx, linear.Drain, server, state.StatusDraining, func(ctx context.Context) error {
			_, err := client.Drain(ctx, server.ref)
			return err
		})
		return true
	case draining:
		s.write(ctx, linear.Remove, server, state.StatusDeleted, func(ctx context.Context) error {
			_, err := client.Deregister(ctx, server.ref)
			return err
		})
	}
	return false
}

// historyValue identifies the process in the history by its start time, since the published list contains the
// start time but not the instance.
func (p *serverProcess) historyValue() string { return fmt.Sprint(p.record.StartedAtMs) }

// register registers a server process and reports whether the registry accepted it.
func (s *Service) register(ctx context.Context, client *registrar.Client, server *serverProcess) bool {
	return s.write(ctx, linear.Register, server, state.StatusServing, func(ctx context.Context) error {
		_, err := client.Register(ctx, server.record)
		return err
	})
}

// write makes a call that the registrar repeats until it is answered, and records it in the history. status
// is the status that the call announces. It reports whether the call succeeded.
func (s *Service) write(ctx context.Context, kind linear.Operation, server *serverProcess, status string,
	call func(context.Context) error) bool {
	end := s.history.Begin(kind, server.ref.Name, server.historyValue(), server.clientID)
	err := call(ctx)
	var rejected *registrar.RejectedError
	end(err == nil, errors.As(err, &rejected))
	if err == nil {
		s.delays.recordConfirmed(server.ref.Name, status, server.record.StartedAtMs, time.Now())
	}
	return err == nil
}

// readLists reads the current list from the members in turn until the context ends, and adds each read to the
// history.
func (s *Service) readLists(ctx context.Context) {
	every := readInterval
	if s.config.IsHollow != nil {
		every = hollowReadInterval
	}
	for n := 0; sleep.For(ctx, every); n++ {
		member := s.members[n%len(s.members)]
		// Servers that existed before the call and are not in the list are recorded as absent.
		s.registrations.mu.Lock()
		values := map[string]string{}
		for name := range s.registrations.names {
			values[name] = linear.Absent
		}
		s.registrations.mu.Unlock()
		listed := s.registrations.listedServers()
		start := time.Now()
		var list watch.Response
		if s.get(member, "/catalog/members?consistent=1", readTimeout, &list) != nil {
			continue
		}
		for _, endpoint := range list.Endpoints {
			if !s.isHollow(endpoint.Name) { // hollow servers' registrations are not in the history
				values[endpoint.Name] = linear.Value(endpoint.Status, fmt.Sprint(endpoint.StartedAtMs))
			}
		}
		s.registrations.recordMissing(listed, values)
		s.history.RecordRead(readerClientID, start, values)
	}
}
