package load

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/sleep"
)

const (
	healthCheckInterval = 200 * time.Millisecond
	healthCheckTimeout  = time.Second
	sweepInterval       = 250 * time.Millisecond
)

// Target is a proxy as the front knows it.
type Target struct {
	Name    string
	Zone    string
	Address string
}

// door is a proxy's state at the front.
type frontProxy struct {
	Target
	admitted    bool      // new connections go there
	blocked     bool      // told to leave it; until it is expected again
	lastHealthy time.Time // of its health page
	dialers     map[string]*link.Dialer
}

// Front spreads the clients' connections over the proxies of their zone. It admits one whose health page says yes, and
// notices a dead one late.
type Front struct {
	failureDetection time.Duration
	otherZones       bool // to other zones where a zone has none

	mu      sync.Mutex
	proxies map[string]*frontProxy
	order   []*frontProxy
	rng     *rand.Rand
}

// NewFront is a front of these proxies.
func NewFront(targets []Target, net *link.Net, delay func(from, to string) time.Duration, notice time.Duration,
	others bool, zones []string, rng *rand.Rand) *Front {
	f := &Front{failureDetection: notice, otherZones: others, proxies: map[string]*frontProxy{}, rng: rng}
	for _, t := range targets {
		proxy := &frontProxy{Target: t, dialers: map[string]*link.Dialer{}}
		for _, z := range zones {
			if z == t.Zone || others {
				ends := link.Ends{Kind: "client", FromZone: z, To: t.Name, ToZone: t.Zone}
				proxy.dialers[z] = net.Dialer(ends, delay(z, t.Zone))
			}
		}
		f.proxies[t.Name] = proxy
		f.order = append(f.order, proxy)
	}
	return f
}

// Run asks the health pages until the context ends.
func (f *Front) Run(ctx context.Context) {
	var asked sync.WaitGroup
	defer asked.Wait()
	for i, proxy := range f.order {
		asked.Go(func() {
			// Spread, so that 100 proxies are not asked in one instant.
			first := time.Duration(i) * healthCheckInterval / time.Duration(len(f.order))
			for next := first; sleep.For(ctx, next); next = healthCheckInterval {
				f.recordHealth(proxy, healthy(ctx, proxy))
			}
		})
	}
}

func healthy(ctx context.Context, proxy *frontProxy) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	c, err := proxy.dialers[proxy.Zone].Dial(ctx, proxy.Address)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(healthCheckTimeout))
	if _, err := c.Write([]byte("GET /_health HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *Front) recordHealth(proxy *frontProxy, yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	switch {
	case yes:
		proxy.lastHealthy = now
		proxy.admitted = !proxy.blocked
	case proxy.admitted && now.Sub(proxy.lastHealthy) > f.failureDetection:
		proxy.admitted = false
	}
}

// Missing names the proxies that are not admitted.
func (f *Front) NotAdmitted() (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, proxy := range f.order {
		if !proxy.admitted {
			names = append(names, proxy.Name)
		}
	}
	return names
}

// Bar takes a proxy out by an operator, as before a planned restart; Expect lets it back in once it is healthy.
func (f *Front) Block(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies[name].blocked, f.proxies[name].admitted = true, false
}

// Expect lets a proxy that was barred be admitted again.
func (f *Front) Unblock(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies[name].blocked = false
}

// choose picks a proxy for a new connection of a zone's client.
func (f *Front) choose(zone string) (*frontProxy, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []*frontProxy
	for _, proxy := range f.order {
		switch {
		case !proxy.admitted:
		case proxy.Zone == zone:
			near = append(near, proxy)
		case f.otherZones:
			far = append(far, proxy)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil, false
	}
	return near[f.rng.IntN(len(near))], true
}

// kept is a client's connection between requests.
type clientConn struct {
	*link.Conn
	reader      *bufio.Reader
	proxy       *frontProxy
	lastAttempt *referee.ClientAttempt
}

// pool is the idle connections of a zone's clients.
type pool struct {
	mu   sync.Mutex
	idle []*clientConn
}

// take gives a connection that is idle, by chance among them, and leaves out those that have ended.
func (p *pool) take(rng func(int) int, ref *referee.Referee) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		i := rng(len(p.idle))
		conn := p.idle[i]
		p.idle[i] = p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !conn.isUnusable(ref) {
			return conn
		}
	}
	return nil
}

// over tells whether an idle connection is of no more use. Bytes on it are a second answer.
func (k *clientConn) isUnusable(ref *referee.Referee) bool {
	if k.reader.Buffered() > 0 || k.HasUnreadBytes() {
		ref.RecordExtraBytes(k.lastAttempt, time.Now())
		k.Close()
		return true
	}
	if k.PeerClosed() {
		k.Close()
		return true
	}
	return false
}

func (p *pool) put(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
}

// sweep closes the idle connections that have ended.
func (p *pool) sweep(ref *referee.Referee) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.idle[:0]
	for _, conn := range p.idle {
		if !conn.isUnusable(ref) {
			live = append(live, conn)
		}
	}
	clear(p.idle[len(live):])
	p.idle = live
}
