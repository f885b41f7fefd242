package experiment

import (
	"fmt"
	"slices"
	"strings"
)

func (c *checker) checkFault(key string, fault Fault) {
	kind, ok := Kinds[fault.Kind]
	if !ok {
		c.report(key+".kind", "%q is none of %s", fault.Kind, strings.Join(KindNames(), ", "))
		return
	}
	if fault.At < 0 || fault.At >= c.experiment.Seconds {
		c.report(key+".at", "%v lies outside the %v seconds of the run", fault.At, c.experiment.Seconds)
	}
	c.notNegative(key+".for", fault.Duration)
	c.notNegative(key+".spread", fault.Spread)
	c.fraction(key+".share", fault.Share)
	needs := map[string]float64{"factor": fault.Factor, "part": fault.Fraction, "ms": fault.DelayMs, "versions": float64(fault.Versions),
		"liars": float64(fault.ByzantineMembers), "clients": float64(fault.IdleClients)}
	for _, need := range kind.Needs {
		c.positive(key+"."+need, needs[need])
	}
	if fault.ByzantineMembers > maxByzantineMembers {
		c.report(key+".liars", "at most %d", maxByzantineMembers)
	}
	if slices.Contains(kind.Needs, "part") {
		c.fraction(key+".part", fault.Fraction)
	}
	c.checkZones(key, fault, kind)
	c.checkNames(key+".proxies", fault.Proxies, c.experiment.ProxyNodes(), kind.Proxies || kind.Links, fault.Kind)
	c.checkNames(key+".nodos", fault.Servers, c.experiment.ServerNodes(), kind.Servers || kind.Links, fault.Kind)
	c.checkMembers(key, fault, kind)
	c.checkHollowFault(key, fault, kind)
	c.checkLinks(key, fault, kind)
}

func (c *checker) checkZones(key string, fault Fault, kind Kind) {
	zones := c.experiment.ZoneNames()
	for name, zone := range map[string]string{"zone": fault.Zone, "from_zone": fault.FromZone, "to_zone": fault.ToZone} {
		if zone != "" && !slices.Contains(zones, zone) && !(kind.Hollow && name == "zone") {
			c.report(key+"."+name, "no zone %q; there are %s", zone, strings.Join(zones, ", "))
		}
	}
	if kind.Zone && fault.Zone == "" {
		c.report(key+".zone", "%s needs the zone's name", fault.Kind)
	}
}

// checkLinks checks the keys that select links.
func (c *checker) checkLinks(key string, fault Fault, kind Kind) {
	if !kind.Links {
		if fault.Link != "" || fault.Direction != "" && fault.Kind != "member_cut" || fault.FromZone != "" || fault.ToZone != "" {
			c.report(key, "link, direction, from_zone and to_zone are for faults of links; %s is none", fault.Kind)
		}
		return
	}
	if fault.Link != "" {
		c.oneOf(key+".link", fault.Link, "client", "nodo", "list", "lease", "gossip")
		if fault.Link == "gossip" && len(fault.Servers) > 0 {
			c.report(key+".nodos", "gossip runs between proxies")
		}
	}
	if fault.Direction != "" {
		c.oneOf(key+".direction", fault.Direction, "both", "out", "back")
	}
	selectsProxies := len(fault.Proxies) > 0 || fault.Share > 0
	if c.experiment.SharedLinks() && (fault.Link == "" || fault.Link == "nodo") && selectsProxies {
		c.report(key+".proxies", "over %d pairs of proxy and nodo links are told apart by zone only: use from_zone",
			MaxPairLinks)
	}
}

func (c *checker) checkNames(key string, names []string, of []Node, allowed bool, kind string) {
	if len(names) > 0 && !allowed {
		c.report(key, "%s is not aimed at any", kind)
		return
	}
	for _, n := range names {
		if !slices.ContainsFunc(of, func(x Node) bool { return x.Name == n }) {
			c.report(key, "no %q; names are ZONE-p1 for proxies and ZONE-s1 for nodos", n)
		}
	}
}

func (c *checker) checkMembers(key string, fault Fault, kind Kind) {
	switch {
	case kind.Members && c.experiment.List.Members == 0:
		c.report(key+".kind", "%s is for a list service with members: list.members", fault.Kind)
	case !kind.Members && strings.HasPrefix(fault.Kind, "list_") && c.experiment.List.Members > 0:
		c.report(key+".kind", "%s is for the stand-in: the list service has member_kill, member_stop, member_cut, member_damage",
			fault.Kind)
	case !kind.Members && len(fault.Members) > 0:
		c.report(key+".members", "%s is not aimed at any", fault.Kind)
	}
	names := []string{"leader", "follower"}
	for i := range c.experiment.List.Members {
		names = append(names, fmt.Sprintf("r%d", i+1))
	}
	for _, m := range fault.Members {
		c.oneOf(key+".members", m, names...)
	}
	if fault.Kind == "member_cut" && fault.Direction != "" {
		c.oneOf(key+".direction", fault.Direction, "both", "out", "back")
	}
}

func (c *checker) checkExpect(key string, expect Expect) {
	known := IsKnownMetric(expect.Metric, c.experiment)
	if !known {
		c.report(key+".figure", "%q is unknown; docs/lab.md lists the figures", expect.Metric)
	}
	if expect.Min == nil && expect.Max == nil {
		c.report(key, "neither min nor max: it cannot fail")
	}
	if expect.Min != nil && expect.Max != nil && *expect.Min > *expect.Max {
		c.report(key+".min", "%v is over max %v", *expect.Min, *expect.Max)
	}
	if expect.From != 0 || expect.To != 0 {
		from, to := expect.Span(c.experiment)
		if from < 0 || to <= from || to > c.experiment.Seconds {
			c.report(key+".from", "%v to %v is no span of the run's %v seconds", from, to, c.experiment.Seconds)
		}
		if known && !IsSpanMetric(expect.Metric) {
			c.report(key+".from", "%s is a figure of the whole run", expect.Metric)
		}
	}
}
