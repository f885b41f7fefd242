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

// Target is a proxy behind the front.
type Target struct {
	Name    string
	Zone    string
	Address string
}

// frontProxy is a proxy's state at the front.
type frontProxy struct {
	Target
	admitted    bool      // gets new connections
	blocked     bool      // by Block
	lastHealthy time.Time // last successful health check
	dialers     map[string]*link.Dialer
}

// Front distributes the clients' connections over the proxies of their zone. It admits a proxy after a successful health check, and
// detects a dead one with a delay.
type Front struct {
	failureDetection time.Duration
	otherZones       bool // used where a zone has no admitted proxy

	mu      sync.Mutex
	proxies map[string]*frontProxy
	order   []*frontProxy
	rng     *rand.Rand
}

// FrontConfig describes a front.
type FrontConfig struct {
	Targets          []Target
	Net              *link.Net
	Delay            func(from, to string) time.Duration // one way, between zones
	FailureDetection time.Duration                       // until a dead proxy is no longer admitted
	OtherZones       bool                                // used where a zone has no admitted proxy
	Zones            []string                            // of clients
	Random           *rand.Rand
}

// NewFront returns a front of proxies that are not admitted yet.
func NewFront(config FrontConfig) *Front {
	f := &Front{failureDetection: config.FailureDetection, otherZones: config.OtherZones, proxies: map[string]*frontProxy{},
		rng: config.Random}
	for _, t := range config.Targets {
		proxy := &frontProxy{Target: t, dialers: map[string]*link.Dialer{}}
		for _, z := range config.Zones {
			if z == t.Zone || config.OtherZones {
				ends := link.Ends{Kind: "client", FromZone: z, To: t.Name, ToZone: t.Zone}
				proxy.dialers[z] = config.Net.Dialer(ends, config.Delay(z, t.Zone))
			}
		}
		f.proxies[t.Name] = proxy
		f.order = append(f.order, proxy)
	}
	return f
}

// Run makes health checks until the context ends.
func (f *Front) Run(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	for i, proxy := range f.order {
		checks.Go(func() {
			// The first checks are spread over an interval.
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

func (f *Front) recordHealth(proxy *frontProxy, isHealthy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	switch {
	case isHealthy:
		proxy.lastHealthy = now
		proxy.admitted = !proxy.blocked
	case proxy.admitted && now.Sub(proxy.lastHealthy) > f.failureDetection:
		proxy.admitted = false
	}
}

// NotAdmitted are the names of the proxies that are not admitted.
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

// Block takes a proxy out, as an operator does before a planned restart.
func (f *Front) Block(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies[name].blocked, f.proxies[name].admitted = true, false
}

// Unblock lets a blocked proxy be admitted again once it is healthy.
func (f *Front) Unblock(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies[name].blocked = false
}

// choose draws a proxy for a new connection of a zone's client; false if none is admitted.
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

// clientConn is a client's connection.
type clientConn struct {
	*link.Conn
	reader      *bufio.Reader
	proxy       *frontProxy
	lastAttempt *referee.ClientAttempt
}

// pool holds the idle connections of a zone's clients.
type pool struct {
	mu   sync.Mutex
	idle []*clientConn
}

// take removes a random idle connection that is usable; nil if there is none.
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

// isUnusable reports whether an idle connection has closed or received bytes, which are a second response; it closes such a one.
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

// sweep removes the unusable idle connections.
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
