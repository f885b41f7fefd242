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

// run injects all faults and returns them, with their actual times, when all have ended. When the context
// ends, active faults end at once.
func (t *timeline) run(ctx context.Context) []result.Event {
	events := make([]result.Event, len(t.plan.Faults))
	for i, planned := range t.plan.Faults {
		t.running.Go(func() {
			events[i] = result.Event{Number: planned.Number, Kind: planned.Fault.Kind, Start: planned.At.Seconds(), End: -1}
			if !t.waitUntil(ctx, planned.At) {
				return
			}
			t.log.Info("fault started", "fault", planned.Number, "kind", planned.Fault.Kind,
				"targets", targetNames(planned))
			events[i].Start, events[i].Target = time.Since(t.start).Seconds(), targetNames(planned)
			t.recordError(t.inject(ctx, planned))
			events[i].End = time.Since(t.start).Seconds()
			t.log.Info("fault ended", "fault", planned.Number, "kind", planned.Fault.Kind)
		})
	}
	t.running.Wait()
	return slices.DeleteFunc(events, func(e result.Event) bool { return e.End < 0 })
}

// errUnknownFault is returned for a kind of fault that the checks of experiments accept but the timeline does
// not implement.
var errUnknownFault = errors.New("unknown kind of fault")

func unknownFault(planned plan.PlannedFault, group string) error {
	return fmt.Errorf("%w: fault %d of %s: %q is not one of the kinds in docs/lab.md", errUnknownFault,
		planned.Number, group, planned.Fault.Kind)
}

// targetNames returns the names of a fault's targets: of proxies, servers or a zone, or only their number
// where there are many.
func targetNames(planned plan.PlannedFault) (names []string) {
	if experiment.FaultKinds[planned.Fault.Kind].Hollow {
		return []string{fmt.Sprintf("%d hollow nodos", len(planned.Targets))}
	}
	if experiment.FaultKinds[planned.Fault.Kind].Configs {
		return []string{fmt.Sprintf("%d configurations", len(planned.Targets))}
	}
	for _, target := range planned.Targets {
		names = append(names, target.Name)
	}
	if planned.Fault.Zone != "" && len(names) == 0 {
		names = []string{planned.Fault.Zone}
	}
	return names
}

// waitUntil waits until a time since the load started. It returns false if the context ended before.
func (t *timeline) waitUntil(ctx context.Context, at time.Duration) bool {
	return sleep.For(ctx, time.Until(t.start.Add(at)))
}

// waitForFaultEnd waits until the end of a fault that began at a time since the load started; if the fault
// has no duration, until the end of the load.
func (t *timeline) waitForFaultEnd(ctx context.Context, planned plan.PlannedFault, begun time.Duration) {
	if planned.Duration <= 0 {
		t.waitUntil(ctx, experiment.Seconds(t.experiment.Seconds))
		return
	}
	t.waitUntil(ctx, begun+planned.Duration)
}

// inject injects one fault, and returns when it has ended.
func (t *timeline) inject(ctx context.Context, planned plan.PlannedFault) error {
	kind := experiment.FaultKinds[planned.Fault.Kind]
	switch {
	case kind.Proxies:
		return t.injectProxyFault(ctx, planned)
	case planned.Fault.Kind == "gossip_lie":
		return t.runByzantineMembers(ctx, planned)
	case kind.Hollow:
		return t.injectHollowFault(ctx, planned)
	case kind.Configs:
		return t.writeConfigs(ctx, planned)
	case kind.Servers:
		return t.eachTarget(ctx, planned, func(target plan.Target) error { return t.injectServerFault(ctx, planned, target) })
	case kind.Links:
		return t.injectLinkFault(ctx, planned)
	case kind.Members:
		return t.injectRegistryFault(ctx, planned)
	case planned.Fault.Kind == "zone_loss":
		return t.takeDownZone(ctx, planned)
	case planned.Fault.Kind == "zone_cut":
		return t.applyEffects(ctx, planned, linkEffect{crossesZoneBorder(planned.Fault.Zone), link.Silent})
	}
	return t.injectListFault(ctx, planned)
}

// eachTarget injects a fault into each target at the target's planned time. Targets do not wait for each
// other.
func (t *timeline) eachTarget(ctx context.Context, planned plan.PlannedFault, inject func(plan.Target) error) error {
	errs := make([]error, len(planned.Targets))
	var all sync.WaitGroup
	for i, target := range planned.Targets {
		all.Go(func() {
			if t.waitUntil(ctx, target.At) {
				errs[i] = inject(target)
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}
