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
func (cfg Config) syncPatience() time.Duration {
	switch {
	case len(cfg.Discovery.Members) > 0:
		return 0
	case !cfg.Site.Balancer.WatchEndpoints:
		return discovery.PushNotifyDeadline
	}
	return discovery.NotifyDeadline - syncMargin
}

// rules are the module's settings. The members' list shows what is listed for as long as no other comes.
func (cfg Config) rules() balancer.Settings {
	rules := cfg.Site.Balancer
	if len(cfg.Discovery.Members) == 0 {
		rules.MembershipEvidenceTTL = discovery.EvidenceTTL(!rules.WatchEndpoints, time.Duration(rules.DrainGrace)*time.Microsecond).Microseconds()
	}
	return rules
}

// listBound is how long after it was last synced a list is stale; 0: never. An agent that has the list pushed to it has
// told what it has, or is deaf, within a watch's time. No page bounds the age of the members' list, which stands without limit.
func (cfg Config) listBound() time.Duration {
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
	patience := time.NewTimer(p.syncPatience)
	defer patience.Stop()
	defer p.front.waits.Store(false)
	select {
	case <-p.loop.fresh:
	case <-p.lists.Unreachable():
		p.cfg.Logger.Warn("ready by the configuration's list: discovery is out of reach", "discovery", p.cfg.Discovery)
	case <-patience.C:
		p.cfg.Logger.Warn("ready by the configuration's list: discovery has not confirmed it", "waited", p.syncPatience)
	case <-ctx.Done():
	}
}
