package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/settings"
)

// proxy is a hollow proxy: parts that each follow something, and one loop that owns the decision module. Its figures are read
// from outside.
type proxy struct {
	Proxy
	cfg    *Config
	log    *slog.Logger
	list   *followed
	fleet  *fleetPart // nil without a fleet
	decide *decider
	rules  *ruled // nil if it follows no configuration
}

// seeded is a fault of a hollow proxy that the checks must find; tests only.
type seeded uint8

const (
	sound      seeded = iota
	skipsWatch        // it hears the list once and follows it no more
	skipsFleet        // it takes no part in the gossip
	skipsApply        // it hears of configurations and has none in force
)

// followed is the list that a proxy follows.
type followed struct {
	client *discovery.Client

	mu      sync.Mutex
	steps   []Step
	servers map[string]string // their status
	lost    []Death
	before  discovery.Metrics // when the figures began
}

func newProxy(c *Config, p Proxy, log *slog.Logger, fault seeded) (*proxy, error) {
	site, err := settings.Decode(c.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	h := &proxy{Proxy: p, cfg: c, log: log.With("proxy", p.Name)}
	h.list = &followed{servers: map[string]string{}, client: discovery.New(discovery.Config{
		Source: discovery.Source{Members: p.Lists}, Seed: p.Seed, Logger: h.log})}
	if h.decide, err = newDecider(c, p, site); err != nil {
		return nil, err
	}
	if c.Fleet != nil && fault != skipsFleet {
		if h.fleet, err = join(c.Fleet, p, h.log); err != nil {
			return nil, err
		}
	}
	if p.Service != "" {
		h.rules = newRuled(h)
		h.rules.idle = fault == skipsApply
	}
	return h, nil
}

// run takes part until the context ends.
func (p *proxy) run(ctx context.Context, fault seeded) {
	var parts sync.WaitGroup
	defer parts.Wait()
	following, leave := context.WithCancel(ctx)
	defer leave()
	parts.Go(func() { p.list.client.Run(following) })
	if p.rules != nil {
		parts.Go(func() { p.rules.run(ctx) })
	}
	var peers <-chan peersWord
	var meet <-chan time.Time
	if p.fleet != nil {
		parts.Go(func() { p.fleet.run(ctx) })
		peers = p.fleet.words
		tick := time.NewTicker(meetEvery)
		defer tick.Stop()
		meet = tick.C
	}
	r := rand.New(rand.NewPCG(p.Seed, 7))
	calls := time.NewTimer(p.decide.pause(r))
	defer calls.Stop()
	for {
		select {
		case n := <-p.list.client.Updates():
			p.list.took(n.List)
			p.decide.list(n.List)
			if fault == skipsWatch {
				leave()
			}
		case w := <-peers:
			p.fleet.last = w
		case <-meet:
			p.fleet.meet(p.decide)
		case <-calls.C:
			p.decide.call(ctx, r)
			calls.Reset(p.decide.pause(r))
		case do := <-p.decide.later:
			do()
		case <-ctx.Done():
			return
		}
	}
}

// took notes that a version is known.
func (f *followed) took(l *discovery.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.steps); n == 0 || l.Version > f.steps[n-1].Index {
		f.steps = append(f.steps, Step{l.Version, nanos()})
	}
	before := f.servers
	if l.Full {
		f.servers = map[string]string{}
	}
	for _, e := range l.Endpoints {
		if e.Status != discovery.StatusDeleted {
			f.servers[e.Name] = e.Status
			continue
		}
		f.gone(e.Name, before[e.Name])
		delete(f.servers, e.Name)
	}
	if l.Full {
		for name, status := range before {
			if _, ok := f.servers[name]; !ok {
				f.gone(name, status)
			}
		}
	}
}

func (f *followed) gone(name, status string) {
	if status == discovery.StatusServing {
		f.lost = append(f.lost, Death{name, nanos()})
	}
}

// begin forgets all steps but the last, and what was counted.
func (f *followed) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before, f.lost = f.client.Metrics(), nil
	if n := len(f.steps); n > 0 {
		f.steps = append([]Step(nil), f.steps[n-1])
	}
}

func (f *followed) figures(steps bool) ListFigures {
	x := f.client.Metrics()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := ListFigures{Servers: len(f.servers), Moves: x.Failovers - f.before.Failovers, Failures: x.Failures - f.before.Failures,
		AgeMs: -1}
	if steps {
		out.Steps, out.Lost = append(out.Steps, f.steps...), append(out.Lost, f.lost...)
	}
	if x.Age >= 0 {
		out.AgeMs = float64(x.Age.Microseconds()) / 1000
	}
	return out
}

// missing says what a proxy still lacks before a play can begin; empty: nothing.
func (p *proxy) missing() string {
	if p.list.client.Metrics().Age < 0 {
		return p.Name + " has no list"
	}
	if p.fleet != nil && p.fleet.link.Metrics().LiveMembers < 2 && len(p.Seeds) > 0 {
		return p.Name + " has found nobody of its fleet"
	}
	return ""
}

func (p *proxy) figures(steps bool) ProxyFigures {
	out := ProxyFigures{Name: p.Name, List: p.list.figures(steps), Calls: p.decide.counted()}
	if p.fleet != nil {
		out.Fleet = p.fleet.figures()
	}
	if p.rules != nil {
		out.Config = p.rules.figures(steps)
	}
	return out
}
