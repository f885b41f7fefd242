package upstream

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/proxytest"
)

// TestMalformedResponsesAreResets checks that a response that violates HTTP counts as a reset, and that valid
// ones with informational responses or excess data are accepted.
func TestMalformedResponsesAreResets(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want balancer.Status
	}{
		"some early words":      {strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", maxInformational) + proxytest.OKResponse, balancer.StatusOK},
		"no end of early words": {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInformational+1) + proxytest.OKResponse, balancer.StatusReset},
		"an early word's body":  {"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nno" + proxytest.OKResponse, balancer.StatusReset},
		"chunks without a body": {"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", balancer.StatusReset},
		"longer than it says":   {proxytest.OKResponse + "ay, and more", balancer.StatusOK},
		"a second answer":       {proxytest.OKResponse + "HTTP/1.1 200 OK\r\n", balancer.StatusOK},
		"a line's end too many": {proxytest.OKResponse + "\r\n", balancer.StatusOK},
		"nothing to say":        {"HTTP/1.1 204 No Content\r\n\r\n", balancer.StatusError},
	} {
		t.Run(name, func(t *testing.T) {
			b := proxytest.StartBackend(t, proxytest.RespondWith(c.text, true))
			if res := newAttempt(poolWith(4, b.Addr), "a", proxytest.Timeout).Run(); res.Status != c.want {
				t.Errorf("got %v %q, want %v", res.Status, res.Body, c.want)
			}
		})
	}
}

// TestSlowClientGetsWholeResponsePastDeadline checks that a client that is slow to read a large response
// without a length gets all of it, even if little had been read by its deadline.
func TestSlowClientGetsWholeResponsePastDeadline(t *testing.T) {
	b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2*MaxBufferedResponse))
		return false
	})
	p := poolWith(4, b.Addr)
	p.maxBuffered.Store(minBufferedResponse) // limits how much is read ahead
	a := newAttempt(p, "a", proxytest.Timeout)
	got := make(chan int64, 1)
	a.startStream = func(s *Stream) bool {
		s.ClientDeadline = time.Now().Add(-MaxStreamOverrun) // the time limit for small responses has passed
		time.AfterFunc(2*ResponseBufferWait, func() {
			n, err := io.Copy(io.Discard, s)
			s.Finish(err)
			got <- n
		})
		return true
	}
	if res := a.Run(); res.Status != balancer.StatusOK {
		t.Errorf("got %v, want %v", res.Status, balancer.StatusOK)
	}
	if n := proxytest.Receive(t, "end of the response", got); n != 2*MaxBufferedResponse {
		t.Errorf("got %d bytes, want %d", n, 2*MaxBufferedResponse)
	}
}

// TestResetDoesNotCompleteResponse checks that an orderly close of the connection completes a response
// without a length, and that a reset does not.
func TestResetDoesNotCompleteResponse(t *testing.T) {
	for name, head := range map[string]string{"HTTP/1.1": "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n"} {
		b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
			_, _ = io.WriteString(w, head+"ok")
			return n == 1 && proxytest.Reset(w)
		})
		p := poolWith(4, b.Addr)
		if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusReset {
			t.Errorf("%s, reset: got %v %q, want %v", name, res.Status, res.Body, balancer.StatusReset)
		}
		if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != balancer.StatusOK || string(res.Body) != "ok" {
			t.Errorf("%s, closed: got %v %q, want %v \"ok\"", name, res.Status, res.Body, balancer.StatusOK)
		}
	}
}
