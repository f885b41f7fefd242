package experiment

import (
	"fmt"
	"slices"
	"strings"
)

func (c *checker) positive(key string, v float64) {
	if !(v > 0) {
		c.problem(key, "has to be over 0, not %v", v)
	}
}

func (c *checker) notNegative(key string, v float64) {
	if !(v >= 0) {
		c.problem(key, "has to be 0 or more, not %v", v)
	}
}

func (c *checker) part(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		c.problem(key, "is a part, from 0 to 1, not %v", v)
	}
}

func (c *checker) oneOf(key, v string, of ...string) {
	if !slices.Contains(of, v) {
		c.problem(key, "%q is none of %s", v, strings.Join(of, ", "))
	}
}

const (
	maxSeconds  = 3600
	maxRate     = 20000
	maxRequests = 1_000_000
	maxProxies  = 400
	maxServers  = 2000
	maxMembers  = 5
	maxLiars    = 90 // of one fault
)

func (c *checker) check() {
	e := c.e
	c.positive("seconds", e.Seconds)
	if e.Seconds > maxSeconds {
		c.problem("seconds", "at most %d", maxSeconds)
	}
	c.notNegative("warmup", e.Warmup)
	if e.Warmup >= e.Seconds {
		c.problem("warmup", "leaves nothing of %v seconds", e.Seconds)
	}
	if e.Repeat < 1 {
		c.problem("repeat", "has to be 1 or more, not %d", e.Repeat)
	}
	c.positive("lab.late_ms", e.Lab.LateMs)
	c.positive("lab.stall_ms", e.Lab.StallMs)
	c.positive("lab.ready_wait", e.Lab.ReadyWait)
	c.notNegative("lab.start_gap", e.Lab.StartGap)
	c.oneOf("lab.rules", e.Lab.Rules, "enforce", "report")
	c.notNegative("network.local_ms", e.Network.LocalMs)
	c.notNegative("network.cross_ms", e.Network.CrossMs)
	c.checkCluster()
	c.checkClasses()
	c.checkLoad()
	p := e.Proxy
	for key, v := range map[string]float64{"cores": p.Cores, "memory_mb": float64(p.MemoryMB), "try_limit": float64(p.MaxAttempts),
		"sockets": float64(p.Sockets), "dial_ms": p.DialMs, "idle_ms": p.IdleMs, "drain_grace_ms": p.DrainGraceMs} {
		c.positive("proxy."+key, v)
	}
	c.oneOf("proxy.membership", p.Membership, "automatic", "subscribe")
	if p.KnownPart != nil {
		c.part("proxy.known", *p.KnownPart)
	}
	c.checkServers()
	c.checkHollow()
	if c.positive("fleet.seeds", float64(e.Cluster.Seeds)); e.Cluster.Label == "" {
		c.problem("fleet.label", "is empty: any fleet would be taken for this one")
	}
	for i, f := range e.Faults {
		c.checkFault(fmt.Sprintf("fault[%d]", i+1), f)
	}
	for i, x := range e.Expect {
		c.checkExpect(fmt.Sprintf("expect[%d]", i+1), x)
	}
}

func (c *checker) checkCluster() {
	if len(c.e.Zones) == 0 {
		c.problem("zone", "there is none: a fleet has one zone at least")
	}
	seen := map[string]bool{}
	traffic := 0.0
	for i, z := range c.e.Zones {
		key := fmt.Sprintf("zone[%d]", i+1)
		if z.Name == "" || strings.ContainsAny(z.Name, " /,") {
			c.problem(key+".name", "%q: a name without spaces, slashes and commas is needed", z.Name)
		}
		if seen[z.Name] {
			c.problem(key+".name", "%q stands twice", z.Name)
		}
		seen[z.Name] = true
		c.notNegative(key+".traffic", z.Traffic)
		traffic += z.Traffic
		if z.Proxies < 0 {
			c.problem(key+".proxies", "has to be 0 or more")
		}
		for j, g := range z.Servers {
			at := fmt.Sprintf("%s.nodos[%d]", key, j+1)
			for name, v := range map[string]float64{"count": float64(g.Count), "speed": g.Speed, "slots": float64(g.Slots)} {
				c.positive(at+"."+name, v)
			}
			c.notNegative(at+".queue", float64(g.Queue))
		}
	}
	if len(c.e.Zones) > 0 && traffic == 0 {
		c.problem("zone", "no zone has traffic over 0")
	}
	if n := len(c.e.ProxyNodes()); n < 1 || n > maxProxies {
		c.problem("zone", "%d proxies; from 1 to %d can be run", n, maxProxies)
	}
	if n := len(c.e.ServerNodes()); n < 1 || n > maxServers {
		c.problem("zone", "%d nodos; from 1 to %d can be run", n, maxServers)
	}
	if c.e.List.Zone != "" && !seen[c.e.List.Zone] {
		c.problem("list.zone", "no zone %q", c.e.List.Zone)
	}
}

func (c *checker) span(key string, n int, from, to float64) {
	if n != 2 || from < 0 || to < from {
		c.problem(key, "two figures are needed, from and to, the first not over the second")
	}
}

func (c *checker) checkClasses() {
	if len(c.e.Classes) == 0 {
		c.problem("class", "there is none")
	}
	seen := map[string]bool{}
	for i, k := range c.e.Classes {
		key := fmt.Sprintf("class[%d]", i+1)
		if k.Name == "" || seen[k.Name] || strings.ContainsAny(k.Name, " /?") {
			c.problem(key+".name", "%q is empty, given twice, or no path", k.Name)
		}
		seen[k.Name] = true
		c.positive(key+".share", k.Share)
		if len(k.WorkMs) == 2 {
			c.span(key+".work_ms", 2, k.WorkMs[0], k.WorkMs[1])
		} else {
			c.span(key+".work_ms", len(k.WorkMs), 0, 0)
		}
		for name, sizes := range map[string][]int{"answer_bytes": k.AnswerBytes, "body_bytes": k.BodyBytes} {
			if len(sizes) == 2 {
				c.span(key+"."+name, 2, float64(sizes[0]), float64(sizes[1]))
			} else if len(sizes) > 0 {
				c.span(key+"."+name, len(sizes), 0, 0)
			}
		}
		c.positive(key+".aim_ms", k.ObjectiveMs)
		c.positive(key+".give_up_ms", k.GiveUpMs)
		c.notNegative(key+".worth", k.Weight)
		c.oneOf(key+".repeat", k.Repeat, "idempotent", "deduplicated", "at_most_once")
		if k.Repeat == "deduplicated" {
			c.oneOf(key+".scope", k.Scope, "all", "zone", "cell")
			c.positive(key+".window_ms", k.WindowMs)
		}
	}
}

func (c *checker) checkLoad() {
	if len(c.e.Load.Rate) == 0 {
		c.problem("load.rate", "is missing: [[0, 50]] is 50 requests a second throughout")
	}
	last := -1.0
	for i, p := range c.e.Load.Rate {
		if len(p) != 2 || p[0] < 0 || p[0] <= last || p[1] < 0 || p[1] > maxRate {
			c.problem("load.rate", "point %d: [second, requests a second] is needed, seconds rising, at most %d a second",
				i+1, maxRate)
			continue
		}
		last = p[0]
	}
	if n := c.e.Load.requests(c.e.Seconds); n > maxRequests {
		c.problem("load.rate", "%.0f requests in all; at most %d, since the referee keeps each (2 kB)", n, maxRequests)
	}
	t := c.e.Clients.RetryPart
	if len(t) != 2 || t[0] <= 0 || t[1] < t[0] || t[1] > 1 {
		c.problem("clients.try_part", "from and to are needed, over 0 and at most 1")
	}
	if c.e.Clients.Retries < 0 {
		c.problem("clients.retries", "has to be 0 or more")
	}
	c.part("clients.leave_part", c.e.Clients.LeavePart)
	c.notNegative("clients.wait_ms", c.e.Clients.WaitMs)
	c.notNegative("clients.notice_ms", c.e.Clients.NoticeMs)
}

func (c *checker) checkServers() {
	n := c.e.Servers
	if !(n.StartCapacity > 0 && n.StartCapacity <= 1) {
		c.problem("nodos.start_capacity", "is a part, over 0 and at most 1, not %v", n.StartCapacity)
	}
	c.notNegative("nodos.cold_ms", n.SlowStartMs)
	c.positive("nodos.tip_multiple", n.OverloadMultiple)
	c.positive("nodos.fall_ms", n.FallMs)
	c.positive("nodos.max_conns", float64(n.MaxConns))
	c.notNegative("nodos.connect_ms", n.ConnectMs)
	c.notNegative("nodos.connect_work", n.ConnectWork)
	l := c.e.List
	for key, v := range map[string]float64{"lag_ms": l.LagMs, "call_ms": l.CallMs, "line_us": l.LineUs} {
		c.notNegative("list."+key, v)
	}
	if l.Members < 0 || l.Members > maxMembers || l.Members > 0 && l.Members%2 == 0 {
		c.problem("list.members", "1, 3 or 5, or 0 for the stand-in, not %d", l.Members)
	}
	for key, v := range map[string]float64{"lease_ms": l.LeaseMs, "election_ms": l.ElectionMs, "stale_ms": l.StaleMs, "wait_ms": l.WaitMs, "sync_ms": l.SyncMs, "retain": float64(l.RetainN),
		"most": float64(l.MaxEntries)} {
		c.positive("list."+key, v)
	}
}
