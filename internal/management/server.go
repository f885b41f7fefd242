// Package management serves the proxy's management API for operators and monitoring. It has its own listener
// and connections and answers from memory, so that no call waits for proxied traffic or for another caller.
// It makes no decisions of its own: calls that change something are passed to the proxy.
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

// MaxConns is the maximum number of open connections to the management address. As many file descriptors are
// reserved.
const MaxConns = 16

const (
	callTimeout    = 2 * time.Second // for receiving a complete call
	writeTimeout   = 2 * time.Second // for sending its response, in addition to callTimeout
	maxHeaderBytes = 4 << 10
	callsPerSecond = 200     // more wait, so that callers at full speed leave the processor to requests
	callBurst      = 32      // calls at once after a pause
	maxBodyBytes   = 4 << 10 // no call needs a body, but it is read to make sure that the call is complete
)

// Proxy is the proxy that the calls act on. Its methods must be safe for concurrent use and return quickly.
type Proxy interface {
	// NotReadyReason returns why the proxy cannot serve requests now. It is empty if the proxy is ready.
	NotReadyReason() string

	// Metrics returns the current metrics.
	Metrics() Metrics

	// SuspendServer and ResumeServer set and remove an override that keeps requests away from a server. They
	// return once the override is in effect and stored, so that it survives a restart. An
	// *override.UnknownServerError is permanent; after other errors the caller may retry.
	SuspendServer(server string) error
	ResumeServer(server string) error

	// DrainZone and RestoreZone do the same for a zone. An *override.UnknownZoneError and an
	// *override.LastZoneError are permanent.
	DrainZone(zone string) error
	RestoreZone(zone string) error

	// Zones returns the state of all zones in a stable order.
	Zones() []Zone
}

// Server serves the management API.
type Server struct {
	proxy    Proxy
	log      *slog.Logger
	listener net.Listener
	http     *http.Server

	mu      sync.Mutex
	callers []caller // open connections, the oldest first
}

// caller is an open connection to the management address.
type caller struct {
	net.Conn
	complete bool // a complete call was received
}

// ListenError reports that the management address could not be opened.
type ListenError struct {
	Address string
	Err     error
}

// Error returns the address, the cause and what the operator can do.
func (e *ListenError) Error() string {
	return fmt.Sprintf("open management address %s: %v; set mgmt (LB_MGMT) to an address of this machine on which no other "+
		"process listens", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Listen opens the management address; call Serve to answer calls there. Failed accepts and calls that change
// something are logged to log. The error is of type *ListenError.
func Listen(address string, proxy Proxy, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{address, err}
	}
	return newServer(l, proxy, log), nil
}

// newServer returns a server of the management API on a listener.
func newServer(l net.Listener, proxy Proxy, log *slog.Logger) *Server {
	s := &Server{proxy: proxy, log: log, listener: listener.Pace(listener.Retry(l, log), callsPerSecond, callBurst)}
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

// Addr returns the address on which the server listens.
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

// limitCallers is the http.Server's ConnState hook. If a connection beyond MaxConns is opened, it closes the
// oldest one that has not sent a complete call, or the oldest of all if each has.
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

// connKey is the context key under which a call's context holds its connection.
type connKey struct{}

// awaitComplete returns a handler that calls next only once a call was received completely: a partial call
// must have no effect.
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
