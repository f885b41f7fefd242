package proxy

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fernlanding/internal/settings"
	"fernlanding/logic"
)

const (
	maxHead      = 16 << 10        // of a request, before its body
	idlePatience = 2 * time.Minute // for the next request on a connection

	// The head of a request is to be here so long after its first byte, and on a new connection after the
	// connect: a peer that sends nothing, or too little, is owed a close within 3 s. For its body see upload.
	requestPatience = 2500 * time.Millisecond

	// When connections run short, one without a whole request on it makes room: a kept one after idleLeast,
	// which is how long clients may count on it, one whose request is not whole once nothing has come for
	// stallLeast, or in its body for pauseLeast (a slow one may come in pieces some hundred milliseconds apart),
	// and a new one that has sent nothing after muteLeast: it has waited to be accepted, too.
	idleLeast  = 2 * time.Second
	stallLeast = 250 * time.Millisecond
	pauseLeast = 750 * time.Millisecond
	muteLeast  = 50 * time.Millisecond
	shedEvery  = 20 * time.Millisecond
	shortPart  = 0.75        // of the clients' part: connections run short beyond it
	shortQuiet = time.Second // between two lines in the log about that

	// The answer to a request is to leave this long before its client gives up, so that a busy core does
	// not make it late, but a request with little time keeps most of it.
	answerMargin = 30 * time.Millisecond
	marginPart   = 8

	leaveIdle  = 100 * time.Millisecond // see drain
	leaveSoon  = 500 * time.Millisecond
	streamMost = time.Minute

	overCap = 32 // connections beyond the clients' part, to refuse on, at most
)

// frontend takes requests from clients and hands them to the loop.
type frontend struct {
	loop     *loop
	server   *http.Server
	listener *cappedListener
	holds    *holds
	log      *slog.Logger
	most     atomic.Int64 // connections of clients, and some more to refuse on
	flight   atomic.Int64 // requests in flight, each of which may need a connection to a backend; more are refused
	serving  atomic.Bool  // connections are accepted
	draining atomic.Bool  // SIGTERM has come: health checks hear it
	closing  atomic.Bool  // and clients are to leave
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

// view is what the settings in force tell of requests. It does not change: others take its place, and each request
// keeps the one that it was read by.
type view struct {
	rules   *logic.Settings // with classes by the module's numbers
	classes map[string]int  // those numbers
	tenants map[string]int
	readers int // requests that it is read by; guarded by the frontend's mu
}

func newView(site *settings.Site, rules *logic.Settings, numbers []int) *view {
	v := &view{rules: rules, classes: map[string]int{}, tenants: map[string]int{}}
	for i, name := range site.Classes {
		v.classes[name] = numbers[i]
	}
	for i, name := range site.Tenants {
		v.tenants[name] = i
	}
	return v
}

// read takes the view in force, for one request; done gives it back.
func (f *frontend) read() *view {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.readers++
	return f.view
}

func (f *frontend) done(v *view) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v.readers--
}

// classes are those in force.
func (f *frontend) classes() []logic.Class {
	v := f.read()
	defer f.done(v)
	var all []logic.Class
	for _, n := range v.classes {
		all = append(all, v.rules.Classes[n])
	}
	return all
}

// held tells which of the module's class numbers requests may still have that were read by former views.
func (f *frontend) held() map[int]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views = slices.DeleteFunc(f.views, func(v *view) bool { return v != f.view && v.readers == 0 })
	held := map[int]bool{}
	for _, v := range f.views {
		for _, n := range v.classes {
			held[n] = true
		}
	}
	return held
}

// turn puts a view in force.
func (f *frontend) turn(v *view) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
	f.views = append(f.views, v)
}

type connState struct {
	state http.ConnState
	since time.Time
	whole bool // the request on it has come in
}

// connKey finds a request's connection in its context.
type connKey struct{}

func newFrontend(site *settings.Site, l *loop, listener net.Listener, log *slog.Logger) *frontend {
	f := &frontend{loop: l, log: log, holds: &holds{}, conns: map[net.Conn]connState{},
		uploads: map[*upload]bool{}}
	first := make([]int, len(site.Classes))
	for i := range first {
		first[i] = i
	}
	f.turn(newView(site, l.rules(site), first))
	f.listener = newCappedListener(listener, f.shed)
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: requestPatience, IdleTimeout: idlePatience, MaxHeaderBytes: maxHead,
		ConnState: f.connState, ErrorLog: quietLog(log),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return f
}

// quietLog sends net/http's remarks on broken clients to the debug level.
func quietLog(l *slog.Logger) *log.Logger { return slog.NewLogLogger(l.Handler(), slog.LevelDebug) }

// cappedListener accepts no more connections than there are slots; those beyond wait in the kernel, and
// shed is called for as long as they must.
type cappedListener struct {
	net.Listener
	shed   func()
	freed  chan struct{} // holds a value after a slot came free
	closed chan struct{}
	once   sync.Once

	mu         sync.Mutex
	used, most int
}

func newCappedListener(l net.Listener, shed func()) *cappedListener {
	return &cappedListener{Listener: l, shed: shed, freed: make(chan struct{}, 1), closed: make(chan struct{})}
}

// Accept takes a slot, which the connection gives back when the server reports it closed.
func (l *cappedListener) Accept() (net.Conn, error) {
	if !l.slot() {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.free()
		return nil, err
	}
	return newFramedConn(c), nil
}

// slot waits for a slot; false if the listener was closed first.
func (l *cappedListener) slot() bool {
	if l.take() {
		return true
	}
	again := time.NewTicker(shedEvery)
	defer again.Stop()
	for {
		l.shed()
		select {
		case <-l.freed:
		case <-l.closed:
			return false
		case <-again.C:
		}
		if l.take() {
			return true
		}
	}
}

func (l *cappedListener) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used >= l.most {
		return false
	}
	l.used++
	return true
}

func (l *cappedListener) free() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// limit sets how many slots there are. Connections that are open stay.
func (l *cappedListener) limit(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = most
}

func (l *cappedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// serve accepts connections until the listener is closed.
func (f *frontend) serve() error {
	f.serving.Store(true)
	defer f.serving.Store(false)
	if err := f.server.Serve(f.listener); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func (f *frontend) connState(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		if _, ok := f.conns[c]; ok {
			delete(f.conns, c)
			f.listener.free()
		}
		return
	}
	if fc, ok := c.(*framedConn); ok && s == http.StateIdle {
		fc.answered()
	}
	f.conns[c] = connState{state: s, since: time.Now()}
	if s == http.StateNew && f.short(len(f.conns)) {
		f.shedLocked()
	}
}

// short tells whether so many connections leave too little room for others.
func (f *frontend) short(open int) bool { return float64(open) > shortPart*float64(f.most.Load()) }

// limit sets how many connections of clients are served, with how many requests in flight, and how many
// connections beyond these are taken to be refused.
func (f *frontend) limit(most, flight, over int) {
	f.most.Store(int64(most))
	f.flight.Store(int64(flight))
	f.listener.limit(most + over)
}

// cameWhole counts a request in that has come whole: it is owed its answer, and its connection is none to spare.
// A further read is only there to notice a client that goes.
func (f *frontend) cameWhole(w http.ResponseWriter, r *http.Request, req *request) *taken {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	f.mu.Lock()
	defer f.mu.Unlock()
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	if s, ok := f.conns[c]; ok {
		s.whole = true
		f.conns[c] = s
	}
	return f.loop.figs.take(req.class)
}

// giveUp is when the client of a request that has now come whole gives up.
func (f *frontend) giveUp(req *request) int64 { return f.loop.clock.at(time.Now().Add(req.wait)) }

// full is the answer to a request for which there is no room.
func full(req *request) answer {
	return answer{status: http.StatusServiceUnavailable, after: req.Under.MaxRetryAfter}
}

// shed closes the connection that can be spared best, if there is one.
func (f *frontend) shed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shedLocked()
}

// shedLocked picks by how long a connection has been silent, not by its age: a slow client that keeps sending is
// owed its answer, one that has stopped is not.
func (f *frontend) shedLocked() {
	var victim net.Conn
	var over time.Duration
	for c, s := range f.conns {
		if d := s.spare(c); d > over && (s.state != http.StateIdle || quiet(c)) {
			victim, over = c, d
		}
	}
	if victim != nil {
		victim.Close() // the server's read ends and reports it closed
		f.shedded++
		f.sayShort()
	}
}

// spare tells for how long a connection could have been closed to make room; not at all if that is not positive.
func (s connState) spare(c net.Conn) time.Duration {
	fc, ok := c.(*framedConn)
	switch {
	case s.whole || !ok:
		return 0
	case fc.asked.Load() && s.state == http.StateActive:
		return fc.silent() - pauseLeast
	case fc.asked.Load():
		return fc.silent() - stallLeast
	case s.state == http.StateIdle:
		return time.Since(s.since) - idleLeast
	}
	return fc.silent() - muteLeast
}

// sayShort tells the log what holds the connections, now and then while they are short.
func (f *frontend) sayShort() {
	if time.Since(f.said) < shortQuiet {
		return
	}
	whole, idle := 0, 0
	for _, s := range f.conns {
		if s.whole {
			whole++
		} else if s.state == http.StateIdle {
			idle++
		}
	}
	f.log.Warn("client connections run short", "open", len(f.conns), "in_flight", whole, "idle", idle,
		"incomplete", len(f.conns)-whole-idle, "shed", f.shedded, "refused", f.refused)
	f.said, f.shedded, f.refused = time.Now(), 0, 0
}

// over tells whether more requests are in flight than there may be, and counts the refusal that follows.
// Connections without a whole request are no reason to refuse one: they give way.
func (f *frontend) over() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if int64(f.inFlight()) <= f.flight.Load() {
		return false
	}
	f.refused++
	f.sayShort()
	return true
}

// inFlight counts the connections whose request has come whole and has no answer yet.
func (f *frontend) inFlight() (n int) {
	for _, s := range f.conns {
		if s.whole {
			n++
		}
	}
	return n
}

func (f *frontend) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// closeIdle closes the connections that have carried no request for some time, and returns how many others there
// are. One on which a request has just come in is left alone: closing it would lose that request.
func (f *frontend) closeIdle(idleFor, newFor time.Duration) (busy int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, s := range f.conns {
		d := time.Since(s.since)
		fc, ok := c.(*framedConn)
		idle := s.state == http.StateIdle && d >= idleFor || s.state == http.StateNew && d > newFor
		if idle && !(ok && fc.asked.Load()) && quiet(c) {
			c.Close()
		} else {
			busy++
		}
	}
	return busy
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
	body := f.newUpload(w, r, began)
	defer f.endUpload(body)
	own, bad := f.receive(w, r, req, body)
	if bad.status != 0 {
		f.reply(w, bad)
		return
	}
	defer own.end(0) // however else this returns
	l := f.loop
	select {
	case ans := <-req.answer:
		if ans.stream != nil {
			f.streams.Add(1)
			defer f.streams.Add(-1)
		}
		if f.reply(w, ans); ans.stream != nil {
			ans.stream.passOn(w, r)
		}
		own.end(ans.status)
	case <-r.Context().Done(): // the client has gone
		l.post(func() { l.gone(req) })
		panic(http.ErrAbortHandler) // a return would answer 200
	case <-l.done:
		panic(http.ErrAbortHandler)
	}
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
		return !f.draining.Load()
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

// fault is the answer to a request that makes no sense.
func fault(status int, why string) answer {
	return answer{status: status, body: []byte(why + "\n"), content: "text/plain"}
}

// parse reads a request's head. With an answer returned it makes no sense; nothing of it goes on.
func (v *view) parse(w http.ResponseWriter, r *http.Request) (*request, answer) {
	bad := func(status int, why string) (*request, answer) { return nil, fault(status, why) }
	for _, name := range []string{"Request-Id", "Request-Class", "Request-Timeout-Ms", "Idempotency-Key", "Tenant"} {
		if len(r.Header[name]) > 1 {
			return bad(http.StatusBadRequest, name+" is given twice")
		}
	}
	name := r.Header.Get("Request-Class")
	class, ok := v.classes[name]
	if !ok {
		return bad(http.StatusBadRequest, "unknown Request-Class")
	}
	part, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if part != name || !strings.HasPrefix(r.RequestURI, "/") {
		return bad(http.StatusBadRequest, "the path does not begin with the class")
	}
	id := r.Header.Get("Request-Id")
	if id == "" {
		return bad(http.StatusBadRequest, "no Request-Id")
	}
	k, method := v.rules.Classes[class], http.MethodPost
	if k.Repeat == logic.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return bad(http.StatusMethodNotAllowed, "wrong method for the class")
	}
	if keyed := r.Header.Get("Idempotency-Key") != ""; keyed != (k.Repeat == logic.Keyed) {
		return bad(http.StatusBadRequest, "Idempotency-Key does not fit the class")
	}
	// Without a time-out that makes sense the client is taken to wait as long as its class does.
	wait := time.Duration(k.Deadline) * time.Microsecond
	if ms, err := strconv.ParseInt(r.Header.Get("Request-Timeout-Ms"), 10, 64); err == nil && ms > 0 {
		wait = min(wait, time.Duration(min(ms, 1e9))*time.Millisecond)
	}
	tenant, ok := v.tenants[r.Header.Get("Tenant")]
	if !ok {
		tenant = -1 // not told
	}
	wait -= min(answerMargin, wait/marginPart)
	return &request{
		Request: logic.Request{ID: id, Class: class, Tenant: tenant, Key: rest[strings.LastIndexByte(rest, '/')+1:],
			Under: v.rules},
		class:  name,
		method: method, uri: r.RequestURI, host: r.Host, header: passOn(r.Header), wait: wait,
		unsafe: k.Repeat == logic.Unsafe,
		answer: make(chan answer, 1),
	}, answer{}
}

// passOn takes the headers that concern one connection out, and leaves net/http to frame the body.
func passOn(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"} {
		delete(h, name)
	}
	if h["User-Agent"] == nil {
		h["User-Agent"] = []string{""} // none of ours in its place
	}
	return h
}

// drain closes the doors after SIGTERM. Clients still come for a while, and those that keep a connection may
// have nowhere else to go while the next proxy starts: all are served on for stay. Then the listener closes,
// and connections as they fall idle, until none is left or the cutoff has come.
//
// Where a successor serves, new connections are its own at once. Kept ones are told to close by their next answer;
// those that do not ask for leaveIdle are closed, and soon all that are idle: a request that comes late is one that
// this process may not live to answer.
func (f *frontend) drain(stay time.Duration, cutoff time.Time, succeeded func() bool) {
	start := time.Now()
	f.draining.Store(true)
	f.log.Info("draining", "open", f.open())
	for time.Since(start) < stay && !succeeded() {
		time.Sleep(drainStep)
	}
	idleFor := time.Duration(0)
	if time.Since(start) < stay {
		f.log.Info("leaving to the successor", "open", f.open())
		idleFor = leaveIdle
	}
	f.closing.Store(true)
	f.listener.Close()
	for f.closeIdle(idleFor, acceptAfter) > 0 && time.Now().Before(cutoff) {
		time.Sleep(drainStep)
		if time.Since(start) > leaveSoon {
			idleFor = 0
		}
		if time.Until(cutoff) < killMargin {
			f.turnAway()
		}
	}
	// A long answer that a backend is still giving is owed to its client: it goes on until it ends or this process is
	// killed, which is better than to cut it off by ourselves.
	for f.streams.Load() > 0 && time.Since(start) < streamMost {
		time.Sleep(drainStep)
		f.closeIdle(0, 0)
	}
	f.log.Info("drained", "after", time.Since(start), "left", f.open())
	ctx, cancel := context.WithTimeout(context.Background(), drainStep)
	defer cancel()
	_ = f.server.Shutdown(ctx)
	_ = f.server.Close()
}
