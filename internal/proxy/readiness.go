package proxy

import (
	"context"
	"fmt"
	"time"

	"merlinpick/internal/discovery"
)

// syncMargin before discovery.NotifyDeadline a starting process is ready even without a confirmed list.
const syncMargin = 250 * time.Millisecond

// syncTimeout is how long a process that starts waits for discovery to confirm its list: until changes from before its
// start count as notified at the latest. A registry's list is cached by the proxy itself and used at once.
func (cfg Config) syncTimeout() time.Duration {
	switch {
	case len(cfg.Discovery.Members) > 0:
		return 0
	case !cfg.Site.Balancer.WatchEndpoints:
		return discovery.AgentNotifyDeadline
	}
	return discovery.NotifyDeadline - syncMargin
}

// maxListAge is how long after it was last synced a list is stale; 0: never, for a registry's list, whose age nothing
// bounds. An agent that has the list pushed to it has passed it on within the deadline, or hears nothing.
func (cfg Config) maxListAge() time.Duration {
	switch {
	case len(cfg.Discovery.Members) > 0:
		return 0
	case !cfg.Site.Balancer.WatchEndpoints:
		return discovery.AgentNotifyDeadline
	}
	return discovery.NotifyDeadline
}

// awaitSync has this process be ready once discovery has confirmed the list, is unreachable (then no change counts as known),
// or has taken syncTimeout.
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

// Ready reports whether requests that come now are served: clients can connect and there is an endpoint list.
func (p *Proxy) Ready() bool { return p.NotReadyReason() == "" }

// NotReadyReason is what this proxy lacks to be ready, as /readyz shows it; empty if it is.
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
		return fmt.Sprintf("the list of the configuration is not confirmed: discovery at %v has not answered yet", p.config.Discovery)
	}
	return ""
}
