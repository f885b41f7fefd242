// Package proxytest has what the tests of the proxy's packages share: a client, a backend on a loopback
// socket, and waits with a timeout.
package proxytest

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"merlinpick/internal/discovery"
)

// Timeout limits each wait for something that must happen, so that a test does not hang.
const Timeout = 20 * time.Second

// Receive returns the next value of a channel, and fails the test if there is none within Timeout. what names
// the value in the failure message.
func Receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Timeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// Backend is an HTTP/1.1 server on a loopback socket, in the role of a backend.
type Backend struct {
	Addr     string
	Requests atomic.Int32  // requests received completely
	Conns    atomic.Int32  // connections accepted
	Closed   chan struct{} // has a value for each connection that has ended

	FirstHeadReceived chan struct{} // if set, closed when the first head has been received
	Body              io.Writer     // if set, gets the bodies
	ResetsUploads     bool          // each connection is closed after a head and a part of its body
}

// StartBackend starts a backend that stops when the test ends. For the n-th request that is received
// completely, reply writes the response to w, which is the connection, and returns whether the connection
// stays open.
func StartBackend(t *testing.T, reply func(w io.Writer, r *http.Request, n int) bool) *Backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	b := &Backend{Addr: l.Addr().String(), Closed: make(chan struct{}, 1000)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.Conns.Add(1)
			go func() {
				defer func() { c.Close(); b.Closed <- struct{}{} }()
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if b.FirstHeadReceived != nil && b.Conns.Load() == 1 && b.Requests.Load() == 0 {
						close(b.FirstHeadReceived)
					}
					if b.ResetsUploads {
						_, _ = io.CopyN(io.Discard, req.Body, 100_000)
						return
					}
					if _, err := io.Copy(cmp.Or[io.Writer](b.Body, io.Discard), req.Body); err != nil {
						return
					}
					if !reply(c, req, int(b.Requests.Add(1))) {
						return
					}
				}
			}()
		}
	}()
	return b
}

// RespondWith returns a reply function for StartBackend that responds to each request with a text, and keeps
// the connection open or closes it.
func RespondWith(text string, keep bool) func(io.Writer, *http.Request, int) bool {
	return func(w io.Writer, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(w, text)
		return keep
	}
}

// OKResponse is a response with a body of two bytes.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// NeverRespond returns a reply function for StartBackend that blocks until the test ends and sends no
// response.
func NeverRespond(t *testing.T) func(io.Writer, *http.Request, int) bool {
	testEnded := make(chan struct{})
	t.Cleanup(func() { close(testEnded) })
	return func(io.Writer, *http.Request, int) bool { <-testEnded; return false }
}

// Endpoint returns an entry of an endpoint list, in zone a.
func Endpoint(name, addr, status string) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: addr, Zone: "a", Status: status}
}

// WaitUntil polls a condition, and fails the test if it does not hold within Timeout.
func WaitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the awaited condition did not hold within %v", Timeout)
		}
	}
}

// Reset makes the close of a connection send a reset to its peer. It returns false, which a reply function
// can return to close the connection.
func Reset(w io.Writer) bool {
	_ = w.(*net.TCPConn).SetLinger(0)
	return false
}
