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

	"merlinpick/internal/settings"
)

const (
	maxHead      = 16 << 10        // of a request, before its body
	idlePatience = 2 * time.Minute // for the next request on a connection

	// The head of a request is to be here so long after its first byte, and on a new connection after the
	// connect: a peer that sends nothing, or too little, is owed a close within 3 s. For its body see upload.
	requestPatience = 2500 * time.Millisecond
)

// frontend takes requests from clients and hands them to the loop.
type frontend struct {
	loop     *loop
	server   *http.Server
	listener *cappedListener
	holds    *holds
	firsts   *holds
	log      *slog.Logger
	most     atomic.Int64 // connections of clients, and some more to refuse on
	flight   atomic.Int64 // requests in flight, each of which may need a connection to a backend; more are refused
	serving  atomic.Bool  // connections are accepted
	draining atomic.Bool  // SIGTERM has come: health checks hear it
	closing  atomic.Bool  // and clients are to leave
	waits    atomic.Bool  // for discovery to confirm the list: health checks hear it
	streams  atomic.Int64 // answers that are being passed on

	mu      sync.Mutex
	view    *view   // in force
	views   []*view // those that requests still read by, the one in force last
	conns   map[net.Conn]connState
	uploads map[*upload]bool
	shedded int       // since the log last said so
	refused int       // likewise
	said    time.Time // when it did
}

// connKey finds a request's connection in its context.
type connKey struct{}

func newFrontend(site *settings.Site, l *loop, listener net.Listener, log *slog.Logger) *frontend {
	f := &frontend{loop: l, log: log, holds: &holds{}, firsts: &holds{most: defaultHold}, conns: map[net.Conn]connState{},
		uploads: map[*upload]bool{}}
	first := make([]int, len(site.Classes))
	for i := range first {
		first[i] = i
	}
	f.turn(newView(site, l.rules(site), first))
	f.listener = newCappedListener(listener, f.shed, log)
	f.listener.firsts, f.listener.audit = f.firsts, l.audit
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: requestPatience, IdleTimeout: idlePatience, MaxHeaderBytes: maxHead,
		ConnState: f.connState, ErrorLog: quietLog(log),
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
func (f *frontend) giveUp(req *request) int64 { return f.loop.clock.at(time.Now().Add(req.wait)) }

// full is the answer to a request for which there is no room.
func full(req *request) answer {
	return answer{status: http.StatusServiceUnavailable, after: req.Settings.MaxRetryAfter}
}

// ServeHTTP answers health checks and takes requests.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Until a body is read for what it is: net/http may read what is left of it before it answers.
	began := time.Now()
	if c, ok := r.Context().Value(connKey{}).(*framedConn); ok {
		began = time.Unix(0, c.began.Load())
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(began.Add(requestPatience))
	_ = rc.SetWriteDeadline(time.Time{}) // the last answer's would keep a 100 Continue back
	if len(r.TransferEncoding) > 0 {     // see framedConn
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/_health" {
		f.health(w)
		return
	}
	v := f.read()
	defer f.done(v)
	req, bad := v.parse(w, r)
	if bad.status != 0 {
		f.reply(w, bad)
		return
	}
	req.client = r.Context()
	req.peer, _ = r.Context().Value(connKey{}).(net.Conn)
	body := f.newUpload(w, r, began)
	defer f.endUpload(body)
	own, bad := f.receive(w, r, req, body)
	if bad.status != 0 {
		f.reply(w, bad)
		return
	}
	defer own.end(0) // however else this returns
	fc, _ := req.peer.(*framedConn)
	if fc != nil {
		fc.owe(req.ID)
	}
	ans := f.await(req)
	if fc != nil && ans.status == 0 && req.left() {
		fc.paid() // nobody waits for it
	}
	if ans.status == 0 {
		f.loop.audit.count("closes.client.no_answer")
		panic(http.ErrAbortHandler) // a return would answer 200
	}
	if ans.stream != nil {
		f.streams.Add(1)
		defer f.streams.Add(-1)
	}
	if fc != nil {
		fc.paid() // net/http closes where a write fails, since the client has gone; what has begun and breaks off shows
	}
	f.reply(w, ans)
	if ans.stream != nil {
		ans.stream.passOn(w, r)
	}
	own.end(ans.status)
}

// await returns a request's answer, with no status if its client has gone or the loop has ended.
func (f *frontend) await(req *request) (ans answer) {
	l := f.loop
	select {
	case ans = <-req.answer:
	case <-req.client.Done():
		select {
		case ans = <-req.answer: // one that came before all of the body cut that off, which ends the context, too
		default: // the client has gone
			l.post(func() { l.gone(req) })
		}
	case <-l.done:
	}
	return ans
}

// health answers a check. Its connection is closed each time: kept ones, of however many checkers, would take
// the slots that clients need.
func (f *frontend) health(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if f.healthy() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// healthy tells whether there is a list to serve by and more clients may come.
func (f *frontend) healthy() bool {
	select {
	case <-f.loop.listed:
		return !f.waits.Load() && !f.draining.Load()
	default:
		return false
	}
}

func (f *frontend) reply(w http.ResponseWriter, ans answer) {
	h := w.Header()
	if f.closing.Load() || f.short(f.open()) { // a closed connection makes room for another
		h.Set("Connection", "close")
	}
	if ans.content != "" {
		h.Set("Content-Type", ans.content)
	} else {
		h["Content-Type"] = nil // not to be guessed
	}
	switch {
	case ans.stream == nil:
		h.Set("Content-Length", strconv.Itoa(len(ans.body)))
	case ans.stream.length >= 0:
		h.Set("Content-Length", strconv.FormatInt(ans.stream.length, 10))
	}
	if ans.status == http.StatusServiceUnavailable && ans.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(ans.after)/1e6, 'f', 3, 64))
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(streamPatience))
	w.WriteHeader(ans.status)
	_, _ = w.Write(ans.body) // a client that has gone is no fault
}
