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

// TestRequestWithoutTimeLeftIsAnswered checks that a client that retries at the end of its timeout, and so
// sends a timeout of 0 ms, gets a response within half a second of its deadline, as every client does.
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

// TestUploadWithoutTimeLeftIsRejectedUnsent checks that a streamed upload with a timeout of 0 ms or less is
// rejected without a connection to a backend, although its deadline is not known before its last byte.
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
				t.Errorf("got %s and %d connections to the backend, want 503 and none",
					resp.Status, b.Conns.Load())
			}
			proxytest.WaitUntil(t, func() bool { return p.Metrics().Events["refusals.no_time"] == 1 })
		})
	}
}

// TestRequestWithLittleTimeIsAnsweredOnce checks that a request whose timeout is too short for any backend
// gets exactly one response, soon after its deadline.
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
			t.Errorf("%d ms: got %s, want 502, 503 or 504", ms, resp.Status)
		}
		if next, err := http.ReadResponse(cl.Reader, nil); err == nil {
			t.Errorf("%d ms: got a second response: %s", ms, next.Status)
		}
	}
}
