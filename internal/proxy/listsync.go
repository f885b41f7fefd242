package proxy

import (
	"context"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
)

// How old the list may be that a proxy starts with and routes by.

// syncMargin: a process that starts is to be ready within discovery.ToldWithin.
const syncMargin = 250 * time.Millisecond

// syncPatience is how long a process waits for discovery to confirm the list that it begins with: until what had changed
// before its start counts as told at the latest. Members keep a list of their own, and one that is kept is used.
func (cfg Config) syncTimeout() time.Duration {
	switch {
	case len(cfg.Discovery.Members) > 0:
		return 0
	case !cfg.Site.Balancer.WatchEndpoints:
		return discovery.PushNotifyDeadline
	}
	return discovery.NotifyDeadline - syncMargin
}

// rules are the module's settings. The members' list shows what is listed for as long as no other comes.
func (cfg Config) balancerSettings() balancer.Settings {
	rules := cfg.Site.Balancer
	if len(cfg.Discovery.Members) == 0 {
		rules.MembershipEvidenceTTL = discovery.EvidenceTTL(!rules.WatchEndpoints, time.Duration(rules.DrainGrace)*time.Microsecond).Microseconds()
	}
	return rules
}

// listBound is how long after it was last synced a list is stale; 0: never. An agent that has the list pushed to it has
// told what it has, or is deaf, within a watch's time. No page bounds the age of the members' list, which stands without limit.
func (cfg Config) maxListAge() time.Duration {
	switch {
	case len(cfg.Discovery.Members) > 0:
		return 0
	case !cfg.Site.Balancer.WatchEndpoints:
		return discovery.PushNotifyDeadline
	}
	return discovery.NotifyDeadline
}

// awaitSync has this process be ready once discovery has confirmed the list, is out of reach, so that nothing counts as told,
// or has taken too long.
func (p *Proxy) awaitSync(ctx context.Context) {
	patience := time.NewTimer(p.syncTimeout)
	defer patience.Stop()
	defer p.frontend.awaitingSync.Store(false)
	select {
	case <-p.loop.listSynced:
	case <-p.listClient.Unreachable():
		p.config.Logger.Warn("ready by the configuration's list: discovery is out of reach", "discovery", p.config.Discovery)
	case <-patience.C:
		p.config.Logger.Warn("ready by the configuration's list: discovery has not confirmed it", "waited", p.syncTimeout)
	case <-ctx.Done():
	}
}
