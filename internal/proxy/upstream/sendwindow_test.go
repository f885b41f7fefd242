package upstream

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/proxytest"
)

// TestWritePastSendWindowIsAborted checks that a request that cannot be written completely within the send
// window is aborted at the end of the window, and counts as a failed connect, since it cannot have been
// executed.
func TestWritePastSendWindowIsAborted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections but reads nothing
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, uploading := range []bool{false, true} {
		a := newAttempt(poolWith(4, l.Addr().String()), "a", proxytest.Timeout)
		a.request.Method, a.request.Body, a.request.ContentLength = http.MethodPost, make([]byte, 16<<20), 16<<20
		if uploading {
			a.bodyComplete, a.request.BodyRemainder = make(chan time.Time, 1), strings.NewReader("")
		}
		// Set after the body is allocated, which may take longer than this on a busy machine.
		a.sendDeadline = time.Now().Add(200 * time.Millisecond)
		if res := a.Run(); res.Status != balancer.StatusConnectFailed || time.Since(a.sendDeadline) > StallTimeout/2 {
			t.Errorf("uploading %v: got %v, want %v soon after the send window", uploading, res.Status,
				balancer.StatusConnectFailed)
		}
	}
}
