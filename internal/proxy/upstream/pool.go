package upstream

import (
	"cmp"
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
	// defaultDrainGrace is used if the settings have no drain grace. No known deployment has a longer one.
	defaultDrainGrace = time.Second

	brokenLogInterval = time.Second // least time between two log lines about broken responses
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config holds what a Pool needs to start.
type Config struct {
	DialTimeout time.Duration // longest time to establish a connection
	IdleClose   time.Duration // after this time backends close an idle connection
	LocalZone   string        // name of the proxy's zone
	MaxOpen     int           // connection limit, including those being opened
	Audit       *audit.Recorder
	Logger      *slog.Logger // nil: nothing is logged
	OnForwarded func()       // called when an attempt's request was written completely; may be nil
}

// Pool holds the connections to all listed backends. It may be used from any goroutine; a connection that is
// not idle belongs to the attempt that uses it.
//
// It replaces http.Transport, which automatically resends a GET or a request with an idempotency key when a
// reused connection turns out to be closed: an attempt that the balancer would not know of.
type Pool struct {
	maxBuffered  atomic.Int64 // responses of up to this many bytes are buffered completely
	streamBuffer atomic.Int64 // size in bytes of the write buffer of a streamed request
	onForwarded  func()
	audit        *audit.Recorder
	logger       *slog.Logger

	mu          sync.Mutex
	dialContext DialFunc
	wrapDial    func(DialFunc) DialFunc // set by WrapDial; nil: none
	// idleTimeout is when idle connections are closed, well before the backend closes them.
	idleTimeout time.Duration
	localZone   string // name of the proxy's zone
	// The least idle time before a connection is reused, by whether its backend is in the local zone: see
	// idletimeout.ReuseDelay.
	reuseDelay          time.Duration
	interZoneReuseDelay time.Duration
	drainGrace          time.Duration // within it, sends to a backend that drains or was removed must stop
	maxOpen             int
	openConns           int // including those being opened
	idleTracker         idletimeout.Tracker
	byName              map[string]*backend
	updateCount         int             // endpoint updates so far
	suspended           map[string]bool // backends by name
	drainedZones        map[string]bool

	lastLogged time.Time // when logBrokenResponse last logged
	unlogged   int       // broken responses since then
}

// backend is one backend, as currently listed. The pool's lock guards it.
type backend struct {
	name             string
	address          string
	zone             string
	cell             int
	startedMs        int64 // Unix milliseconds, as listed
	lastListed       int   // the latest update that named it, counted from 1
	serving          bool  // according to the list
	available        bool  // serving, not suspended, and not in a drained zone
	unavailableSince time.Time

	// generation is incremented whenever the list or an operator changes the backend: it drains, is removed,
	// restarts, moves, or is suspended or resumed. Nothing is sent on a connection of an earlier generation.
	generation   int
	idleConns    []*conn                      // the most recently used is last
	pendingDials map[*context.CancelFunc]bool // dials of this generation
}

// NewPool returns a pool without backends.
func NewPool(cfg Config) *Pool {
	p := &Pool{maxOpen: cfg.MaxOpen, audit: cfg.Audit, logger: cfg.Logger, onForwarded: cfg.OnForwarded,
		localZone: cfg.LocalZone, drainGrace: defaultDrainGrace, byName: map[string]*backend{}}
	p.SetReuseDelay(idletimeout.ReuseDelay, idletimeout.InterZoneReuseDelay)
	p.maxBuffered.Store(MaxBufferedResponse)
	p.streamBuffer.Store(DefaultStreamBuffer)
	p.SetTimeouts(cfg.DialTimeout, cfg.IdleClose)
	return p
}

// SetTimeouts sets how long a dial may take, and after what idle time backends close a connection.
func (p *Pool) SetTimeouts(dialTimeout, idleClose time.Duration) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialContext, p.idleTimeout = d.DialContext, idleClose*3/4
	if p.wrapDial != nil {
		p.dialContext = p.wrapDial(p.dialContext)
	}
}

// SetDrainGrace sets within what time sends to a backend that drains or was removed must stop, in
// microseconds; 0 sets the default.
func (p *Pool) SetDrainGrace(micros int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drainGrace = time.Duration(micros) * time.Microsecond; p.drainGrace <= 0 {
		p.drainGrace = defaultDrainGrace
	}
}

// Limits limits the resources of a Pool.
type Limits struct {
	MaxOpen       int // connections, including those being opened; at least 1
	ResponseBytes int // bytes of responses that are buffered, in total
	StreamBuffer  int // size in bytes of the write buffer of a streamed request
}

// SetLimits sets the limits. It closes the connections that have been idle longest if there are too many.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = limits.MaxOpen
	p.maxBuffered.Store(int64(min(MaxBufferedResponse, max(minBufferedResponse, limits.ResponseBytes/limits.MaxOpen))))
	p.streamBuffer.Store(int64(cmp.Or(limits.StreamBuffer, DefaultStreamBuffer)))
	for p.openConns > p.maxOpen && p.closeOldestIdleLocked() {
	}
}

// UpdateEndpoints applies a complete list (full) or a delta. It closes idle connections to a backend that has
// restarted or moved, since the process at their other end has exited, and to one that drains or was removed,
// since it gets no new requests.
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

// updateEndpointLocked applies one entry of a list.
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

// isAvailableLocked reports whether a backend accepts new requests.
func (p *Pool) isAvailableLocked(b *backend) bool {
	return b.serving && !p.suspended[b.name] && !p.drainedZones[b.zone]
}

// SetSuspended makes the named backends, and no others, suspended: they get no new requests, and their idle
// connections are closed.
func (p *Pool) SetSuspended(names map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspended = names
	p.updateAvailabilityLocked()
}

// SetDrainedZones makes these zones, and no others, drained: their backends get no new requests, and the idle
// connections to them are closed.
func (p *Pool) SetDrainedZones(zones map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainedZones = zones
	p.updateAvailabilityLocked()
}

// updateAvailabilityLocked updates the availability of all backends after a change of the operators'
// overrides.
func (p *Pool) updateAvailabilityLocked() {
	for _, b := range p.byName {
		if available := p.isAvailableLocked(b); available != b.available {
			b.available = available
			p.advanceGenerationLocked(b)
		}
	}
}

// advanceGenerationLocked starts a new generation of a backend. It closes the idle connections and cancels
// pending dials: nothing would be sent on them, and the requests that wait for a dial can go to another
// backend.
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
		p.audit.Count(audit.BackendConnChanged)
		p.closeLocked(c)
	}
	b.idleConns = nil
}

// ServingZones returns the zones with backends that the list shows as serving, even if operators have drained
// or suspended them.
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

// Stats holds the number of a pool's connections.
type Stats struct {
	Open int // including those being opened
	Idle int // included in Open
}

// Stats returns the current number of connections.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Open: p.openConns}
	for _, b := range p.byName {
		s.Idle += len(b.idleConns)
	}
	return s
}

// WrapDial wraps the dialer that opens all connections, so that tests can inject faults.
func (p *Pool) WrapDial(wrap func(DialFunc) DialFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wrapDial = wrap
	p.dialContext = wrap(p.dialContext)
}

// SetReuseDelay sets how long a connection must be idle before it is reused, by whether its backend is in the
// local zone.
func (p *Pool) SetReuseDelay(localZone, otherZones time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseDelay, p.interZoneReuseDelay = localZone, otherZones
}

// SetLocalZone sets the name of the proxy's zone.
func (p *Pool) SetLocalZone(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.localZone = name
}

// reuseDelayLocked returns how long a connection to a backend must be idle before it is reused.
func (p *Pool) reuseDelayLocked(b *backend) time.Duration {
	if b.zone == p.localZone {
		return p.reuseDelay
	}
	return p.interZoneReuseDelay
}

// isCurrent reports whether a backend is still in a generation.
func (p *Pool) isCurrent(b *backend, generation int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.generation == generation
}

// unavailableSince returns when a backend stopped accepting new requests, zero if it accepts them, and within
// what time after that sends must stop.
func (p *Pool) unavailableSince(b *backend) (since time.Time, grace time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.unavailableSince, p.drainGrace
}

// logBrokenResponse logs a response that could not be read, at most once per brokenLogInterval.
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
