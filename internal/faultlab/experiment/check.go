package experiment

import (
	"fmt"
	"slices"
	"strings"
)

func (c *checker) checkPositive(key string, v float64) {
	if !(v > 0) {
		c.report(key, "must be greater than 0, not %v", v)
	}
}

func (c *checker) checkNotNegative(key string, v float64) {
	if !(v >= 0) {
		c.report(key, "must be 0 or more, not %v", v)
	}
}

func (c *checker) checkFraction(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		c.report(key, "must be a fraction from 0 to 1, not %v", v)
	}
}

func (c *checker) checkOneOf(key, v string, of ...string) {
	if !slices.Contains(of, v) {
		c.report(key, "%q is not one of %s", v, strings.Join(of, ", "))
	}
}

const (
	maxSeconds          = 3600
	maxRate             = 20000
	maxRequests         = 1_000_000
	maxProxies          = 400
	maxServers          = 2000
	maxMembers          = 5
	maxByzantineMembers = 90 // of one fault
)

// check checks the values of all keys.
func (c *checker) check() {
	exp := c.experiment
	c.checkPositive("seconds", exp.Seconds)
	if exp.Seconds > maxSeconds {
		c.report("seconds", "must be at most %d", maxSeconds)
	}
	c.checkNotNegative("warmup", exp.Warmup)
	if exp.Warmup >= exp.Seconds {
		c.report("warmup", "must be less than the %v seconds of the run", exp.Seconds)
	}
	if exp.Repeat < 1 {
		c.report("repeat", "must be 1 or more, not %d", exp.Repeat)
	}
	c.checkPositive("lab.late_ms", exp.Lab.LateMs)
	c.checkPositive("lab.stall_ms", exp.Lab.StallMs)
	c.checkPositive("lab.ready_wait", exp.Lab.ReadyWait)
	c.checkNotNegative("lab.start_gap", exp.Lab.StartGap)
	c.checkOneOf("lab.rules", exp.Lab.Rules, "enforce", "report")
	c.checkNotNegative("network.local_ms", exp.Network.LocalMs)
	c.checkNotNegative("network.cross_ms", exp.Network.CrossMs)
	c.checkCluster()
	c.checkClasses()
	c.checkLoad()
	p := exp.Proxy
	for key, v := range map[string]float64{"cores": p.Cores, "memory_mb": float64(p.MemoryMB), "try_limit": float64(p.MaxAttempts),
		"sockets": float64(p.Sockets), "dial_ms": p.DialTimeoutMs, "idle_ms": p.IdleTimeoutMs, "drain_grace_ms": p.DrainGraceMs} {
		c.checkPositive("proxy."+key, v)
	}
	c.checkOneOf("proxy.membership", p.Membership, "automatic", "subscribe")
	if p.KnownFraction != nil {
		c.checkFraction("proxy.known", *p.KnownFraction)
	}
	c.checkServers()
	c.checkHollow()
	if c.checkPositive("fleet.seeds", float64(exp.Cluster.Seeds)); exp.Cluster.Label == "" {
		c.report("fleet.label", "must not be empty, since it keeps fleets apart")
	}
	for i, fault := range exp.Faults {
		c.checkFault(fmt.Sprintf("fault[%d]", i+1), fault)
	}
	for i, expect := range exp.Expect {
		c.checkExpect(fmt.Sprintf("expect[%d]", i+1), expect)
	}
}

func (c *checker) checkCluster() {
	if len(c.experiment.Zones) == 0 {
		c.report("zone", "there must be at least one zone")
	}
	seen := map[string]bool{}
	traffic := 0.0
	for i, z := range c.experiment.Zones {
		key := fmt.Sprintf("zone[%d]", i+1)
		if z.Name == "" || strings.ContainsAny(z.Name, " /,") {
			c.report(key+".name", "%q must be a non-empty name without spaces, slashes and commas", z.Name)
		}
		if seen[z.Name] {
			c.report(key+".name", "%q is the name of two zones", z.Name)
		}
		seen[z.Name] = true
		c.checkNotNegative(key+".traffic", z.Traffic)
		traffic += z.Traffic
		if z.Proxies < 0 {
			c.report(key+".proxies", "must be 0 or more")
		}
		for j, g := range z.Servers {
			at := fmt.Sprintf("%s.nodos[%d]", key, j+1)
			for name, v := range map[string]float64{"count": float64(g.Count), "speed": g.Speed, "slots": float64(g.Slots)} {
				c.checkPositive(at+"."+name, v)
			}
			c.checkNotNegative(at+".queue", float64(g.Queue))
		}
	}
	if len(c.experiment.Zones) > 0 && traffic == 0 {
		c.report("zone", "at least one zone must have traffic greater than 0")
	}
	if n := len(c.experiment.ProxyNodes()); n < 1 || n > maxProxies {
		c.report("zone", "there are %d proxies in all, but there must be from 1 to %d", n, maxProxies)
	}
	if n := len(c.experiment.ServerNodes()); n < 1 || n > maxServers {
		c.report("zone", "there are %d nodos in all, but there must be from 1 to %d", n, maxServers)
	}
	if c.experiment.List.Zone != "" && !seen[c.experiment.List.Zone] {
		c.report("list.zone", "there is no zone %q", c.experiment.List.Zone)
	}
}

// checkAscending checks a list of n numbers that must be two, from and to.
func (c *checker) checkAscending(key string, n int, from, to float64) {
	if n != 2 || from < 0 || to < from {
		c.report(key, "must be two numbers from 0, in ascending order")
	}
}

func (c *checker) checkClasses() {
	if len(c.experiment.Classes) == 0 {
		c.report("class", "there must be at least one class")
	}
	seen := map[string]bool{}
	for i, k := range c.experiment.Classes {
		key := fmt.Sprintf("class[%d]", i+1)
		if k.Name == "" || seen[k.Name] || strings.ContainsAny(k.Name, " /?") {
			c.report(key+".name",
				"%q must be a non-empty, unique name without spaces, slashes and question marks", k.Name)
		}
		seen[k.Name] = true
		c.checkPositive(key+".share", k.Share)
		if len(k.WorkMs) == 2 {
			c.checkAscending(key+".work_ms", 2, k.WorkMs[0], k.WorkMs[1])
		} else {
			c.checkAscending(key+".work_ms", len(k.WorkMs), 0, 0)
		}
		for name, sizes := range map[string][]int{"answer_bytes": k.ResponseBytes, "body_bytes": k.RequestBytes} {
			if len(sizes) == 2 {
				c.checkAscending(key+"."+name, 2, float64(sizes[0]), float64(sizes[1]))
			} else if len(sizes) > 0 {
				c.checkAscending(key+"."+name, len(sizes), 0, 0)
			}
		}
		c.checkPositive(key+".aim_ms", k.ObjectiveMs)
		c.checkPositive(key+".give_up_ms", k.DeadlineMs)
		c.checkNotNegative(key+".worth", k.Weight)
		c.checkOneOf(key+".repeat", k.RetryClass, "idempotent", "deduplicated", "at_most_once")
		if k.RetryClass == "deduplicated" {
			c.checkOneOf(key+".scope", k.KeyScope, "all", "zone", "cell")
			c.checkPositive(key+".window_ms", k.KeyWindowMs)
		}
	}
}

func (c *checker) checkLoad() {
	if len(c.experiment.Load.Rate) == 0 {
		c.report("load.rate", "is missing; [[0, 50]] is a constant 50 requests a second")
	}
	last := -1.0
	for i, p := range c.experiment.Load.Rate {
		if len(p) != 2 || p[0] < 0 || p[0] <= last || p[1] < 0 || p[1] > maxRate {
			c.report("load.rate",
				"point %d must be [second, requests a second], with rising seconds and at most %d a second",
				i+1, maxRate)
			continue
		}
		last = p[0]
	}
	if n := c.experiment.Load.requests(c.experiment.Seconds); n > maxRequests {
		c.report("load.rate",
			"%.0f requests in all are too many: at most %d, since the referee keeps 2 kB of each",
			n, maxRequests)
	}
	attemptFraction := c.experiment.Clients.AttemptFraction
	if len(attemptFraction) != 2 || attemptFraction[0] <= 0 || attemptFraction[1] < attemptFraction[0] ||
		attemptFraction[1] > 1 {
		c.report("clients.try_part", "must be two fractions in ascending order, greater than 0 and at most 1")
	}
	if c.experiment.Clients.Retries < 0 {
		c.report("clients.retries", "must be 0 or more")
	}
	c.checkFraction("clients.leave_part", c.experiment.Clients.CancelFraction)
	c.checkNotNegative("clients.wait_ms", c.experiment.Clients.WaitMs)
	c.checkNotNegative("clients.notice_ms", c.experiment.Clients.FailureDetectionMs)
}

func (c *checker) checkServers() {
	servers := c.experiment.Servers
	if !(servers.StartCapacity > 0 && servers.StartCapacity <= 1) {
		c.report("nodos.start_capacity", "must be a fraction greater than 0 and at most 1, not %v",
			servers.StartCapacity)
	}
	c.checkNotNegative("nodos.cold_ms", servers.SlowStartMs)
	c.checkPositive("nodos.tip_multiple", servers.OverloadMultiple)
	c.checkPositive("nodos.fall_ms", servers.OverloadFailureMs)
	c.checkPositive("nodos.max_conns", float64(servers.MaxConnections))
	c.checkNotNegative("nodos.connect_ms", servers.ConnectMs)
	c.checkNotNegative("nodos.connect_work", servers.ConnectWork)
	list := c.experiment.List
	for key, v := range map[string]float64{"lag_ms": list.NotificationDelayMs, "call_ms": list.CallMs,
		"line_us": list.EntryUs} {
		c.checkNotNegative("list."+key, v)
	}
	if list.Members < 0 || list.Members > maxMembers || list.Members > 0 && list.Members%2 == 0 {
		c.report("list.members", "must be 1, 3 or 5, or 0 for the lab's catalog, not %d", list.Members)
	}
	for key, v := range map[string]float64{"lease_ms": list.LeaseMs, "election_ms": list.ElectionMs,
		"stale_ms": list.MaxListAgeMs, "wait_ms": list.QueueTimeoutMs, "sync_ms": list.SyncIntervalMs,
		"retain": float64(list.RetainedChanges), "most": float64(list.MaxWaitingCalls)} {
		c.checkPositive("list."+key, v)
	}
}
