package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/proxytest"
)

// TestLargeBodiesAreStreamed checks that a request body that is too large to be buffered is streamed to the
// backend completely while it is received, whatever its framing.
func TestLargeBodiesAreStreamed(t *testing.T) {
	const size = 2*downstream.MaxBufferedBody + 5
	body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
	for _, c := range []struct {
		name, framing string
		chunked       bool
	}{
		{"of a length", fmt.Sprintf("Content-Length: %d", size), false},
		{"in chunks", "Transfer-Encoding: chunked", true},
		{"when told to", fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue", size), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := proxytest.StartBackend(t, func(w io.Writer, r *http.Request, _ int) bool {
				return proxytest.RespondWith(proxytest.OKResponse, true)(w, r, 0)
			})
			var got bytes.Buffer
			b.Body = &got
			b.FirstHeadReceived = make(chan struct{})
			p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
			cl := connect(t, p)
			cl.Send(t, proxytest.PostRequest("1", c.framing))
			if strings.Contains(c.framing, "Expect") {
				resp, err := http.ReadResponse(cl.Reader, nil)
				if err != nil || resp.StatusCode != http.StatusContinue {
					t.Fatalf("before the body: got response %v, error %v; want a 100 Continue", resp, err)
				}
			}
			send := func(part []byte) {
				if c.chunked {
					cl.Send(t, fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
				} else {
					cl.Send(t, string(part))
				}
			}
			send(body[:downstream.MaxBufferedBody+1])
			// Sends the rest only after the backend has this.
			proxytest.Receive(t, "head at the backend", b.FirstHeadReceived)
			send(body[downstream.MaxBufferedBody+1 : size-1])
			send(body[size-1:])
			if c.chunked {
				cl.Send(t, "0\r\n\r\n")
			}
			if resp, text := cl.ReadResponse(t); resp.StatusCode != 200 || text != "ok" {
				t.Errorf("got %s %q, want 200 \"ok\"", resp.Status, text)
			}
			if !bytes.Equal(got.Bytes(), body) {
				t.Errorf("the backend got %d bytes, want the body of %d bytes unchanged", got.Len(), size)
			}
			if !c.chunked { // the connection can be reused
				cl.Send(t, proxytest.LookRequest("2", 4000))
				if resp, _ := cl.ReadResponse(t); resp.StatusCode != 200 {
					t.Errorf("next request on the connection: got %s, want 200", resp.Status)
				}
			}
			proxytest.WaitUntil(t, func() bool { f := p.Metrics(); return f.InFlight == 0 && f.Classes["post"].Succeeded == 1 })
			if bodies, _, _ := p.frontend.BufferedBytes(); bodies != 0 {
				t.Errorf("%d bytes of bodies are still buffered, want none", bodies)
			}
		})
	}
}

// TestBackendResetDuringUploadIsAnsweredAtOnce checks that a request whose backend resets the connection
// during the upload gets its response at once, before the rest of the body has arrived.
func TestBackendResetDuringUploadIsAnsweredAtOnce(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	b.ResetsUploads = true
	p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	cl := connect(t, p)
	cl.Send(t, proxytest.PostRequest("1", fmt.Sprintf("Content-Length: %d", 20<<20)))
	chunk := strings.Repeat("x", 64<<10)
	answered := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(cl.Reader, nil)
		if err != nil {
			answered <- 0
			return
		}
		answered <- resp.StatusCode
	}()
	for sent := 0; sent < 16<<20; sent += len(chunk) {
		if _, err := io.WriteString(cl, chunk); err != nil {
			break // the proxy has responded and closed the connection
		}
	}
	// The last byte was never written, so the request was not executed and may be rejected.
	if got := proxytest.Receive(t, "response", answered); got != 503 {
		t.Errorf("got status %d, want 503", got)
	}
	proxytest.WaitUntil(t, func() bool { f := p.Metrics(); return f.InFlight == 0 && f.Classes["post"].Rejected == 1 })
	if n := p.Metrics().Forwarded; n != 0 {
		t.Errorf("%d attempts count as forwarded, want none", n)
	}
}

// TestClientGoneDuringUploadLeavesNothing checks that the disconnect of a client in the middle of its body
// cancels the attempt, and that the request is not counted.
func TestClientGoneDuringUploadLeavesNothing(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	b.FirstHeadReceived = make(chan struct{})
	p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	cl := connect(t, p)
	cl.Send(t, proxytest.PostRequest("1", "Content-Length: 1000000")+strings.Repeat("x", downstream.MaxBufferedBody+1))
	proxytest.Receive(t, "head at the backend", b.FirstHeadReceived)
	cl.Close()
	proxytest.Receive(t, "close of the backend's connection", b.Closed)
	proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() == 0 })
	f := p.Metrics()
	if e := f.Classes["post"]; f.InFlight != 0 || e.Succeeded+e.Rejected+e.Failed != 0 || f.Forwarded != 0 {
		t.Errorf("got metrics %+v, want no request of class post, none in flight and none forwarded", f)
	}
}

// TestUploadIncompleteAtCutoffIsRejected checks that a request whose body is incomplete at the drain's cutoff
// gets an error response, so that its client can retry, instead of a closed connection.
func TestUploadIncompleteAtCutoffIsRejected(t *testing.T) {
	p, _ := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p.drainTimes = func([]balancer.Class) (acceptFor, endWithin time.Duration) {
		return 100 * time.Millisecond, 600 * time.Millisecond
	}
	for _, size := range []int{1000, 4 * downstream.MaxBufferedBody} { // a buffered body and a streamed one
		cl := connect(t, p)
		cl.Send(t, proxytest.PostRequest(fmt.Sprint(size), fmt.Sprintf("Content-Length: %d", size))+strings.Repeat("x", size-500))
		defer func() {
			if resp, _ := cl.ReadResponse(t); resp.StatusCode < 500 || !resp.Close {
				t.Errorf("body of %d bytes: got %s, close %v, want an error and a close",
					size, resp.Status, resp.Close)
			}
		}()
	}
	proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() == 2 })
	p.stop()
}
