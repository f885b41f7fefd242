package proxy

import (
	"context"
	"fmt"
	"time"

	"merlinpick/internal/discovery"
)

// syncMargin is how long before discovery.NotifyDeadline a starting process becomes ready even without a
// confirmed list.
const syncMargin = 250 * time.Millisecond

// syncTimeout returns how long a starting process waits for discovery to confirm its list: at most until all
// changes from before its start count as notified. A list from the registry is cached by the proxy itself and
// used without a wait.
func (cfg Config) syncTimeout() time.Duration {
	switch {
	case len(cfg.Discovery.Members) > 0:
		return 0
	case !cfg.Site.Balancer.WatchEndpoints:
		return discovery.AgentNotifyDeadline
	}
	return discovery.NotifyDeadline - syncMargin
}

// maxListAge returns how long after its last sync a list becomes stale; 0 means never. A list from the
// registry never does, since there is no limit on its age. A local agent, which lists are pushed to, passes
// each on within discovery.AgentNotifyDeadline unless it cannot be reached.
func (cfg Config) maxListAge() time.Duration {
	switch {
	case len(cfg.Discovery.Members) > 0:
		return 0
	case !cfg.Site.Balancer.WatchEndpoints:
		return discovery.AgentNotifyDeadline
	}
	return discovery.NotifyDeadline
}

// awaitSync makes this process ready once discovery has confirmed the list, once discovery is unreachable
// (then no change counts as notified), or after syncTimeout.
func (p *Proxy) awaitSync(ctx context.Context) {
	timeout := time.NewTimer(p.syncTimeout)
	defer timeout.Stop()
	defer p.frontend.SetAwaitingSync(false)
	select {
	case <-p.loop.list.synced:
	case <-p.listClient.Unreachable():
		p.config.Logger.Warn("no longer waiting for discovery to confirm the list", "reason", "discovery unreachable", "address", p.config.Discovery)
	case <-timeout.C:
		p.config.Logger.Warn("no longer waiting for discovery to confirm the list", "reason", "discovery has not confirmed it", "duration", p.syncTimeout)
	case <-ctx.Done():
	}
}

// Ready reports whether new requests are served: clients can connect and there is an endpoint list.
func (p *Proxy) Ready() bool { return p.NotReadyReason() == "" }

// NotReadyReason returns why this proxy is not ready, as /readyz shows it, or "" if it is ready.
func (p *Proxy) NotReadyReason() string {
	if p.frontend.IsDraining() {
		return "it drains"
	}
	select {
	case <-p.loop.list.available:
	default:
		return fmt.Sprintf("no list of servers: the configuration has none (known), and discovery at %v has not answered yet",
			p.config.Discovery)
	}
	if !p.frontend.IsServing() {
		return "clients are not accepted yet"
	}
	if p.frontend.IsAwaitingSync() {
		return fmt.Sprintf("the list of the start is not confirmed: discovery at %v has not answered yet", p.config.Discovery)
	}
	return ""
}
