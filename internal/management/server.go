// Package management serves the proxy's management address: calls of on-call staff and of monitoring. It has its own
// listener and connections and answers from memory, so that no call waits for traffic or for another caller. It never
// decides anything: calls that change something are the proxy's.
package management

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path"
	"slices"
	"sync"
	"time"

	"merlinpick/internal/listener"
)

// MaxConns is how many callers are served at once; it bounds the descriptors that are reserved for them.
const MaxConns = 16

const (
	callTimeout    = 2 * time.Second // to receive a complete call
	writeTimeout   = 2 * time.Second // to send its response, in addition
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 4 << 10 // no call needs a body; it is read so that a call is known to be complete
)

// Proxy is what the calls act on. Its methods are called from many goroutines and return soon.
type Proxy interface {
	// NotReadyReason returns what the proxy lacks to serve requests now; empty: it is ready.
	NotReadyReason() string
	Metrics() Metrics

	// SuspendServer and ResumeServer return once the proxy acts on the override and it outlives the process. An
	// *override.UnknownServerError is final; after other errors the call may be repeated.
	SuspendServer(server string) error
	ResumeServer(server string) error

	// DrainZone and RestoreZone do the same for a zone. An *override.UnknownZoneError or *override.LastZoneError is final.
	DrainZone(zone string) error
	RestoreZone(zone string) error

	// Zones returns the state of all zones in a stable order.
	Zones() []Zone
}

// Server answers calls on the management address.
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
	complete bool // its call was received
}

// ListenError reports that the management address could not be opened.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("open management address %s: %v; set mgmt (LB_MGMT) to an address of this machine on which no other "+
		"process listens", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Listen opens the address; Serve answers there. log gets failed accepts and the calls that change something. The error
// is a *ListenError.
func Listen(address string, proxy Proxy, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{address, err}
	}
	return newServer(l, proxy, log), nil
}

func newServer(l net.Listener, proxy Proxy, log *slog.Logger) *Server {
	s := &Server{proxy: proxy, log: log, listener: listener.Retry(l, log)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", s.handleReady)
	mux.HandleFunc("GET /v1/metrics", s.handleMetrics)
	mux.HandleFunc("POST /v1/nodos/{id}/suspend", s.serverCall("suspend", proxy.SuspendServer))
	mux.HandleFunc("POST /v1/nodos/{id}/resume", s.serverCall("resume", proxy.ResumeServer))
	mux.HandleFunc("GET /v1/zones", s.handleZones)
	mux.HandleFunc("POST /v1/zones/{name}/drain", s.zoneCall("drain", proxy.DrainZone))
	mux.HandleFunc("POST /v1/zones/{name}/restore", s.zoneCall("restore", proxy.RestoreZone))
	s.http = &http.Server{
		Handler:        s.awaitComplete(mux),
		ReadTimeout:    callTimeout,
		WriteTimeout:   callTimeout + writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      s.limitCallers,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.http.SetKeepAlivesEnabled(false) // one call per connection
	return s
}

// Addr returns the address that callers connect to.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve answers calls until Close, and then returns nil.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve management address: %w", err)
	}
	return nil
}

// Close closes the listener and all callers' connections.
func (s *Server) Close() error { return s.http.Close() }

// limitCallers implements http.Server's ConnState. A new caller beyond MaxConns replaces the one that was connected for
// the longest time without sending a complete call.
func (s *Server) limitCallers(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.callers) >= MaxConns {
			i := max(0, slices.IndexFunc(s.callers, func(c caller) bool { return !c.complete }))
			s.callers[i].Close()
			s.callers = slices.Delete(s.callers, i, i+1)
		}
		s.callers = append(s.callers, caller{Conn: conn})
	case http.StateClosed, http.StateHijacked:
		s.callers = slices.DeleteFunc(s.callers, func(c caller) bool { return c.Conn == conn })
	}
}

// connKey is the context key of a call's connection.
type connKey struct{}

// awaitComplete passes a call on once all of it was received: part of a call must have no effect.
func (s *Server) awaitComplete(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes+1))
		switch {
		case err != nil:
			http.Error(w, "the call broke off", http.StatusBadRequest)
			return
		case n > maxBodyBytes:
			http.Error(w, "the call is too large", http.StatusRequestEntityTooLarge)
			return
		case path.Clean(r.URL.Path) != r.URL.Path: // http.ServeMux would answer with a redirect
			http.NotFound(w, r)
			return
		}
		s.mu.Lock()
		conn := r.Context().Value(connKey{})
		if i := slices.IndexFunc(s.callers, func(c caller) bool { return c.Conn == conn }); i >= 0 {
			s.callers[i].complete = true
		}
		s.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}
