package run

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/result"
	"merlinpick/internal/faultlab/sleep"
)

// timeline carries a plan's faults out, each at its time and for its time, however others stand. It returns when all
// have ended, or the context has; then what holds ends at once.
type timeline struct {
	*testbed
	start   time.Time
	running sync.WaitGroup
}

func (t *timeline) run(ctx context.Context) []result.Event {
	events := make([]result.Event, len(t.plan.Strikes))
	for i, strike := range t.plan.Strikes {
		t.running.Go(func() {
			events[i] = result.Event{Number: strike.N, Kind: strike.Fault.Kind, Start: strike.At.Seconds(), End: -1}
			if !t.waitUntil(ctx, strike.At) {
				return
			}
			t.log.Info("fault begins", "n", strike.N, "kind", strike.Fault.Kind, "targets", targetNames(strike))
			events[i].Start, events[i].Target = time.Since(t.start).Seconds(), targetNames(strike)
			t.recordError(t.inject(ctx, strike))
			events[i].End = time.Since(t.start).Seconds()
			t.log.Info("fault has ended", "n", strike.N, "kind", strike.Fault.Kind)
		})
	}
	t.running.Wait()
	return slices.DeleteFunc(events, func(e result.Event) bool { return e.End < 0 })
}

func targetNames(strike plan.Strike) (names []string) {
	if experiment.Kinds[strike.Fault.Kind].Hollow {
		return []string{fmt.Sprintf("%d hollow nodos", len(strike.Turns))}
	}
	if experiment.Kinds[strike.Fault.Kind].Configs {
		return []string{fmt.Sprintf("%d configurations", len(strike.Turns))}
	}
	for _, turn := range strike.Turns {
		names = append(names, turn.Target)
	}
	if strike.Fault.Zone != "" && len(names) == 0 {
		names = []string{strike.Fault.Zone}
	}
	return names
}

// until waits for a moment of the load.
func (t *timeline) waitUntil(ctx context.Context, at time.Duration) bool {
	return sleep.For(ctx, time.Until(t.start.Add(at)))
}

// hold keeps a fault up for its time: to the end of the load if it names none.
func (t *timeline) holdFault(ctx context.Context, strike plan.Strike, begun time.Duration) {
	if strike.For <= 0 {
		t.waitUntil(ctx, experiment.Seconds(t.experiment.Seconds))
		return
	}
	t.waitUntil(ctx, begun+strike.For)
}

// strike carries one fault out from its beginning to its end.
func (t *timeline) inject(ctx context.Context, strike plan.Strike) error {
	kind := experiment.Kinds[strike.Fault.Kind]
	switch {
	case kind.Proxies:
		return t.injectProxyFault(ctx, strike)
	case strike.Fault.Kind == "gossip_lie":
		return t.runByzantineMembers(ctx, strike)
	case kind.Hollow:
		return t.injectHollowFault(ctx, strike)
	case kind.Configs:
		return t.writeConfigs(ctx, strike)
	case kind.Servers:
		return t.eachTarget(ctx, strike, func(turn plan.Turn) error { return t.injectServerFault(ctx, strike, turn) })
	case kind.Links:
		return t.injectLinkFault(ctx, strike)
	case kind.Members:
		return t.injectRegistryFault(ctx, strike)
	case strike.Fault.Kind == "zone_loss":
		return t.loseZone(ctx, strike)
	case strike.Fault.Kind == "zone_cut":
		return t.applyEffects(ctx, strike, linkEffect{zoneBorder(strike.Fault.Zone), link.Silent})
	}
	return t.injectListFault(ctx, strike)
}

// each carries a fault out on each target at its turn; the turns do not wait for each other.
func (t *timeline) eachTarget(ctx context.Context, strike plan.Strike, do func(plan.Turn) error) error {
	errs := make([]error, len(strike.Turns))
	var all sync.WaitGroup
	for i, turn := range strike.Turns {
		all.Go(func() {
			if t.waitUntil(ctx, turn.At) {
				errs[i] = do(turn)
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}
