// Package link is the network of the lab: every connection between a client, a proxy, a server and the list runs over a
// Link, where it can be delayed, held, cut in one direction or both, reset, or kept from coming up.
//
// It needs no rights. A link that a proxy dials is a listener of its own on a loopback address, so that even the
// connect can be made to fail as it does in the field: refused (the listener is closed) or never answered (its queue
// is full, which has the kernel drop what comes). What is read and written passes through queues in this process,
// where each piece waits for its time, and for a cut to end. A piece that was held by a cut is not lost but comes
// afterwards, as TCP has it.
//
// Rejected: packet filters and namespaces (rights, and one machine's only); a relay as a second process on each link
// (twice the sockets, and its lateness cannot be told from the proxy's).
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

// Ends tells a link's place. From is the side that dials.
type Ends struct {
	Kind     string // client, server, list, lease, member or gossip
	From     string // a proxy's name, or empty for a zone's clients, or for all proxies of the zone
	FromZone string
	To       string
	ToZone   string
}

// Effect is what can be wrong with a link. Effects on one link add up, and each ends by itself.
type Effect struct {
	CutOut    bool          // what the dialling side sends is held
	CutBack   bool          // what it is sent is held
	NoConnect bool          // new connections do not come up
	Refuse    bool          // new connections are refused; NoConnect is stronger
	ResetNew  bool          // new connections are reset at their first byte
	Delay     time.Duration // added each way
	Loss      float64       // part of the pieces that come one retransmission later, or two, and so on
}

// Silent is a black hole: nothing passes, nothing comes up, nothing is said.
var Silent = Effect{CutOut: true, CutBack: true, NoConnect: true}

const (
	retransmit     = 200 * time.Millisecond // TCP's least on Linux
	maxRetransmits = 6                      // doublings
	maxQueue       = 1 << 20                // bytes that wait in one direction of one connection
	acceptAgain    = 5 * time.Millisecond   // out of descriptors: the run says so by its lateness
)

func (e Effect) plus(o Effect) Effect {
	e.CutOut, e.CutBack = e.CutOut || o.CutOut, e.CutBack || o.CutBack
	e.NoConnect, e.Refuse, e.ResetNew = e.NoConnect || o.NoConnect, e.Refuse || o.Refuse, e.ResetNew || o.ResetNew
	e.Delay += o.Delay
	e.Loss = 1 - (1-e.Loss)*(1-o.Loss)
	return e
}

// state is a link's sum of effects; changed is closed when another takes its place.
type state struct {
	Effect
	changed chan struct{}
}

// Link is one link.
type Link struct {
	ends  Ends
	delay time.Duration // one way, when nothing is wrong
	now   atomic.Pointer[state]
	cut   func(Ends, time.Time) // is told what came into a cut; may be nil

	traffic traffic

	mu    sync.Mutex
	conns map[*Conn]struct{}
	port  *port // of a link that is dialled by others
	rng   *rand.Rand
}

// Net is all links of a run.
type Net struct {
	mu      sync.Mutex
	links   []*Link
	relays  []*Relay
	cut     func(Ends, time.Time)
	effects map[*applied]struct{}
	seed    uint64
}

type applied struct {
	match func(Ends) bool
	Effect
}

// New is a network without links.
func New(seed uint64) *Net { return &Net{effects: map[*applied]struct{}{}, seed: seed} }

// add makes a link, under the effects that hold; p is its listener, or nil. A fault that begins or ends meanwhile waits.
func (n *Net) add(ends Ends, delay time.Duration, p *port) (*Link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &Link{ends: ends, delay: delay, cut: n.cut, conns: map[*Conn]struct{}{}, port: p,
		rng: rand.New(rand.NewPCG(n.seed, uint64(len(n.links))))}
	now := &state{n.sum(ends), make(chan struct{})}
	l.now.Store(now)
	n.links = append(n.links, l)
	if p == nil {
		return l, nil
	}
	p.link = l
	return l, p.to(now.Effect)
}

func (n *Net) sum(ends Ends) Effect {
	var sum Effect
	for a := range n.effects {
		if a.match(ends) {
			sum = sum.plus(a.Effect)
		}
	}
	return sum
}

// Listen opens a link that is dialled at addr. Each connection goes to accept, in a goroutine of its own.
func (n *Net) Listen(ends Ends, addr string, delay time.Duration, accept func(*Conn)) (*Link, error) {
	return n.add(ends, delay, &port{addr: addr, accept: accept})
}

// Dialer is a link on which this process dials a program's own address.
type Dialer struct{ link *Link }

// Dialer makes such a link.
func (n *Net) Dialer(ends Ends, delay time.Duration) *Dialer {
	l, _ := n.add(ends, delay, nil)
	return &Dialer{l}
}

// ErrRefused is a connection that the link did not let come up.
var ErrRefused = errors.New("connection refused")

// Dial connects to addr over the link.
func (d *Dialer) Dial(ctx context.Context, addr string) (*Conn, error) {
	for {
		now := d.link.now.Load()
		if now.NoConnect {
			select {
			case <-now.changed:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		if now.Refuse {
			return nil, ErrRefused
		}
		break
	}
	if !sleep.For(ctx, 2*(d.link.delay+d.link.now.Load().Delay)) {
		return nil, ctx.Err()
	}
	var nd net.Dialer
	raw, err := nd.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return d.link.conn(raw.(*net.TCPConn), true), nil
}

// Apply puts an effect on all links that match, those of later too, until end is called.
func (n *Net) Apply(match func(Ends) bool, e Effect) (end func() error, err error) {
	a := &applied{match, e}
	n.mu.Lock()
	n.effects[a] = struct{}{}
	n.mu.Unlock()
	err = n.refresh(match)
	return func() error {
		n.mu.Lock()
		delete(n.effects, a)
		n.mu.Unlock()
		return n.refresh(match)
	}, err
}

func (n *Net) refresh(match func(Ends) bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	var errs []error
	for _, l := range n.links {
		if match(l.ends) {
			errs = append(errs, l.set(n.sum(l.ends)))
		}
	}
	return errors.Join(errs...)
}

// set puts a sum of effects in force and wakes all that wait by the former one.
func (l *Link) set(e Effect) error {
	former := l.now.Load()
	if former.Effect == e {
		return nil
	}
	l.now.Store(&state{e, make(chan struct{})})
	close(former.changed)
	if l.port == nil {
		return nil
	}
	return l.port.to(e)
}

// Reset resets all open connections of the links that match, and tells how many there were.
func (n *Net) Reset(match func(Ends) bool) int {
	n.mu.Lock()
	links := n.links
	n.mu.Unlock()
	count := 0
	for _, l := range links {
		if !match(l.ends) {
			continue
		}
		for _, c := range l.open() {
			c.Reset()
			count++
		}
	}
	return count
}

// Close ends all links.
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
		if l.port != nil {
			l.port.close()
		}
		for _, c := range l.open() {
			c.Reset()
		}
	}
}

// open is the connections that are open.
func (l *Link) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// lost draws how much later a piece comes for being sent again.
func (l *Link) lost(part float64) time.Duration {
	if part <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	total, later := time.Duration(0), retransmit
	for range maxRetransmits {
		if l.rng.Float64() >= part {
			break
		}
		total += later
		later *= 2
	}
	return total
}

// port is a link's listener, in one of three forms: open, closed (connects are refused), or full (connects get no
// answer: the kernel drops them, since one connection waits in a queue that holds one).
type port struct {
	addr   string
	link   *Link
	accept func(*Conn)

	mu     sync.Mutex
	form   int
	l      net.Listener
	filler net.Conn
	gone   bool
}

const (
	formNone = iota
	formOpen
	formClosed
	formFull
)

func (p *port) to(e Effect) error {
	form := formOpen
	switch {
	case e.NoConnect:
		form = formFull
	case e.Refuse:
		form = formClosed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if form == p.form || p.gone {
		return nil
	}
	p.endLocked()
	p.form = form
	if form == formClosed {
		return nil
	}
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return fmt.Errorf("link to %s: %w", p.link.ends.To, err)
	}
	p.l = l
	if form == formFull {
		return p.fillLocked()
	}
	go p.serve(l)
	return nil
}

// fillLocked has the listener's queue hold one connection, and fills it.
func (p *port) fillLocked() error {
	rc, err := p.l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	if err := backlog(rc, 0); err != nil {
		return fmt.Errorf("link to %s: %w", p.link.ends.To, err)
	}
	p.filler, err = net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return fmt.Errorf("link to %s: %w", p.link.ends.To, err)
	}
	return nil
}

func (p *port) endLocked() {
	if p.filler != nil {
		p.filler.Close()
		p.filler = nil
	}
	if p.l != nil {
		p.l.Close()
		p.l = nil
	}
}

func (p *port) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = true
	p.endLocked()
}

func (p *port) serve(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptAgain)
			continue
		}
		c := p.link.conn(raw.(*net.TCPConn), false)
		if p.link.now.Load().ResetNew {
			go func() {
				var first [1]byte
				_, _ = c.Read(first[:])
				c.Reset()
			}()
			continue
		}
		go p.accept(c)
	}
}
