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
	healthEvery = 200 * time.Millisecond
	healthWait  = time.Second
	sweepEvery  = 250 * time.Millisecond
)

// Target is a proxy as the front knows it.
type Target struct {
	Name string
	Zone string
	Addr string
}

// door is a proxy's state at the front.
type door struct {
	Target
	open    bool      // new connections go there
	blocked bool      // told to leave it; until it is expected again
	lastYes time.Time // of its health page
	dialers map[string]*link.Dialer
}

// Front spreads the clients' connections over the proxies of their zone. It admits one whose health page says yes, and
// notices a dead one late.
type Front struct {
	notice time.Duration
	others bool // to other zones where a zone has none

	mu    sync.Mutex
	doors map[string]*door
	order []*door
	rng   *rand.Rand
}

// NewFront is a front of these proxies.
func NewFront(targets []Target, net *link.Net, delay func(from, to string) time.Duration, notice time.Duration,
	others bool, zones []string, rng *rand.Rand) *Front {
	f := &Front{notice: notice, others: others, doors: map[string]*door{}, rng: rng}
	for _, t := range targets {
		d := &door{Target: t, dialers: map[string]*link.Dialer{}}
		for _, z := range zones {
			if z == t.Zone || others {
				ends := link.Ends{Kind: "client", FromZone: z, To: t.Name, ToZone: t.Zone}
				d.dialers[z] = net.Dialer(ends, delay(z, t.Zone))
			}
		}
		f.doors[t.Name] = d
		f.order = append(f.order, d)
	}
	return f
}

// Run asks the health pages until the context ends.
func (f *Front) Run(ctx context.Context) {
	var asked sync.WaitGroup
	defer asked.Wait()
	for i, d := range f.order {
		asked.Go(func() {
			// Spread, so that 100 proxies are not asked in one instant.
			first := time.Duration(i) * healthEvery / time.Duration(len(f.order))
			for next := first; sleep.For(ctx, next); next = healthEvery {
				f.note(d, healthy(ctx, d))
			}
		})
	}
}

func healthy(ctx context.Context, d *door) bool {
	ctx, cancel := context.WithTimeout(ctx, healthWait)
	defer cancel()
	c, err := d.dialers[d.Zone].Dial(ctx, d.Addr)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(healthWait))
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

func (f *Front) note(d *door, yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	switch {
	case yes:
		d.lastYes = now
		d.open = !d.blocked
	case d.open && now.Sub(d.lastYes) > f.notice:
		d.open = false
	}
}

// Missing names the proxies that are not admitted.
func (f *Front) Missing() (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.order {
		if !d.open {
			names = append(names, d.Name)
		}
	}
	return names
}

// Bar takes a proxy out by an operator, as before a planned restart; Expect lets it back in once it is healthy.
func (f *Front) Bar(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doors[name].blocked, f.doors[name].open = true, false
}

// Expect lets a proxy that was barred be admitted again.
func (f *Front) Expect(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doors[name].blocked = false
}

// choose picks a proxy for a new connection of a zone's client.
func (f *Front) choose(zone string) (*door, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []*door
	for _, d := range f.order {
		switch {
		case !d.open:
		case d.Zone == zone:
			near = append(near, d)
		case f.others:
			far = append(far, d)
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
type kept struct {
	*link.Conn
	r    *bufio.Reader
	door *door
	last *referee.ClientAttempt
}

// pool is the idle connections of a zone's clients.
type pool struct {
	mu   sync.Mutex
	idle []*kept
}

// take gives a connection that is idle, by chance among them, and leaves out those that have ended.
func (p *pool) take(rng func(int) int, ref *referee.Referee) *kept {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		i := rng(len(p.idle))
		k := p.idle[i]
		p.idle[i] = p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !k.over(ref) {
			return k
		}
	}
	return nil
}

// over tells whether an idle connection is of no more use. Bytes on it are a second answer.
func (k *kept) over(ref *referee.Referee) bool {
	if k.r.Buffered() > 0 || k.HasUnreadBytes() {
		ref.RecordExtraBytes(k.last, time.Now())
		k.Close()
		return true
	}
	if k.PeerClosed() {
		k.Close()
		return true
	}
	return false
}

func (p *pool) put(k *kept) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, k)
}

// sweep closes the idle connections that have ended.
func (p *pool) sweep(ref *referee.Referee) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.idle[:0]
	for _, k := range p.idle {
		if !k.over(ref) {
			live = append(live, k)
		}
	}
	clear(p.idle[len(live):])
	p.idle = live
}
