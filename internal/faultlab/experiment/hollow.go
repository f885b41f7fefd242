package experiment

import (
	"fmt"
	"slices"
	"strings"
)

// Hollow holds the settings of the hollow proxies and servers beside the real ones (see package hollow). They are distributed over the
// file's zones, which are regions for them, and each region's ZonesPerRegion zones.
type Hollow struct {
	Proxies            int     `toml:"proxies"`
	Servers            int     `toml:"nodos"`
	Processes          int     `toml:"processes"`       // with proxies; those with servers are half as many
	ZonesPerRegion     int     `toml:"zones"`           // in each of the file's zones
	Services           int     `toml:"services"`        // of the servers, for faults of one service
	CallRate           float64 `toml:"calls"`           // simulated calls a second, of each proxy
	FailedFraction     float64 `toml:"bad"`             // of the simulated calls
	ConfigServiceCount int     `toml:"config_services"` // services whose configurations the proxies follow, one each; 0: none
	Relays             bool    `toml:"relays"`          // between cluster members, for delays and link faults of all gossip
}

// Phase is a span of the run with control-plane metrics of its own.
type Phase struct {
	Name string  `toml:"name"`
	From float64 `toml:"from"`
	To   float64 `toml:"to"`
}

const (
	maxHollow          = 5000
	maxHollowProcesses = 64
	maxConfigServices  = 1000 // limit of the list service
	maxConfigWrites    = 10000
	hollowPrefix       = "h"
)

// Enabled reports whether there are any.
func (h Hollow) Enabled() bool { return h.Proxies+h.Servers > 0 }

// ServerProcesses is the number of processes with servers.
func (h Hollow) ServerProcesses() int { return min(max(1, h.Processes/2), h.Servers) }

// HollowProxies are the hollow proxies. A node's zone is one of a region.
func (e *Experiment) HollowProxies() []Node { return e.hollowNodes("p", e.Hollow.Proxies) }

// HollowServers are the hollow servers.
func (e *Experiment) HollowServers() []Node { return e.hollowNodes("s", e.Hollow.Servers) }

func (e *Experiment) hollowNodes(kind string, n int) (out []Node) {
	zones := e.ZoneNames()
	for i := range n {
		region, part := i%len(zones), i/len(zones)%max(1, e.Hollow.ZonesPerRegion)
		out = append(out, Node{Name: fmt.Sprintf("%s%s%d", hollowPrefix, kind, i+1), Zone: hollowZoneName(zones[region], part)})
	}
	return out
}

func hollowZoneName(region string, part int) string {
	return fmt.Sprintf("%s-%c", region, 'a'+rune(part))
}

// HollowZones are the zones of the hollow nodes.
func (e *Experiment) HollowZones() (out []string) {
	for _, z := range e.ZoneNames() {
		for part := range e.Hollow.ZonesPerRegion {
			out = append(out, hollowZoneName(z, part))
		}
	}
	return out
}

// RegionOf is the file's zone that a hollow node's zone belongs to.
func RegionOf(zone string) string { return zone[:strings.LastIndexByte(zone, '-')] }

// ConfigService is the number of the service, from 1, whose configuration hollow proxy i, from 0, follows; 0: none.
func (h Hollow) ConfigService(i int) int {
	if h.ConfigServiceCount == 0 {
		return 0
	}
	return i%h.ConfigServiceCount + 1
}

// ConfigServices is the number of services whose configurations hollow proxies follow.
func (h Hollow) ConfigServices() int { return min(h.ConfigServiceCount, h.Proxies) }

// ServiceName is the name, at the list service, of a service with a number from 1.
func ServiceName(service int) string { return fmt.Sprintf("s%d", service) }

// BelongsToService reports whether hollow server i, from 0, belongs to a service, from 1.
func (h Hollow) BelongsToService(i, service int) bool { return i%h.Services == service-1 }

func (c *checker) checkHollow() {
	exp, hollow := c.experiment, c.experiment.Hollow
	for key, n := range map[string]int{"proxies": hollow.Proxies, "nodos": hollow.Servers} {
		if n < 0 || n > maxHollow {
			c.report("hollow."+key, "from 0 to %d, not %d", maxHollow, n)
		}
	}
	if hollow.Enabled() {
		if exp.List.Members == 0 {
			c.report("hollow", "they follow the list service: list.members is needed")
		}
		if hollow.Processes < 1 || hollow.Processes > maxHollowProcesses {
			c.report("hollow.processes", "from 1 to %d, not %d", maxHollowProcesses, hollow.Processes)
		}
		if hollow.ZonesPerRegion < 1 || hollow.ZonesPerRegion > 26 {
			c.report("hollow.zones", "from 1 to 26, not %d", hollow.ZonesPerRegion)
		}
		if hollow.Services < 1 {
			c.report("hollow.services", "has to be 1 or more, not %d", hollow.Services)
		}
		if hollow.ConfigServiceCount < 0 || hollow.ConfigServiceCount > maxConfigServices {
			c.report("hollow.config_services", "from 0 to %d, not %d", maxConfigServices, hollow.ConfigServiceCount)
		}
		if hollow.Relays && !exp.Cluster.Enabled {
			c.report("hollow.relays", "they stand between members of the fleet: fleet.on is needed")
		}
		c.notNegative("hollow.calls", hollow.CallRate)
		c.fraction("hollow.bad", hollow.FailedFraction)
	}
	seen := map[string]bool{}
	for i, p := range exp.Phases {
		key := fmt.Sprintf("phase[%d]", i+1)
		if p.Name == "" || seen[p.Name] || strings.ContainsAny(p.Name, " .") {
			c.report(key+".name", "%q is empty, given twice, or has a space or a dot", p.Name)
		}
		seen[p.Name] = true
		if !(p.From >= 0 && p.To > p.From && p.To < exp.Seconds) {
			c.report(key+".from", "%v to %v is no span that ends before the run's %v seconds do", p.From, p.To, exp.Seconds)
		}
	}
	if len(exp.Phases) > 0 && !hollow.Enabled() {
		c.report("phase", "figures of phases are of control, with hollow ones: hollow.proxies or hollow.nodos")
	}
}

// checkHollowFault checks the keys of faults of hollow servers and of configurations.
func (c *checker) checkHollowFault(key string, fault Fault, kind Kind) {
	if kind.Configs {
		c.checkConfigWrite(key, fault)
		return
	}
	if fault.InvalidConfig {
		c.report(key+".faulty", "is for config_put")
	}
	if !kind.Hollow {
		if fault.Service != 0 || fault.Count != 0 {
			c.report(key, "service and count are for faults of hollow nodos; %s is none", fault.Kind)
		}
		return
	}
	if c.experiment.Hollow.Servers == 0 {
		c.report(key+".kind", "%s needs hollow.nodos", fault.Kind)
	}
	if fault.Service < 0 || fault.Service > c.experiment.Hollow.Services {
		c.report(key+".service", "from 1 to %d, or 0 for all, not %d", c.experiment.Hollow.Services, fault.Service)
	}
	if fault.Count < 0 {
		c.report(key+".count", "has to be 0 or more, not %d", fault.Count)
	}
	if zones := c.experiment.HollowZones(); fault.Zone != "" && !slices.Contains(zones, fault.Zone) {
		c.report(key+".zone", "no zone %q of hollow nodos; there are %s", fault.Zone, strings.Join(zones, ", "))
	}
}

func (c *checker) checkConfigWrite(key string, fault Fault) {
	most := c.experiment.Hollow.ConfigServices()
	if most == 0 {
		c.report(key+".kind", "%s needs hollow proxies that follow: hollow.config_services", fault.Kind)
	}
	if fault.Service < 0 || fault.Service > most {
		c.report(key+".service", "from 1 to %d, or 0 for all in turn, not %d", most, fault.Service)
	}
	if fault.Count < 1 || fault.Count > maxConfigWrites {
		c.report(key+".count", "from 1 to %d, not %d", maxConfigWrites, fault.Count)
	}
	if fault.Share != 0 || fault.Zone != "" || fault.Duration != 0 {
		c.report(key, "share, zone and for have no meaning for %s", fault.Kind)
	}
}

// Names of the control plane's metrics: roles, the metrics of each, and those without a role.
var (
	controlRoles   = []string{"proxy", "real", "nodo", "leader", "follower", "five", "regions"}
	controlMetrics = []string{"in_b_s", "out_b_s", "calls_s", "cpu_pct", "memory_mb"}
	controlPhase   = []string{"known_p50_ms", "known_p99_ms", "known_last_ms", "real_known_p50_ms", "real_known_p99_ms",
		"real_known_last_ms", "confirmed_p50_ms", "confirmed_p99_ms", "confirmed_last_ms", "changes", "unknown", "turned",
		"watches_most", "deaths", "buried_p50_ms", "buried_p99_ms", "buried_last_ms", "unburied",
		"config_changes", "config_refused", "config_failed", "config_in_force_p50_ms", "config_in_force_p99_ms", "config_in_force_last_ms",
		"config_confirmed_p50_ms", "config_confirmed_p99_ms", "config_confirmed_last_ms", "config_never"}
	controlGossip = []string{"gossip_in_b_s", "gossip_out_b_s", "gossip_sent_s", "gossip_waiting", "gossip_entries",
		"gossip_oldest_ms", "gossip_dropped", "living_least", "gossip_age_p50_ms", "gossip_age_p99_ms", "gossip_age_last_ms"}
	controlFactors = []string{"calls", "in", "out", "cpu", "memory", "known", "gossip_in", "gossip_out", "gossip_sent",
		"gossip_oldest"}
	controlWhole = []string{"hollow_stall_ms", "list_failures", "list_moves", "list_age_last_ms"}
)

// isControlMetric reports whether there is such a metric of the control plane: PHASE.ROLE.METRIC, PHASE.factor.METRIC, PHASE.METRIC,
// or one of the complete run.
func isControlMetric(name string, exp *Experiment) bool {
	phase, rest, ok := strings.Cut(name, ".")
	if !ok {
		return slices.Contains(controlWhole, name)
	}
	if !slices.ContainsFunc(exp.Phases, func(p Phase) bool { return p.Name == phase }) {
		return false
	}
	role, figure, dotted := strings.Cut(rest, ".")
	switch {
	case !dotted:
		return slices.Contains(controlPhase, rest) || slices.Contains(controlGossip, strings.TrimPrefix(rest, "real_"))
	case role == "factor":
		return slices.Contains(controlFactors, figure)
	}
	return slices.Contains(controlRoles, role) && slices.Contains(controlMetrics, figure)
}
