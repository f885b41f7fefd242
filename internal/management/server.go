// Package mgmt is the proxy's second address: calls of on-call staff and of what watches the proxy. It has its
// own listener and connections, and what it answers with is at hand, so that no call waits for traffic or for
// another caller.
package management

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"path"
	"slices"
	"sync"
	"time"

	"merlinpick/internal/listener"
	"merlinpick/internal/override"
)

// These bound calls of staff and of what watches the proxy, which carry no traffic: no settings say anything of them.
const (
	// MaxConns is how many callers are served at once; it bounds the descriptors that are kept for them.
	MaxConns = 16

	callPatience  = 2 * time.Second // for a whole call
	writePatience = 2 * time.Second // for its answer to be taken, beyond that
	maxHead       = 4 << 10
	maxBody       = 4 << 10 // no call needs a body; one is read so that a call is known to be whole
)

// Ends counts the requests of a class by how they ended.
type RequestCounts struct {
	Succeeded, Rejected, Failed int64 // served, refused, failed
}

// Figures is what metrics shows.
type Metrics struct {
	Classes         map[string]RequestCounts
	InFlight        int64    // requests taken and not ended
	Forwarded       int64    // attempts written whole to nodos
	ListedServers   int      // nodos in the list
	EjectedServers  int      // listed nodos that get nothing, or only trials
	ReloadsApplied  int64    // configurations taken at SIGHUP
	ReloadsRejected int64    // and turned down
	Rollout         *Rollout // of one that follows its service's configuration; else nil
	EndpointList    *EndpointList
	Cluster         *Cluster // of a proxy that is one of a fleet; else nil
	Zones           []Zone   // of one in a fleet, or with a zone drained; else none

	RuleViolations map[string]int64 // violations of the rules that the proxy saw itself commit, by rule
	Events         map[string]int64 // closes, refusals and ends of attempts, by reason
}

// List is how a proxy stands with its list of servers.
type EndpointList struct {
	Age      time.Duration    // since discovery, or a member, last answered with a list; negative: none has
	Stale    bool             // changes may count as told that it has not heard of
	Failures int64            // calls that failed
	Calls    map[string]int64 // of the platform's list, by how they ended

	Registry *RegistryClient // of a list that several members keep; else nil
}

// ListMembers is how a proxy stands with the members of the list service.
type RegistryClient struct {
	Failovers         int64 // from one to another
	RetainedEndpoints int64 // nodos that a new line of versions lacks and that stand for a while
}

func (l *EndpointList) encode(b *bytes.Buffer) {
	if l == nil {
		return
	}
	age, stale := int64(-1), 0
	if l.Age >= 0 {
		age = l.Age.Milliseconds()
	}
	if l.Stale {
		stale = 1
	}
	fmt.Fprintf(b, "app.list_age_ms=%d\napp.list_stale=%d\napp.list_failures=%d\n", age, stale, l.Failures)
	for _, end := range slices.Sorted(maps.Keys(l.Calls)) {
		fmt.Fprintf(b, "app.list_calls.%s=%d\n", end, l.Calls[end])
	}
	if m := l.Registry; m != nil {
		fmt.Fprintf(b, "app.list_moves=%d\napp.list_kept=%d\n", m.Failovers, m.RetainedEndpoints)
	}
}

// Rollout is how a proxy stands with its service's configuration.
type Rollout struct {
	Version         int64         // in force; 0: what the file says
	RejectedVersion int64         // newer version that could not be put in force; 0: none
	Age             time.Duration // since a member last answered; negative: none has
	Applied         int64         // documents put in force
	Failures        int64         // calls that failed
}

// Proxy is what the calls are about. Its methods are called from many goroutines and return soon.
type Proxy interface {
	NotReadyReason() string // what it lacks to serve requests that come now; empty: it is ready
	Metrics() Metrics
	// Suspend and Resume return once the proxy acts on it and the ban outlives the process. A *bans.UnknownError is a
	// no for good; after others the call may be repeated.
	SuspendServer(nodo string) error
	ResumeServer(nodo string) error
	// Drain and Restore do the same to a zone, with a *bans.UnknownZoneError or *bans.LastZoneError.
	DrainZone(zone string) error
	RestoreZone(zone string) error
	Zones() []Zone // in a stable order
}

// Server answers the calls.
type Server struct {
	proxy    Proxy
	log      *slog.Logger
	listener net.Listener
	http     *http.Server

	mu      sync.Mutex
	callers []caller // the oldest first
}

type caller struct {
	net.Conn
	whole bool // its call has come in
}

// Listen opens the address; Serve answers there.
func Listen(addr string, p Proxy, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("management address: %w", err)
	}
	return newServer(l, p, log), nil
}

func newServer(l net.Listener, p Proxy, log *slog.Logger) *Server {
	s := &Server{proxy: p, log: log, listener: listener.Retry(l, log)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", s.readyz)
	mux.HandleFunc("GET /v1/metrics", s.metrics)
	mux.HandleFunc("POST /v1/nodos/{id}/suspend", s.nodo("suspend", p.SuspendServer))
	mux.HandleFunc("POST /v1/nodos/{id}/resume", s.nodo("resume", p.ResumeServer))
	mux.HandleFunc("GET /v1/zones", s.zones)
	mux.HandleFunc("POST /v1/zones/{name}/drain", s.zone("drain", p.DrainZone))
	mux.HandleFunc("POST /v1/zones/{name}/restore", s.zone("restore", p.RestoreZone))
	s.http = &http.Server{Handler: s.whole(mux), ReadTimeout: callPatience, WriteTimeout: callPatience + writePatience,
		MaxHeaderBytes: maxHead, ConnState: s.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	s.http.SetKeepAlivesEnabled(false) // one call to a connection
	return s
}

// Addr is where callers connect.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve answers until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("management address: %w", err)
	}
	return nil
}

// Close ends the listener and all callers' connections.
func (s *Server) Close() error { return s.http.Close() }

// connState keeps the callers' number bounded: a new one beyond it displaces the one that has held its
// connection the longest without a whole call.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.callers) >= MaxConns {
			i := max(0, slices.IndexFunc(s.callers, func(c caller) bool { return !c.whole }))
			s.callers[i].Close()
			s.callers = slices.Delete(s.callers, i, i+1)
		}
		s.callers = append(s.callers, caller{Conn: c})
	case http.StateClosed, http.StateHijacked:
		s.callers = slices.DeleteFunc(s.callers, func(x caller) bool { return x.Conn == c })
	}
}

// connKey finds a call's connection in its context.
type connKey struct{}

// whole lets a call through once all of it is here: half of one must change nothing.
func (s *Server) whole(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody+1))
		switch {
		case err != nil:
			http.Error(w, "the call broke off", http.StatusBadRequest)
			return
		case n > maxBody:
			http.Error(w, "the call is too large", http.StatusRequestEntityTooLarge)
			return
		case path.Clean(r.URL.Path) != r.URL.Path: // a redirect would be neither yes nor no
			http.NotFound(w, r)
			return
		}
		s.mu.Lock()
		if i := slices.IndexFunc(s.callers, func(c caller) bool { return c.Conn == r.Context().Value(connKey{}) }); i >= 0 {
			s.callers[i].whole = true
		}
		s.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if missing := s.proxy.NotReadyReason(); missing != "" {
		http.Error(w, "not ready: "+missing, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(s.proxy.Metrics().encode())
}

// encode writes one figure a line, in an order that stays.
func (f Metrics) encode() []byte {
	var b bytes.Buffer
	for _, class := range slices.Sorted(maps.Keys(f.Classes)) {
		e := f.Classes[class]
		fmt.Fprintf(&b, "app.succeeded.%s=%d\napp.declined.%s=%d\napp.aborted.%s=%d\n",
			class, e.Succeeded, class, e.Rejected, class, e.Failed)
	}
	fmt.Fprintf(&b, "app.outstanding=%d\napp.forwards=%d\napp.discovered=%d\napp.ejected=%d\n"+
		"app.sighup_applied=%d\napp.sighup_rejected=%d\n",
		f.InFlight, f.Forwarded, f.ListedServers, f.EjectedServers, f.ReloadsApplied, f.ReloadsRejected)
	for _, rule := range slices.Sorted(maps.Keys(f.RuleViolations)) {
		fmt.Fprintf(&b, "app.broken.%s=%d\n", rule, f.RuleViolations[rule])
	}
	for _, event := range slices.Sorted(maps.Keys(f.Events)) {
		fmt.Fprintf(&b, "app.%s=%d\n", event, f.Events[event])
	}
	f.EndpointList.encode(&b)
	if r := f.Rollout; r != nil {
		age := int64(-1)
		if r.Age >= 0 {
			age = r.Age.Milliseconds()
		}
		fmt.Fprintf(&b, "app.config_version=%d\napp.config_refused=%d\napp.config_age_ms=%d\napp.config_applied=%d\n"+
			"app.config_failures=%d\n", r.Version, r.RejectedVersion, age, r.Applied, r.Failures)
	}
	f.Cluster.encode(&b)
	for _, z := range f.Zones {
		z.encode(&b)
	}
	return b.Bytes()
}

// nodo answers a call on one nodo.
func (s *Server) nodo(verb string, do func(string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		err := do(id)
		var unknown *override.UnknownServerError
		switch {
		case errors.As(err, &unknown):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			s.log.Error("management call", "call", verb, "nodo", id, "error", err)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			s.log.Info("management call", "call", verb, "nodo", id)
			_, _ = io.WriteString(w, "ok\n")
		}
	}
}
