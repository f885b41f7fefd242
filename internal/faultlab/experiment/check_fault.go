package experiment

import (
	"fmt"
	"slices"
	"strings"
)

func (c *checker) checkFault(key string, f Fault) {
	kind, ok := Kinds[f.Kind]
	if !ok {
		c.problem(key+".kind", "%q is none of %s", f.Kind, strings.Join(KindNames(), ", "))
		return
	}
	if f.At < 0 || f.At >= c.e.Seconds {
		c.problem(key+".at", "%v lies outside the %v seconds of the run", f.At, c.e.Seconds)
	}
	c.notNegative(key+".for", f.For)
	c.notNegative(key+".spread", f.Spread)
	c.part(key+".share", f.Share)
	needs := map[string]float64{"factor": f.Factor, "part": f.Part, "ms": f.Ms, "versions": float64(f.Versions),
		"liars": float64(f.Liars), "clients": float64(f.Clients)}
	for _, need := range kind.Needs {
		c.positive(key+"."+need, needs[need])
	}
	if f.Liars > maxLiars {
		c.problem(key+".liars", "at most %d", maxLiars)
	}
	if slices.Contains(kind.Needs, "part") {
		c.part(key+".part", f.Part)
	}
	zones := c.e.ZoneNames()
	for name, zone := range map[string]string{"zone": f.Zone, "from_zone": f.FromZone, "to_zone": f.ToZone} {
		if zone != "" && !slices.Contains(zones, zone) && !(kind.Hollow && name == "zone") {
			c.problem(key+"."+name, "no zone %q; there are %s", zone, strings.Join(zones, ", "))
		}
	}
	if kind.Zone && f.Zone == "" {
		c.problem(key+".zone", "%s needs the zone's name", f.Kind)
	}
	c.checkNames(key+".proxies", f.Proxies, c.e.ProxyNodes(), kind.Proxies || kind.Links, f.Kind)
	c.checkNames(key+".nodos", f.Servers, c.e.ServerNodes(), kind.Servers || kind.Links, f.Kind)
	c.checkMembers(key, f, kind)
	c.checkHollowFault(key, f, kind)
	if kind.Links {
		if f.Link != "" {
			c.oneOf(key+".link", f.Link, "client", "nodo", "list", "lease", "gossip")
			if f.Link == "gossip" && len(f.Servers) > 0 {
				c.problem(key+".nodos", "gossip runs between proxies")
			}
		}
		if f.Direction != "" {
			c.oneOf(key+".direction", f.Direction, "both", "out", "back")
		}
		if c.e.SharedLinks() && (f.Link == "" || f.Link == "nodo") && (len(f.Proxies) > 0 || f.Share > 0) {
			c.problem(key+".proxies", "over %d pairs of proxy and nodo links are told apart by zone only: use from_zone",
				MaxPairLinks)
		}
	} else if f.Link != "" || f.Direction != "" && f.Kind != "member_cut" || f.FromZone != "" || f.ToZone != "" {
		c.problem(key, "link, direction, from_zone and to_zone are for faults of links; %s is none", f.Kind)
	}
}

func (c *checker) checkNames(key string, names []string, of []Node, allowed bool, kind string) {
	if len(names) > 0 && !allowed {
		c.problem(key, "%s is not aimed at any", kind)
		return
	}
	for _, n := range names {
		if !slices.ContainsFunc(of, func(x Node) bool { return x.Name == n }) {
			c.problem(key, "no %q; names are ZONE-p1 for proxies and ZONE-s1 for nodos", n)
		}
	}
}

func (c *checker) checkMembers(key string, f Fault, kind Kind) {
	switch {
	case kind.Members && c.e.List.Members == 0:
		c.problem(key+".kind", "%s is for a list service with members: list.members", f.Kind)
	case !kind.Members && strings.HasPrefix(f.Kind, "list_") && c.e.List.Members > 0:
		c.problem(key+".kind", "%s is for the stand-in: the list service has member_kill, member_stop, member_cut, member_damage",
			f.Kind)
	case !kind.Members && len(f.Members) > 0:
		c.problem(key+".members", "%s is not aimed at any", f.Kind)
	}
	names := []string{"leader", "follower"}
	for i := range c.e.List.Members {
		names = append(names, fmt.Sprintf("r%d", i+1))
	}
	for _, m := range f.Members {
		c.oneOf(key+".members", m, names...)
	}
	if f.Kind == "member_cut" && f.Direction != "" {
		c.oneOf(key+".direction", f.Direction, "both", "out", "back")
	}
}

func (c *checker) checkExpect(key string, x Expect) {
	known := KnownFigure(x.Figure, c.e)
	if !known {
		c.problem(key+".figure", "%q is unknown; docs/lab.md lists the figures", x.Figure)
	}
	if x.Min == nil && x.Max == nil {
		c.problem(key, "neither min nor max: it cannot fail")
	}
	if x.Min != nil && x.Max != nil && *x.Min > *x.Max {
		c.problem(key+".min", "%v is over max %v", *x.Min, *x.Max)
	}
	if x.From != 0 || x.To != 0 {
		from, to := x.Span(c.e)
		if from < 0 || to <= from || to > c.e.Seconds {
			c.problem(key+".from", "%v to %v is no span of the run's %v seconds", from, to, c.e.Seconds)
		}
		if known && !SpanFigure(x.Figure) {
			c.problem(key+".from", "%s is a figure of the whole run", x.Figure)
		}
	}
}
