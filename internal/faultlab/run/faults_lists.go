package run

import (
	"context"
	"errors"
	"slices"
	"time"

	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/service"
)

// injectRegistryFault injects a fault into members of the list service.
func (t *timeline) injectRegistryFault(ctx context.Context, planned plan.PlannedFault) error {
	members := t.service.Members(planned.Fault.Members)
	t.log.Info("fault injected into members of the list service", "fault", planned.Number,
		"members", service.MemberNames(members))
	back := func() bool { return planned.Duration > 0 && t.waitUntil(ctx, planned.At+planned.Duration) }
	switch planned.Fault.Kind {
	case "member_kill":
		return t.service.Kill(members, back)
	case "member_stop":
		return t.service.Suspend(members, func() { t.waitForFaultEnd(ctx, planned, planned.At) })
	case "member_damage":
		return t.service.Damage(members, back)
	case "member_cut":
		return t.cutMembers(ctx, planned, service.MemberNames(members))
	}
	return unknownFault(planned, "members")
}

// cutMembers cuts members off from the others: in both directions, only what they send (out), or only what
// they receive (back). Both sides dial, so what a member sends is in requests on some links and in responses
// on others.
func (t *timeline) cutMembers(ctx context.Context, planned plan.PlannedFault, names []string) error {
	other := map[string]string{"out": "back", "back": "out"}
	var ends []func() error
	for _, dials := range []bool{true, false} {
		direction := planned.Fault.Direction
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
	t.waitForFaultEnd(ctx, planned, planned.At)
	return errors.Join(ends[0](), ends[1]())
}

// injectListFault injects a fault into the catalog. While the catalog is down, all links to it refuse
// connections.
func (t *timeline) injectListFault(ctx context.Context, planned plan.PlannedFault) error {
	links := func(ends link.Ends) bool { return ends.Kind == "list" }
	down := func() error {
		end, err := t.net.Apply(links, link.Effect{Refuse: true})
		if err != nil {
			return err
		}
		restart := t.catalog.TakeDown()
		endOutage := t.ref.BeginListOutage("", time.Now())
		t.net.Reset(links)
		if planned.Fault.Kind == "list_power_loss" {
			t.log.Info("catalog lost power", "versions_lost", t.catalog.PowerLoss())
		}
		t.waitForFaultEnd(ctx, planned, planned.At)
		restart()
		defer func() { endOutage(time.Now()) }()
		return end()
	}
	during := func(end func()) error {
		t.waitForFaultEnd(ctx, planned, planned.At)
		end()
		return nil
	}
	switch planned.Fault.Kind {
	case "list_down", "list_power_loss":
		return down()
	case "list_slow":
		return during(t.catalog.SlowDown(planned.Fault.Factor))
	case "list_stale":
		return during(t.catalog.Freeze())
	case "list_disk_full":
		return during(t.catalog.FillDisk())
	case "list_rollback":
		t.catalog.Rollback(planned.Fault.Versions)
		return nil
	}
	return unknownFault(planned, "list")
}
