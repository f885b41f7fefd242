package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fernlanding/internal/discovery"
	"fernlanding/internal/keepalive"
	"fernlanding/logic"
)

// answerHead bounds what a backend's answer may hold before its body.
const answerHead = 16 << 10

// backends holds the connections to all backends of the list. It stands in for http.Transport, which by
// itself sends a GET or a keyed request again when a kept connection turns out to be dead: an attempt that
// the module would not know of.
type backends struct {
	dialer  func(ctx context.Context, network, addr string) (net.Conn, error)
	idleFor time.Duration // connections idle for longer are closed, well before the backend does it
	most    int           // open connections, those being opened included
	whole   atomic.Int64  // answers up to this many bytes are taken whole before they are passed on

	mu     sync.Mutex
	byName map[string]*backend
	banned map[string]bool
	open   int
	trust  keepalive.Trust

	figs *figures

	log    *slog.Logger // of broken answers; nil for none
	said   time.Time    // when the last was logged
	unsaid int          // since then
}

const brokenQuiet = time.Second // between two lines about broken answers

// staleWithin is how soon a request on a kept connection that was closed breaks.
const staleWithin = 100 * time.Millisecond

// backend is one backend as the list now has it.
type backend struct {
	name    string
	addr    string
	started int64
	serving bool    // by the list
	ready   bool    // serving and not banned
	epoch   int     // goes up when what is told of it changes: drained, gone, restarted, moved, banned or not
	idle    []*conn // the most recently used last
}

// conn is a connection to a backend; it carries one request at a time.
type conn struct {
	net.Conn
	r     *bufio.Reader
	body  *bufio.Reader // of a head that was looked at, and then r
	came  bool          // a byte of the present answer has
	of    *backend
	epoch int // of the backend when it was opened
	since time.Time
	idle  time.Duration // before its present request; 0 for its first
}

// counted reads from the connection and notes that something came.
func (c *conn) counted() io.Reader { return readFunc(c.readOn) }

func (c *conn) readOn(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.came = c.came || n > 0
	return n, err
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

func newBackends(dialTimeout, idleClose time.Duration, most int, figs *figures) *backends {
	p := &backends{most: most, figs: figs, byName: map[string]*backend{}}
	p.whole.Store(wholeMost)
	p.retime(dialTimeout, idleClose)
	return p
}

// retime sets how long a connection may take to come up, and stand idle before the backend closes it.
func (p *backends) retime(dialTimeout, idleClose time.Duration) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer, p.idleFor = d.DialContext, idleClose*3/4
}

// apply takes a list or its changes. Connections that stand idle to a backend which has restarted, moved,
// drained or gone are closed: nothing new is to go there, or the process at their other end is no more.
func (p *backends) apply(full bool, entries []discovery.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, listed := time.Now(), make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Name] = true
		b := p.byName[e.Name]
		if b == nil {
			b = &backend{name: e.Name}
			p.byName[e.Name] = b
		}
		if b.started != e.SinceMs {
			p.trust.Died(now, e.Name)
		}
		if ready := e.Status == discovery.Serving && !p.banned[e.Name]; b.addr != e.Address || b.started != e.SinceMs || b.ready != ready {
			b.addr, b.started, b.ready = e.Address, e.SinceMs, ready
			p.turn(b)
		}
		b.serving = e.Status == discovery.Serving
		if e.Status == discovery.Deleted {
			p.trust.Died(now, e.Name)
			delete(p.byName, e.Name)
		}
	}
	for name, b := range p.byName {
		if full && !listed[name] {
			b.serving, b.ready = false, false
			p.trust.Died(now, name)
			p.turn(b)
			delete(p.byName, name)
		}
	}
}

// ban has these backends and no others banned: nothing new goes to them, and idle connections there are closed.
func (p *backends) ban(ids map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.banned = ids
	for name, b := range p.byName {
		if ready := b.serving && !ids[name]; ready != b.ready {
			b.ready = ready
			p.turn(b)
		}
	}
}

// turn begins a new epoch of a backend.
func (p *backends) turn(b *backend) {
	b.epoch++
	for _, c := range b.idle {
		p.closeLocked(c)
	}
	b.idle = nil
}

// find returns a listed backend that takes new requests, with its address and epoch.
func (p *backends) find(name string) (b *backend, addr string, epoch int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b = p.byName[name]; b == nil || !b.ready {
		return nil, "", 0, false
	}
	return b, b.addr, b.epoch, true
}

// current tells whether the list says of b what it said in that epoch.
func (p *backends) current(b *backend, epoch int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.epoch == epoch
}

// reuse takes the most recently used idle connection that can be trusted and its peer has not closed.
func (p *backends) reuse(b *backend, epoch int, unsafe bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	span := p.trust.Span(now, p.idleFor, unsafe)
	for b.epoch == epoch && len(b.idle) > 0 {
		c := b.idle[len(b.idle)-1]
		b.idle = b.idle[:len(b.idle)-1]
		if c.idle = now.Sub(c.since); c.idle < span && quiet(c.Conn) {
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

var errNoSockets = errors.New("no socket left")

// dial opens a connection within the dial time-out and the context's time.
func (p *backends) dial(ctx context.Context, b *backend, addr string, epoch int) (*conn, error) {
	if !p.reserve() {
		return nil, errNoSockets
	}
	p.mu.Lock()
	dialer := p.dialer
	p.mu.Unlock()
	nc, err := dialer(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.trust.Died(time.Now(), b.name)
		}
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("dial %s: %w", b.name, err)
	}
	c := &conn{Conn: nc, of: b, epoch: epoch}
	c.r = bufio.NewReaderSize(c.counted(), 4<<10)
	c.body = bufio.NewReaderSize(nil, 1<<10)
	return c, nil
}

// limit sets how many connections may be open, and how many bytes of answers these may hold together. Beyond the
// first, idle ones are closed.
func (p *backends) limit(most, hold int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
	p.whole.Store(int64(min(wholeMost, max(wholeLeast, hold/most))))
	for p.open > p.most && p.shedLocked() {
	}
}

// shedLocked closes the connection that has been idle the longest, if there is one.
func (p *backends) shedLocked() bool {
	var oldest *backend
	for _, b := range p.byName {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].since.Before(oldest.idle[0].since)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	p.closeLocked(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

// reserve counts a connection in. At the limit the one that has been idle longest makes room.
func (p *backends) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.most && !p.shedLocked() {
		return false
	}
	p.open++
	return true
}

// keep puts a connection back for reuse, unless its backend has changed since it was opened.
func (p *backends) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.of.epoch != c.epoch || !c.of.ready {
		p.closeLocked(c)
		return
	}
	c.since = time.Now()
	c.of.idle = append(c.of.idle, c)
}

// stale notes that a kept connection broke before a byte of an answer came.
func (p *backends) stale(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trust.Broke(time.Now(), c.of.name, c.idle, p.idleFor)
}

// broken tells the log, now and then, of an answer that could not be read.
func (p *backends) broken(b *backend, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsaid++
	if p.log == nil || time.Since(p.said) < brokenQuiet {
		return
	}
	p.log.Warn("broken answer", "server", b.name, "error", err, "since_last_line", p.unsaid)
	p.said, p.unsaid = time.Now(), 0
}

// drop closes a connection.
func (p *backends) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *backends) closeLocked(c *conn) {
	c.Close()
	p.open--
}

// sweep closes the idle connections whose time is up or whose peer has closed them.
func (p *backends) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.byName {
		kept := b.idle[:0]
		for _, c := range b.idle {
			if now.Sub(c.since) < p.idleFor && quiet(c.Conn) {
				kept = append(kept, c)
			} else {
				p.closeLocked(c)
			}
		}
		clear(b.idle[len(kept):])
		b.idle = kept
	}
}

// quiet tells whether a connection is open with nothing to read: an idle peer that has closed it, or sends
// what nobody asked for, shows here without a wait.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	// Control, not Read: Read waits for any other reader, and the server always has one on an idle client.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}

// attempt is one Send of the module on its way.
type attempt struct {
	req      *request
	number   int
	sent     int64 // when the module decided
	deadline time.Time
	pool     *backends
	backend  *backend
	addr     string
	epoch    int
	ctx      context.Context // its end stops the attempt
	stop     context.CancelFunc

	whole chan time.Time // of a request whose body is still coming: the deadline, once that is known

	// stream hands an answer that is passed on as it comes to the client's side, and returns whether there is one.
	stream func(answer) bool
}

// result is how an attempt ended.
type result struct {
	status  logic.Status
	body    []byte // of a backend's 200
	content string // and its Content-Type
}

// run carries the attempt out; it returns exactly one result, when nothing of the attempt is left.
func (a *attempt) run() result {
	c := a.pool.reuse(a.backend, a.epoch, a.req.unsafe)
	if c == nil {
		var err error
		if c, err = a.dial(); err != nil {
			if a.ctx.Err() != nil {
				return result{status: logic.Moot} // stopped before anything was sent
			}
			return result{status: logic.ConnectFailed}
		}
	}
	// A dial takes time. What has ended, drained or gone meanwhile gets nothing new.
	if a.ctx.Err() != nil || a.late() || !a.pool.current(a.backend, a.epoch) {
		a.pool.keep(c)
		return result{status: logic.Moot}
	}
	res, keep := a.exchange(c)
	if keep {
		a.pool.keep(c)
	} else {
		a.pool.drop(c)
	}
	return res
}

func (a *attempt) late() bool { return !time.Now().Before(a.deadline) }

func (a *attempt) dial() (*conn, error) {
	ctx, cancel := context.WithDeadline(a.ctx, a.deadline)
	defer cancel()
	return a.pool.dial(ctx, a.backend, a.addr, a.epoch)
}

// exchange writes the request and reads the answer; keep tells whether the connection can serve again.
func (a *attempt) exchange(c *conn) (res result, keep bool) {
	// Stopping the attempt ends its reads and writes; the connection is then closed, never used again.
	unhook := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !unhook() {
			keep = false
		}
	}()
	_ = c.SetDeadline(a.deadline)
	if a.ctx.Err() != nil { // stopped while the deadline was set
		return result{status: logic.Moot}, false
	}
	if a.whole != nil {
		if status, ok := a.passOnBody(c); !ok {
			return result{status: status}, false
		}
	} else {
		head, err := a.encode()
		if err != nil {
			return result{status: logic.Moot}, true
		}
		if _, err := c.Write(head); err != nil {
			// The last byte was not written, so the backend cannot have begun.
			return result{status: logic.ConnectFailed}, false
		}
	}
	wrote := time.Now()
	a.pool.figs.forward()
	c.came = false
	res, keep, err := a.read(c)
	switch {
	case err == nil:
		return res, keep
	case a.late():
		return result{status: logic.TimedOut}, false
	case a.ctx.Err() != nil:
		return result{status: logic.Cancelled}, false
	}
	a.pool.broken(a.backend, err)
	if !c.came && time.Since(wrote) < staleWithin {
		a.pool.stale(c)
	}
	return result{status: logic.Reset}, false
}

// encode writes the whole request into one buffer, so that one write tells whether its last byte went out.
func (a *attempt) encode() ([]byte, error) {
	out := a.outgoing(time.Until(a.deadline))
	if body := a.req.body; len(body) > 0 {
		out.ContentLength, out.Body = int64(len(body)), io.NopCloser(bytes.NewReader(body))
	}
	var buf bytes.Buffer
	if err := out.Write(&buf); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return buf.Bytes(), nil
}

// response reads an answer's head. One whose body two readers could see end in two places is no answer:
// net/http would settle that unseen, and the rest of it would be taken for the next answer.
func (c *conn) response(method string) (*http.Response, error) {
	var head []byte
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		line, err := c.r.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case errors.Is(err, io.EOF) && len(head) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(head) > answerHead:
			return nil, errors.New("head too long")
		case err == nil && !bytes.HasSuffix(line, []byte("\r\n")):
			return nil, errFraming
		}
	}
	if _, _, err := framing(head); err != nil {
		return nil, err
	}
	c.body.Reset(io.MultiReader(bytes.NewReader(head), c.r))
	return http.ReadResponse(c.body, &http.Request{Method: method})
}

// read takes the answer. A small one is taken whole: one that breaks off has not been given. A larger one is
// passed on as it comes, and so is one of untold length that is not here soon.
func (a *attempt) read(c *conn) (res result, keep bool, err error) {
	resp, err := c.response(a.req.method)
	for err == nil && resp.StatusCode < 200 {
		resp, err = c.response(a.req.method)
	}
	if err != nil {
		return res, false, fmt.Errorf("read answer: %w", err)
	}
	defer resp.Body.Close()
	clean := func() bool { return !resp.Close && c.body.Buffered() == 0 && c.r.Buffered() == 0 }
	if resp.StatusCode != http.StatusOK {
		return a.declined(resp, clean)
	}
	content := resp.Header.Get("Content-Type")
	switch n := resp.ContentLength; {
	case n > a.pool.whole.Load():
		return a.passOn(resp.Body, n, content, c, clean)
	case n >= 0:
		body := make([]byte, n)
		if _, err = io.ReadFull(resp.Body, body); err != nil {
			return res, false, fmt.Errorf("read body: %w", err)
		}
		return result{status: logic.OK, body: body, content: content}, clean(), nil
	}
	ahead := newPrefetch(patientReader{resp.Body, c, a.ctx}, int(a.pool.whole.Load()))
	defer ahead.close()
	soon := time.NewTimer(min(wholeWait, time.Until(a.deadline)))
	defer soon.Stop()
	select {
	case <-ahead.full:
	case <-soon.C:
	case <-a.ctx.Done():
	}
	body, err, ok := ahead.whole()
	switch {
	case !ok && a.ctx.Err() == nil:
		return a.passOn(ahead, -1, content, c, clean)
	case !ok:
		return res, false, context.Cause(a.ctx)
	case err != nil:
		return res, false, fmt.Errorf("read body: %w", err)
	}
	return result{status: logic.OK, body: body, content: content}, clean(), nil
}

// declined takes an answer that serves nobody: only its status counts.
func (a *attempt) declined(resp *http.Response, clean func() bool) (result, bool, error) {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, wholeMost+1))
	if err != nil {
		return result{}, false, fmt.Errorf("read body: %w", err)
	}
	keep := n <= wholeMost && clean()
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("Not-Started") == "1" {
			return result{status: logic.FullUp}, keep, nil
		}
	}
	return result{status: logic.Error}, keep, nil // it may have run
}

// passOn has the client's side read the answer, and waits until it has.
func (a *attempt) passOn(body io.Reader, length int64, content string, c *conn, clean func() bool) (result, bool, error) {
	if length >= 0 {
		body = patientReader{body, c, a.ctx}
	}
	d := &download{length: length, body: body, ended: make(chan error, 1), stop: a.stop}
	if !a.stream(answer{status: http.StatusOK, content: content, stream: d}) {
		return result{status: logic.Cancelled}, false, nil
	}
	select {
	case err := <-d.ended:
		switch {
		case err == nil:
			return result{status: logic.OK}, clean(), nil
		case errors.Is(err, errClientGone):
			return result{status: logic.Cancelled}, false, nil
		}
		a.pool.broken(a.backend, err)
		return result{status: logic.Reset}, false, nil
	case <-a.ctx.Done():
		return result{status: logic.Cancelled}, false, nil
	}
}
