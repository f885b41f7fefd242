package link

import (
	"container/heap"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Relay stands before the address of one program for many senders, over UDP and TCP on one port, where a sender cannot be
// given an address of its own to call: members of a gossip know each other by one address. It tells them apart by where
// they come from, and puts a link between each of them and the program.
//
// A datagram has one direction: of a link's effects CutOut and Loss drop it, Delay delays it. A connection has all of
// them, but that it comes up even under NoConnect, and then is silent: whose it is can be told only once it is up.
type Relay struct {
	net  *Net
	from Sender
	udp  *net.UDPConn
	tcp  net.Listener
	to   atomic.Pointer[net.UDPAddr]
	own  sync.WaitGroup

	mu      sync.Mutex
	links   map[netip.Addr]*Link
	packets packets
	bytes   int
	counts  Passed
	news    chan struct{}
	gone    chan struct{}
}

// Sender tells whose address this is, and the delay from there one way; false if nobody's.
type Sender func(netip.Addr) (Ends, time.Duration, bool)

// Passed counts datagrams, and bytes of datagrams and connections that were handed on, either way.
type Passed struct {
	On, Cut, Lost int
	Over          int // dropped since too many waited
	Unknown       int // of a sender that nobody knows
	Bytes         int64
}

const (
	maxPackets    = 4096 // that wait in one relay
	packetBytes   = 4 << 20
	maxDatagram   = 64 << 10
	socketBytes   = 1 << 20
	relayDialWait = time.Second
)

// packet is a datagram on its way.
type packet struct {
	due  time.Time
	n    int // order among those of one moment
	data []byte
}

type packets []packet

func (p packets) Len() int { return len(p) }
func (p packets) Less(i, j int) bool {
	if p[i].due.Equal(p[j].due) {
		return p[i].n < p[j].n
	}
	return p[i].due.Before(p[j].due)
}
func (p packets) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *packets) Push(x any)   { *p = append(*p, x.(packet)) }
func (p *packets) Pop() any {
	last := (*p)[len(*p)-1]
	(*p)[len(*p)-1] = packet{}
	*p = (*p)[:len(*p)-1]
	return last
}

// Relay opens a relay at addr, an IP and a port. What comes is dropped until To names the program.
func (n *Net) Relay(addr string, from Sender) (*Relay, error) {
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("relay at %s: %w", addr, err)
	}
	r := &Relay{net: n, from: from, links: map[netip.Addr]*Link{}, news: make(chan struct{}, 1), gone: make(chan struct{})}
	if r.udp, err = net.ListenUDP("udp", at); err != nil {
		return nil, fmt.Errorf("relay at %s: %w", addr, err)
	}
	_ = r.udp.SetReadBuffer(socketBytes)
	if r.tcp, err = net.Listen("tcp", r.udp.LocalAddr().String()); err != nil {
		r.udp.Close()
		return nil, fmt.Errorf("relay at %s: %w", addr, err)
	}
	r.own.Go(r.receive)
	r.own.Go(r.send)
	r.own.Go(r.accept)
	n.mu.Lock()
	n.relays = append(n.relays, r)
	n.mu.Unlock()
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.udp.LocalAddr().String() }

// To names the program's address from now on.
func (r *Relay) To(addr string) error {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return fmt.Errorf("relay to %s: %w", addr, err)
	}
	r.to.Store(to)
	return nil
}

// Passed tells what became of what came so far; of connections, once they have ended.
func (r *Relay) Passed() Passed {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

func (r *Relay) close() {
	close(r.gone)
	r.udp.Close()
	r.tcp.Close()
	r.own.Wait()
}

// link is that of a sender; nil if it is nobody.
func (r *Relay) link(ip netip.Addr) *Link {
	r.mu.Lock()
	l, known := r.links[ip]
	r.mu.Unlock()
	if known {
		return l
	}
	ends, delay, ok := r.from(ip)
	if !ok {
		return nil
	}
	l, _ = r.net.add(ends, delay, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	if other, known := r.links[ip]; known { // the other of the two that take in was first
		return other
	}
	r.links[ip] = l
	return l
}

// receive queues datagrams, each for its time.
func (r *Relay) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // what an earlier datagram's receiver refused
		}
		r.put(from.Addr().Unmap(), buf[:n])
	}
}

func (r *Relay) put(from netip.Addr, data []byte) {
	l := r.link(from)
	var now Effect
	if l != nil {
		now = l.now.Load().Effect
	}
	lost := l != nil && now.Loss > 0 && l.draw() < now.Loss
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case l == nil:
		r.counts.Unknown++
	case now.CutOut:
		r.counts.Cut++
	case lost:
		r.counts.Lost++
	case len(r.packets) >= maxPackets || r.bytes+len(data) > packetBytes:
		r.counts.Over++
	default:
		r.counts.On++
		r.counts.Bytes += int64(len(data))
		r.bytes += len(data)
		heap.Push(&r.packets, packet{time.Now().Add(l.delay + now.Delay), r.counts.On, append([]byte(nil), data...)})
		select {
		case r.news <- struct{}{}:
		default:
		}
	}
}

// draw gives a number from 0 to 1.
func (l *Link) draw() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// send hands datagrams on as their times come. Nobody learns of one that the program does not take.
func (r *Relay) send() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.mu.Lock()
		var next packet
		wait := time.Hour
		if len(r.packets) > 0 {
			if wait = time.Until(r.packets[0].due); wait <= 0 {
				next = heap.Pop(&r.packets).(packet)
				r.bytes -= len(next.data)
			}
		}
		r.mu.Unlock()
		if wait <= 0 {
			if to := r.to.Load(); to != nil {
				_, _ = r.udp.WriteToUDP(next.data, to)
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-r.news:
		case <-r.gone:
			return
		}
	}
}

// accept takes connections in, each over its sender's link.
func (r *Relay) accept() {
	for {
		raw, err := r.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptAgain)
			continue
		}
		from := raw.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
		l := r.link(from)
		if l == nil {
			raw.Close()
			continue
		}
		c := l.conn(raw.(*net.TCPConn), false)
		if now := l.now.Load(); now.Refuse || now.ResetNew {
			c.Reset()
			continue
		}
		go r.pass(c)
	}
}

// pass waits for the first bytes before it connects to the program: over a cut link nothing comes up there either.
func (r *Relay) pass(c *Conn) {
	first := make([]byte, 4<<10)
	n, err := c.Read(first)
	to := r.to.Load()
	if err != nil || to == nil {
		c.Reset()
		return
	}
	passed := Pass(c, to.String(), first[:n])
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Bytes += passed
}

// Pass hands what comes over a connection on to a program's address, unread, and what that answers back; first goes
// before all else. It tells how many bytes there were, both ways.
func Pass(c *Conn, to string, first []byte) (passed int64) {
	up, err := net.DialTimeout("tcp", to, relayDialWait)
	if err != nil {
		c.Reset()
		return 0
	}
	var both sync.WaitGroup
	var there, back int64
	both.Go(func() {
		if n, err := up.Write(first); err == nil {
			there, _ = io.Copy(up, c)
			there += int64(n)
		}
		up.Close()
	})
	both.Go(func() {
		back, _ = io.Copy(c, up)
		c.Close()
	})
	both.Wait()
	return there + back
}
