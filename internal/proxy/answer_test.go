package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/proxytest"
)

// An answer that can't be read as HTTP has it is none, however it breaks the rules.
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
			if res := newAttempt(poolWith(4, b.Addr), "a", proxytest.Timeout).run(); res.status != c.want {
				t.Errorf("got %v %q, want %v", res.status, res.body, c.want)
			}
		})
	}
}

// An answer that only says no, and does not end, says so soon: another attempt has the time to serve.
func TestEndlessErrorResponseIsNotAwaited(t *testing.T) {
	over := make(chan struct{})
	defer close(over)
	p, _ := startServing(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n > 1 {
			_, _ = io.WriteString(w, proxytest.OKResponse)
			return true
		}
		_, _ = io.WriteString(w, "HTTP/1.1 500 Oops\r\nContent-Length: 9\r\n\r\nOo")
		<-over
		return false
	})
	cl := connect(t, p)
	cl.send(t, lookRequest("1", 4000))
	if resp, body := cl.readResponse(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s %q", resp.Status, body)
	}
}

// An answer within the protocol's bound that is passed on as it comes, and does not end, ends for its client soon after
// its time, and shows that it is not whole. A larger one goes on.
func TestEndlessResponseEndsWithClientDeadline(t *testing.T) {
	for _, c := range []struct {
		name  string
		size  int
		whole bool
	}{{"small", 100, false}, {"large", maxBufferedResponse + 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			goOn := make(chan struct{})
			p, _ := startServing(t, func(w io.Writer, _ *http.Request, _ int) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", c.size, strings.Repeat("x", c.size))
				<-goOn
				_, _ = io.WriteString(w, "0\r\n\r\n")
				return true
			})
			cl, began := connect(t, p), time.Now()
			cl.send(t, lookRequest("1", 1000))
			resp, err := http.ReadResponse(cl.r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if c.whole {
				time.AfterFunc(time.Until(began.Add(2*time.Second)), func() { close(goOn) }) // its time is long over
			} else {
				defer close(goOn)
			}
			if n, err := io.Copy(io.Discard, resp.Body); (err == nil) != c.whole || n != int64(c.size) {
				t.Errorf("%d bytes came, %v", n, err)
			}
			if took := time.Since(began); took > streamStallTimeout/2 {
				t.Errorf("it took %v", took)
			}
		})
	}
}

// A client that is slow to take a large answer of untold length has it whole, though little of it had gone by its time.
func TestSlowClientGetsWholeResponsePastDeadline(t *testing.T) {
	b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2*maxBufferedResponse))
		return false
	})
	p := poolWith(4, b.Addr)
	p.maxBuffered.Store(minBufferedResponse) // no more is read ahead
	a := newAttempt(p, "a", proxytest.Timeout)
	got := make(chan int64, 1)
	a.startStream = func(ans response) bool {
		ans.stream.clientDeadline = time.Now().Add(-maxStreamOverrun) // over now
		time.AfterFunc(2*responseBufferWait, func() {
			n, err := io.Copy(io.Discard, ans.stream.source)
			ans.stream.finish(err)
			got <- n
		})
		return true
	}
	if res := a.run(); res.status != balancer.StatusOK {
		t.Errorf("got %v", res.status)
	}
	if n := proxytest.Receive(t, "end of the answer", got); n != 2*maxBufferedResponse {
		t.Errorf("%d bytes came", n)
	}
}
