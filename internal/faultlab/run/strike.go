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

// timeline injects a plan's faults, each at its time and for its duration, independently of each other.
type timeline struct {
	*testbed
	start   time.Time
	running sync.WaitGroup
}

// run returns the injected faults when all have ended; when the context ends, active faults end at once.
func (t *timeline) run(ctx context.Context) []result.Event {
	events := make([]result.Event, len(t.plan.Strikes))
	for i, strike := range t.plan.Strikes {
		t.running.Go(func() {
			events[i] = result.Event{Number: strike.N, Kind: strike.Fault.Kind, Start: strike.At.Seconds(), End: -1}
			if !t.waitUntil(ctx, strike.At) {
				return
			}
			t.log.Info("fault started", "fault", strike.N, "kind", strike.Fault.Kind, "targets", targetNames(strike))
			events[i].Start, events[i].Target = time.Since(t.start).Seconds(), targetNames(strike)
			t.recordError(t.inject(ctx, strike))
			events[i].End = time.Since(t.start).Seconds()
			t.log.Info("fault ended", "fault", strike.N, "kind", strike.Fault.Kind)
		})
	}
	t.running.Wait()
	return slices.DeleteFunc(events, func(e result.Event) bool { return e.End < 0 })
}

// errUnknownFault is a kind of fault that the checks of experiments accept and the timeline does not know.
var errUnknownFault = errors.New("unknown kind of fault")

func unknownFault(strike plan.Strike, group string) error {
	return fmt.Errorf("%w: fault %d of %s: %q, see the kinds in docs/lab.md", errUnknownFault, strike.N, group, strike.Fault.Kind)
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

// waitUntil waits until a time since the load started; false if the context ended before.
func (t *timeline) waitUntil(ctx context.Context, at time.Duration) bool {
	return sleep.For(ctx, time.Until(t.start.Add(at)))
}

// holdFault waits for a fault's duration, or until the end of the load if it has none.
func (t *timeline) holdFault(ctx context.Context, strike plan.Strike, begun time.Duration) {
	if strike.For <= 0 {
		t.waitUntil(ctx, experiment.Seconds(t.experiment.Seconds))
		return
	}
	t.waitUntil(ctx, begun+strike.For)
}

// inject injects one fault from its start to its end.
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

// eachTarget injects a fault into each target at the target's time; targets do not wait for each other.
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
