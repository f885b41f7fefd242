package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// Timeouts of the tests. Bytes that must pass get passTimeout. Bytes that must not pass are awaited for
// blockedTimeout only, since a cut in these tests lasts until the test ends it: on a busy machine that can
// miss a fault but never report one that does not exist.
const (
	passTimeout    = 10 * time.Second
	blockedTimeout = 150 * time.Millisecond
)

// allLinks matches every link.
func allLinks(Ends) bool { return true }

// newEchoServer returns a network with a link to a server that echoes lines, the server's address, and a
// channel with the lines that the server has received.
func newEchoServer(t *testing.T) (*Net, string, <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	n, received := New(1), make(chan string, 100)
	if _, err := n.Listen(Ends{Kind: "nodo", To: "s"}, addr, 0, func(conn *Conn) {
		defer conn.Close()
		for r := bufio.NewReader(conn); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			received <- line
			_, _ = conn.Write([]byte(line))
		}
	}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close(); goleak.VerifyNone(t) })
	return n, addr, received
}

// dial connects to an address within blockedTimeout.
func dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, blockedTimeout) }

// sendLine sends a line and returns an error unless it is echoed within the time.
func sendLine(c net.Conn, text string, within time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := fmt.Fprintln(c, text); err != nil {
		return err
	}
	return expectLine(c, text, within)
}

// expectLine reads a line and returns an error unless it is text and arrives within the time.
func expectLine(c net.Conn, text string, within time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(within))
	buf := make([]byte, len(text)+1)
	if _, err := io.ReadFull(c, buf); err != nil {
		return err
	}
	if string(buf) != text+"\n" {
		return fmt.Errorf("received another line than expected: %q", buf)
	}
	return nil
}

// TestEffects checks what each effect does to an open connection and to new ones, and that everything passes
// again after its end.
func TestEffects(t *testing.T) {
	for _, test := range []struct {
		name     string
		effect   Effect
		arrives  bool  // whether a line on a connection that was open before reaches the server
		passes   bool  // whether its echo comes back
		connects error // error of a new connect; nil if it succeeds
	}{
		{"nothing", Effect{}, true, true, nil},
		{"silent", Silent, false, false, os.ErrDeadlineExceeded},
		{"answers are lost", Effect{CutBack: true}, true, false, nil},
		{"requests are lost", Effect{CutOut: true, NoConnect: true}, false, false, os.ErrDeadlineExceeded},
		{"refused", Effect{Refuse: true}, true, true, syscall.ECONNREFUSED},
	} {
		t.Run(test.name, func(t *testing.T) {
			n, addr, received := newEchoServer(t)
			c, err := dial(addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if err := sendLine(c, "before", passTimeout); err != nil {
				t.Fatal(err)
			}
			<-received
			end, err := n.Apply(allLinks, test.effect)
			if err != nil {
				t.Fatal(err)
			}
			wait := blockedTimeout
			if test.passes {
				wait = passTimeout
			}
			err = sendLine(c, "during", wait)
			if passed := err == nil; passed != test.passes {
				t.Errorf("during the effect a line was echoed: %v (%v)", passed, err)
			}
			if !test.passes && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("during the effect: %v, want a timeout on a connection that stays open", err)
			}
			if test.arrives {
				select {
				case got := <-received:
					if got != "during\n" {
						t.Errorf("the server received %q, want the line sent during the effect", got)
					}
				case <-time.After(passTimeout):
					t.Error("the line sent during the effect did not reach the server")
				}
			} else if len(received) > 0 {
				t.Error("the server received a line over a cut link")
			}
			other, err := dial(addr)
			if !errors.Is(err, test.connects) && !(test.connects == os.ErrDeadlineExceeded && errors.Is(err, context.DeadlineExceeded)) {
				t.Errorf("connect during the effect: %v, want %v", err, test.connects)
			}
			if other != nil {
				other.Close()
			}
			if err := end(); err != nil {
				t.Fatal(err)
			}
			if !test.passes { // a cut delays the line but does not lose it
				if err := expectLine(c, "during", passTimeout); err != nil {
					t.Errorf("the line held by the effect did not come after its end: %v", err)
				}
			}
			again, err := net.DialTimeout("tcp", addr, passTimeout)
			if err != nil {
				t.Fatalf("connect after the end of the effect: %v", err)
			}
			defer again.Close()
			if err := sendLine(again, "after", passTimeout); err != nil {
				t.Errorf("new connection after the end of the effect: %v", err)
			}
		})
	}
}

// TestEffectsOverlap checks that the end of an effect leaves another active effect in place, and that Reset
// resets open connections.
func TestEffectsOverlap(t *testing.T) {
	n, addr, _ := newEchoServer(t)
	first, err := n.Apply(allLinks, Effect{Refuse: true})
	if err != nil {
		t.Fatal(err)
	}
	second, err := n.Apply(func(e Ends) bool { return e.To == "s" }, Effect{Refuse: true, CutBack: true})
	if err != nil {
		t.Fatal(err)
	}
	if err := first(); err != nil {
		t.Fatal(err)
	}
	if _, err := dial(addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connect while the second effect is active: %v, want it refused", err)
	}
	if err := second(); err != nil {
		t.Fatal(err)
	}
	c, err := net.DialTimeout("tcp", addr, passTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := sendLine(c, "free", passTimeout); err != nil {
		t.Error(err)
	}
	if n.Reset(allLinks) != 1 {
		t.Error("Reset did not report one reset connection")
	}
	_ = c.SetDeadline(time.Now().Add(passTimeout))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read after Reset: %v, want a connection reset", err)
	}
}

// TestNewLinkHasActiveEffects checks that links created while effects begin and end have no effect left after
// all effects have ended.
func TestNewLinkHasActiveEffects(t *testing.T) {
	// On this address no other connection takes a link's port while the link has it closed.
	const host = "127.0.0.6"
	n, _, _ := newEchoServer(t)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
			}
			end, err := n.Apply(func(e Ends) bool { return e.To == "" }, Effect{Refuse: true})
			if err != nil {
				t.Error(err)
			}
			n.Blocked()
			if err := end(); err != nil {
				t.Error(err)
			}
		}
	}()
	var addrs []string
	for range 20 {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, l.Addr().String())
		l.Close()
		if _, err := n.Listen(Ends{}, addrs[len(addrs)-1], 0, func(conn *Conn) { conn.Close() }); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	<-stopped
	for _, a := range addrs {
		c, err := net.DialTimeout("tcp", a, passTimeout)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
}

// TestCloseOverCut checks that a close does not pass a cut link before the cut ends.
func TestCloseOverCut(t *testing.T) {
	n, addr, _ := newEchoServer(t)
	c, err := dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := sendLine(c, "open", passTimeout); err != nil {
		t.Fatal(err)
	}
	end, err := n.Apply(allLinks, Silent)
	if err != nil {
		t.Fatal(err)
	}
	l := n.links[0]
	l.mu.Lock()
	for inner := range l.conns {
		inner.Close()
	}
	l.mu.Unlock()
	_ = c.SetDeadline(time.Now().Add(blockedTimeout))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read during the cut: %v, want a timeout", err)
	}
	if err := end(); err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(passTimeout))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read after the cut: %v, want the end of the stream", err)
	}
}

// TestPeerClosedBeforeWrite checks that a write after the peer has closed its sending side is reported as
// such, whether or not the end was read before.
func TestPeerClosedBeforeWrite(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	lnk := New(1)
	defer lnk.Close()
	for _, closed := range []bool{false, true} {
		conn, err := lnk.Dialer(Ends{}, 0).Dial(t.Context(), l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		peer, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
		if closed {
			_ = peer.(*net.TCPConn).CloseWrite()
		}
		written := make(chan struct{})
		if err := conn.WriteThen([]byte("x"), func(time.Time) { close(written) }); err != nil {
			t.Fatal(err)
		}
		<-written
		if got := conn.PeerClosedBeforeWrite(); got != closed {
			t.Errorf("PeerClosedBeforeWrite returned %v, want %v", got, closed)
		}
	}
}
