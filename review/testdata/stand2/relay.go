package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// relay is the network on the way to one member of a cluster: it passes datagrams and connections on to the
// member's address, unless it is cut.
type relay struct {
	address string // under which the others reach the member
	target  string
	cut     atomic.Bool

	mu      sync.Mutex
	sources map[string]*net.UDPConn // one socket for each sender, by its address
	conns   map[net.Conn]bool
}

// newRelay starts a relay, with the same port for datagrams and connections.
func newRelay(target string) *relay {
	r := &relay{address: freeAddress(), target: target, sources: map[string]*net.UDPConn{}, conns: map[net.Conn]bool{}}
	tcp, err := net.Listen("tcp", r.address)
	must(err)
	udpAddress, err := net.ResolveUDPAddr("udp", r.address)
	must(err)
	udp, err := net.ListenUDP("udp", udpAddress)
	must(err)
	go r.acceptConns(tcp)
	go r.passDatagrams(udp)
	return r
}

// setCut cuts the way, or mends it. Connections that are open when it is cut end at the mending.
func (r *relay) setCut(cut bool) {
	r.cut.Store(cut)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !cut {
		for c := range r.conns {
			c.Close()
		}
		clear(r.conns)
	}
}

func (r *relay) passDatagrams(udp *net.UDPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, source, err := udp.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if r.cut.Load() {
			continue
		}
		if out := r.socketFor(udp, source); out != nil {
			_, _ = out.Write(buffer[:n])
		}
	}
}

// socketFor returns the socket from which the datagrams of a sender go to the target. What the target sends back
// to it goes to the sender.
func (r *relay) socketFor(udp *net.UDPConn, source *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if out := r.sources[source.String()]; out != nil {
		return out
	}
	target, err := net.ResolveUDPAddr("udp", r.target)
	must(err)
	out, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	r.sources[source.String()] = out
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := out.Read(buffer)
			if err != nil { // refused, while the member is down
				continue
			}
			if !r.cut.Load() {
				_, _ = udp.WriteToUDP(buffer[:n], source)
			}
		}
	}()
	return out
}

func (r *relay) acceptConns(tcp net.Listener) {
	for {
		in, err := tcp.Accept()
		if err != nil {
			return
		}
		go r.passConn(in)
	}
}

func (r *relay) passConn(in net.Conn) {
	r.mu.Lock()
	r.conns[in] = true
	r.mu.Unlock()
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		in.Close()
		return
	}
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			for n > 0 && r.cut.Load() { // silent until it is mended
				if _, err := io.ReadFull(from, buffer[:1]); err != nil {
					break
				}
			}
			if err != nil || r.cut.Load() {
				break
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		to.Close()
		from.Close()
	}
	go pass(out, in)
	pass(in, out)
}
