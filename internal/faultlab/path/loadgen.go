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
)

const (
	callTimeout = 2 * time.Second // also the deadline of the proxy's class
	dialTimeout = time.Second
)

// LoadGenerator calls a proxy and a server directly, in turn and in an open loop: no call waits for another.
type LoadGenerator struct {
	Proxy  string  // address of the proxy
	Direct string  // address of the server that is called directly
	Rate   float64 // calls a second through the proxy; as many go directly
	Seed   uint64

	mu     sync.Mutex
	idle   map[string][]*clientConn // by address
	lastID int
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// Run makes calls for the given time and returns once all of them have ended.
func (g *LoadGenerator) Run(ctx context.Context, duration time.Duration) *Metrics {
	m := newMetrics()
	var mu sync.Mutex // guards m
	var calls sync.WaitGroup
	defer calls.Wait()
	random := rand.New(rand.NewPCG(g.Seed, uint64(duration)))
	start := time.Now()
	offset := time.Duration(0)
	for n := 0; ; n++ {
		offset += time.Duration(random.ExpFloat64() / (2 * g.Rate) * float64(time.Second))
		if offset > duration {
			return m
		}
		planned := start.Add(offset)
		select {
		case <-time.After(time.Until(planned)):
		case <-ctx.Done():
			return m
		}
		direct := n%2 == 1
		calls.Go(func() {
			result := g.call(direct)
			mu.Lock()
			defer mu.Unlock()
			m.record(result, planned)
		})
	}
}

// callResult is the result of one call.
type callResult struct {
	direct   bool
	issued   time.Time     // when its connection was ready
	duration time.Duration // from the first byte written to the complete response
	status   int
	err      error
}

// call makes one call, directly or through the proxy.
func (g *LoadGenerator) call(direct bool) callResult {
	address := g.Proxy
	if direct {
		address = g.Direct
	}
	conn, err := g.connection(address)
	result := callResult{direct: direct, issued: time.Now(), err: err}
	if err == nil {
		result.status, result.duration, result.err = g.exchange(conn)
	}
	return result
}

// connection returns an idle connection or a new one, so that no call's duration includes the dial.
func (g *LoadGenerator) connection(address string) (*clientConn, error) {
	if conn := g.idleConnection(address); conn != nil {
		return conn, nil
	}
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// idleConnection takes the idle connection that was used last, or returns nil.
func (g *LoadGenerator) idleConnection(address string) *clientConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	idle := g.idle[address]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	g.idle[address] = idle[:len(idle)-1]
	return conn
}

// exchange sends a request and reads its response. Afterwards the connection is idle or closed.
func (g *LoadGenerator) exchange(conn *clientConn) (status int, duration time.Duration, err error) {
	g.mu.Lock()
	g.lastID++
	id := g.Seed<<32 + uint64(g.lastID)
	g.mu.Unlock()
	request := fmt.Appendf(nil, "GET /read HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %016x\r\nRequest-Class: read\r\n"+
		"Request-Timeout-Ms: %d\r\n\r\n", id, callTimeout.Milliseconds())
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	start := time.Now()
	closing := true
	if _, err = conn.Write(request); err == nil {
		status, closing, err = conn.readResponse()
	}
	duration = time.Since(start)
	if closing {
		conn.Close()
		return status, duration, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = map[string][]*clientConn{}
	}
	address := conn.RemoteAddr().String()
	g.idle[address] = append(g.idle[address], conn)
	return status, duration, nil
}

// readResponse reads a complete response. closing reports that the connection cannot be used again.
func (c *clientConn) readResponse() (status int, closing bool, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, true, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, true, err
	}
	return resp.StatusCode, resp.Close, nil
}

// Close closes the idle connections. No Run may be in progress.
func (g *LoadGenerator) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, idle := range g.idle {
		for _, conn := range idle {
			conn.Close()
		}
	}
	g.idle = nil
}
