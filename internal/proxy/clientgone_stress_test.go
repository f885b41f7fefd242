package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinpick/internal/proxy/proxytest"
)

// TestClientsGoneAtAnyMomentBreakNoRule checks that no rule is broken when clients close or reset their
// connections at random times during their requests.
func TestClientsGoneAtAnyMomentBreakNoRule(t *testing.T) {
	// The response takes several writes.
	long := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
		20<<10, strings.Repeat("x", 20<<10))
	p, _ := startServing(t, func(w io.Writer, r *http.Request, n int) bool {
		time.Sleep(time.Duration(rand.IntN(4000)) * time.Microsecond)
		if n%7 == 0 {
			return false // closes without a response, so that the balancer decides on a retry
		}
		_, _ = io.WriteString(w, long)
		return true
	})
	var all sync.WaitGroup
	for worker := range 16 {
		all.Go(func() {
			for i := range 60 {
				c, err := net.Dial("tcp", p.Addr())
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, proxytest.LookRequest(fmt.Sprintf("%d-%d", worker, i), 1000))
				time.Sleep(time.Duration(rand.IntN(6000)) * time.Microsecond)
				if i%2 == 0 {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
			}
		})
	}
	all.Wait()
	proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == 0 })
}
