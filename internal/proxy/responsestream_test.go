package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/upstream"
)

// TestLargeResponsesAreStreamed checks that a large response is streamed completely, whatever its framing.
func TestLargeResponsesAreStreamed(t *testing.T) {
	part := bytes.Repeat([]byte("0123456789abcdef"), upstream.MaxBufferedResponse/16)
	for _, c := range []struct {
		name, head string
		chunked    bool
	}{
		{"of a length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: %d\r\n\r\n", 3*len(part)), false},
		{"in chunks", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"ended by the close", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			seen := make(chan struct{})
			p, _ := startServing(t, func(w io.Writer, _ *http.Request, _ int) bool {
				write := func(b []byte) {
					if c.chunked {
						fmt.Fprintf(w, "%x\r\n%s\r\n", len(b), b)
					} else {
						_, _ = w.Write(b)
					}
				}
				_, _ = io.WriteString(w, c.head)
				write(part)
				write(part[:1])
				// Sends the rest only after the client has these.
				proxytest.Receive(t, "first bytes at the client", seen)
				write(part[1:])
				write(part)
				if c.chunked {
					_, _ = io.WriteString(w, "0\r\n\r\n")
				}
				return !strings.Contains(c.name, "close")
			})
			cl := connect(t, p)
			cl.Send(t, proxytest.LookRequest("1", 4000))
			resp, err := http.ReadResponse(cl.Reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			got := make([]byte, len(part))
			if _, err := io.ReadFull(resp.Body, got); err != nil {
				t.Fatal(err)
			}
			close(seen)
			rest, err := io.ReadAll(resp.Body)
			if err != nil || !bytes.Equal(append(got, rest...), bytes.Repeat(part, 3)) {
				t.Errorf("got %d bytes and error %v, want all %d bytes unchanged",
					len(got)+len(rest), err, 3*len(part))
			}
			if resp.Header.Get("Content-Type") != "a/b" {
				t.Errorf("got header %v, want Content-Type a/b", resp.Header)
			}
			proxytest.WaitUntil(t, func() bool { f := p.Metrics(); return f.Classes["look"].Succeeded == 1 && f.InFlight == 0 })
		})
	}
}

// TestSlowResponseWithoutLengthIsStreamed checks that the data of a slow response without a length is
// forwarded before the response is complete or large.
func TestSlowResponseWithoutLengthIsStreamed(t *testing.T) {
	seen := make(chan struct{})
	p, _ := startServing(t, func(w io.Writer, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
		proxytest.Receive(t, "first bytes at the client", seen)
		_, _ = io.WriteString(w, "2\r\ncd\r\n0\r\n\r\n")
		return true
	})
	cl := connect(t, p)
	cl.Send(t, proxytest.LookRequest("1", 4000))
	resp, err := http.ReadResponse(cl.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 2)
	if _, err := io.ReadFull(resp.Body, got); err != nil {
		t.Fatal(err)
	}
	close(seen)
	if rest, err := io.ReadAll(resp.Body); err != nil || string(got)+string(rest) != "abcd" {
		t.Errorf("got %s%s and error %v, want abcd", got, rest, err)
	}
}

// TestResponseTruncatedAfterHeadIsRetried checks that a large response that breaks off before or soon after
// its first body byte does not count as started: a retry can still serve the request, or the client gets an
// error. Without this, the client saw a connection that closed without a response.
func TestResponseTruncatedAfterHeadIsRetried(t *testing.T) {
	for _, c := range []struct {
		body string
		good int // the first attempt that is served
		want int
	}{{"", 2, 200}, {"x", 2, 200}, {"", 99, 503}} {
		tries := 0
		p, _ := startServing(t, func(w io.Writer, _ *http.Request, _ int) bool {
			if tries++; tries >= c.good {
				_, _ = io.WriteString(w, proxytest.OKResponse)
				return true
			}
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"+c.body)
			return false
		})
		cl := connect(t, p)
		cl.Send(t, proxytest.LookRequest("1", 4000))
		resp, err := http.ReadResponse(cl.Reader, nil)
		if err != nil {
			t.Errorf("after a body of %q: no response: %v", c.body, err)
			continue
		}
		if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != c.want {
			t.Errorf("after a body of %q: got %s and error %v, want %d", c.body, resp.Status, err, c.want)
		}
	}
}

// TestTruncatedResponseIsVisibleToClient checks that a client can see that a streamed response broke off, and
// that the request counts as failed.
func TestTruncatedResponseIsVisibleToClient(t *testing.T) {
	for name, head := range map[string]string{
		"of a length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 9*upstream.MaxBufferedResponse),
		"in chunks":   fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", 9*upstream.MaxBufferedResponse),
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := startServing(t, func(w io.Writer, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(w, head+strings.Repeat("x", 3*upstream.MaxBufferedResponse))
				return false
			})
			cl := connect(t, p)
			cl.Send(t, proxytest.LookRequest("1", 4000))
			resp, err := http.ReadResponse(cl.Reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Errorf("the client took the first %d bytes for a complete response", n)
			}
			proxytest.WaitUntil(t, func() bool { f := p.Metrics(); return f.Classes["look"].Failed == 1 && f.InFlight == 0 })
		})
	}
}

// TestSlowReaderSlowsItsBackend checks that a client that reads slowly slows down the backend instead of
// filling the proxy's memory, and that its disconnect ends the request and closes the connection to the
// backend.
func TestSlowReaderSlowsItsBackend(t *testing.T) {
	const size = 64 << 20
	written := make(chan int, 1)
	p, b := startServing(t, func(w io.Writer, _ *http.Request, _ int) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		n, chunk := 0, make([]byte, 64<<10)
		for n < size {
			m, err := w.Write(chunk)
			if n += m; err != nil {
				break
			}
		}
		written <- n
		return false
	})
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, proxytest.LookRequest("1", 4000)); err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReaderSize(c, 16).Peek(16); err != nil {
		t.Fatal(err)
	}
	select {
	case n := <-written:
		t.Fatalf("the backend could write %d bytes that the client did not read", n)
	case <-time.After(100 * time.Millisecond):
	}
	c.Close()
	if n := proxytest.Receive(t, "end of the backend's write", written); n == size {
		t.Error("the proxy read the complete response for a client that had disconnected")
	}
	proxytest.Receive(t, "close of the backend's connection", b.Closed)
	proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == 0 })
}

// TestSIGTERMDoesNotTruncateLongResponse checks that a large response that is still being streamed at the
// drain's cutoff is streamed to its end.
func TestSIGTERMDoesNotTruncateLongResponse(t *testing.T) {
	goOn := make(chan struct{})
	part := strings.Repeat("x", 2*upstream.MaxBufferedResponse)
	p, _ := startServing(t, func(w io.Writer, _ *http.Request, _ int) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(part), part)
		proxytest.Receive(t, "signal after the cutoff", goOn)
		_, _ = io.WriteString(w, part)
		return true
	})
	p.drainTimes = func([]balancer.Class) (acceptFor, endWithin time.Duration) {
		return 50 * time.Millisecond, 100 * time.Millisecond
	}
	cl := connect(t, p)
	cl.Send(t, proxytest.LookRequest("1", 4000))
	resp, err := http.ReadResponse(cl.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.CopyN(io.Discard, resp.Body, 10); err != nil {
		t.Fatal(err)
	}
	p.stop()
	proxytest.WaitUntil(t, p.frontend.IsClosing)
	time.Sleep(200 * time.Millisecond) // until after the cutoff, even on a busy machine
	close(goOn)
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != int64(2*len(part)-10) {
		t.Errorf("got %d more bytes and error %v, want %d bytes", n, err, 2*len(part)-10)
	}
	if err := proxytest.Receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	p.done <- nil
}
