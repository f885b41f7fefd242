package downstream

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/upstream"
)

// TestClientTimeCountsFromRead guards against late answers to requests that were read in time and handled late, since
// their connection or its goroutine had to wait.
func TestClientTimeCountsFromRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := newPipeListener()
		listener := clientconn.NewListener(inner, clientconn.ListenerConfig{MakeRoom: func() {}, Logger: slog.New(slog.DiscardHandler)})
		listener.SetLimit(1)
		client, server := net.Pipe()
		go func() { inner.conns <- server }()
		c, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		go func() { _, _ = io.WriteString(client, "GET /read/k HTTP/1.1\r\nHost: h\r\n\r\n") }()
		if _, err := c.Read(make([]byte, 1<<10)); err != nil {
			t.Fatal(err)
		}
		const timeout, wait = 2 * time.Second, 300 * time.Millisecond
		want := time.Now().Add(timeout)
		time.Sleep(wait)
		if got := clientDeadline(&Request{clientConn: c, Outbound: upstream.Request{Timeout: timeout}}); !got.Equal(want) {
			t.Errorf("got a deadline %v behind the read of the last byte and %v, want them together", got.Sub(want), timeout)
		}
		client.Close()
		c.(*clientconn.Conn).CloseNow()
		listener.Close()
	})
}

// TestClientTimeCountsFromArrival guards against late answers to requests that waited in the kernel: their time counted
// only from the accept or the read.
func TestClientTimeCountsFromArrival(t *testing.T) {
	const timeout, wait, tolerance = 2 * time.Second, 300 * time.Millisecond, 50 * time.Millisecond
	const text = "GET /read/k HTTP/1.1\r\nHost: h\r\n\r\n"
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := clientconn.NewListener(inner, clientconn.ListenerConfig{MakeRoom: func() {}, Logger: slog.New(slog.DiscardHandler)})
	defer listener.Close()
	listener.SetLimit(1)
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var c net.Conn
	check := func(name string, receive func()) {
		earliest := time.Now().Add(timeout)
		if _, err := io.WriteString(client, text); err != nil {
			t.Fatal(err)
		}
		latest := time.Now().Add(timeout + tolerance)
		time.Sleep(wait)
		receive()
		got := clientDeadline(&Request{clientConn: c, Outbound: upstream.Request{Timeout: timeout}})
		if got.Before(earliest) || got.After(latest) {
			t.Errorf("%s: got a deadline %v after the earliest one, want 0 to %v", name, got.Sub(earliest), latest.Sub(earliest))
		}
	}
	read := func() {
		if _, err := c.Read(make([]byte, 1<<10)); err != nil {
			t.Fatal(err)
		}
	}
	check("waits for the accept", func() {
		if c, err = listener.Accept(); err != nil {
			t.Fatal(err)
		}
		read()
	})
	defer c.Close()
	c.(*clientconn.Conn).ResponseSent()
	check("waits for the read", read)
}
