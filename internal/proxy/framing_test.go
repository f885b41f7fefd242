package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"merlinpick/internal/proxy/proxytest"
)

// TestAmbiguousFramingIsNeverServed guards against request smuggling: a request whose length is ambiguous was
// served, and data in its body was forwarded as a request of its own.
func TestAmbiguousFramingIsNeverServed(t *testing.T) {
	p, b := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	const post = "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\n"
	inner := proxytest.LookRequest("inner", 4000)
	length := "Content-Length: 0\r\n"
	for name, text := range map[string]string{
		"length beside chunked":  post + length + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"chunked beside length":  post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + inner,
		"chunked in other case":  post + "TRANSFER-encoding:\tChunked\r\nCONTENT-length: 5\r\n\r\n0\r\n\r\n" + inner,
		"length twice":           post + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd" + inner,
		"two lengths":            post + "Content-Length: 4\r\nContent-Length: 0\r\n\r\nabcd" + inner,
		"lengths in a list":      post + "Content-Length: 4, 4\r\n\r\nabcd" + inner,
		"signed length":          post + "Content-Length: +4\r\n\r\nabcd" + inner,
		"empty length":           post + "Content-Length:\r\n\r\n" + inner,
		"huge length":            post + "Content-Length: 99999999999999999999\r\n\r\n" + inner,
		"chunked twice":          post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"other coding":           post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + inner,
		"unknown coding":         post + "Transfer-Encoding: xchunked\r\n\r\n" + inner,
		"chunked in HTTP/1.0":    strings.Replace(post, "HTTP/1.1", "HTTP/1.0", 1) + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + inner,
		"folded line":            post + "X: y\r\n Content-Length: 4\r\n\r\n" + inner,
		"folded coding":          post + "Transfer-Encoding:\r\n chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + inner,
		"bare LF":                strings.ReplaceAll(post, "\r\n", "\n") + "Content-Length: 0\n\n" + inner,
		"one bare LF":            post + "X: y\nTransfer-Encoding: chunked\r\n" + length + "\r\n" + inner,
		"bare CR":                post + "X: y\rTransfer-Encoding: chunked\r\n" + length + "\r\n" + inner,
		"space before the colon": post + "Content-Length : 0\r\n\r\n" + inner,
		"no name":                post + ": x\r\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			came := b.Requests.Load()
			c := connect(t, p)
			c.Send(t, text)
			resp, _ := c.ReadResponse(t)
			if resp.StatusCode < 400 || !resp.Close {
				t.Errorf("got %s, close %v, want an error and a close", resp.Status, resp.Close)
			}
			if rest, _ := io.ReadAll(c.Reader); len(rest) > 0 {
				t.Errorf("got %q after the response, want nothing", rest)
			}
			if n := b.Requests.Load() - came; n > 0 {
				t.Errorf("%d requests reached the backend, want none", n)
			}
		})
	}
}

// TestChunkedRequestIsLastOnItsConnection checks that nothing is read after a chunked body, since data there
// may not be intended as a request.
func TestChunkedRequestIsLastOnItsConnection(t *testing.T) {
	p, b := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	c := connect(t, p)
	c.Send(t, "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\n"+proxytest.LookRequest("inner", 4000))
	if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" || !resp.Close {
		t.Errorf("got %s %q, close %v, want 200 \"ok\" and a close", resp.Status, body, resp.Close)
	}
	if rest, _ := io.ReadAll(c.Reader); len(rest) > 0 || b.Requests.Load() != 1 {
		t.Errorf("got %q after the response and %d requests at the backend, want nothing and 1",
			rest, b.Requests.Load())
	}
}

// TestMalformedPipelinedHeadIsAnsweredInOrder checks that a request in flight still gets its response if a
// malformed header follows it on the connection.
func TestMalformedPipelinedHeadIsAnsweredInOrder(t *testing.T) {
	release := make(chan struct{})
	p, b := startServing(t, func(w io.Writer, _ *http.Request, _ int) bool {
		<-release
		_, _ = io.WriteString(w, proxytest.OKResponse)
		return true
	})
	c := connect(t, p)
	c.Send(t, proxytest.LookRequest("1", 8000)+"POST /post/k HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")
	proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	close(release)
	if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("first response: got %s %q, want 200 \"ok\"", resp.Status, body)
	}
	if resp, _ := c.ReadResponse(t); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("second response: got %s, close %v, want 400 and a close", resp.Status, resp.Close)
	}
}
