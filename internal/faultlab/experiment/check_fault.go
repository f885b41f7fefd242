package experiment

import (
	"fmt"
	"slices"
	"strings"
)

// checkFault checks a fault, which is at a key of the file.
func (c *checker) checkFault(key string, fault Fault) {
	kind, ok := FaultKinds[fault.Kind]
	if !ok {
		c.report(key+".kind", "%q is not one of %s", fault.Kind, strings.Join(FaultKindNames(), ", "))
		return
	}
	if fault.At < 0 || fault.At >= c.experiment.Seconds {
		c.report(key+".at", "%v is outside the run of %v seconds", fault.At, c.experiment.Seconds)
	}
	c.checkNotNegative(key+".for", fault.Duration)
	c.checkNotNegative(key+".spread", fault.Spread)
	c.checkFraction(key+".share", fault.Share)
	needs := map[string]float64{"factor": fault.Factor, "part": fault.Fraction, "ms": fault.DelayMs, "versions": float64(fault.Versions),
		"liars": float64(fault.ByzantineMembers), "clients": float64(fault.Clients)}
	for _, need := range kind.RequiredKeys {
		c.checkPositive(key+"."+need, needs[need])
	}
	if fault.ByzantineMembers > maxByzantineMembers {
		c.report(key+".liars", "must be at most %d", maxByzantineMembers)
	}
	if slices.Contains(kind.RequiredKeys, "part") {
		c.checkFraction(key+".part", fault.Fraction)
	}
	c.checkZones(key, fault, kind)
	c.checkNames(key+".proxies", fault.Proxies, c.experiment.ProxyNodes(), kind.Proxies || kind.Links, fault.Kind)
	c.checkNames(key+".nodos", fault.Servers, c.experiment.ServerNodes(), kind.Servers || kind.Links, fault.Kind)
	c.checkMembers(key, fault, kind)
	c.checkHollowFault(key, fault, kind)
	c.checkLinks(key, fault, kind)
}

// checkZones checks the keys that name zones.
func (c *checker) checkZones(key string, fault Fault, kind FaultKind) {
	zones := c.experiment.ZoneNames()
	for name, zone := range map[string]string{"zone": fault.Zone, "from_zone": fault.FromZone, "to_zone": fault.ToZone} {
		if zone != "" && !slices.Contains(zones, zone) && !(kind.Hollow && name == "zone") {
			c.report(key+"."+name, "there is no zone %q; the zones are %s", zone, strings.Join(zones, ", "))
		}
	}
	if kind.Zone && fault.Zone == "" {
		c.report(key+".zone", "%s needs the name of a zone", fault.Kind)
	}
}

// checkLinks checks the keys that select links.
func (c *checker) checkLinks(key string, fault Fault, kind FaultKind) {
	if !kind.Links {
		if fault.Link != "" || fault.Direction != "" && fault.Kind != "member_cut" || fault.FromZone != "" ||
			fault.ToZone != "" {
			c.report(key,
				"link, direction, from_zone and to_zone are only for faults of links, and %s is not one",
				fault.Kind)
		}
		return
	}
	if fault.Link != "" {
		c.checkOneOf(key+".link", fault.Link, "client", "nodo", "list", "lease", "gossip")
		if fault.Link == "gossip" && len(fault.Servers) > 0 {
			c.report(key+".nodos", "must be empty for gossip, which is between proxies")
		}
	}
	if fault.Direction != "" {
		c.checkOneOf(key+".direction", fault.Direction, "both", "out", "back")
	}
	selectsProxies := len(fault.Proxies) > 0 || fault.Share > 0
	if c.experiment.SharedLinks() && (fault.Link == "" || fault.Link == "nodo") && selectsProxies {
		c.report(key+".proxies",
			"with more than %d pairs of proxies and nodos, links are selected by zone only: use from_zone",
			MaxPairLinks)
	}
}

// checkNames checks a list of names of targets, which are allowed for some kinds of faults only.
func (c *checker) checkNames(key string, names []string, of []Node, allowed bool, kind string) {
	if len(names) > 0 && !allowed {
		c.report(key, "must be empty, since %s has no such targets", kind)
		return
	}
	for _, n := range names {
		if !slices.ContainsFunc(of, func(x Node) bool { return x.Name == n }) {
			c.report(key, "there is no %q; names are like ZONE-p1 for proxies and ZONE-s1 for nodos", n)
		}
	}
}

// checkMembers checks whether the kind of fault fits the kind of list, and the names of members.
func (c *checker) checkMembers(key string, fault Fault, kind FaultKind) {
	switch {
	case kind.Members && c.experiment.List.Members == 0:
		c.report(key+".kind", "%s needs a list service with members: set list.members", fault.Kind)
	case !kind.Members && strings.HasPrefix(fault.Kind, "list_") && c.experiment.List.Members > 0:
		c.report(key+".kind",
			"%s is only for the lab's catalog; members have member_kill, _stop, _cut and _damage",
			fault.Kind)
	case !kind.Members && len(fault.Members) > 0:
		c.report(key+".members", "must be empty, since %s has no such targets", fault.Kind)
	}
	names := []string{"leader", "follower"}
	for i := range c.experiment.List.Members {
		names = append(names, fmt.Sprintf("r%d", i+1))
	}
	for _, m := range fault.Members {
		c.checkOneOf(key+".members", m, names...)
	}
	if fault.Kind == "member_cut" && fault.Direction != "" {
		c.checkOneOf(key+".direction", fault.Direction, "both", "out", "back")
	}
}

// checkExpect checks an expectation, which is at a key of the file.
func (c *checker) checkExpect(key string, expect Expect) {
	known := IsKnownMetric(expect.Metric, c.experiment)
	if !known {
		c.report(key+".figure", "%q is unknown; docs/lab.md lists the figures", expect.Metric)
	}
	if expect.Min == nil && expect.Max == nil {
		c.report(key, "has neither min nor max, so it cannot fail")
	}
	if expect.Min != nil && expect.Max != nil && *expect.Min > *expect.Max {
		c.report(key+".min", "%v is greater than max %v", *expect.Min, *expect.Max)
	}
	if expect.From != 0 || expect.To != 0 {
		from, to := expect.Span(c.experiment)
		if from < 0 || to <= from || to > c.experiment.Seconds {
			c.report(key+".from", "%v to %v is not a span within the run of %v seconds", from, to,
				c.experiment.Seconds)
		}
		if known && !IsSpanMetric(expect.Metric) {
			c.report(key+".from", "%s is a figure of the whole run, which can have no span", expect.Metric)
		}
	}
}
