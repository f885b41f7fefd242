package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/upstream"
)

// TestResponseWithoutLengthStartsAtFirstByte checks that a response without a length that breaks off or
// stalls before its first body byte does not count as started: a retry can still serve the request, or the
// client gets an error in time.
func TestResponseWithoutLengthStartsAtFirstByte(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		for _, c := range []struct {
			name string
			good int // the first attempt that is served
			then func(io.Writer) bool
			want int
		}{
			{"reset, then served", 2, proxytest.Reset, 200},
			{"reset always", 99, proxytest.Reset, 503},
			{"silent to the end", 99, func(w io.Writer) bool { _, _ = w.(net.Conn).Read(make([]byte, 1)); return false }, 504},
		} {
			t.Run(c.name, func(t *testing.T) {
				p, _ := startServing(t, func(w io.Writer, _ *http.Request, n int) bool {
					if n >= c.good {
						_, _ = io.WriteString(w, proxytest.OKResponse)
						return true
					}
					_, _ = io.WriteString(w, head)
					// Sleep until the proxy waits only for the first byte.
					time.Sleep(3 * upstream.ResponseBufferWait / 2)
					return c.then(w)
				})
				cl := connect(t, p)
				cl.Send(t, proxytest.LookRequest("1", 1500))
				resp, err := http.ReadResponse(cl.Reader, nil)
				if err != nil {
					t.Fatalf("no response: %v", err)
				}
				if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != c.want {
					t.Errorf("got %s, %v, want %d", resp.Status, err, c.want)
				}
			})
		}
	}
}
