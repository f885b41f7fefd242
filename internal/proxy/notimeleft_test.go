package proxy

import (
	"net/http"
	"testing"
	"time"

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
	if _, err := http.ReadResponse(cl.R, nil); err != nil {
		t.Errorf("no response within %v: %v", allowedDelay, err)
	}
}
