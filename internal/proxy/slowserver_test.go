package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/proxytest"
)

// startSlowBackend starts a backend that reads bodies as read does, on connections with small buffers, and
// answers when it has read one. It returns its address.
func startSlowBackend(t *testing.T, read func(body io.Reader) error) string {
	t.Helper()
	l := listenWithReceiveBuffer(t, 64<<10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				request, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil && read(request.Body) == nil {
					_, _ = io.WriteString(c, proxytest.OKResponse)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// readSlowly returns a function that reads so many bytes in each interval.
func readSlowly(bytes int64, interval time.Duration) func(io.Reader) error {
	return func(body io.Reader) error {
		for {
			if _, err := io.CopyN(io.Discard, body, bytes); err == io.EOF {
				return nil
			} else if err != nil {
				return err
			}
			time.Sleep(interval)
		}
	}
}

// startUploadToSlowBackend starts a proxy whose only backend reads bodies as read does, and returns a client of it
// that has sent the head of an upload and waits for timeout.
func startUploadToSlowBackend(t *testing.T, timeout time.Duration, framing string, read func(io.Reader) error) *proxytest.Client {
	t.Helper()
	p := startProxy(t, startDiscovery(t).addr, 200,
		listJSON(1, true, endpointJSON("a", startSlowBackend(t, read), discovery.StatusServing)))
	limitWriteBuffers(p)
	cl := connect(t, p)
	cl.Send(t, proxytest.PostRequest("1", fmt.Sprintf("Request-Timeout-Ms: %d\r\n%s", timeout.Milliseconds(), framing)))
	return cl
}

// TestUploadToSlowBackendIsAnsweredInTime guards against a final response seconds after the client's time: all of a body
// is in the buffers of both kernels, so that its client has sent the last byte, but the backend reads it slowly.
func TestUploadToSlowBackendIsAnsweredInTime(t *testing.T) {
	const size, timeout = 6 << 20, 1500 * time.Millisecond
	const lostAfter = 500 * time.Millisecond // after its time an answer counts as lost, by the operators' pages
	for _, c := range []struct{ name, framing, start, end string }{
		{"of a length", fmt.Sprintf("Content-Length: %d", size), "", ""},
		{"in chunks", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", size), "\r\n0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := startUploadToSlowBackend(t, timeout, c.framing, readSlowly(100<<10, 100*time.Millisecond))
			sent := make(chan time.Time, 1)
			go func() {
				_, _ = io.WriteString(cl, c.start+strings.Repeat("x", size)+c.end)
				sent <- time.Now()
			}()
			resp, _ := cl.ReadResponse(t)
			answered := time.Now()
			took := answered.Sub(proxytest.Receive(t, "end of the upload", sent))
			if resp.StatusCode != http.StatusGatewayTimeout || took > timeout+lostAfter {
				t.Errorf("got %s %v after the last byte was sent, want a 504 within the %v that the client waits",
					resp.Status, took, timeout)
			}
		})
	}
}

// TestSlowUploadToSlowBackendIsServed checks that a client that still sends, at the 64 kB a second that the operators'
// pages allow, is not taken for one that has sent all of its body, though the backend pauses and the upload takes longer
// than the client waits after it.
func TestSlowUploadToSlowBackendIsServed(t *testing.T) {
	const start, pieces, piece, interval, timeout = 300 << 10, 12, 16 << 10, 250 * time.Millisecond, time.Second
	for _, c := range []struct {
		name, framing, end string
		encode             func(size int) string
	}{
		{"of a length", fmt.Sprint("Content-Length: ", start+pieces*piece), "", func(size int) string { return strings.Repeat("x", size) }},
		{"in chunks", "Transfer-Encoding: chunked", "0\r\n\r\n", chunkOf},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := startUploadToSlowBackend(t, timeout, c.framing, readSlowly(50<<10, 100*time.Millisecond))
			cl.Send(t, c.encode(start))
			for range pieces {
				time.Sleep(interval)
				cl.Send(t, c.encode(piece))
			}
			cl.Send(t, c.end)
			if resp, _ := cl.ReadResponse(t); resp.StatusCode != http.StatusOK {
				t.Errorf("got %s, want 200", resp.Status)
			}
		})
	}
}

// TestUploadIsNotTooSlowForItsBackend guards against a 408 to a client that sends as fast as the proxy reads: its
// backend takes nothing for longer than a client may pause.
func TestUploadIsNotTooSlowForItsBackend(t *testing.T) {
	const size, timeout, pause = 6 << 20, 8 * time.Second, 3 * time.Second
	cl := startUploadToSlowBackend(t, timeout, fmt.Sprintf("Content-Length: %d", size), func(body io.Reader) error {
		time.Sleep(pause)
		_, err := io.Copy(io.Discard, body)
		return err
	})
	go func() { _, _ = io.WriteString(cl, strings.Repeat("x", size)) }()
	if resp, _ := cl.ReadResponse(t); resp.StatusCode != http.StatusOK {
		t.Errorf("got %s, want 200", resp.Status)
	}
}
