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
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/socket"
)

// backends holds the connections to all backends of the list. It stands in for http.Transport, which by
// itself sends a GET or a keyed request again when a kept connection turns out to be dead: an attempt that
// the module would not know of.
type backendPool struct {
	dialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	idleTimeout time.Duration // connections idle for longer are closed, well before the backend does it
	maxOpen     int           // open connections, those being opened included
	maxBuffered atomic.Int64  // answers up to this many bytes are taken whole before they are passed on

	mu           sync.Mutex
	byName       map[string]*backend
	listCount    int // that have come
	suspended    map[string]bool
	drainedZones map[string]bool // zones that get nothing
	openConns    int
	idleTracker  idletimeout.Tracker
	reuseDelay   time.Duration // a connection is not used again sooner: see keepalive.Rest

	metrics    *metrics
	audit      *audit.Recorder
	drainGrace time.Duration // in which sends to a backend have to stop that drains or is gone

	logger     *slog.Logger // of broken answers; nil for none
	lastLogged time.Time    // when the last was logged
	unlogged   int          // since then
}

const brokenLogInterval = time.Second // between two lines about broken answers

// backend is one backend as the list now has it.
type backend struct {
	name             string
	address          string
	zone             string
	cell             int
	unavailableSince time.Time // when it was last closed to new requests; zero while it is ready
	startedMs        int64
	lastListed       int                          // by the latest list that named it, counted from 1
	serving          bool                         // by the list
	available        bool                         // serving, and neither banned nor in a zone that is drained
	generation       int                          // goes up when what is told of it changes: drained, gone, restarted, moved, banned or not
	idleConns        []*backendConn               // the most recently used last
	pendingDials     map[*context.CancelFunc]bool // under way in this epoch
}

func newBackendPool(dialTimeout, idleClose time.Duration, most int, figs *metrics) *backendPool {
	p := &backendPool{maxOpen: most, metrics: figs, drainGrace: defaultDrainGrace, reuseDelay: idletimeout.ReuseDelay, byName: map[string]*backend{}}
	p.maxBuffered.Store(maxBufferedResponse)
	p.setTimeouts(dialTimeout, idleClose)
	return p
}

// retime sets how long a connection may take to come up, and stand idle before the backend closes it.
func (p *backendPool) setTimeouts(dialTimeout, idleClose time.Duration) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialContext, p.idleTimeout = d.DialContext, idleClose*3/4
}

// apply takes a list or its changes. Connections that stand idle to a backend which has restarted, moved,
// drained or gone are closed: nothing new is to go there, or the process at their other end is no more.
func (p *backendPool) updateEndpoints(full bool, entries []discovery.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.listCount++
	for _, e := range entries {
		b := p.byName[e.Name]
		if b == nil {
			b = &backend{name: e.Name}
			p.byName[e.Name] = b
		}
		b.lastListed = p.listCount
		if b.startedMs != e.StartedAtMs {
			p.idleTracker.RecordBackendExit(now, e.Name)
		}
		ready := e.Status == discovery.StatusServing && !p.suspended[e.Name] && !p.drainedZones[e.Zone]
		if b.address != e.Address || b.startedMs != e.StartedAtMs || b.available != ready {
			b.address, b.startedMs, b.available = e.Address, e.StartedAtMs, ready
			p.advanceGenerationLocked(b)
		}
		b.zone, b.cell, b.serving = e.Zone, e.Cell, e.Status == discovery.StatusServing
		if e.Status == discovery.StatusDeleted {
			p.idleTracker.RecordBackendExit(now, e.Name)
			delete(p.byName, e.Name)
		}
	}
	if !full {
		return
	}
	for name, b := range p.byName {
		if b.lastListed != p.listCount {
			b.serving, b.available = false, false
			p.idleTracker.RecordBackendExit(now, name)
			p.advanceGenerationLocked(b)
			delete(p.byName, name)
		}
	}
}

// ban has these backends and no others banned: nothing new goes to them, and idle connections there are closed.
func (p *backendPool) setSuspended(ids map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspended = ids
	p.refilterLocked()
}

// turn begins a new epoch of a backend. Connections that are still to come up are given up: nothing would be sent on them,
// and the requests that wait for them can go elsewhere.
func (p *backendPool) advanceGenerationLocked(b *backend) {
	b.generation++
	switch {
	case b.available:
		b.unavailableSince = time.Time{}
	case b.unavailableSince.IsZero():
		b.unavailableSince = time.Now()
	}
	for range b.idleConns {
		p.audit.Count(audit.BackendConnList)
	}
	for stop := range b.pendingDials {
		(*stop)()
	}
	for _, c := range b.idleConns {
		p.closeLocked(c)
	}
	b.idleConns = nil
}

// find gives an attempt a listed backend that takes new requests, as it is listed now; false if there is none.
func (p *backendPool) assign(a *attempt, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.byName[name]
	if b == nil || !b.available {
		return false
	}
	a.backend, a.address, a.generation, a.zone, a.cell = b, b.address, b.generation, b.zone, b.cell
	return true
}

// current tells whether the list says of b what it said in that epoch.
func (p *backendPool) isCurrent(b *backend, epoch int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.generation == epoch
}

// reuse takes the most recently used idle connection that has rested, can be trusted and has nothing to read.
func (p *backendPool) takeIdle(b *backend, epoch int, unsafe bool) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.generation != epoch {
		return nil
	}
	now := time.Now()
	span := p.idleTracker.MaxIdle(now, p.idleTimeout, unsafe)
	for i := len(b.idleConns) - 1; i >= 0; i-- {
		c := b.idleConns[i]
		if c.idleFor = now.Sub(c.idleSince); c.idleFor < p.reuseDelay {
			continue
		}
		b.idleConns = slices.Delete(b.idleConns, i, i+1)
		if c.idleFor < span && socket.Quiet(c.Conn) {
			return c
		}
		p.audit.Count(audit.BackendConnIdle)
		p.closeLocked(c)
	}
	return nil
}

// await takes the connection whose rest ends first, where all that are idle rest, and waits for that: a new one costs the
// backend work and would take longer. It returns nil if none rests, or a byte came meanwhile.
func (p *backendPool) awaitReusable(ctx context.Context, b *backend, epoch int) *backendConn {
	p.mu.Lock()
	if b.generation != epoch || len(b.idleConns) == 0 {
		p.mu.Unlock()
		return nil
	}
	c := b.idleConns[0]
	b.idleConns = slices.Delete(b.idleConns, 0, 1)
	over := time.NewTimer(time.Until(c.idleSince.Add(p.reuseDelay)))
	p.mu.Unlock()
	defer over.Stop()
	select {
	case <-over.C:
	case <-ctx.Done(): // nothing will be sent on it
		return c
	}
	if c.idleFor = time.Since(c.idleSince); socket.Quiet(c.Conn) {
		return c
	}
	p.closeConn(c)
	return nil
}

var (
	errConnLimit         = errors.New("no socket left")
	errGenerationChanged = errors.New("the list says otherwise of it now")
)

// dial opens a connection within the dial time-out and the context's time, unless the backend's epoch ends before.
func (p *backendPool) dial(ctx context.Context, b *backend, addr string, epoch int) (*backendConn, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p.mu.Lock()
	switch {
	case b.generation != epoch:
		p.mu.Unlock()
		return nil, fmt.Errorf("dial %s: %w", b.name, errGenerationChanged)
	case !p.reserveLocked():
		p.mu.Unlock()
		return nil, errConnLimit
	}
	if b.pendingDials == nil {
		b.pendingDials = map[*context.CancelFunc]bool{}
	}
	b.pendingDials[&stop] = true
	dialer := p.dialContext
	p.mu.Unlock()
	nc, err := dialer(ctx, "tcp", addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(b.pendingDials, &stop)
	if err != nil {
		p.openConns--
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.idleTracker.RecordBackendExit(time.Now(), b.name)
		}
		if b.generation != epoch {
			err = errGenerationChanged
		}
		return nil, fmt.Errorf("dial %s: %w", b.name, err)
	}
	c := &backendConn{Conn: nc, backend: b, generation: epoch}
	c.reader = bufio.NewReaderSize(c.notingReader(), 4<<10)
	c.responseReader = bufio.NewReaderSize(nil, 1<<10)
	return c, nil
}

// limit sets how many connections may be open, and how many bytes of answers these may hold together. Beyond the
// first, idle ones are closed.
func (p *backendPool) setLimits(most, hold int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = most
	p.maxBuffered.Store(int64(min(maxBufferedResponse, max(minBufferedResponse, hold/most))))
	for p.openConns > p.maxOpen && p.closeOldestIdleLocked() {
	}
}

// shedLocked closes the connection that has been idle the longest, if there is one.
func (p *backendPool) closeOldestIdleLocked() bool {
	var oldest *backend
	for _, b := range p.byName {
		if len(b.idleConns) > 0 && (oldest == nil || b.idleConns[0].idleSince.Before(oldest.idleConns[0].idleSince)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	p.audit.Count(audit.BackendConnNoRoom)
	p.closeLocked(oldest.idleConns[0])
	oldest.idleConns = oldest.idleConns[1:]
	return true
}

// reserveLocked counts a connection in. At the limit the one that has been idle longest makes room.
func (p *backendPool) reserveLocked() bool {
	if p.openConns >= p.maxOpen && !p.closeOldestIdleLocked() {
		return false
	}
	p.openConns++
	return true
}

// keep puts a connection back for reuse, unless its backend has changed since it was opened.
func (p *backendPool) putIdle(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.backend.generation != c.generation || !c.backend.available {
		p.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	c.backend.idleConns = append(c.backend.idleConns, c)
}

// stale notes that a kept connection broke before a byte of an answer came.
func (p *backendPool) recordStaleReuse(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTracker.RecordBrokenReuse(time.Now(), c.backend.name, c.idleFor, p.idleTimeout)
}

// broken tells the log, now and then, of an answer that could not be read.
func (p *backendPool) logBrokenResponse(b *backend, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unlogged++
	if p.logger == nil || time.Since(p.lastLogged) < brokenLogInterval {
		return
	}
	p.logger.Warn("broken answer", "server", b.name, "error", err, "since_last_line", p.unlogged)
	p.lastLogged, p.unlogged = time.Now(), 0
}

// abandon closes a connection whose request has no whole answer. What the system has not delivered of that request never
// is: after a plain close it would go on trying, and a server that was cut off or stood still would run it much later.
func (p *backendPool) resetAndClose(c *backendConn) {
	p.audit.Count(audit.BackendConnNoResponse)
	socket.ResetOnClose(c.Conn)
	p.closeConn(c)
}

// drop closes a connection.
func (p *backendPool) closeConn(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *backendPool) closeLocked(c *backendConn) {
	c.Close()
	p.openConns--
}

// sweep closes the idle connections whose time is up or whose peer has closed them.
func (p *backendPool) sweepIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.byName {
		kept := b.idleConns[:0]
		for _, c := range b.idleConns {
			if now.Sub(c.idleSince) < p.idleTimeout && socket.Quiet(c.Conn) {
				kept = append(kept, c)
			} else {
				p.audit.Count(audit.BackendConnIdle)
				p.closeLocked(c)
			}
		}
		clear(b.idleConns[len(kept):])
		b.idleConns = kept
	}
}

// unavailableSince is when a backend was last taken out for new requests, zero if it takes them, and the grace from then.
func (p *backendPool) unavailableSince(b *backend) (time.Time, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.unavailableSince, p.drainGrace
}

// setDrainGrace sets the grace for sends to backends that drain or are gone, in microseconds; 0 stands for the default.
func (p *backendPool) setDrainGrace(micros int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drainGrace = time.Duration(micros) * time.Microsecond; p.drainGrace <= 0 {
		p.drainGrace = defaultDrainGrace
	}
}

// defaultDrainGrace is for settings that state none: no deployment known has a longer one.
const defaultDrainGrace = time.Second

// drain has these zones and no others get nothing: idle connections there are closed.
func (p *backendPool) setDrainedZones(zones map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainedZones = zones
	p.refilterLocked()
}

// sift finds out anew which backends get something. The caller has the lock.
func (p *backendPool) refilterLocked() {
	for name, b := range p.byName {
		if ready := b.serving && !p.suspended[name] && !p.drainedZones[b.zone]; ready != b.available {
			b.available = ready
			p.advanceGenerationLocked(b)
		}
	}
}

// servingZones are the zones with backends that serve by the list, drained or banned ones too.
func (p *backendPool) servingZones() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	zones := map[string]bool{}
	for _, b := range p.byName {
		if b.serving {
			zones[b.zone] = true
		}
	}
	return zones
}
