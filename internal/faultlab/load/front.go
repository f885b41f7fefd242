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
	sweepInterval       = 250 * time.Millisecond // between two checks of idle client connections
)

// Target is a proxy behind the front.
type Target struct {
	Name    string
	Zone    string
	Address string
}

// frontProxy is the state of a proxy at the front.
type frontProxy struct {
	Target
	admitted    bool                    // gets new connections
	blocked     bool                    // between Block and Unblock
	lastHealthy time.Time               // time of the last successful health check
	dialers     map[string]*link.Dialer // by the clients' zone
}

// Front is the load balancer before the proxies: it distributes the clients' connections over the proxies of
// their zone. It admits a proxy after a successful health check, and detects a dead one with a delay.
type Front struct {
	failureDetection time.Duration
	otherZones       bool // serve a zone that has no admitted proxy

	mu      sync.Mutex
	proxies map[string]*frontProxy
	order   []*frontProxy
	rng     *rand.Rand
}

// FrontConfig configures a Front.
type FrontConfig struct {
	Targets          []Target
	Net              *link.Net
	Delay            func(from, to string) time.Duration // one-way delay between zones
	FailureDetection time.Duration                       // until a dead proxy is no longer admitted
	OtherZones       bool                                // serve a zone that has no admitted proxy
	Zones            []string                            // of the clients
	Random           *rand.Rand
}

// NewFront returns a front. No proxy is admitted until Run has checked its health.
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
			// The checks of the proxies are spread over an interval.
			first := time.Duration(i) * healthCheckInterval / time.Duration(len(f.order))
			for next := first; sleep.For(ctx, next); next = healthCheckInterval {
				f.recordHealth(proxy, healthy(ctx, proxy))
			}
		})
	}
}

// healthy makes a health check of a proxy.
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

// recordHealth admits a healthy proxy, and removes one that has been unhealthy for the failure detection
// delay.
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

// NotAdmitted returns the names of the proxies that are not admitted.
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

// Block stops new connections to a proxy, as an operator does before a planned restart.
func (f *Front) Block(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies[name].blocked, f.proxies[name].admitted = true, false
}

// Unblock lets a blocked proxy be admitted again when it is healthy.
func (f *Front) Unblock(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies[name].blocked = false
}

// choose draws a proxy for a new connection of a client in a zone. It returns false if no proxy is admitted
// for that zone.
func (f *Front) choose(zone string) (*frontProxy, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var candidates, others []*frontProxy
	for _, proxy := range f.order {
		switch {
		case !proxy.admitted:
		case proxy.Zone == zone:
			candidates = append(candidates, proxy)
		case f.otherZones:
			others = append(others, proxy)
		}
	}
	if len(candidates) == 0 {
		candidates = others
	}
	if len(candidates) == 0 {
		return nil, false
	}
	return candidates[f.rng.IntN(len(candidates))], true
}

// clientConn is a client's connection to a proxy.
type clientConn struct {
	*link.Conn
	reader      *bufio.Reader
	proxy       *frontProxy
	lastAttempt *referee.ClientAttempt
}

// pool holds the idle connections of the clients in a zone.
type pool struct {
	mu   sync.Mutex
	idle []*clientConn
}

// take removes and returns a random usable idle connection, or returns nil if there is none.
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

// isUnusable reports whether an idle connection was closed by the proxy or has received bytes, which count as
// a second response. It closes an unusable connection.
func (conn *clientConn) isUnusable(ref *referee.Referee) bool {
	if conn.reader.Buffered() > 0 || conn.HasUnreadBytes() {
		ref.RecordExtraBytes(conn.lastAttempt, time.Now())
		conn.Close()
		return true
	}
	if conn.PeerClosed() {
		conn.Close()
		return true
	}
	return false
}

func (p *pool) put(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
}

// sweep closes and removes the unusable idle connections.
func (p *pool) sweep(ref *referee.Referee) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := p.idle[:0]
	for _, conn := range p.idle {
		if !conn.isUnusable(ref) {
			usable = append(usable, conn)
		}
	}
	clear(p.idle[len(usable):])
	p.idle = usable
}
