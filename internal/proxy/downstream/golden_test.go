package downstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/settings"
)

// TestOwnResponsesAreGolden checks that the proxy's own responses stay the same, byte for byte, as in the
// last part of a file that an earlier version wrote.
func TestOwnResponsesAreGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "testdata", "answers.txt"))
	if err != nil {
		t.Fatal(err)
	}
	const mark = "== half a head at the end\n"
	_, want, found := strings.Cut(string(text), mark)
	if !found {
		t.Fatalf("answers.txt has no line %q", mark)
	}
	want = mark + want
	var out strings.Builder
	show := func(name, text string) {
		fmt.Fprintf(&out, "== %s\n%s\n", name, strings.ReplaceAll(text, "\r\n", "\\r\\n\n"))
	}
	show("half a head at the end", clientconn.RejectionText)

	// The situations of the following responses are hard to bring about, so only the responses are written.
	var next Response
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	site, err := settings.Decode([]byte(proxytest.SiteJSON))
	if err != nil {
		t.Fatal(err)
	}
	srv := newTestServer(site, l, &stubHandler{})
	srv.SetLimits(100, 100, 0)
	s := &http.Server{Handler: http.HandlerFunc(
		func(w http.ResponseWriter, _ *http.Request) { srv.writeResponse(w, next) })}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	body := &upload{}
	responseTo := func(err error) Response {
		rec := &headerOnly{h: http.Header{}}
		return body.errorResponse(rec, err)
	}
	for _, c := range []struct {
		name     string
		response Response
	}{
		{"rejected, come again", Response{Status: http.StatusServiceUnavailable, RetryAfter: 1_234_567}},
		{"rejected without a time", Response{Status: http.StatusServiceUnavailable}},
		{"failed with a time", Response{Status: http.StatusBadGateway, RetryAfter: 1_234_567}},
		{"expired", Response{Status: http.StatusGatewayTimeout}},
		{"draining", responseTo(errDraining)},
		{"short of connections", responseTo(errConnShortage)},
		{"short of memory", responseTo(errBodyMemory)},
		{"another error", responseTo(errors.New("any"))},
	} {
		next = c.response
		show(c.name, proxytest.RawExchange(t, l.Addr().String(), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
	}
	if out.String() != want {
		t.Errorf("got responses\n%s\nwant\n%s", out.String(), want)
	}
}

// headerOnly is a ResponseWriter that keeps the headers and drops the rest.
type headerOnly struct{ h http.Header }

func (w *headerOnly) Header() http.Header         { return w.h }
func (w *headerOnly) Write(p []byte) (int, error) { return len(p), nil }
func (w *headerOnly) WriteHeader(int)             {}
