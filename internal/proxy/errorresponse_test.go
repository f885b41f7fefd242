package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/upstream"
)

// TestEndlessErrorResponseIsNotAwaited checks that the proxy soon stops waiting for the body of an error
// response that does not end, so that there is time for a retry.
func TestEndlessErrorResponseIsNotAwaited(t *testing.T) {
	over := make(chan struct{})
	defer close(over)
	p, _ := startServing(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n > 1 {
			_, _ = io.WriteString(w, proxytest.OKResponse)
			return true
		}
		_, _ = io.WriteString(w, "HTTP/1.1 500 Oops\r\nContent-Length: 9\r\n\r\nOo")
		<-over
		return false
	})
	cl := connect(t, p)
	cl.Send(t, proxytest.LookRequest("1", 4000))
	if resp, body := cl.ReadResponse(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s %q, want 200 \"ok\"", resp.Status, body)
	}
}

// TestEndlessResponseEndsWithClientDeadline checks that a streamed response of up to 64 KiB that does not end
// is aborted soon after the client's deadline, so that the client sees an incomplete response. A larger
// response continues.
func TestEndlessResponseEndsWithClientDeadline(t *testing.T) {
	for _, c := range []struct {
		name     string
		size     int
		complete bool
	}{{"small", 100, false}, {"large", upstream.MaxBufferedResponse + 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			goOn := make(chan struct{})
			p, _ := startServing(t, func(w io.Writer, _ *http.Request, _ int) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", c.size, strings.Repeat("x", c.size))
				<-goOn
				_, _ = io.WriteString(w, "0\r\n\r\n")
				return true
			})
			cl, began := connect(t, p), time.Now()
			cl.Send(t, proxytest.LookRequest("1", 1000))
			resp, err := http.ReadResponse(cl.Reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if c.complete {
				// Long after the deadline.
				time.AfterFunc(time.Until(began.Add(2*time.Second)), func() { close(goOn) })
			} else {
				defer close(goOn)
			}
			if n, err := io.Copy(io.Discard, resp.Body); (err == nil) != c.complete || n != int64(c.size) {
				t.Errorf("got %d bytes and error %v, want %d bytes, complete %v", n, err, c.size, c.complete)
			}
			if took := time.Since(began); took > upstream.StallTimeout/2 {
				t.Errorf("the response ended after %v, want at most %v", took, upstream.StallTimeout/2)
			}
		})
	}
}
