package run

import (
	"context"
	"errors"
	"slices"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/plan"
)

// crossesZoneBorder returns a function that matches the links that cross the border of a zone.
func crossesZoneBorder(zone string) func(link.Ends) bool {
	return func(ends link.Ends) bool {
		return ends.FromZone != ends.ToZone && ends.FromZone != "" && ends.ToZone != "" && (ends.FromZone == zone || ends.ToZone == zone)
	}
}

// linkEffect is an effect and the links that it applies to.
type linkEffect struct {
	match func(link.Ends) bool
	link.Effect
}

// applyEffects applies effects to links for a fault's duration. Meanwhile the referee excuses the proxies
// whose links to clients or to the list are affected.
func (t *timeline) applyEffects(ctx context.Context, planned plan.PlannedFault, effects ...linkEffect) error {
	begun := time.Now()
	var excused []func(time.Time)
	var ends []func() error
	var errs []error
	for _, effect := range effects {
		for _, proxy := range t.proxyOrder {
			if effect.match(link.Ends{Kind: "list", From: proxy.node.Name, FromZone: proxy.node.Zone,
				ToZone: t.experiment.List.Zone}) {
				excused = append(excused, t.ref.BeginListOutage(proxy.node.Name, begun))
			}
			for _, z := range t.experiment.ZoneNames() {
				if effect.match(link.Ends{Kind: "client", FromZone: z, To: proxy.node.Name,
					ToZone: proxy.node.Zone}) {
					excused = append(excused, t.ref.BeginExcusedSpan(proxy.node.Name, begun))
				}
			}
		}
		end, err := t.net.Apply(effect.match, effect.Effect)
		ends, errs = append(ends, end), append(errs, err)
	}
	if errors.Join(errs...) == nil {
		t.waitForFaultEnd(ctx, planned, planned.At)
	}
	for _, end := range ends {
		errs = append(errs, end())
	}
	for _, end := range excused {
		end(time.Now())
	}
	return errors.Join(errs...)
}

// matchesFault returns a function that matches the links that a link fault affects, except gossip and the
// links between members.
func matchesFault(fault experiment.Fault, shared bool) func(link.Ends) bool {
	picks := func(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }
	return func(ends link.Ends) bool {
		if fault.Link != "" && ends.Kind != fault.Link || fault.FromZone != "" && ends.FromZone != fault.FromZone ||
			fault.ToZone != "" && ends.ToZone != fault.ToZone {
			return false
		}
		if fault.Zone != "" && ends.FromZone != fault.Zone && ends.ToZone != fault.Zone {
			return false
		}
		switch ends.Kind {
		case "client":
			return len(fault.Servers) == 0 && picks(fault.Proxies, ends.To)
		case "member", "gossip":
			return false // see cutMembers and gossipEffects
		case "lease":
			return len(fault.Servers) == 0 && len(fault.Proxies) == 0
		case "nodo":
			return picks(fault.Servers, ends.To) &&
				(shared && len(fault.Proxies) == 0 || picks(fault.Proxies, ends.From))
		}
		return len(fault.Servers) == 0 && picks(fault.Proxies, ends.From)
	}
}

// cutEffect returns the effect of a cut in a direction, as seen by the dialing side.
func cutEffect(direction string) link.Effect {
	switch direction {
	case "out": // connections are not established either
		return link.Effect{CutOut: true, NoConnect: true}
	case "back": // connections are established, but responses are lost
		return link.Effect{CutBack: true}
	}
	return link.Silent
}

// injectLinkFault injects a fault into all links that it selects.
func (t *timeline) injectLinkFault(ctx context.Context, planned plan.PlannedFault) error {
	fault := planned.Fault
	match := matchesFault(fault, t.experiment.SharedLinks())
	apply := func(e link.Effect) error {
		return t.applyEffects(ctx, planned, append(gossipEffects(fault, e), linkEffect{match, e})...)
	}
	switch fault.Kind {
	case "cut":
		return apply(cutEffect(fault.Direction))
	case "delay":
		return apply(link.Effect{Delay: experiment.Millis(fault.DelayMs)})
	case "loss":
		if err := t.dropHollowGossip(ctx, planned); err != nil {
			return err
		}
		return apply(link.Effect{Loss: fault.Fraction})
	case "reset":
		if planned.Duration <= 0 {
			for _, proxy := range t.proxyOrder {
				now := time.Now()
				t.ref.BeginExcusedSpan(proxy.node.Name, now)(now)
			}
		}
		t.net.Reset(match)
		for _, effect := range gossipEffects(fault, link.Effect{}) {
			t.net.Reset(effect.match)
		}
		if planned.Duration <= 0 {
			return nil
		}
		return apply(link.Effect{ResetNew: true})
	}
	return unknownFault(planned, "links")
}

// takeDownZone takes down all servers and proxies of a zone, and starts them again, servers with slow start,
// after the fault's duration.
func (t *timeline) takeDownZone(ctx context.Context, planned plan.PlannedFault) error {
	zone := planned.Fault.Zone
	links := func(ends link.Ends) bool {
		return (ends.Kind == "nodo" || ends.Kind == "gossip") && ends.ToZone == zone
	}
	endSilence, err := t.net.Apply(links, link.Silent)
	if err != nil {
		return err
	}
	var proxies []*proxyUnderTest
	for _, proxy := range t.proxyOrder {
		if proxy.node.Zone == zone {
			proxies = append(proxies, proxy)
		}
	}
	errs := []error{t.kill(proxies)}
	servers := t.serversInZone(zone)
	for _, server := range servers {
		t.takeDownSilently(server)
	}
	back := planned.Duration > 0 && t.waitUntil(ctx, planned.At+planned.Duration)
	t.net.Reset(links)
	if back {
		for _, server := range servers {
			errs = append(errs, t.bringUp(server))
		}
	}
	errs = append(errs, endSilence())
	if back {
		t.startAll(ctx, proxies, false)
	}
	return errors.Join(errs...)
}
