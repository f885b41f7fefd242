package transport

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/sys/unix"
)

const (
	maxDatagramBytes  = 1400        // bytes of a datagram, as sent: it passes any common link whole
	packetRoom        = 2048        // and as read, so that a longer one is known by its length
	packetQueue       = 256         // datagrams that wait for memberlist; 350 KB at most
	maxInboundStreams = 8           // connections that others opened, at one time
	headLife          = time.Second // for its label to come
	// A datagram or a connection that waited longer in the kernel is not read: the process was stopped or starved, and
	// what it holds is older than its ages say. The sender's probe is lost by then, and what it told is told again.
	maxKernelWait = 500 * time.Millisecond
	// Descriptors that a link holds at most: two listeners, those that others opened and half as many of its own.
	MaxDescriptors = 2 + maxInboundStreams + maxInboundStreams/2
)

// Reasons why something that came was not read.
const (
	rejectLabel  = "label"
	rejectLength = "length"
	rejectLate   = "late"
	rejectMany   = "many"
)

// transport is memberlist's way to the network. In its stead memberlist's own would leave 64 KiB of garbage for each
// datagram, open connections from any address, and count nothing. Labels are checked here, so that what bears another
// fleet's is counted and goes no further.
type network struct {
	label   string
	bound   *net.TCPAddr
	udp     *net.UDPConn
	tcp     *net.TCPListener
	packets chan *memberlist.Packet
	streams chan net.Conn
	refused *rejections
	in, out atomic.Int64
	heard   func() // something came that bears the fleet's label

	stop  chan struct{}
	once  sync.Once
	tasks sync.WaitGroup
	slots chan struct{} // one for each connection that others opened
	mu    sync.Mutex
	conns map[*stream]bool
	ended bool
}

// listen opens both sockets on one port, which the kernel chooses where none is given.
func listen(addr netip.AddrPort, label string, refused *rejections, heard func()) (*network, error) {
	var last error
	for range 8 { // a chosen port may be taken for UDP
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
		if err != nil {
			return nil, &OpenError{addr.String(), err}
		}
		bound := l.Addr().(*net.TCPAddr)
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: bound.IP, Port: bound.Port, Zone: bound.Zone})
		if err == nil {
			err = enableTimestamps(u)
		}
		if err != nil {
			l.Close()
			if u != nil {
				u.Close()
			}
			if last = err; addr.Port() != 0 {
				break
			}
			continue
		}
		t := &network{label: label, bound: bound, udp: u, tcp: l, packets: make(chan *memberlist.Packet, packetQueue),
			streams: make(chan net.Conn), refused: refused, heard: heard, stop: make(chan struct{}),
			slots: make(chan struct{}, maxInboundStreams), conns: map[*stream]bool{}}
		t.tasks.Go(t.readPackets)
		t.tasks.Go(t.accept)
		return t, nil
	}
	return nil, &OpenError{addr.String(), last}
}

// stamp has the kernel say when each datagram came.
func enableTimestamps(c *net.UDPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	if err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	}); err != nil {
		return err
	}
	return set
}

// waited tells how long a datagram lay in the kernel; 0 where that is not told. A wall clock that was set meanwhile
// costs the datagrams of that moment at most.
func kernelWait(oob []byte) time.Duration {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return 0
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMPNS && len(m.Data) >= 16 {
			sec := int64(binary.NativeEndian.Uint64(m.Data))
			ns := int64(binary.NativeEndian.Uint64(m.Data[8:]))
			return time.Since(time.Unix(sec, ns))
		}
	}
	return 0
}

func (t *network) readPackets() {
	buf := make([]byte, packetRoom)
	oob := make([]byte, 64)
	for {
		n, oobn, _, from, err := t.udp.ReadMsgUDPAddrPort(buf, oob)
		now := time.Now()
		select {
		case <-t.stop:
			return
		default:
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			t.pause()
			continue
		}
		t.in.Add(int64(n))
		body, label, err := memberlist.RemoveLabelHeaderFromPacket(buf[:n])
		switch {
		case n > maxDatagramBytes+len(t.label)+2: // memberlist puts its label's head on a packet that is full already
			t.refused.add(rejectLength)
			continue
		case err != nil || label != t.label || len(body) == 0:
			t.refused.add(rejectLabel)
			continue
		case kernelWait(oob[:oobn]) > maxKernelWait:
			t.refused.add(rejectLate)
			continue
		}
		if !t.own(from) {
			t.heard()
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), body...), From: net.UDPAddrFromAddrPort(from), Timestamp: now}
		select {
		case t.packets <- p:
		default:
			t.refused.add(rejectMany)
		}
	}
}

// own tells whether an address is this link's: a seed may name it.
func (t *network) own(from netip.AddrPort) bool {
	return int(from.Port()) == t.bound.Port && t.bound.IP.Equal(from.Addr().Unmap().AsSlice())
}

// pause is for a socket that fails: it must not take a core.
func (t *network) pause() {
	select {
	case <-time.After(50 * time.Millisecond):
	case <-t.stop:
	}
}

func (t *network) accept() {
	for {
		c, err := t.tcp.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			t.pause()
			continue
		}
		select {
		case t.slots <- struct{}{}:
		default:
			t.refused.add(rejectMany)
			c.Close()
			continue
		}
		s := t.keep(c, func() { <-t.slots })
		if s == nil {
			return
		}
		t.tasks.Go(func() { t.greet(c, s) })
	}
}

// greet hands a connection on once it has shown the fleet's label.
func (t *network) greet(c *net.TCPConn, s *stream) {
	_ = s.Conn.SetDeadline(time.Now().Add(headLife))
	in, label, err := memberlist.RemoveLabelHeaderFromStream(s)
	late := idle(c) > maxKernelWait
	switch {
	case err != nil || label != t.label:
		t.refused.add(rejectLabel)
	case late:
		t.refused.add(rejectLate)
	default:
		_ = s.Conn.SetDeadline(s.end)
		t.heard() // the link does not join itself
		select {
		case t.streams <- in:
			return
		case <-t.stop:
		}
	}
	s.Close()
}

// idle tells since when nothing has come on a connection; 0 where that cannot be told.
func idle(c *net.TCPConn) time.Duration {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var d time.Duration
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			d = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return d
}

// FinalAdvertiseAddr is the address that others are told, as memberlist was configured with it.
func (t *network) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	if ip == "" {
		return t.bound.IP, t.bound.Port, nil
	}
	if port == 0 {
		port = t.bound.Port
	}
	a := net.ParseIP(ip)
	if a == nil {
		return nil, 0, fmt.Errorf("%q is no IP address", ip)
	}
	return a, port, nil
}

func (t *network) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	n, err := t.udp.WriteToUDPAddrPort(b, to)
	t.out.Add(int64(n))
	return time.Now(), err
}

func (t *network) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// DialTimeout connects from the address that the link is bound to, so that others see where a connection comes from.
func (t *network) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	if !t.bound.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: t.bound.IP, Zone: t.bound.Zone}
	}
	go func() {
		select {
		case <-t.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	s := t.keep(c, nil)
	if s == nil {
		return nil, net.ErrClosed
	}
	return s, nil
}

func (t *network) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

func (t *network) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *network) StreamCh() <-chan net.Conn           { return t.streams }

// Shutdown ends the sockets and all connections, and waits for what reads them.
func (t *network) Shutdown() error {
	t.once.Do(func() {
		close(t.stop)
		t.udp.Close()
		t.tcp.Close()
		t.mu.Lock()
		t.ended = true
		var open []*stream
		for s := range t.conns {
			open = append(open, s)
		}
		t.mu.Unlock()
		for _, s := range open {
			s.Close()
		}
	})
	t.tasks.Wait()
	return nil
}

// addr is the address the link is bound to.
func (t *network) addr() string {
	return net.JoinHostPort(t.bound.IP.String(), strconv.Itoa(t.bound.Port))
}

// tally counts by reason.
type rejections struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (t *rejections) add(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int64{}
	}
	t.counts[reason]++
}
