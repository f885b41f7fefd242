// Package link simulates the network of the lab. Every connection between clients, proxies, servers and the
// registry runs over a Link, which can delay it, cut it in one or both directions, reset it, or prevent it
// from being established. The package never interprets the bytes.
//
// It needs no privileges. A link that a program dials has a listener of its own on a loopback address, so
// that a connect can fail as in a real network: it is refused (the listener is closed) or unanswered (the
// accept queue is full and the kernel drops SYNs). Bytes pass through queues in this process, where each
// chunk waits until it is due and the cut has ended. As with TCP, a cut delays bytes and loses none.
package link

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"merlinpick/internal/faultlab/sleep"
)

// Ends identifies the two ends of a link. From is the dialling side.
type Ends struct {
	Kind     string // client, nodo (a server), list, lease, member or gossip
	From     string // name of the dialling process; empty for all clients, servers or proxies of the zone
	FromZone string
	To       string
	ToZone   string
}

// Effect is a fault of a link. Several effects on a link are combined, and each ends independently.
type Effect struct {
	CutOut    bool          // bytes from the dialling side are held back
	CutBack   bool          // bytes to the dialling side are held back
	NoConnect bool          // connects are not answered
	Refuse    bool          // connects are refused; NoConnect takes precedence
	ResetNew  bool          // new connections are reset at their first byte
	Delay     time.Duration // added in each direction
	Loss      float64       // probability that a transmission of a chunk is lost and must be repeated
}

// Silent makes a link a black hole: no bytes pass, and connects are neither answered nor refused.
var Silent = Effect{CutOut: true, CutBack: true, NoConnect: true}

const (
	minRetransmitDelay = 200 * time.Millisecond // minimum retransmission timeout of TCP on Linux
	maxRetransmits     = 6                      // each delay is twice the one before
	maxQueueBytes      = 1 << 20                // in one direction of a connection

	// acceptRetryPause follows a failed accept, as when file descriptors run out. Such pauses show as
	// lateness of the run.
	acceptRetryPause = 5 * time.Millisecond
)

// combine returns the combination of two effects.
func (e Effect) combine(other Effect) Effect {
	e.CutOut, e.CutBack = e.CutOut || other.CutOut, e.CutBack || other.CutBack
	e.NoConnect, e.Refuse, e.ResetNew = e.NoConnect || other.NoConnect, e.Refuse || other.Refuse, e.ResetNew || other.ResetNew
	e.Delay += other.Delay
	e.Loss = 1 - (1-e.Loss)*(1-other.Loss)
	return e
}

// effectState is a link's combined effect; changed is closed when it is replaced.
type effectState struct {
	Effect
	changed chan struct{}
}

// Link is a simulated network link between two processes or groups of processes.
type Link struct {
	ends   Ends
	delay  time.Duration // one way, without effects
	effect atomic.Pointer[effectState]
	onCut  func(Ends, time.Time) // see Net.WatchCuts; may be nil

	traffic linkTraffic

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	listener *listener // nil if this process dials or a Relay accepts the connections
	rng      *rand.Rand
}

// Net holds all links of a run.
type Net struct {
	mu      sync.Mutex
	links   []*Link
	relays  []*Relay
	onCut   func(Ends, time.Time)
	effects map[*appliedEffect]struct{}
	seed    uint64
}

// appliedEffect is an active effect and the links that it applies to.
type appliedEffect struct {
	match func(Ends) bool
	Effect
}

// New returns a network without links.
func New(seed uint64) *Net { return &Net{effects: map[*appliedEffect]struct{}{}, seed: seed} }

// addLink creates a link under the active effects; p is its listener, or nil. It holds the network's lock, so
// that no effect begins or ends meanwhile.
func (n *Net) addLink(ends Ends, delay time.Duration, p *listener) (*Link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &Link{ends: ends, delay: delay, onCut: n.onCut, conns: map[*Conn]struct{}{}, listener: p,
		rng: rand.New(rand.NewPCG(n.seed, uint64(len(n.links))))}
	effect := &effectState{n.combinedEffect(ends), make(chan struct{})}
	l.effect.Store(effect)
	n.links = append(n.links, l)
	if p == nil {
		return l, nil
	}
	p.link = l
	return l, p.setMode(effect.Effect)
}

// combinedEffect returns the combination of all active effects on a link.
func (n *Net) combinedEffect(ends Ends) Effect {
	var sum Effect
	for a := range n.effects {
		if a.match(ends) {
			sum = sum.combine(a.Effect)
		}
	}
	return sum
}

// Listen creates a link that programs dial at addr. Each connection is passed to accept in its own goroutine.
func (n *Net) Listen(ends Ends, addr string, delay time.Duration, accept func(*Conn)) (*Link, error) {
	return n.addLink(ends, delay, &listener{addr: addr, accept: accept})
}

// Dialer is a link on which this process dials a program.
type Dialer struct{ link *Link }

// Dialer creates a link on which this process dials programs.
func (n *Net) Dialer(ends Ends, delay time.Duration) *Dialer {
	l, _ := n.addLink(ends, delay, nil)
	return &Dialer{l}
}

// ErrRefused is returned when an effect of the link refuses a connection.
var ErrRefused = errors.New("connection refused")

// Dial connects to addr over the link. The error is ErrRefused, the context's error, or that of the connect.
func (d *Dialer) Dial(ctx context.Context, addr string) (*Conn, error) {
	for {
		effect := d.link.effect.Load()
		if effect.NoConnect {
			select {
			case <-effect.changed:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		if effect.Refuse {
			return nil, ErrRefused
		}
		break
	}
	if !sleep.For(ctx, 2*(d.link.delay+d.link.effect.Load().Delay)) {
		return nil, ctx.Err()
	}
	var nd net.Dialer
	raw, err := nd.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return d.link.newConn(raw.(*net.TCPConn), true), nil
}

// Apply applies an effect to all links that match, including links created later, until end is called.
func (n *Net) Apply(match func(Ends) bool, e Effect) (end func() error, err error) {
	a := &appliedEffect{match, e}
	n.mu.Lock()
	n.effects[a] = struct{}{}
	n.mu.Unlock()
	err = n.refreshEffects(match)
	return func() error {
		n.mu.Lock()
		delete(n.effects, a)
		n.mu.Unlock()
		return n.refreshEffects(match)
	}, err
}

// refreshEffects recomputes the effects of all links that match.
func (n *Net) refreshEffects(match func(Ends) bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	var errs []error
	for _, l := range n.links {
		if match(l.ends) {
			errs = append(errs, l.setEffect(n.combinedEffect(l.ends)))
		}
	}
	return errors.Join(errs...)
}

// setEffect replaces the combined effect and wakes all goroutines that wait for a change.
func (l *Link) setEffect(e Effect) error {
	former := l.effect.Load()
	if former.Effect == e {
		return nil
	}
	l.effect.Store(&effectState{e, make(chan struct{})})
	close(former.changed)
	if l.listener == nil {
		return nil
	}
	return l.listener.setMode(e)
}

// Reset resets all open connections of the links that match, and returns their number.
func (n *Net) Reset(match func(Ends) bool) int {
	n.mu.Lock()
	links := n.links
	n.mu.Unlock()
	count := 0
	for _, l := range links {
		if !match(l.ends) {
			continue
		}
		for _, conn := range l.openConns() {
			conn.Reset()
			count++
		}
	}
	return count
}

// Close closes all links, relays and connections.
func (n *Net) Close() {
	n.mu.Lock()
	relays := n.relays
	n.relays = nil
	n.mu.Unlock()
	for _, r := range relays {
		r.close()
	}
	n.mu.Lock()
	links := n.links
	n.links = nil
	n.mu.Unlock()
	for _, l := range links {
		if l.listener != nil {
			l.listener.close()
		}
		for _, conn := range l.openConns() {
			conn.Reset()
		}
	}
}

// openConns returns the open connections.
func (l *Link) openConns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// retransmitDelay returns a random delay of a chunk by retransmissions, for a probability of loss.
func (l *Link) retransmitDelay(loss float64) time.Duration {
	if loss <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	total, next := time.Duration(0), minRetransmitDelay
	for range maxRetransmits {
		if l.rng.Float64() >= loss {
			break
		}
		total += next
		next *= 2
	}
	return total
}

// listener is a link's listener. It has three modes: open, closed (connects are refused), and full (connects
// are not answered, since one connection fills the accept queue and the kernel drops SYNs).
type listener struct {
	addr   string
	link   *Link
	accept func(*Conn)

	mu       sync.Mutex
	mode     int
	listener net.Listener // nil while the mode is modeClosed
	filler   net.Conn     // connection that fills the accept queue in modeFull
	closed   bool
}

// Modes of a listener.
const (
	modeNone = iota // not set yet
	modeOpen
	modeClosed
	modeFull
)

// setMode opens, closes or fills the listener as an effect requires.
func (p *listener) setMode(e Effect) error {
	mode := modeOpen
	switch {
	case e.NoConnect:
		mode = modeFull
	case e.Refuse:
		mode = modeClosed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == p.mode || p.closed {
		return nil
	}
	p.endLocked()
	p.mode = mode
	if mode == modeClosed {
		return nil
	}
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return fmt.Errorf("link to %s: listen: %w", p.link.ends.To, err)
	}
	p.listener = l
	if mode == modeFull {
		return p.fillLocked()
	}
	go p.serve(l)
	return nil
}

// fillLocked limits the listener's accept queue to one connection and fills it.
func (p *listener) fillLocked() error {
	rc, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	if err := setBacklog(rc, 0); err != nil {
		return fmt.Errorf("link to %s: limit the accept queue: %w", p.link.ends.To, err)
	}
	p.filler, err = net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return fmt.Errorf("link to %s: fill the accept queue: %w", p.link.ends.To, err)
	}
	return nil
}

// endLocked closes the listener and the connection that fills its queue.
func (p *listener) endLocked() {
	if p.filler != nil {
		p.filler.Close()
		p.filler = nil
	}
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
}

// close closes the listener for good.
func (p *listener) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.endLocked()
}

// serve accepts connections until l is closed.
func (p *listener) serve(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryPause)
			continue
		}
		conn := p.link.newConn(raw.(*net.TCPConn), false)
		if p.link.effect.Load().ResetNew {
			go func() {
				var first [1]byte
				_, _ = conn.Read(first[:])
				conn.Reset()
			}()
			continue
		}
		go p.accept(conn)
	}
}
