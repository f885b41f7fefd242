package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/proxytest"
)

// A client that retries at the end of its time states that it waits for 0 ms. It gets a response no later than half a second
// after that time, as every client does.
func TestRequestWithoutTimeLeftIsAnswered(t *testing.T) {
	const allowedDelay = 500 * time.Millisecond
	p, _ := startServing(t, proxytest.NeverRespond(t))
	cl := connect(t, p)
	cl.Send(t, proxytest.LookRequest("1", 0))
	_ = cl.SetReadDeadline(time.Now().Add(allowedDelay))
	if _, err := http.ReadResponse(cl.Reader, nil); err != nil {
		t.Errorf("no response within %v: %v", allowedDelay, err)
	}
}

// An upload that is streamed has no deadline before its last byte, but one whose client will not wait then is sent nowhere.
func TestUploadWithoutTimeLeftIsRejectedUnsent(t *testing.T) {
	const size = 2 * downstream.MaxBufferedBody
	for _, timeout := range []string{"0", "-20", "0.4"} {
		t.Run(timeout, func(t *testing.T) {
			p, b := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
			cl := connect(t, p)
			cl.Send(t, proxytest.PostRequest("1", fmt.Sprintf("Request-Timeout-Ms: %s\r\nContent-Length: %d", timeout, size)))
			cl.Send(t, strings.Repeat("x", downstream.MaxBufferedBody+1))
			resp, _ := cl.ReadResponse(t)
			if resp.StatusCode != http.StatusServiceUnavailable || b.Conns.Load() != 0 {
				t.Errorf("got %s, %d connections at the backend", resp.Status, b.Conns.Load())
			}
			proxytest.WaitUntil(t, func() bool { return p.Metrics().Events["refusals.no_time"] == 1 })
		})
	}
}

// A request with so little time that no backend can answer it gets one response, soon after that time.
func TestRequestWithLittleTimeIsAnsweredOnce(t *testing.T) {
	const allowedDelay = 500 * time.Millisecond
	p, _ := startServing(t, proxytest.NeverRespond(t))
	for ms := range 6 {
		cl := connect(t, p)
		cl.Send(t, proxytest.LookRequest(fmt.Sprint("r", ms), ms))
		_ = cl.SetReadDeadline(time.Now().Add(allowedDelay))
		resp, err := http.ReadResponse(cl.Reader, nil)
		if err != nil {
			t.Fatalf("%d ms: no response within %v: %v", ms, allowedDelay, err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusGatewayTimeout &&
			resp.StatusCode != http.StatusBadGateway {
			t.Errorf("%d ms: got %s", ms, resp.Status)
		}
		if next, err := http.ReadResponse(cl.Reader, nil); err == nil {
			t.Errorf("%d ms: a second response: %s", ms, next.Status)
		}
	}
}
