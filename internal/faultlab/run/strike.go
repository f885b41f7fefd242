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
	*fleet
	start time.Time
	all   sync.WaitGroup
}

func (t *timeline) run(ctx context.Context) []result.Event {
	events := make([]result.Event, len(t.plan.Strikes))
	for i, s := range t.plan.Strikes {
		t.all.Go(func() {
			events[i] = result.Event{Number: s.N, Kind: s.Fault.Kind, Start: s.At.Seconds(), End: -1}
			if !t.until(ctx, s.At) {
				return
			}
			t.log.Info("fault begins", "n", s.N, "kind", s.Fault.Kind, "targets", targets(s))
			events[i].Start, events[i].Target = time.Since(t.start).Seconds(), targets(s)
			t.note(t.strike(ctx, s))
			events[i].End = time.Since(t.start).Seconds()
			t.log.Info("fault has ended", "n", s.N, "kind", s.Fault.Kind)
		})
	}
	t.all.Wait()
	return slices.DeleteFunc(events, func(e result.Event) bool { return e.End < 0 })
}

func targets(s plan.Strike) (names []string) {
	if experiment.Kinds[s.Fault.Kind].Hollow {
		return []string{fmt.Sprintf("%d hollow nodos", len(s.Turns))}
	}
	if experiment.Kinds[s.Fault.Kind].Configs {
		return []string{fmt.Sprintf("%d configurations", len(s.Turns))}
	}
	for _, turn := range s.Turns {
		names = append(names, turn.Target)
	}
	if s.Fault.Zone != "" && len(names) == 0 {
		names = []string{s.Fault.Zone}
	}
	return names
}

// until waits for a moment of the load.
func (t *timeline) until(ctx context.Context, at time.Duration) bool {
	return sleep.For(ctx, time.Until(t.start.Add(at)))
}

// hold keeps a fault up for its time: to the end of the load if it names none.
func (t *timeline) hold(ctx context.Context, s plan.Strike, begun time.Duration) {
	if s.For <= 0 {
		t.until(ctx, experiment.Seconds(t.exp.Seconds))
		return
	}
	t.until(ctx, begun+s.For)
}

// strike carries one fault out from its beginning to its end.
func (t *timeline) strike(ctx context.Context, s plan.Strike) error {
	kind := experiment.Kinds[s.Fault.Kind]
	switch {
	case kind.Proxies:
		return t.proxies(ctx, s)
	case s.Fault.Kind == "gossip_lie":
		return t.lie(ctx, s)
	case kind.Hollow:
		return t.strikeHollowServers(ctx, s)
	case kind.Configs:
		return t.putConfigs(ctx, s)
	case kind.Servers:
		return t.each(ctx, s, func(turn plan.Turn) error { return t.strikeServer(ctx, s, turn) })
	case kind.Links:
		return t.links(ctx, s)
	case kind.Members:
		return t.listService(ctx, s)
	case s.Fault.Kind == "zone_loss":
		return t.loseZone(ctx, s)
	case s.Fault.Kind == "zone_cut":
		return t.over(ctx, s, reach{between(s.Fault.Zone), link.Silent})
	}
	return t.lists(ctx, s)
}

// each carries a fault out on each target at its turn; the turns do not wait for each other.
func (t *timeline) each(ctx context.Context, s plan.Strike, do func(plan.Turn) error) error {
	errs := make([]error, len(s.Turns))
	var all sync.WaitGroup
	for i, turn := range s.Turns {
		all.Go(func() {
			if t.until(ctx, turn.At) {
				errs[i] = do(turn)
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}
