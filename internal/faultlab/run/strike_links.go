package run

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/plan"
)

// between matches the links that lead out of a zone or into it.
func between(zone string) func(link.Ends) bool {
	return func(e link.Ends) bool {
		return e.FromZone != e.ToZone && e.FromZone != "" && e.ToZone != "" && (e.FromZone == zone || e.ToZone == zone)
	}
}

// reach is an effect and the links that it is for.
type reach struct {
	match func(link.Ends) bool
	link.Effect
}

// over has effects on links for a fault's time. Where they keep clients from a proxy, that proxy is excused.
func (t *timeline) over(ctx context.Context, s plan.Strike, reaches ...reach) error {
	begun := time.Now()
	var excused []func(time.Time)
	var ends []func() error
	var errs []error
	for _, r := range reaches {
		for _, m := range t.order {
			if r.match(link.Ends{Kind: "list", From: m.node.Name, FromZone: m.node.Zone, ToZone: t.exp.List.Zone}) {
				excused = append(excused, t.ref.BeginListOutage(m.node.Name, begun))
			}
			for _, z := range t.exp.ZoneNames() {
				if r.match(link.Ends{Kind: "client", FromZone: z, To: m.node.Name, ToZone: m.node.Zone}) {
					excused = append(excused, t.ref.BeginExcusedSpan(m.node.Name, begun))
				}
			}
		}
		end, err := t.net.Apply(r.match, r.Effect)
		ends, errs = append(ends, end), append(errs, err)
	}
	if errors.Join(errs...) == nil {
		t.hold(ctx, s, s.At)
	}
	for _, end := range ends {
		errs = append(errs, end())
	}
	for _, end := range excused {
		end(time.Now())
	}
	return errors.Join(errs...)
}

// matching is the links that a fault of links is aimed at.
func matching(f experiment.Fault, shared bool) func(link.Ends) bool {
	one := func(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }
	return func(e link.Ends) bool {
		if f.Link != "" && e.Kind != f.Link || f.FromZone != "" && e.FromZone != f.FromZone ||
			f.ToZone != "" && e.ToZone != f.ToZone {
			return false
		}
		if f.Zone != "" && e.FromZone != f.Zone && e.ToZone != f.Zone {
			return false
		}
		switch e.Kind {
		case "client":
			return len(f.Servers) == 0 && one(f.Proxies, e.To)
		case "member", "gossip":
			return false // member_cut and gossips have these
		case "lease":
			return len(f.Servers) == 0 && len(f.Proxies) == 0
		case "nodo":
			return one(f.Servers, e.To) && (shared && len(f.Proxies) == 0 || one(f.Proxies, e.From))
		}
		return len(f.Servers) == 0 && one(f.Proxies, e.From)
	}
}

// cutEffect is a cut in a direction, as the dialling side sees it.
func cutEffect(direction string) link.Effect {
	switch direction {
	case "out": // the first packet of a connection is lost too
		return link.Effect{CutOut: true, NoConnect: true}
	case "back": // connections come up: what answers is lost behind them
		return link.Effect{CutBack: true}
	}
	return link.Silent
}

func (t *timeline) links(ctx context.Context, s plan.Strike) error {
	f := s.Fault
	match := matching(f, t.exp.SharedLinks())
	over := func(e link.Effect) error { return t.over(ctx, s, append(toGossip(f, e), reach{match, e})...) }
	switch f.Kind {
	case "cut":
		return over(cutEffect(f.Direction))
	case "delay":
		return over(link.Effect{Delay: experiment.Millis(f.Ms)})
	case "loss":
		if err := t.hollowLoss(ctx, s); err != nil {
			return err
		}
		return over(link.Effect{Loss: f.Part})
	case "reset":
		if s.For <= 0 {
			for _, m := range t.order {
				now := time.Now()
				t.ref.BeginExcusedSpan(m.node.Name, now)(now)
			}
		}
		t.net.Reset(match)
		for _, r := range toGossip(f, link.Effect{}) {
			t.net.Reset(r.match)
		}
		if s.For <= 0 {
			return nil
		}
		return over(link.Effect{ResetNew: true})
	}
	return fmt.Errorf("fault %d: no links' fault %q", s.N, f.Kind)
}

// loseZone has a zone's machines vanish, and come back cold.
func (t *timeline) loseZone(ctx context.Context, s plan.Strike) error {
	zone := s.Fault.Zone
	into := func(e link.Ends) bool { return (e.Kind == "nodo" || e.Kind == "gossip") && e.ToZone == zone }
	silent, err := t.net.Apply(into, link.Silent)
	if err != nil {
		return err
	}
	var ms []*member
	for _, m := range t.order {
		if m.node.Zone == zone {
			ms = append(ms, m)
		}
	}
	errs := []error{t.kill(ms)}
	servers := t.serversOf(zone)
	for _, srv := range servers {
		t.vanish(srv)
	}
	back := s.For > 0 && t.until(ctx, s.At+s.For)
	t.net.Reset(into)
	if back {
		for _, srv := range servers {
			errs = append(errs, t.up(srv))
		}
	}
	errs = append(errs, silent())
	if back {
		t.startAll(ctx, ms, false)
	}
	return errors.Join(errs...)
}
