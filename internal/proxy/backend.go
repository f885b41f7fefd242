package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/idletimeout"
)

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
	lists  int // that have come
	banned map[string]bool
	outs   map[string]bool // zones that get nothing
	open   int
	trust  idletimeout.Tracker
	rest   time.Duration // a connection is not used again sooner: see keepalive.Rest

	figs  *figures
	audit *audit
	grace time.Duration // in which sends to a backend have to stop that drains or is gone

	log    *slog.Logger // of broken answers; nil for none
	said   time.Time    // when the last was logged
	unsaid int          // since then
}

const brokenQuiet = time.Second // between two lines about broken answers

// backend is one backend as the list now has it.
type backend struct {
	name    string
	addr    string
	zone    string
	cell    int
	closed  time.Time // when it was last closed to new requests; zero while it is ready
	started int64
	listed  int                          // by the latest list that named it, counted from 1
	serving bool                         // by the list
	ready   bool                         // serving, and neither banned nor in a zone that is drained
	epoch   int                          // goes up when what is told of it changes: drained, gone, restarted, moved, banned or not
	idle    []*conn                      // the most recently used last
	dials   map[*context.CancelFunc]bool // under way in this epoch
}

func newBackends(dialTimeout, idleClose time.Duration, most int, figs *figures) *backends {
	p := &backends{most: most, figs: figs, grace: defaultGrace, rest: idletimeout.ReuseDelay, byName: map[string]*backend{}}
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
	now := time.Now()
	p.lists++
	for _, e := range entries {
		b := p.byName[e.Name]
		if b == nil {
			b = &backend{name: e.Name}
			p.byName[e.Name] = b
		}
		b.listed = p.lists
		if b.started != e.StartedAtMs {
			p.trust.RecordBackendExit(now, e.Name)
		}
		ready := e.Status == discovery.StatusServing && !p.banned[e.Name] && !p.outs[e.Zone]
		if b.addr != e.Address || b.started != e.StartedAtMs || b.ready != ready {
			b.addr, b.started, b.ready = e.Address, e.StartedAtMs, ready
			p.turn(b)
		}
		b.zone, b.cell, b.serving = e.Zone, e.Cell, e.Status == discovery.StatusServing
		if e.Status == discovery.StatusDeleted {
			p.trust.RecordBackendExit(now, e.Name)
			delete(p.byName, e.Name)
		}
	}
	if !full {
		return
	}
	for name, b := range p.byName {
		if b.listed != p.lists {
			b.serving, b.ready = false, false
			p.trust.RecordBackendExit(now, name)
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
	p.sift()
}

// turn begins a new epoch of a backend. Connections that are still to come up are given up: nothing would be sent on them,
// and the requests that wait for them can go elsewhere.
func (p *backends) turn(b *backend) {
	b.epoch++
	switch {
	case b.ready:
		b.closed = time.Time{}
	case b.closed.IsZero():
		b.closed = time.Now()
	}
	for range b.idle {
		p.audit.count("closes.server.list")
	}
	for stop := range b.dials {
		(*stop)()
	}
	for _, c := range b.idle {
		p.closeLocked(c)
	}
	b.idle = nil
}

// find gives an attempt a listed backend that takes new requests, as it is listed now; false if there is none.
func (p *backends) find(a *attempt, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.byName[name]
	if b == nil || !b.ready {
		return false
	}
	a.backend, a.addr, a.epoch, a.zone, a.cell = b, b.addr, b.epoch, b.zone, b.cell
	return true
}

// current tells whether the list says of b what it said in that epoch.
func (p *backends) current(b *backend, epoch int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.epoch == epoch
}

// reuse takes the most recently used idle connection that has rested, can be trusted and has nothing to read.
func (p *backends) reuse(b *backend, epoch int, unsafe bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.epoch != epoch {
		return nil
	}
	now := time.Now()
	span := p.trust.MaxIdle(now, p.idleFor, unsafe)
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if c.idle = now.Sub(c.since); c.idle < p.rest {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if c.idle < span && quiet(c.Conn) {
			return c
		}
		p.audit.count("closes.server.idle")
		p.closeLocked(c)
	}
	return nil
}

// await takes the connection whose rest ends first, where all that are idle rest, and waits for that: a new one costs the
// backend work and would take longer. It returns nil if none rests, or a byte came meanwhile.
func (p *backends) await(ctx context.Context, b *backend, epoch int) *conn {
	p.mu.Lock()
	if b.epoch != epoch || len(b.idle) == 0 {
		p.mu.Unlock()
		return nil
	}
	c := b.idle[0]
	b.idle = slices.Delete(b.idle, 0, 1)
	over := time.NewTimer(time.Until(c.since.Add(p.rest)))
	p.mu.Unlock()
	defer over.Stop()
	select {
	case <-over.C:
	case <-ctx.Done(): // nothing will be sent on it
		return c
	}
	if c.idle = time.Since(c.since); quiet(c.Conn) {
		return c
	}
	p.drop(c)
	return nil
}

var (
	errNoSockets = errors.New("no socket left")
	errTurned    = errors.New("the list says otherwise of it now")
)

// dial opens a connection within the dial time-out and the context's time, unless the backend's epoch ends before.
func (p *backends) dial(ctx context.Context, b *backend, addr string, epoch int) (*conn, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p.mu.Lock()
	switch {
	case b.epoch != epoch:
		p.mu.Unlock()
		return nil, fmt.Errorf("dial %s: %w", b.name, errTurned)
	case !p.reserveLocked():
		p.mu.Unlock()
		return nil, errNoSockets
	}
	if b.dials == nil {
		b.dials = map[*context.CancelFunc]bool{}
	}
	b.dials[&stop] = true
	dialer := p.dialer
	p.mu.Unlock()
	nc, err := dialer(ctx, "tcp", addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(b.dials, &stop)
	if err != nil {
		p.open--
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.trust.RecordBackendExit(time.Now(), b.name)
		}
		if b.epoch != epoch {
			err = errTurned
		}
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
	p.audit.count("closes.server.room")
	p.closeLocked(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

// reserveLocked counts a connection in. At the limit the one that has been idle longest makes room.
func (p *backends) reserveLocked() bool {
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
	p.trust.RecordBrokenReuse(time.Now(), c.of.name, c.idle, p.idleFor)
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

// abandon closes a connection whose request has no whole answer. What the system has not delivered of that request never
// is: after a plain close it would go on trying, and a server that was cut off or stood still would run it much later.
func (p *backends) abandon(c *conn) {
	p.audit.count("closes.server.no_answer")
	resetOnClose(c.Conn)
	p.drop(c)
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
				p.audit.count("closes.server.idle")
				p.closeLocked(c)
			}
		}
		clear(b.idle[len(kept):])
		b.idle = kept
	}
}
