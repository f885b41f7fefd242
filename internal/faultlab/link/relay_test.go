package link

import (
	"bufio"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// echoProgram receives datagrams and echoes lines of connections on one port, and counts its connections.
type echoProgram struct {
	addr     string
	received chan string
	conns    atomic.Int32
}

// newEchoProgram starts a program that runs until the test ends.
func newEchoProgram(t *testing.T) *echoProgram {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	p := &echoProgram{received: make(chan string, 100)}
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(l.Addr().String())))
		if err != nil { // the port is taken in UDP
			l.Close()
			continue
		}
		p.addr = l.Addr().String()
		go func() {
			buf := make([]byte, 100)
			for {
				n, _, err := u.ReadFromUDP(buf)
				if err != nil {
					return
				}
				p.received <- string(buf[:n])
			}
		}()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				p.conns.Add(1)
				go func() {
					defer c.Close()
					for r := bufio.NewReader(c); ; {
						line, err := r.ReadString('\n')
						if err != nil {
							return
						}
						_, _ = c.Write([]byte(line))
					}
				}()
			}
		}()
		t.Cleanup(func() { l.Close(); u.Close() })
		return p
	}
}

// newRelay returns a relay in front of a program. It knows the senders 127.0.0.2 and 127.0.0.3 as a and b.
func newRelay(t *testing.T, p *echoProgram) (*Net, *Relay) {
	t.Helper()
	n := New(1)
	t.Cleanup(n.Close)
	names := map[string]string{"127.0.0.2": "a", "127.0.0.3": "b"}
	for range 20 {
		r, err := n.Relay("127.0.0.5:0", func(ip netip.Addr) (Ends, time.Duration, bool) {
			name := names[ip.String()]
			return Ends{Kind: "gossip", From: name, To: "p"}, 0, name != ""
		})
		if err != nil { // the port is taken in TCP
			continue
		}
		if err := r.SetTarget(p.addr); err != nil {
			t.Fatal(err)
		}
		return n, r
	}
	t.Fatal("no port is free in UDP and TCP")
	return nil, nil
}

// fromA matches the links from sender a.
func fromA(e Ends) bool { return e.From == "a" }

// sendDatagram sends a datagram from an IP to an address.
func sendDatagram(t *testing.T, from, to, text string) {
	t.Helper()
	c, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(from+":0")),
		net.UDPAddrFromAddrPort(netip.MustParseAddrPort(to)))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// TestRelayDatagrams checks what a link's effects do to datagrams: an effect is applied to sender a, and b
// sends its datagram after a.
func TestRelayDatagrams(t *testing.T) {
	for _, test := range []struct {
		name     string
		effect   Effect
		want     string
		counters RelayCounters
	}{
		{"nothing", Effect{}, "ab", RelayCounters{Forwarded: 2, UnknownSender: 1}},
		{"what it sends is cut", Effect{CutOut: true}, "b", RelayCounters{Forwarded: 1, Cut: 1, UnknownSender: 1}},
		{"what it is sent is cut", Effect{CutBack: true}, "ab", RelayCounters{Forwarded: 2, UnknownSender: 1}},
		{"lost", Effect{Loss: 1}, "b", RelayCounters{Forwarded: 1, Lost: 1, UnknownSender: 1}},
		{"late", Effect{Delay: 2 * time.Second}, "ba", RelayCounters{Forwarded: 2, UnknownSender: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newEchoProgram(t)
			n, r := newRelay(t, p)
			if _, err := n.Apply(fromA, test.effect); err != nil {
				t.Fatal(err)
			}
			for _, from := range []struct{ ip, text string }{{"127.0.0.4", "x"}, {"127.0.0.2", "a"}, {"127.0.0.3", "b"}} {
				sendDatagram(t, from.ip, r.Address(), from.text)
			}
			got := ""
			for range test.want {
				select {
				case text := <-p.received:
					got += text
				case <-time.After(passTimeout):
				}
			}
			if got != test.want || len(p.received) > 0 {
				t.Errorf("the program received %q and %d more datagrams, want %q",
					got, len(p.received), test.want)
			}
			test.counters.Bytes = int64(test.counters.Forwarded) // each datagram has one byte
			if passed := r.Counters(); passed != test.counters {
				t.Errorf("the relay counted %+v, want %+v", passed, test.counters)
			}
		})
	}
}

// TestRelayConnections checks that over a cut link a connection is established but passes no bytes and opens
// no connection at the program, that another sender's connection works, and that held bytes pass after the
// cut.
func TestRelayConnections(t *testing.T) {
	p := newEchoProgram(t)
	n, r := newRelay(t, p)
	end, err := n.Apply(fromA, Silent)
	if err != nil {
		t.Fatal(err)
	}
	from := func(ip string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: passTimeout}
		c, err := d.Dial("tcp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	a, b := from("127.0.0.2"), from("127.0.0.3")
	defer a.Close()
	defer b.Close()
	if err := sendLine(a, "held", blockedTimeout); err == nil {
		t.Error("a line of sender a was echoed over a cut link")
	}
	if err := sendLine(b, "passes", passTimeout); err != nil {
		t.Error(err)
	}
	if got := p.conns.Load(); got != 1 {
		t.Errorf("the program has %d connections, want only that of sender b", got)
	}
	if err := end(); err != nil {
		t.Fatal(err)
	}
	if err := expectLine(a, "held", passTimeout); err != nil {
		t.Errorf("the held line did not come after the end of the cut: %v", err)
	}
	if n.Reset(fromA) != 1 {
		t.Error("Reset did not report one reset connection of sender a")
	}
}
