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
func (t *timeline) listService(ctx context.Context, s plan.Strike) error {
	ms := t.service.Targets(s.Fault.Members)
	t.log.Info("members struck", "n", s.N, "members", service.Names(ms))
	back := func() bool { return s.For > 0 && t.until(ctx, s.At+s.For) }
	switch s.Fault.Kind {
	case "member_kill":
		return t.service.Kill(ms, back)
	case "member_stop":
		return t.service.Stop(ms, func() { t.hold(ctx, s, s.At) })
	case "member_damage":
		return t.service.Damage(ms, back)
	case "member_cut":
		return t.cutMembers(ctx, s, service.Names(ms))
	}
	return fmt.Errorf("fault %d: no members' fault %q", s.N, s.Fault.Kind)
}

// cutMembers cuts members off from the others: both ways, only what they send (out), or only what they are sent (back).
// Either side dials, so that what one sends is on some links what is dialled with and on others what is answered.
func (t *timeline) cutMembers(ctx context.Context, s plan.Strike, names []string) error {
	other := map[string]string{"out": "back", "back": "out"}
	var ends []func() error
	for _, dials := range []bool{true, false} {
		direction := s.Fault.Direction
		if !dials {
			direction = other[direction]
		}
		end, err := t.net.Apply(func(e link.Ends) bool {
			from, to := slices.Contains(names, e.From), slices.Contains(names, e.To)
			return e.Kind == "member" && from != to && from == dials
		}, cutEffect(direction))
		if err != nil {
			return err
		}
		ends = append(ends, end)
	}
	t.hold(ctx, s, s.At)
	return errors.Join(ends[0](), ends[1]())
}

func (t *timeline) lists(ctx context.Context, s plan.Strike) error {
	links := func(e link.Ends) bool { return e.Kind == "list" }
	down := func() error {
		end, err := t.net.Apply(links, link.Effect{Refuse: true})
		if err != nil {
			return err
		}
		up := t.list.Down()
		back := t.ref.BeginListOutage("", time.Now())
		t.net.Reset(links)
		if s.Fault.Kind == "list_power_loss" {
			t.log.Info("the list lost its power", "versions_lost", t.list.PowerLoss())
		}
		t.hold(ctx, s, s.At)
		up()
		defer func() { back(time.Now()) }()
		return end()
	}
	during := func(end func()) error {
		t.hold(ctx, s, s.At)
		end()
		return nil
	}
	switch s.Fault.Kind {
	case "list_down", "list_power_loss":
		return down()
	case "list_slow":
		return during(t.list.Slow(s.Fault.Factor))
	case "list_stale":
		return during(t.list.Stale())
	case "list_disk_full":
		return during(t.list.Full())
	case "list_rollback":
		t.list.Rollback(s.Fault.Versions)
		return nil
	}
	return fmt.Errorf("fault %d: no list's fault %q", s.N, s.Fault.Kind)
}
