package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/upstream"
)

// TestResetResponseIsVisibleToClient checks that clients, including those of HTTP/1.0, can see that a
// streamed response is incomplete if the backend resets its connection.
func TestResetResponseIsVisibleToClient(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		p, _ := startServing(t, func(w io.Writer, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2*upstream.MaxBufferedResponse))
			return proxytest.Reset(w)
		})
		cl := connect(t, p)
		cl.Send(t, strings.Replace(proxytest.LookRequest("1", 4000), "HTTP/1.1", version, 1))
		resp, err := http.ReadResponse(cl.Reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); err == nil {
			t.Errorf("%s: the client took the first %d bytes for a complete response", version, n)
		}
	}
}
