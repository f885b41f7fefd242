package discovery

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// After an outage of discovery, every client has a list within about twice the time that discovery needs to
// serve all of them: no client sleeps while discovery is idle. A fleet of two tiers starts, which makes more
// calls than discovery serves within W. Discovery is then down for some seconds, in which each call waits and
// fails.
func TestPollsResumeSoonAfterOutage(t *testing.T) {
	const wait = 2 * time.Second
	for _, tt := range []struct {
		name                 string
		firstTier, laterTier int
		callTime             time.Duration
		outageStart, outage  time.Duration // start of the outage after that of the fleet, and its duration
		restarts             int           // processes that start when the outage ends
		within, withinFirst  time.Duration // until all, and all of the first tier, have a list after its end
	}{
		{"two tiers", 49, 230, 20 * time.Millisecond, 2500 * time.Millisecond, 7500 * time.Millisecond, 34, 14 * time.Second, 6 * time.Second},
		{"two tiers, a larger second", 49, 300, 20 * time.Millisecond, 1500 * time.Millisecond, 8 * time.Second, 34, 18 * time.Second, 6 * time.Second},
		{"a long outage", 49, 300, 20 * time.Millisecond, 1500 * time.Millisecond, 30 * time.Second, 34, 18 * time.Second, 6 * time.Second},
		{"slow service", 49, 250, 26 * time.Millisecond, 2500 * time.Millisecond, 7500 * time.Millisecond, 34, 15 * time.Second, 6 * time.Second},
		{"a larger fleet", 150, 750, 20 * time.Millisecond, 2500 * time.Millisecond, 7500 * time.Millisecond, 100, 46 * time.Second, 15 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				model := &serverModel{maxWait: wait, queueLimit: 5 * time.Second, serviceTime: tt.callTime, ctx: ctx, changed: make(chan struct{})}
				join := func(n int, callers int) {
					for range n {
						model.assumedCallers = callers
						model.join(ctx, false, uint64(len(model.clients)+1), 0)
					}
				}
				join(tt.firstTier, EstimateCallers(Topology{Tier: 0, TierCount: 2, Replicas: tt.firstTier}))
				join(tt.laterTier, EstimateCallers(Topology{Tier: 1, TierCount: 2, Replicas: tt.laterTier}))
				time.Sleep(tt.outageStart)
				model.outage(rejectedAfterWait, resetWatch, tt.outage)
				model.publishVersion()
				join(tt.restarts, EstimateCallers(Topology{Tier: 0, TierCount: 2, Replicas: tt.firstTier}))
				time.Sleep(3 * time.Minute)
				stop()
				synctest.Wait()
				age := model.worstAge(t)
				t.Logf("all clients updated within %v; %d calls served, %d wasted",
					age, model.served, model.wasted)
				firstTierCallers := EstimateCallers(Topology{Tier: 0, TierCount: 2, Replicas: tt.firstTier})
				model.clients = slices.DeleteFunc(model.clients,
					func(c *modelClient) bool { return c.client.cfg.Callers != firstTierCallers })
				firstTierAge := model.worstAge(t)
				t.Logf("all clients of the first tier updated within %v", firstTierAge)
				if firstTierAge > tt.withinFirst {
					t.Errorf("want all clients of the first tier updated within %v", tt.withinFirst)
				}
				if age > tt.within {
					t.Errorf("want all clients updated within %v", tt.within)
				}
			})
		})
	}
}
