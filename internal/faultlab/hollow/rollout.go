package hollow

import (
	"context"
	"sync"

	"merlinpick/internal/rollout"
	"merlinpick/internal/settings"
)

// rolloutFollower follows a proxy's configuration with the product's rollout client, and applies each
// document to the balancer.
type rolloutFollower struct {
	proxy          *proxy
	client         *rollout.Client
	ctx            context.Context // of run
	appliesNothing bool            // set by the seeded fault skipsApply

	mu               sync.Mutex
	versions         []VersionTime
	baselineFailures int64 // failures at the last ResetMetrics
}

// newRolloutFollower returns a follower of the configuration of a proxy's service.
func newRolloutFollower(p *proxy) *rolloutFollower {
	r := &rolloutFollower{proxy: p}
	r.client = rollout.New(rollout.Config{Service: p.Service, ProxyName: p.Name, Members: p.RegistryMembers,
		Seed: p.Seed, Logger: p.log}, r)
	return r
}

// run follows the configuration until the context ends.
func (r *rolloutFollower) run(ctx context.Context) {
	r.ctx = ctx
	r.client.Run(ctx)
}

// Apply implements rollout.Applier: it reconfigures the balancer in the proxy's event loop and records the
// version.
func (r *rolloutFollower) Apply(version int64, document []byte) error {
	if r.appliesNothing {
		return nil
	}
	rules, err := settings.MergeDocument(r.proxy.cfg.Settings, document)
	if err != nil {
		return err
	}
	site, err := settings.Decode(rules) // socket settings are ignored: hollow proxies have no sockets
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	select {
	case r.proxy.simulator.events <- func() { done <- r.proxy.simulator.reconfigure(site, r.proxy.Proxy) }:
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
		r.versions = append(r.versions, VersionTime{version, unixNano()})
	}
	return err
}

// resetMetrics starts a new measurement period; the last version is kept.
func (r *rolloutFollower) resetMetrics() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.baselineFailures = r.client.Metrics().Failures
	if n := len(r.versions); n > 0 {
		r.versions = append([]VersionTime(nil), r.versions[n-1])
	}
}

// metrics returns the current metrics; versions only with steps.
func (r *rolloutFollower) metrics(steps bool) *ConfigMetrics {
	x := r.client.Metrics()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &ConfigMetrics{Service: r.proxy.Service, Version: x.Version, RejectedVersion: x.RejectedVersion,
		Failures: x.Failures - r.baselineFailures, AgeMs: -1}
	if steps {
		out.Versions = append(out.Versions, r.versions...)
	}
	if x.Age >= 0 {
		out.AgeMs = float64(x.Age.Microseconds()) / 1000
	}
	return out
}
