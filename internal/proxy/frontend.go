package proxy

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

	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/settings"
)

const (
	maxRequestHeadBytes = 16 << 10        // of a request, before its body
	keepAliveTimeout    = 2 * time.Minute // for the next request on a connection

	// The head of a request is to be here so long after its first byte, and on a new connection after the
	// connect: a peer that sends nothing, or too little, is owed a close within 3 s. For its body see upload.
	requestReadTimeout = 2500 * time.Millisecond
)

// frontend takes requests from clients and hands them to the loop.
type frontend struct {
	loop          *eventLoop
	server        *http.Server
	listener      *limitedListener
	bodyMemory    *memoryBudget
	headMemory    *memoryBudget
	logger        *slog.Logger
	maxConns      atomic.Int64 // connections of clients, and some more to refuse on
	maxInFlight   atomic.Int64 // requests in flight, each of which may need a connection to a backend; more are refused
	serving       atomic.Bool  // connections are accepted
	draining      atomic.Bool  // SIGTERM has come: health checks hear it
	closing       atomic.Bool  // and clients are to leave
	awaitingSync  atomic.Bool  // for discovery to confirm the list: health checks hear it
	activeStreams atomic.Int64 // answers that are being passed on

	mu            sync.Mutex
	settings      *settingsSnapshot   // in force
	settingsInUse []*settingsSnapshot // those that requests still read by, the one in force last
	conns         map[net.Conn]clientConnState
	uploads       map[*upload]bool
	evicted       int       // since the log last said so
	rejected      int       // likewise
	lastLogged    time.Time // when it did
}

// connKey finds a request's connection in its context.
type connKey struct{}

func newFrontend(site *settings.Site, l *eventLoop, listener net.Listener, log *slog.Logger) *frontend {
	f := &frontend{loop: l, logger: log, bodyMemory: &memoryBudget{}, headMemory: &memoryBudget{max: defaultBodyMemory}, conns: map[net.Conn]clientConnState{},
		uploads: map[*upload]bool{}}
	first := make([]int, len(site.Classes))
	for i := range first {
		first[i] = i
	}
	f.setSettings(newSettingsSnapshot(site, l.balancerSettings(site), first))
	f.listener = newLimitedListener(listener, f.makeRoom, log)
	f.listener.headMemory, f.listener.audit = f.headMemory, l.audit
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: requestReadTimeout, IdleTimeout: keepAliveTimeout, MaxHeaderBytes: maxRequestHeadBytes,
		ConnState: f.trackConn, ErrorLog: quietLog(log),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return f
}

// quietLog sends net/http's remarks on broken clients to the debug level.
func quietLog(l *slog.Logger) *log.Logger { return slog.NewLogLogger(l.Handler(), slog.LevelDebug) }

// serve accepts connections until the listener is closed.
func (f *frontend) serve() error {
	f.serving.Store(true)
	defer f.serving.Store(false)
	if err := f.server.Serve(f.listener); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// giveUp is when the client of a request that has now come whole gives up.
func (f *frontend) clientDeadline(req *request) int64 {
	return f.loop.clock.at(time.Now().Add(req.timeout))
}

// full is the answer to a request for which there is no room.
func rejectedResponse(req *request) response {
	return response{status: http.StatusServiceUnavailable, retryAfter: req.Settings.MaxRetryAfter}
}

// ServeHTTP answers health checks and takes requests.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Until a body is read for what it is: net/http may read what is left of it before it answers.
	began := time.Now()
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		began = time.Unix(0, c.requestStarted.Load())
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(began.Add(requestReadTimeout))
	_ = rc.SetWriteDeadline(time.Time{}) // the last answer's would keep a 100 Continue back
	if len(r.TransferEncoding) > 0 {     // see framedConn
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/_health" {
		f.serveHealth(w)
		return
	}
	v := f.acquireSettings()
	defer f.releaseSettings(v)
	req, bad := v.parseRequest(w, r)
	if bad.status != 0 {
		f.writeResponse(w, bad)
		return
	}
	req.clientContext = r.Context()
	req.clientConn, _ = r.Context().Value(connKey{}).(net.Conn)
	body := f.newUpload(w, r, began)
	defer f.releaseUpload(body)
	own, bad := f.receiveBody(w, r, req, body)
	if bad.status != 0 {
		f.writeResponse(w, bad)
		return
	}
	defer own.finish(0) // however else this returns
	fc, _ := req.clientConn.(*clientConn)
	if fc != nil {
		fc.markUnanswered(req.ID)
	}
	ans := f.awaitResponse(req)
	if fc != nil && ans.status == 0 && req.clientGone() {
		fc.markAnswered() // nobody waits for it
	}
	if ans.status == 0 {
		f.loop.audit.Count(audit.ClientConnNoResponse)
		panic(http.ErrAbortHandler) // a return would answer 200
	}
	if ans.stream != nil {
		f.activeStreams.Add(1)
		defer f.activeStreams.Add(-1)
	}
	if fc != nil {
		fc.markAnswered() // net/http closes where a write fails, since the client has gone; what has begun and breaks off shows
	}
	f.writeResponse(w, ans)
	if ans.stream != nil {
		ans.stream.forwardTo(w, r)
	}
	own.finish(ans.status)
}

// await returns a request's answer, with no status if its client has gone or the loop has ended.
func (f *frontend) awaitResponse(req *request) (ans response) {
	l := f.loop
	select {
	case ans = <-req.responses:
	case <-req.clientContext.Done():
		select {
		case ans = <-req.responses: // one that came before all of the body cut that off, which ends the context, too
		default: // the client has gone
			l.post(func() { l.handleClientGone(req) })
		}
	case <-l.done:
	}
	return ans
}

// health answers a check. Its connection is closed each time: kept ones, of however many checkers, would take
// the slots that clients need.
func (f *frontend) serveHealth(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if f.isHealthy() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// healthy tells whether there is a list to serve by and more clients may come.
func (f *frontend) isHealthy() bool {
	select {
	case <-f.loop.list.available:
		return !f.awaitingSync.Load() && !f.draining.Load()
	default:
		return false
	}
}

func (f *frontend) writeResponse(w http.ResponseWriter, ans response) {
	h := w.Header()
	if f.closing.Load() || f.isShort(f.openConns()) { // a closed connection makes room for another
		h.Set("Connection", "close")
	}
	if ans.contentType != "" {
		h.Set("Content-Type", ans.contentType)
	} else {
		h["Content-Type"] = nil // not to be guessed
	}
	switch {
	case ans.stream == nil:
		h.Set("Content-Length", strconv.Itoa(len(ans.body)))
	case ans.stream.contentLength >= 0:
		h.Set("Content-Length", strconv.FormatInt(ans.stream.contentLength, 10))
	}
	if ans.status == http.StatusServiceUnavailable && ans.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(ans.retryAfter)/1e6, 'f', 3, 64))
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(streamStallTimeout))
	w.WriteHeader(ans.status)
	_, _ = w.Write(ans.body) // a client that has gone is no fault
}
