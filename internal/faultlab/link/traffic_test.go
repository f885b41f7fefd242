package link

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestTraffic checks that bytes are counted by direction, on a link that a program dials and on one that the
// lab dials.
func TestTraffic(t *testing.T) {
	n := New(1)
	defer n.Close()
	addr := freeAddress(t)
	if _, err := n.Listen(Ends{Kind: "list", From: "p"}, addr, time.Millisecond, func(conn *Conn) {
		b := make([]byte, 16)
		k, _ := conn.Read(b)
		_, _ = conn.Write(append(b[:k], "and more"...))
		_ = conn.Close()
	}); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); err != nil || string(got) != "helloand more" {
		t.Fatalf("%q, %v", got, err)
	}
	d, err := n.Dialer(Ends{Kind: "client"}, 0).Dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Write([]byte("hi")); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(d); err != nil || string(got) != "hiand more" {
		t.Fatalf("%q, %v", got, err)
	}
	got := map[string]Traffic{}
	n.EachTraffic(func(e Ends, t Traffic) { got[e.Kind] = got[e.Kind].Add(t) })
	for kind, want := range map[string]Traffic{
		"list":   {FromDialer: 7, ToDialer: 23, Chunks: 2, Connections: 2},
		"client": {FromDialer: 2, ToDialer: 10, Chunks: 1, Connections: 1},
	} {
		if got[kind] != want {
			t.Errorf("links of kind %s have traffic %+v, want %+v", kind, got[kind], want)
		}
	}
	if z := got["list"].Sub(got["list"]); z != (Traffic{}) {
		t.Errorf("the difference of equal amounts of traffic is %+v, want none", z)
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
