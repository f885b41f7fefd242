package transport

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	maxDatagramBytes   = 1400                  // of a sent datagram; not fragmented on common links
	datagramBufferSize = 2048                  // larger, so that oversized datagrams are detected
	maxQueuedDatagrams = 256                   // datagrams waiting for memberlist, 350 KB at most
	maxInboundStreams  = 8                     // connections opened by other members
	labelTimeout       = time.Second           // for a new connection to send its label
	socketErrorPause   = 50 * time.Millisecond // keeps a failing socket from using a whole CPU core
	listenAttempts     = 8                     // the port that the kernel chose for TCP may be in use for UDP

	// Input that waited longer, in the kernel or while this process was stopped, is dropped, because its
	// entries are older than their ages say. By then the sender's probe has failed, and the sender publishes
	// the entries again.
	maxInputDelay = 500 * time.Millisecond

	// MaxDescriptors is the maximum number of file descriptors of a node: two sockets, the
	// connections that others opened, and half as many that it opened itself.
	MaxDescriptors = 2 + maxInboundStreams + maxInboundStreams/2
)

// network implements memberlist.NodeAwareTransport. Memberlist's own transport would allocate 64 KiB per
// datagram, accept any number of connections and count nothing. Labels are checked here, so that messages of
// other clusters are counted and not processed.
type network struct {
	label             string
	bound             *net.TCPAddr
	udp               *net.UDPConn
	tcp               *net.TCPListener
	packets           chan *memberlist.Packet
	streams           chan net.Conn
	rejected          *rejections
	bytesIn, bytesOut atomic.Int64
	onReceive         func() // called when another member sent something with the cluster's label

	stop     chan struct{}
	stopOnce sync.Once
	tasks    sync.WaitGroup
	slots    chan struct{} // holds one element for each connection that others opened

	mu     sync.Mutex
	open   map[*stream]bool
	closed bool
}

var _ memberlist.NodeAwareTransport = (*network)(nil)

// listen opens a TCP and a UDP socket on the same port, which the kernel chooses if it is 0. The error is an
// *OpenError.
func listen(address netip.AddrPort, label string, rejected *rejections, onReceive func()) (*network, error) {
	var lastErr error
	for range listenAttempts {
		tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err != nil {
			return nil, &OpenError{address.String(), err}
		}
		bound := tcp.Addr().(*net.TCPAddr)
		udp, err := listenUDP(bound)
		if err != nil {
			tcp.Close()
			if lastErr = err; address.Port() != 0 {
				break
			}
			continue
		}
		t := &network{label: label, bound: bound, udp: udp, tcp: tcp,
			packets: make(chan *memberlist.Packet, maxQueuedDatagrams), streams: make(chan net.Conn),
			rejected: rejected, onReceive: onReceive, stop: make(chan struct{}),
			slots: make(chan struct{}, maxInboundStreams), open: map[*stream]bool{}}
		t.tasks.Go(t.readDatagrams)
		t.tasks.Go(t.acceptStreams)
		return t, nil
	}
	return nil, &OpenError{address.String(), lastErr}
}

// address returns the address that the sockets are bound to.
func (t *network) address() string {
	return net.JoinHostPort(t.bound.IP.String(), strconv.Itoa(t.bound.Port))
}

// pause waits for socketErrorPause after a socket error, or until the network shuts down.
func (t *network) pause() {
	select {
	case <-time.After(socketErrorPause):
	case <-t.stop:
	}
}

// FinalAdvertiseAddr implements memberlist.Transport. It returns the address that is announced to other
// members.
func (t *network) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	if ip == "" {
		return t.bound.IP, t.bound.Port, nil
	}
	if port == 0 {
		port = t.bound.Port
	}
	address := net.ParseIP(ip)
	if address == nil {
		return nil, 0, fmt.Errorf("advertise %q: %w", ip, errInvalidIP)
	}
	return address, port, nil
}

// PacketCh implements memberlist.Transport. It returns the channel of received datagrams.
func (t *network) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport. It returns the channel of accepted connections.
func (t *network) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo implements memberlist.Transport. It sends a datagram.
func (t *network) WriteTo(b []byte, address string) (time.Time, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return time.Time{}, err
	}
	n, err := t.udp.WriteToUDPAddrPort(b, to)
	t.bytesOut.Add(int64(n))
	return time.Now(), err
}

// WriteToAddress implements memberlist.NodeAwareTransport. It sends a datagram; the node's name is not used.
func (t *network) WriteToAddress(b []byte, address memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, address.Addr)
}

// DialTimeout implements memberlist.Transport. It connects from the bound IP, so that others can identify the
// member by it.
func (t *network) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1}
	if !t.bound.IP.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: t.bound.IP, Zone: t.bound.Zone}
	}
	go func() {
		select {
		case <-t.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s := t.track(conn, nil)
	if s == nil {
		return nil, net.ErrClosed
	}
	return s, nil
}

// DialAddressTimeout implements memberlist.NodeAwareTransport. It is DialTimeout; the node's name is not
// used.
func (t *network) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}

// Shutdown closes the sockets and all connections, and waits for the goroutines that read them.
func (t *network) Shutdown() error {
	t.stopOnce.Do(func() {
		close(t.stop)
		t.udp.Close()
		t.tcp.Close()
		t.mu.Lock()
		t.closed = true
		open := slices.Collect(maps.Keys(t.open))
		t.mu.Unlock()
		for _, s := range open {
			s.Close()
		}
	})
	t.tasks.Wait()
	return nil
}
