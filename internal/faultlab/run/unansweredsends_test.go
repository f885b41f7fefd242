package run

import (
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"merlinpick/internal/faultlab/link"
)

// The kernel's table shows a dial over a link that establishes no connections, under the address of the link,
// and pendingDials does not return the link's established connections.
func TestPendingDials(t *testing.T) {
	n := link.New(1)
	defer n.Close()
	reserved, err := net.Listen("tcp", "127.0.0.9:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := reserved.Addr().String()
	reserved.Close()
	if _, err := n.Listen(link.Ends{Kind: "nodo", To: "s"}, addr, 0, func(*link.Conn) {}); err != nil {
		t.Fatal(err)
	}
	established, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer established.Close()
	if len(n.Blocked()) > 0 {
		t.Error("a link is blocked before the fault")
	}
	if _, err := n.Apply(func(link.Ends) bool { return true }, link.Silent); err != nil {
		t.Fatal(err)
	}
	if ends := n.Blocked()[addr]; ends.To != "s" {
		t.Errorf("blocked links: got %+v, want the link to s at its address", n.Blocked())
	}
	dialEnded := make(chan struct{})
	go func() {
		defer close(dialEnded)
		if c, err := net.DialTimeout("tcp", addr, 3*time.Second); err == nil {
			c.Close()
		}
	}()
	count := func() (number int) {
		text, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range pendingDials(text) {
			if d.to == netip.MustParseAddrPort(addr) {
				number++
			}
		}
		return number
	}
	for n := 0; n == 0; n = count() {
		select {
		case <-dialEnded:
			t.Fatal("the kernel's table never showed the dial")
		case <-time.After(time.Millisecond):
		}
	}
	if n := count(); n > 1 {
		t.Errorf("got %d pending dials, want 1 without the established connection", n)
	}
	<-dialEnded
}
