package hollow

import (
	"context"
	"sync"

	"merlinpick/internal/rollout"
	"merlinpick/internal/settings"
)

// ruled is the configuration that a proxy follows: the program's own client, whose documents go to the proxy's module.
type ruled struct {
	proxy  *proxy
	client *rollout.Client
	ctx    context.Context // of run
	idle   bool            // a seeded fault: nothing is applied

	mu       sync.Mutex
	steps    []Step
	failures int64 // when the figures began
}

func newRuled(p *proxy) *ruled {
	r := &ruled{proxy: p}
	r.client = rollout.New(rollout.Config{Service: p.Service, ProxyName: p.Name, Members: p.Lists, Seed: p.Seed, Logger: p.log}, r)
	return r
}

func (r *ruled) run(ctx context.Context) {
	r.ctx = ctx
	r.client.Run(ctx)
}

// Apply implements rollout.Applier.
func (r *ruled) Apply(version int64, document []byte) error {
	if r.idle {
		return nil
	}
	rules, err := settings.MergeDocument(r.proxy.cfg.Settings, document)
	if err != nil {
		return err
	}
	site, err := settings.Decode(rules) // what is told to hollow ones lacks the sockets' part
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	select {
	case r.proxy.decide.later <- func() { done <- r.proxy.decide.reconfigure(site, r.proxy.Proxy) }:
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
	select {
	case err = <-done:
	case <-r.ctx.Done():
		err = r.ctx.Err()
	}
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.steps = append(r.steps, Step{version, nanos()})
	}
	return err
}

// begin forgets all steps but the last, and what was counted.
func (r *ruled) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = r.client.Metrics().Failures
	if n := len(r.steps); n > 0 {
		r.steps = append([]Step(nil), r.steps[n-1])
	}
}

func (r *ruled) figures(steps bool) *ConfigFigures {
	x := r.client.Metrics()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &ConfigFigures{Service: r.proxy.Service, Version: x.Version, Refused: x.RejectedVersion, Failures: x.Failures - r.failures, AgeMs: -1}
	if steps {
		out.Steps = append(out.Steps, r.steps...)
	}
	if x.Age >= 0 {
		out.AgeMs = float64(x.Age.Microseconds()) / 1000
	}
	return out
}
