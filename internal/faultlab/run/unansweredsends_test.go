package run

import (
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"merlinpick/internal/faultlab/link"
)

// A dial over a link on which none comes up stands in the kernel's table under the address that the link is
// known by, and nothing else of the link's does.
func TestPendingDials(t *testing.T) {
	n := link.New(1)
	defer n.Close()
	held, err := net.Listen("tcp", "127.0.0.9:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := held.Addr().String()
	held.Close()
	if _, err := n.Listen(link.Ends{Kind: "nodo", To: "s"}, addr, 0, func(*link.Conn) {}); err != nil {
		t.Fatal(err)
	}
	up, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer up.Close()
	if len(n.Blocked()) > 0 {
		t.Error("barred before a fault")
	}
	if _, err := n.Apply(func(link.Ends) bool { return true }, link.Silent); err != nil {
		t.Fatal(err)
	}
	if ends := n.Blocked()[addr]; ends.To != "s" {
		t.Errorf("barred: %+v", n.Blocked())
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		if c, err := net.DialTimeout("tcp", addr, 3*time.Second); err == nil {
			c.Close()
		}
	}()
	count := func() (of int) {
		text, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range pendingDials(text) {
			if d.to == netip.MustParseAddrPort(addr) {
				of++
			}
		}
		return of
	}
	for n := 0; n == 0; n = count() {
		select {
		case <-gone:
			t.Fatal("the dial was never seen")
		case <-time.After(time.Millisecond):
		}
	}
	if n := count(); n > 1 {
		t.Errorf("%d dials, want 1: connections that are up are none", n)
	}
	<-gone
}
