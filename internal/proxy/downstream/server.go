// Package downstream is the client side of the proxy: it accepts connections, reads and checks requests,
// hands them to a Handler, and writes the Handler's responses. It decides which connection is evicted for
// another and when a body arrives too slowly, but neither where a request is sent nor what its response is.
//
// net/http runs one goroutine for each connection, which owns the request that it reads until it hands it to
// the Handler. A streamed upload has one more goroutine (bodyEndWatcher). Drain is to be called once, and
// returns when the client side has shut down.
package downstream

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/upstream"
	"merlinpick/internal/settings"
)

// keepAliveTimeout is how long an idle client connection waits for its next request.
const keepAliveTimeout = 2 * time.Minute

// DefaultMemory is the limit of each kind of buffers, in bytes, if the memory limit is not known.
const DefaultMemory = 16 << 20

// MemoryLimits limits the memory of the client side's buffers, in bytes. The zero value allows none beyond what
// each request may always buffer.
type MemoryLimits struct {
	Bodies       int // buffered bodies
	Heads        int // request heads
	Streams      int // buffers that copy streamed bodies
	StreamBuffer int // size of each of these
}

// Config holds what NewServer needs.
type Config struct {
	Site     *settings.Site
	Settings *balancer.Settings // in force
	Listener net.Listener       // closed by the Server
	Handler  Handler

	// RequestStarted counts a request of a class as started. finish counts it as finished with the status of
	// its response, 0 if it had none; only the first call of finish counts.
	RequestStarted func(class string) (finish func(status int))
	ListAvailable  <-chan struct{} // closed once there is an endpoint list
	Audit          *audit.Recorder
	Logger         *slog.Logger
}

// Server reads requests, hands them to the Handler, and writes the responses. net/http calls it from one
// goroutine for each connection.
type Server struct {
	Listener *clientconn.Listener

	handler        Handler
	requestStarted func(class string) (finish func(status int))
	listAvailable  <-chan struct{}
	audit          *audit.Recorder
	logger         *slog.Logger
	server         *http.Server
	bodyMemory     *clientconn.MemoryBudget // for the part of each body beyond guaranteedBodyBuffer
	headMemory     *clientconn.MemoryBudget // for heads, and that first part, beyond UnmeteredBuffer
	streamMemory   *clientconn.MemoryBudget // for the buffers that copy streamed bodies
	streamBuffers  streamBuffers

	maxConns    atomic.Int64 // client connections that are served; some more are accepted to reject requests
	maxInFlight atomic.Int64 // requests, each of which may need a connection to a backend; more are rejected

	serving       atomic.Bool  // connections are accepted
	draining      atomic.Bool  // SIGTERM was received: health checks fail
	closing       atomic.Bool  // responses carry Connection: close
	awaitingSync  atomic.Bool  // discovery has yet to confirm the endpoint list: health checks fail
	activeStreams atomic.Int64 // responses that are being streamed

	mu            sync.Mutex
	settings      *settingsSnapshot   // in force
	settingsInUse []*settingsSnapshot // used by requests; the snapshot in force is the last one
	conns         map[net.Conn]clientConnState
	uploads       map[*upload]bool
	evicted       int // connections evicted since logShortageLocked last logged
	rejected      int // requests rejected since logShortageLocked last logged
	lastLogged    time.Time
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// clientConnOf returns the connection of a request; nil if it was not accepted by a clientconn.Listener.
func clientConnOf(r *http.Request) *clientconn.Conn {
	c, _ := r.Context().Value(connKey{}).(*clientconn.Conn)
	return c
}

// NewServer returns a server that accepts no connections before SetLimits and Serve are called.
func NewServer(cfg Config) *Server {
	srv := &Server{handler: cfg.Handler, requestStarted: cfg.RequestStarted, listAvailable: cfg.ListAvailable, audit: cfg.Audit,
		logger: cfg.Logger, bodyMemory: clientconn.NewMemoryBudget(0), headMemory: clientconn.NewMemoryBudget(DefaultMemory),
		streamMemory: clientconn.NewMemoryBudget(DefaultMemory),
		conns:        map[net.Conn]clientConnState{}, uploads: map[*upload]bool{}}
	classNumbers := make([]int, len(cfg.Site.Classes))
	for i := range classNumbers {
		classNumbers[i] = i
	}
	srv.SetSettings(cfg.Site, cfg.Settings, classNumbers)
	srv.Listener = clientconn.NewListener(cfg.Listener, clientconn.ListenerConfig{MakeRoom: srv.MakeRoom, HeadMemory: srv.headMemory,
		Audit: cfg.Audit, Logger: cfg.Logger})
	srv.server = &http.Server{
		Handler: srv, ReadHeaderTimeout: clientconn.RequestReadTimeout, IdleTimeout: keepAliveTimeout,
		MaxHeaderBytes: clientconn.MaxHeadBytes, ConnState: srv.trackConn, ErrorLog: debugLogger(cfg.Logger),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return srv
}

// debugLogger returns a logger that writes net/http's messages about misbehaving clients at debug level.
func debugLogger(logger *slog.Logger) *log.Logger {
	return slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
}

// Serve accepts connections until the listener is closed.
func (srv *Server) Serve() error {
	srv.serving.Store(true)
	defer srv.serving.Store(false)
	if err := srv.server.Serve(srv.Listener); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve clients: %w", err)
	}
	return nil
}

// IsServing reports whether connections are accepted.
func (srv *Server) IsServing() bool { return srv.serving.Load() }

// IsDraining reports whether Drain has begun; health checks then fail.
func (srv *Server) IsDraining() bool { return srv.draining.Load() }

// IsClosing reports whether responses carry Connection: close because of a drain.
func (srv *Server) IsClosing() bool { return srv.closing.Load() }

// IsAwaitingSync reports whether the endpoint list is yet to be confirmed; health checks then fail.
func (srv *Server) IsAwaitingSync() bool { return srv.awaitingSync.Load() }

// SetAwaitingSync sets whether the endpoint list is yet to be confirmed.
func (srv *Server) SetAwaitingSync(awaiting bool) { srv.awaitingSync.Store(awaiting) }

// SetMemory sets the limits of memory. Buffers in use keep their size.
func (srv *Server) SetMemory(limits MemoryLimits) {
	srv.bodyMemory.SetMax(limits.Bodies)
	srv.headMemory.SetMax(limits.Heads)
	srv.streamMemory.SetMax(limits.Streams)
	srv.streamBuffers.setSize(limits.StreamBuffer)
}

// BufferedBytes returns how many bytes are reserved for buffered bodies, for heads, and for the buffers that copy
// streamed bodies.
func (srv *Server) BufferedBytes() (bodies, heads, streams int) {
	return srv.bodyMemory.Used(), srv.headMemory.Used(), srv.streamMemory.Used()
}

// Conns returns the open client connections.
func (srv *Server) Conns() []*clientconn.Conn {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	conns := make([]*clientconn.Conn, 0, len(srv.conns))
	for c := range srv.conns {
		conns = append(conns, c.(*clientconn.Conn))
	}
	return conns
}

// Limits returns how many connections are served, and how many requests may be in flight.
func (srv *Server) Limits() (conns, inFlight int) {
	return int(srv.maxConns.Load()), int(srv.maxInFlight.Load())
}

// ServeHTTP answers health checks and serves requests.
func (srv *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startedAt := time.Now()
	conn := clientConnOf(r)
	if conn != nil {
		startedAt = conn.RequestStarted()
	}
	rc := http.NewResponseController(w)
	// A deadline is needed since net/http may read the rest of a body before it responds.
	_ = rc.SetReadDeadline(startedAt.Add(clientconn.RequestReadTimeout))
	_ = rc.SetWriteDeadline(time.Time{}) // the deadline of the last response would delay a 100 Continue
	if len(r.TransferEncoding) > 0 {     // no further request may follow: see clientconn.Conn
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/_health" {
		srv.serveHealth(w)
		return
	}
	snapshot := srv.acquireSettings()
	defer srv.releaseSettings(snapshot)
	if class := r.Header.Get(classHeader); conn != nil && snapshot.hasClass(class) {
		conn.SetClass(class)
	}
	req, rejection := snapshot.parseRequest(w, r)
	if rejection.Status != 0 {
		srv.writeResponse(w, rejection)
		return
	}
	srv.serveRequest(w, r, req, startedAt)
}

// serveRequest reads a request's body, waits for its response and writes it.
func (srv *Server) serveRequest(w http.ResponseWriter, r *http.Request, req *Request, startedAt time.Time) {
	req.clientContext = r.Context()
	req.clientConn, _ = r.Context().Value(connKey{}).(net.Conn)
	u := srv.newUpload(w, r, startedAt)
	defer srv.releaseUpload(u)
	finish, rejection := srv.receiveBody(w, r, req, u)
	if rejection.Status != 0 {
		srv.writeResponse(w, rejection)
		return
	}
	defer finish(0) // has no effect after finish(resp.Status) below
	resp := srv.awaitAuditedResponse(req)
	if resp.Status == 0 {
		srv.audit.Count(audit.ClientConnNoResponse)
		panic(http.ErrAbortHandler) // a return would answer 200
	}
	if resp.Stream != nil {
		srv.activeStreams.Add(1)
		defer srv.activeStreams.Add(-1)
	}
	srv.writeResponse(w, resp)
	if resp.Stream != nil {
		srv.forwardStream(w, r, resp.Stream)
	}
	finish(resp.Status)
}

// awaitAuditedResponse returns a request's response. If the connection is closed before the response is
// there, the audit records a broken rule, unless the client has gone. A later close breaks no rule: either
// net/http closes the connection after a write that failed because the client has gone, or the client can
// tell that its response is incomplete.
func (srv *Server) awaitAuditedResponse(req *Request) Response {
	c, ok := req.clientConn.(*clientconn.Conn)
	if !ok {
		return srv.awaitResponse(req)
	}
	c.MarkInFlight(req.ID)
	c.Charge(clientconn.DecisionCost)
	var resp Response
	c.AwaitOthers(func() { resp = srv.awaitResponse(req) })
	if resp.Status != 0 || req.IsClientGone() {
		c.MarkAnswered()
	}
	return resp
}

// awaitResponse returns a request's response, or one without a status if the client has gone or the Handler
// has stopped.
func (srv *Server) awaitResponse(req *Request) (resp Response) {
	select {
	case resp = <-req.responses:
	case <-req.clientContext.Done():
		select {
		case resp = <-req.responses:
			// The response came before all of the body and stopped the upload, which also cancels the
			// context.
		default: // the client has gone
			srv.handler.HandleClientGone(req)
			srv.awaitRelease(req)
		}
	case <-srv.handler.Stopped().Done():
	}
	return resp
}

// awaitRelease waits until the Handler has finished with a request whose client has gone. A request takes its
// memory while it waits in the Handler's queue, so it has to keep its connection slot and what it has reserved.
func (srv *Server) awaitRelease(req *Request) {
	select {
	case resp := <-req.responses:
		if resp.Stream != nil {
			resp.Stream.CancelAttempt()
		}
	case <-srv.handler.Stopped().Done():
	}
}

// clientDeadline returns when the client gives up on a request whose last byte has been read. Its time counts from when
// that byte arrived, however long the connection has waited since for the accept, a turn or the processor.
func clientDeadline(req *Request) time.Time {
	arrived := time.Now()
	if c, ok := req.clientConn.(*clientconn.Conn); ok {
		arrived = c.LastArrived()
	}
	return arrived.Add(req.Outbound.Timeout)
}

// rejectedResponse returns the response to a request that exceeds the limit of requests in flight.
func rejectedResponse(req *Request) Response {
	return Response{Status: http.StatusServiceUnavailable, RetryAfter: req.Settings.MaxRetryAfter}
}

// errorResponse returns the response to a request that is not forwarded.
func errorResponse(status int, reason string) Response {
	return Response{Status: status, Body: []byte(reason + "\n"), ContentType: "text/plain"}
}

// serveHealth answers a health check and closes the connection, since kept-alive connections of health
// checkers would take the slots that clients need.
func (srv *Server) serveHealth(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if srv.IsHealthy() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// IsHealthy reports whether there is a confirmed endpoint list and the server is not draining.
func (srv *Server) IsHealthy() bool {
	select {
	case <-srv.listAvailable:
		return !srv.awaitingSync.Load() && !srv.draining.Load()
	default:
		return false
	}
}

// writeResponse writes a response, or only its head if the response is streamed.
func (srv *Server) writeResponse(w http.ResponseWriter, resp Response) {
	h := w.Header()
	if srv.closing.Load() || srv.isConnShortage(srv.OpenConns()) { // closing the connection frees its slot
		h.Set("Connection", "close")
	}
	if resp.ContentType != "" {
		h.Set("Content-Type", resp.ContentType)
	} else {
		h["Content-Type"] = nil // keeps net/http from guessing it
	}
	switch {
	case resp.Stream == nil:
		h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	case resp.Stream.ContentLength >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.Stream.ContentLength, 10))
	}
	if resp.Status == http.StatusServiceUnavailable && resp.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(resp.RetryAfter)/1e6, 'f', 3, 64)) // seconds
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(upstream.StallTimeout))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body) // fails only if the client has gone
}
