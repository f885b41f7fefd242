package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/upstream"
)

// A streamed response that is reset is visibly incomplete, to a client of HTTP/1.0 too.
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
			t.Errorf("%s: %d bytes looked like a whole answer", version, n)
		}
	}
}
