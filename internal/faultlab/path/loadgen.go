package path

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metrics are of one stretch of time. Times are counted from the moment before a request is written, in microseconds: no
// request waits for another, and how late one was issued is told apart.
type Metrics struct {
	Direct, Proxied *hdrhistogram.Histogram
	IssueDelay      *hdrhistogram.Histogram // from a request's planned moment to its issue
	Failed          int                     // proxied calls that were not answered 200
	Rejected        int                     // of these: 429 or 503
	DirectFailed    int
}

func newMetrics() *Metrics {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }
	return &Metrics{Direct: h(), Proxied: h(), IssueDelay: h()}
}

// Added is what the proxy adds at a quantile, in ms: the quantile of proxied calls less that of direct ones. It is no
// quantile of differences, since no call goes both ways.
func (m *Metrics) Added(quantile float64) float64 {
	return float64(m.Proxied.ValueAtQuantile(quantile)-m.Direct.ValueAtQuantile(quantile)) / 1000
}

// String is a line for people.
func (m *Metrics) String() string {
	at := func(h *hdrhistogram.Histogram) string {
		return fmt.Sprintf("%.3f/%.3f/%.3f", float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.Max())/1000)
	}
	return fmt.Sprintf("added p50 %.3f p90 %.3f p99 %.3f ms; proxied p50/p99/max %s of %d, direct %s of %d, issued late %s; "+
		"failed %d (refused %d), direct %d", m.Added(50), m.Added(90), m.Added(99), at(m.Proxied), m.Proxied.TotalCount(),
		at(m.Direct), m.Direct.TotalCount(), at(m.IssueDelay), m.Failed, m.Rejected, m.DirectFailed)
}

// Caller calls two addresses in turn, open loop: an arrival waits for nothing.
type LoadGenerator struct {
	Proxy  string
	Direct string
	Rate   float64 // calls through the proxy in a second; as many go directly
	Seed   uint64

	mu     sync.Mutex
	idle   map[string][]*clientConn
	lastID int
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// Run calls for so long and returns once all calls have ended.
func (c *LoadGenerator) Run(ctx context.Context, long time.Duration) *Metrics {
	f := newMetrics()
	var mu sync.Mutex // guards f
	var calls sync.WaitGroup
	defer calls.Wait()
	rnd := rand.New(rand.NewPCG(c.Seed, uint64(long)))
	begun := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(rnd.ExpFloat64() / (2 * c.Rate) * float64(time.Second))
		if at > long {
			break
		}
		select {
		case <-time.After(time.Until(begun.Add(at))):
		case <-ctx.Done():
			return f
		}
		direct, planned := n%2 == 1, begun.Add(at)
		calls.Go(func() {
			to := c.Proxy
			if direct {
				to = c.Direct
			}
			k, err := c.connection(to)
			issued := time.Now()
			var took time.Duration
			var status int
			if err == nil {
				status, took, err = c.exchange(k)
			}
			mu.Lock()
			defer mu.Unlock()
			_ = f.IssueDelay.RecordValue(max(1, issued.Sub(planned).Microseconds()))
			switch {
			case direct && (err != nil || status != http.StatusOK):
				f.DirectFailed++
			case direct:
				_ = f.Direct.RecordValue(took.Microseconds())
			case err != nil || status != http.StatusOK:
				f.Failed++
				if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
					f.Rejected++
				}
			default:
				_ = f.Proxied.RecordValue(took.Microseconds())
			}
		})
	}
	calls.Wait()
	return f
}

// take is an idle connection, or a new one: it has come up before the call's time begins.
func (c *LoadGenerator) connection(to string) (*clientConn, error) {
	c.mu.Lock()
	if c.idle == nil {
		c.idle = map[string][]*clientConn{}
	}
	if all := c.idle[to]; len(all) > 0 {
		k := all[len(all)-1]
		c.idle[to] = all[:len(all)-1]
		c.mu.Unlock()
		return k, nil
	}
	c.mu.Unlock()
	nc, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{nc, bufio.NewReader(nc)}, nil
}

const callTimeout = 2 * time.Second // of a caller; it is what the class gives up at, too

func (c *LoadGenerator) exchange(k *clientConn) (status int, took time.Duration, err error) {
	c.mu.Lock()
	c.lastID++
	id := c.Seed<<32 + uint64(c.lastID)
	c.mu.Unlock()
	text := fmt.Appendf(nil, "GET /read HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %016x\r\nRequest-Class: read\r\n"+
		"Request-Timeout-Ms: %d\r\n\r\n", id, callTimeout.Milliseconds())
	_ = k.SetDeadline(time.Now().Add(callTimeout))
	begun := time.Now()
	leaves := true
	if _, err = k.Write(text); err == nil {
		status, leaves, err = k.readResponse()
	}
	took = time.Since(begun)
	if leaves {
		k.Close()
		return status, took, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.RemoteAddr().String()] = append(c.idle[k.RemoteAddr().String()], k)
	return status, took, nil
}

// answer reads one; leaves tells that the connection ends with it.
func (k *clientConn) readResponse() (status int, leaves bool, err error) {
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, true, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, true, err
	}
	return resp.StatusCode, resp.Close, nil
}

// Close closes the connections that are kept.
func (c *LoadGenerator) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, all := range c.idle {
		for _, k := range all {
			k.Close()
		}
	}
	c.idle = nil
}
