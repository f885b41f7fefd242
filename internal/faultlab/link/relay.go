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

// Relay forwards UDP and TCP from many senders to one program on a single port. It serves gossip members,
// which know each other by one address each, so that a link cannot have an address for each sender. The relay
// identifies a sender by its source address and has a link for each sender.
//
// Of a link's effects, CutOut and Loss drop a datagram and Delay delays it. All effects apply to connections,
// but NoConnect does not prevent a connection: the sender is known only after the connection is established,
// which then passes no bytes.
type Relay struct {
	net     *Net
	sender  Sender
	udp     *net.UDPConn
	tcp     net.Listener
	target  atomic.Pointer[net.UDPAddr]
	running sync.WaitGroup

	mu       sync.Mutex
	links    map[netip.Addr]*Link
	packets  packetHeap
	bytes    int
	counters RelayCounters
	queued   chan struct{}
	closed   chan struct{}
}

// Sender returns the ends and the one-way delay of the link from a source address; false if the address is
// unknown.
type Sender func(netip.Addr) (Ends, time.Duration, bool)

// RelayCounters counts the datagrams of a relay by their outcome, and the forwarded bytes.
type RelayCounters struct {
	Forwarded, Cut, Lost int
	Overflowed           int   // dropped because the queue was full
	UnknownSender        int   // dropped because the source address is unknown
	Bytes                int64 // of datagrams, and of connections in both directions
}

const (
	maxPackets        = 4096    // queued in a relay
	maxPacketBytes    = 4 << 20 // queued in a relay
	maxDatagram       = 64 << 10
	socketBufferBytes = 1 << 20
	relayDialTimeout  = time.Second
)

// packet is a queued datagram.
type packet struct {
	due   time.Time
	order int // ascending; orders packets with the same due time
	data  []byte
}

// packetHeap implements heap.Interface, ordered by due time and then by order.
type packetHeap []packet

func (p packetHeap) Len() int { return len(p) }
func (p packetHeap) Less(i, j int) bool {
	if p[i].due.Equal(p[j].due) {
		return p[i].order < p[j].order
	}
	return p[i].due.Before(p[j].due)
}
func (p packetHeap) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *packetHeap) Push(x any)   { *p = append(*p, x.(packet)) }
func (p *packetHeap) Pop() any {
	last := (*p)[len(*p)-1]
	(*p)[len(*p)-1] = packet{}
	*p = (*p)[:len(*p)-1]
	return last
}

// Relay opens a relay at addr, an IP and a port. Datagrams and connections are dropped until SetTarget is
// called.
func (n *Net) Relay(addr string, from Sender) (*Relay, error) {
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("relay at %s: %w", addr, err)
	}
	r := &Relay{net: n, sender: from, links: map[netip.Addr]*Link{}, queued: make(chan struct{}, 1), closed: make(chan struct{})}
	if r.udp, err = net.ListenUDP("udp", at); err != nil {
		return nil, fmt.Errorf("relay at %s: %w", addr, err)
	}
	_ = r.udp.SetReadBuffer(socketBufferBytes)
	if r.tcp, err = net.Listen("tcp", r.udp.LocalAddr().String()); err != nil {
		r.udp.Close()
		return nil, fmt.Errorf("relay at %s: %w", addr, err)
	}
	r.running.Go(r.receive)
	r.running.Go(r.send)
	r.running.Go(r.accept)
	n.mu.Lock()
	n.relays = append(n.relays, r)
	n.mu.Unlock()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.udp.LocalAddr().String() }

// SetTarget sets the address of the program that the relay forwards to.
func (r *Relay) SetTarget(addr string) error {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return fmt.Errorf("relay to %s: %w", addr, err)
	}
	r.target.Store(to)
	return nil
}

// Counters returns the counters so far. The bytes of a connection are added when it ends.
func (r *Relay) Counters() RelayCounters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counters
}

// close closes the relay's sockets and waits for its goroutines. Open connections stay.
func (r *Relay) close() {
	close(r.closed)
	r.udp.Close()
	r.tcp.Close()
	r.running.Wait()
}

// link returns the link of a sender and creates it if needed; nil if the sender is unknown.
func (r *Relay) link(ip netip.Addr) *Link {
	r.mu.Lock()
	l, known := r.links[ip]
	r.mu.Unlock()
	if known {
		return l
	}
	ends, delay, ok := r.sender(ip)
	if !ok {
		return nil
	}
	l, _ = r.net.addLink(ends, delay, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	if other, known := r.links[ip]; known { // created meanwhile by receive or accept
		return other
	}
	r.links[ip] = l
	return l
}

// receive reads datagrams and queues them.
func (r *Relay) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error that an earlier datagram caused
		}
		r.enqueue(from.Addr().Unmap(), buf[:n])
	}
}

// enqueue queues a datagram, or drops it, and counts which it was.
func (r *Relay) enqueue(from netip.Addr, data []byte) {
	l := r.link(from)
	var now Effect
	if l != nil {
		now = l.effect.Load().Effect
	}
	lost := l != nil && now.Loss > 0 && l.random() < now.Loss
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case l == nil:
		r.counters.UnknownSender++
	case now.CutOut:
		r.counters.Cut++
	case lost:
		r.counters.Lost++
	case len(r.packets) >= maxPackets || r.bytes+len(data) > maxPacketBytes:
		r.counters.Overflowed++
	default:
		r.counters.Forwarded++
		r.counters.Bytes += int64(len(data))
		r.bytes += len(data)
		heap.Push(&r.packets, packet{time.Now().Add(l.delay + now.Delay), r.counters.Forwarded, append([]byte(nil), data...)})
		select {
		case r.queued <- struct{}{}:
		default:
		}
	}
}

// random returns a random number in [0, 1).
func (l *Link) random() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// send forwards queued datagrams when they are due. Errors are ignored, since a network may lose datagrams.
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
			if to := r.target.Load(); to != nil {
				_, _ = r.udp.WriteToUDP(next.data, to)
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-r.queued:
		case <-r.closed:
			return
		}
	}
}

// accept accepts connections and forwards each over its sender's link.
func (r *Relay) accept() {
	for {
		raw, err := r.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryPause)
			continue
		}
		from := raw.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
		l := r.link(from)
		if l == nil {
			raw.Close()
			continue
		}
		conn := l.newConn(raw.(*net.TCPConn), false)
		if effect := l.effect.Load(); effect.Refuse || effect.ResetNew {
			conn.Reset()
			continue
		}
		go r.forward(conn)
	}
}

// forward waits for the first bytes of a connection before it connects to the program, so that the program
// sees no connection over a cut link.
func (r *Relay) forward(conn *Conn) {
	first := make([]byte, 4<<10)
	n, err := conn.Read(first)
	to := r.target.Load()
	if err != nil || to == nil {
		conn.Reset()
		return
	}
	passed := Forward(conn, to.String(), first[:n])
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Bytes += passed
}

// Forward forwards a connection to a program's address in both directions until both have ended; first is
// sent to the program before any other bytes. It returns the number of bytes forwarded in both directions.
func Forward(conn *Conn, to string, first []byte) (forwarded int64) {
	upstream, err := net.DialTimeout("tcp", to, relayDialTimeout)
	if err != nil {
		conn.Reset()
		return 0
	}
	var copies sync.WaitGroup
	var sent, received int64
	copies.Go(func() {
		if n, err := upstream.Write(first); err == nil {
			sent, _ = io.Copy(upstream, conn)
			sent += int64(n)
		}
		upstream.Close()
	})
	copies.Go(func() {
		received, _ = io.Copy(conn, upstream)
		conn.Close()
	})
	copies.Wait()
	return sent + received
}
