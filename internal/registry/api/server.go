// Package api serves the registry's HTTP API: the published protocol for proxies, registration for servers,
// and the calls of members and operators. It holds no replicated state: package raftnode does.
//
//	GET    /catalog/members                    the whole list; with consistent=1 a linearizable read
//	GET    /catalog/members?from=N&hold_ms=M   a watch: answered when there is a version after N, or after
//	                                           M ms; line=L is the epoch of N
//	PUT    /catalog/members/NAME               register, or renew with another lease; may be repeated
//	POST   /catalog/members/NAME/renew         {"instance": ...}
//	POST   /catalog/members/NAME/drain         {"instance": ...}
//	DELETE /catalog/members/NAME?instance=I    deregister
//	GET    /config/SERVICE                     a service's configuration, or a watch of it: configs.go
//	PUT    /config/SERVICE?from=V              write a configuration after version V
//	GET    /config/SERVICE/status              which proxies have applied it
//	GET    /v1/member                          this member's status, also before it serves
//	GET    /v1/proof                           the leader's read index, for members
//	GET    /v1/nodos                           endpoints and their leases
//	GET    /v1/snapshot                        the replicated state
//	POST   /v1/restore                         replaces it
//	GET    /v1/inforce/SERVICE                 the proxies' reports to this member alone
//
// Names on the wire are older than those in the code: /catalog/members and "nodos" are endpoints, "line" is
// the epoch, "index" the version of the list, "former" the previous version, "in_force" the applied version,
// "refused" a rejected one, "end" a result code, "overdue" the held leases.
//
// Responses carry the epoch as "line". A watch never returns a list of the client's epoch that is older than
// the client's version, whichever member answers. A read without consistent=1 may be as old as
// raftnode.Config.MaxListAge. A list of another epoch replaces the client's list: an endpoint that it lacks
// was not necessarily removed.
//
// Any member accepts any call. A call that needs the leader is forwarded to it, once. 503 means that the call
// may be repeated, at this or another member, after Retry-After.
package api

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"merlinpick/internal/listener"
	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/rollout"
	"merlinpick/internal/registry/state"
)

const (
	headerTimeout  = 5 * time.Second // for the client to send a request's header
	idleTimeout    = 2 * time.Minute // of a keep-alive connection
	maxHeaderBytes = 8 << 10
)

// errWaitingForPeers is the response to calls of a member whose node is not open yet.
var errWaitingForPeers = errors.New("this member is waiting for the other members")

// Config holds the settings of a server.
type Config struct {
	Listen     string // HOST:PORT
	Name       string // name of the member
	MaxWatches int    // maximum number of watches in flight; further ones get 503
	Logger     *slog.Logger
}

// Server serves the API of one member. Its methods may be called concurrently.
type Server struct {
	cfg           Config
	http          *http.Server
	listener      net.Listener
	forwardClient *http.Client
	node          atomic.Pointer[raftnode.Node]
	reports       rollout.Table // reports of the proxies that watch configurations at this member
	stopping      chan struct{} // closed when the server shuts down, to end watches
	stopOnce      sync.Once

	// Counters for Metrics.
	watchesInFlight, calls, rejected, snapshots, changes, forwarded, reportsDropped atomic.Int64
}

// Metrics holds counts since the start of the process. Watches and ProxyReports are current values.
type Metrics struct {
	Watches   int64 // watches in flight
	Calls     int64
	Rejected  int64 // calls answered with 503
	Snapshots int64 // calls answered with the whole list
	Changes   int64 // calls answered with changes, perhaps none
	Forwarded int64 // calls forwarded to the leader

	ProxyReports        int64 // proxies whose report is kept
	ProxyReportsDropped int64 // reports dropped because the table was full
}

// Listen opens the address for Serve. Until SetNode, the server answers all calls with 503, apart from
// GET /v1/member.
func Listen(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{cfg: cfg, listener: listener.Retry(l, cfg.Logger), stopping: make(chan struct{}),
		forwardClient: newForwardClient()}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(cfg.Logger.Handler(), slog.LevelDebug)}
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetNode sets the node that the server serves.
func (s *Server) SetNode(node *raftnode.Node) { s.node.Store(node) }

// Serve serves the API until Shutdown.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown answers all watches with 503, closes idle connections and waits for the calls in flight. After the
// timeout it closes all connections.
func (s *Server) Shutdown(timeout time.Duration) {
	s.stopOnce.Do(func() { close(s.stopping) })
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}

// Metrics returns the current counts.
func (s *Server) Metrics() Metrics {
	return Metrics{Watches: s.watchesInFlight.Load(), Calls: s.calls.Load(), Rejected: s.rejected.Load(),
		Snapshots: s.snapshots.Load(), Changes: s.changes.Load(), Forwarded: s.forwarded.Load(),
		ProxyReports: int64(s.reports.Len()), ProxyReportsDropped: s.reportsDropped.Load()}
}

// nodeHandler handles a call with an open node.
type nodeHandler func(http.ResponseWriter, *http.Request, *raftnode.Node)

// withNode returns a handler that counts calls and answers with 503 until the node is open.
func (s *Server) withNode(handle nodeHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		node := s.node.Load()
		if node == nil {
			s.rejectRetryable(w, errWaitingForPeers)
			return
		}
		handle(w, r, node)
	}
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	for pattern, handle := range map[string]nodeHandler{
		"GET /catalog/members":               s.list,
		"PUT /catalog/members/{name}":        s.register,
		"POST /catalog/members/{name}/renew": s.renew,
		"POST /catalog/members/{name}/drain": s.drainOrDeregister(state.CommandDrain),
		"DELETE /catalog/members/{name}":     s.drainOrDeregister(state.CommandDeregister),
		"GET /config/{service}":              s.config,
		"PUT /config/{service}":              s.putConfig,
		"GET /config/{service}/status":       s.configStatus,
		"GET /v1/inforce/{service}":          s.localReports,
		"GET /v1/proof":                      s.readIndex,
		"GET /v1/nodos":                      s.endpoints,
		"GET /v1/snapshot":                   s.snapshot,
		"POST /v1/restore":                   s.restore,
	} {
		mux.HandleFunc(pattern, s.withNode(handle))
	}
	mux.HandleFunc("GET /v1/member", s.memberStatus)
	return mux
}

// memberStatus handles GET /v1/member, also before the node is open. It is not counted, since members poll
// it.
func (s *Server) memberStatus(w http.ResponseWriter, _ *http.Request) {
	if node := s.node.Load(); node != nil {
		writeJSON(w, http.StatusOK, node.Status())
		return
	}
	writeJSON(w, http.StatusOK, raftnode.WaitingStatus(s.cfg.Name))
}

func (s *Server) readIndex(w http.ResponseWriter, _ *http.Request, node *raftnode.Node) {
	index, err := node.ReadIndex()
	if err != nil {
		s.rejectRetryable(w, err)
		return
	}
	writeJSON(w, http.StatusOK, index)
}
