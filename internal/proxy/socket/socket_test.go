package socket

import (
	"bytes"
	"net"
	"testing"
	"time"
)

// connectedPair returns the ends of a TCP connection, which are closed at the end of the test.
func connectedPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return client, server
}

// TestPeekAtShowsBytesBehindOffset checks that PeekAt shows the unread bytes from any offset on, consumes none,
// and shows nothing behind the last one.
func TestPeekAtShowsBytesBehindOffset(t *testing.T) {
	client, server := connectedPair(t)
	_ = server.(*net.TCPConn).SetReadBuffer(200 << 10)
	text := make([]byte, 2*len(skippedBytes)+len(skippedBytes)/4)
	for i := range text {
		text[i] = byte(i / 7)
	}
	if _, err := client.Write(text); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); Unread(server) < int64(len(text)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d bytes have arrived", Unread(server), len(text))
		}
	}
	buf := make([]byte, 1000)
	for _, offset := range []int{0, 1, len(skippedBytes) - 1, len(skippedBytes), 2*len(skippedBytes) + 5, len(text) - 10, len(text), len(text) + 1} {
		want := text[min(offset, len(text)):min(offset+len(buf), len(text))]
		if n := PeekAt(server, int64(offset), buf); !bytes.Equal(buf[:n], want) {
			t.Errorf("at %d: got %d bytes, want the %d that were sent", offset, n, len(want))
		}
	}
	if n := Unread(server); n != int64(len(text)) {
		t.Errorf("%d bytes are unread afterwards, want all %d", n, len(text))
	}
}

// TestSinceArrivalCountsWhetherReadOrNot checks that the time since the last bytes arrived is never too long, and at most
// some clock periods too short, before and after they are read.
func TestSinceArrivalCountsWhetherReadOrNot(t *testing.T) {
	client, server := connectedPair(t)
	before := time.Now()
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	arrived := time.Now()
	const wait, tolerance = 100 * time.Millisecond, 3 * arrivalResolution
	time.Sleep(wait)
	raw, err := server.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, state := range []string{"unread", "read"} {
		shortest := time.Since(arrived) - tolerance
		age := SinceArrival(raw)
		if longest := time.Since(before); age < shortest || age > longest {
			t.Errorf("%s: got %v since the arrival, want %v to %v", state, age, shortest, longest)
		}
		if state == "read" {
			return
		}
		if _, err := server.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
}
