package upstream

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/idletimeout"
	"merlinpick/internal/proxy/audit"
)

const (
	// defaultDrainGrace is for settings that state none: no deployment known has a longer one.
	defaultDrainGrace = time.Second

	brokenLogInterval = time.Second // between two log lines about broken responses
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config is what a Pool starts with.
type Config struct {
	DialTimeout time.Duration // for a connection to come up
	IdleClose   time.Duration // after which backends close an idle connection
	MaxOpen     int           // connections, those being opened included
	Audit       *audit.Recorder
	Logger      *slog.Logger // nil: nothing is logged
	OnForwarded func()       // called when an attempt's request was written completely; may be nil
}

// Pool holds the connections to all listed backends. It may be used from any goroutine; a connection that is not idle
// belongs to the attempt that has it.
//
// It stands in for http.Transport, which by itself sends a GET or a request with an idempotency key again when a kept
// connection turns out to be dead: an attempt that the balancer would not know of.
type Pool struct {
	maxBuffered atomic.Int64 // responses of up to so many bytes are buffered whole
	onForwarded func()
	audit       *audit.Recorder
	logger      *slog.Logger

	mu           sync.Mutex
	dialContext  DialFunc
	wrapDial     func(DialFunc) DialFunc // nil: as it is
	idleTimeout  time.Duration           // idle connections are closed after it, well before the backend does it
	reuseDelay   time.Duration           // a connection is idle for so long before it is used again: see idletimeout.ReuseDelay
	drainGrace   time.Duration           // in which sends must stop to a backend that drains or is gone
	maxOpen      int
	openConns    int // those being opened included
	idleTracker  idletimeout.Tracker
	byName       map[string]*backend
	updateCount  int             // updates so far
	suspended    map[string]bool // by name
	drainedZones map[string]bool

	lastLogged time.Time // when logBrokenResponse last logged
	unlogged   int       // broken responses since
}

// backend is one backend as it is listed now. The pool's lock guards it.
type backend struct {
	name             string
	address          string
	zone             string
	cell             int
	startedMs        int64 // Unix milliseconds, as listed
	lastListed       int   // the latest update that named it, counted from 1
	serving          bool  // by the list
	available        bool  // serving, not suspended, and in no drained zone
	unavailableSince time.Time

	// generation goes up whenever what is listed of the backend, or decided by operators, changes: draining, gone,
	// restarted, moved, suspended or not. Nothing is sent on a connection of a former generation.
	generation   int
	idleConns    []*conn                      // the most recently used last
	pendingDials map[*context.CancelFunc]bool // in this generation
}

// NewPool returns a pool without backends.
func NewPool(cfg Config) *Pool {
	p := &Pool{maxOpen: cfg.MaxOpen, audit: cfg.Audit, logger: cfg.Logger, onForwarded: cfg.OnForwarded,
		drainGrace: defaultDrainGrace, reuseDelay: idletimeout.ReuseDelay, byName: map[string]*backend{}}
	p.maxBuffered.Store(MaxBufferedResponse)
	p.SetTimeouts(cfg.DialTimeout, cfg.IdleClose)
	return p
}

// SetTimeouts sets how long a connection may take to come up, and be idle before the backend closes it.
func (p *Pool) SetTimeouts(dialTimeout, idleClose time.Duration) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialContext, p.idleTimeout = d.DialContext, idleClose*3/4
	if p.wrapDial != nil {
		p.dialContext = p.wrapDial(p.dialContext)
	}
}

// SetDrainGrace sets the grace for sends to backends that drain or are gone, in microseconds; 0 stands for the default.
func (p *Pool) SetDrainGrace(micros int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drainGrace = time.Duration(micros) * time.Microsecond; p.drainGrace <= 0 {
		p.drainGrace = defaultDrainGrace
	}
}

// SetLimits sets how many connections may be open, and how many bytes of responses these may buffer together. Idle
// connections beyond the first limit are closed.
func (p *Pool) SetLimits(maxOpen, memoryBytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = maxOpen
	p.maxBuffered.Store(int64(min(MaxBufferedResponse, max(minBufferedResponse, memoryBytes/maxOpen))))
	for p.openConns > p.maxOpen && p.closeOldestIdleLocked() {
	}
}

// UpdateEndpoints takes a complete list or the changes of one. Idle connections to a backend that has restarted, moved, drained
// or gone are closed: nothing new is to go there, or the process at their other end is gone.
func (p *Pool) UpdateEndpoints(full bool, entries []discovery.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.updateCount++
	for _, e := range entries {
		p.updateEndpointLocked(now, e)
	}
	if !full {
		return
	}
	for name, b := range p.byName {
		if b.lastListed != p.updateCount {
			b.serving, b.available = false, false
			p.idleTracker.RecordBackendExit(now, name)
			p.advanceGenerationLocked(b)
			delete(p.byName, name)
		}
	}
}

func (p *Pool) updateEndpointLocked(now time.Time, e discovery.Endpoint) {
	b := p.byName[e.Name]
	if b == nil {
		b = &backend{name: e.Name}
		p.byName[e.Name] = b
	}
	b.lastListed = p.updateCount
	b.zone, b.cell, b.serving = e.Zone, e.Cell, e.Status == discovery.StatusServing
	if b.startedMs != e.StartedAtMs {
		p.idleTracker.RecordBackendExit(now, e.Name)
	}
	if available := p.isAvailableLocked(b); b.address != e.Address || b.startedMs != e.StartedAtMs || b.available != available {
		b.address, b.startedMs, b.available = e.Address, e.StartedAtMs, available
		p.advanceGenerationLocked(b)
	}
	if e.Status == discovery.StatusDeleted {
		p.idleTracker.RecordBackendExit(now, e.Name)
		delete(p.byName, e.Name)
	}
}

// isAvailableLocked reports whether a backend takes new requests.
func (p *Pool) isAvailableLocked(b *backend) bool {
	return b.serving && !p.suspended[b.name] && !p.drainedZones[b.zone]
}

// SetSuspended has these backends, by name, and no others get nothing new; idle connections there are closed.
func (p *Pool) SetSuspended(names map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspended = names
	p.refilterLocked()
}

// SetDrainedZones has the backends of these zones and no others get nothing new; idle connections there are closed.
func (p *Pool) SetDrainedZones(zones map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainedZones = zones
	p.refilterLocked()
}

// refilterLocked applies the operators' overrides to all backends.
func (p *Pool) refilterLocked() {
	for _, b := range p.byName {
		if available := p.isAvailableLocked(b); available != b.available {
			b.available = available
			p.advanceGenerationLocked(b)
		}
	}
}

// advanceGenerationLocked begins a new generation of a backend. Its idle connections are closed, and dials are given up:
// nothing would be sent on them, and the requests that wait for them can go elsewhere.
func (p *Pool) advanceGenerationLocked(b *backend) {
	b.generation++
	switch {
	case b.available:
		b.unavailableSince = time.Time{}
	case b.unavailableSince.IsZero():
		b.unavailableSince = time.Now()
	}
	for cancel := range b.pendingDials {
		(*cancel)()
	}
	for _, c := range b.idleConns {
		p.audit.Count(audit.BackendConnList)
		p.closeLocked(c)
	}
	b.idleConns = nil
}

// ServingZones are the zones with backends that serve by the list, drained or suspended ones too.
func (p *Pool) ServingZones() map[string]bool {
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

// Stats are a pool's counts at one moment.
type Stats struct {
	Open int // connections, those being opened included
	Idle int // of these
}

// Stats counts the connections.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Open: p.openConns}
	for _, b := range p.byName {
		s.Idle += len(b.idleConns)
	}
	return s
}

// WrapDial has all connections opened through a wrapper of the dialer, for faults that a test injects.
func (p *Pool) WrapDial(wrap func(DialFunc) DialFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wrapDial = wrap
	p.dialContext = wrap(p.dialContext)
}

// SetReuseDelay sets how long a connection is idle before it is used again.
func (p *Pool) SetReuseDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseDelay = delay
}

// isCurrent reports whether what is listed of a backend is what was in a generation.
func (p *Pool) isCurrent(b *backend, generation int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.generation == generation
}

// unavailableSince is when a backend was last taken out for new requests, zero if it takes them, and the grace from then.
func (p *Pool) unavailableSince(b *backend) (since time.Time, grace time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.unavailableSince, p.drainGrace
}

// logBrokenResponse logs a response that could not be read, once in brokenLogInterval.
func (p *Pool) logBrokenResponse(b *backend, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unlogged++
	if p.logger == nil || time.Since(p.lastLogged) < brokenLogInterval {
		return
	}
	p.logger.Warn("broken response", "endpoint", b.name, "error", err, "since_last_line", p.unlogged)
	p.lastLogged, p.unlogged = time.Now(), 0
}
