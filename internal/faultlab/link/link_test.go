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

// A cut holds for good in these tests, and what is seen within short is what passes; what must not pass is given less,
// which can only miss a fault on a busy machine, never find one that is not there.
const (
	passTimeout    = 10 * time.Second
	blockedTimeout = 150 * time.Millisecond
)

func allLinks(Ends) bool { return true }

// newEcho is a link to a server that sends lines back, its address, and the lines that it has heard.
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

func dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, blockedTimeout) }

// says sends a line and tells whether it comes back within the time.
func sendLine(c net.Conn, text string, within time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := fmt.Fprintln(c, text); err != nil {
		return err
	}
	return expectLine(c, text, within)
}

func expectLine(c net.Conn, text string, within time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(within))
	buf := make([]byte, len(text)+1)
	if _, err := io.ReadFull(c, buf); err != nil {
		return err
	}
	if string(buf) != text+"\n" {
		return fmt.Errorf("heard %q", buf)
	}
	return nil
}

func TestEffects(t *testing.T) {
	for _, test := range []struct {
		name     string
		effect   Effect
		arrives  bool  // what is said on a connection that was open before
		passes   bool  // and comes back
		connects error // of a new one; nil: it comes up
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
				t.Errorf("during: passed %v (%v)", passed, err)
			}
			if !test.passes && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("during: %v, want silence: the connection stays open", err)
			}
			if test.arrives {
				select {
				case got := <-received:
					if got != "during\n" {
						t.Errorf("the server heard %q", got)
					}
				case <-time.After(passTimeout):
					t.Error("what was said did not arrive")
				}
			} else if len(received) > 0 {
				t.Error("the server heard what was cut off")
			}
			other, err := dial(addr)
			if !errors.Is(err, test.connects) && !(test.connects == os.ErrDeadlineExceeded && errors.Is(err, context.DeadlineExceeded)) {
				t.Errorf("connect: %v, want %v", err, test.connects)
			}
			if other != nil {
				other.Close()
			}
			if err := end(); err != nil {
				t.Fatal(err)
			}
			if !test.passes { // what was held comes late, and is not lost
				if err := expectLine(c, "during", passTimeout); err != nil {
					t.Errorf("after the end: %v", err)
				}
			}
			again, err := net.DialTimeout("tcp", addr, passTimeout)
			if err != nil {
				t.Fatalf("connect after the end: %v", err)
			}
			defer again.Close()
			if err := sendLine(again, "after", passTimeout); err != nil {
				t.Errorf("after the end, anew: %v", err)
			}
		})
	}
}

// A fault that ends while another holds takes only its own away.
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
		t.Errorf("while the second holds: %v", err)
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
		t.Error("there was one connection to reset")
	}
	_ = c.SetDeadline(time.Now().Add(passTimeout))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: %v", err)
	}
}

// A link that is made while faults begin and end is what they leave it.
func TestNewLinkHasActiveEffects(t *testing.T) {
	const host = "127.0.0.6" // where nobody else's connections take a port while it is closed
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

// The word of a close does not cross a cut; it comes when that ends.
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
		t.Errorf("over the cut: %v", err)
	}
	if err := end(); err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(passTimeout))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("after it: %v", err)
	}
}

// What was written after the peer had ended its sending is known as such, whenever that end is read.
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
			t.Errorf("got %v, want %v", got, closed)
		}
	}
}
