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

// What cannot be written completely inside the send window is broken off at its end, which proves that it was never
// executed.
func TestWritePastSendWindowIsAborted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and reads nothing
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
		a.sendDeadline = time.Now().Add(200 * time.Millisecond) // the body takes longer than that to allocate on a busy machine
		if res := a.Run(); res.Status != balancer.StatusConnectFailed || time.Since(a.sendDeadline) > StallTimeout/2 {
			t.Errorf("uploading %v: got %v", uploading, res.Status)
		}
	}
}
