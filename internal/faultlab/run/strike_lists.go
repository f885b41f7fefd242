package run

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/service"
)

// listService carries out the faults of the list service's members.
func (t *timeline) injectRegistryFault(ctx context.Context, strike plan.Strike) error {
	ms := t.service.Targets(strike.Fault.Members)
	t.log.Info("members struck", "n", strike.N, "members", service.Names(ms))
	back := func() bool { return strike.For > 0 && t.waitUntil(ctx, strike.At+strike.For) }
	switch strike.Fault.Kind {
	case "member_kill":
		return t.service.Kill(ms, back)
	case "member_stop":
		return t.service.Stop(ms, func() { t.holdFault(ctx, strike, strike.At) })
	case "member_damage":
		return t.service.Damage(ms, back)
	case "member_cut":
		return t.cutMembers(ctx, strike, service.Names(ms))
	}
	return fmt.Errorf("fault %d: no members' fault %q", strike.N, strike.Fault.Kind)
}

// cutMembers cuts members off from the others: both ways, only what they send (out), or only what they are sent (back).
// Either side dials, so that what one sends is on some links what is dialled with and on others what is answered.
func (t *timeline) cutMembers(ctx context.Context, strike plan.Strike, names []string) error {
	other := map[string]string{"out": "back", "back": "out"}
	var ends []func() error
	for _, dials := range []bool{true, false} {
		direction := strike.Fault.Direction
		if !dials {
			direction = other[direction]
		}
		end, err := t.net.Apply(func(ends link.Ends) bool {
			from, to := slices.Contains(names, ends.From), slices.Contains(names, ends.To)
			return ends.Kind == "member" && from != to && from == dials
		}, cutEffect(direction))
		if err != nil {
			return err
		}
		ends = append(ends, end)
	}
	t.holdFault(ctx, strike, strike.At)
	return errors.Join(ends[0](), ends[1]())
}

func (t *timeline) injectListFault(ctx context.Context, strike plan.Strike) error {
	links := func(ends link.Ends) bool { return ends.Kind == "list" }
	down := func() error {
		end, err := t.net.Apply(links, link.Effect{Refuse: true})
		if err != nil {
			return err
		}
		up := t.catalog.Down()
		back := t.ref.BeginListOutage("", time.Now())
		t.net.Reset(links)
		if strike.Fault.Kind == "list_power_loss" {
			t.log.Info("the list lost its power", "versions_lost", t.catalog.PowerLoss())
		}
		t.holdFault(ctx, strike, strike.At)
		up()
		defer func() { back(time.Now()) }()
		return end()
	}
	during := func(end func()) error {
		t.holdFault(ctx, strike, strike.At)
		end()
		return nil
	}
	switch strike.Fault.Kind {
	case "list_down", "list_power_loss":
		return down()
	case "list_slow":
		return during(t.catalog.Slow(strike.Fault.Factor))
	case "list_stale":
		return during(t.catalog.Stale())
	case "list_disk_full":
		return during(t.catalog.Full())
	case "list_rollback":
		t.catalog.Rollback(strike.Fault.Versions)
		return nil
	}
	return fmt.Errorf("fault %d: no list's fault %q", strike.N, strike.Fault.Kind)
}
