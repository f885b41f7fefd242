package experiment

import (
	"fmt"
	"slices"
	"strings"
)

// Hollow holds the settings of the hollow proxies and servers that run beside the real ones (see package
// hollow). They are distributed over regions, which are the zones of the file, and over ZonesPerRegion zones
// in each region.
type Hollow struct {
	Proxies            int     `toml:"proxies"`
	Servers            int     `toml:"nodos"`
	Processes          int     `toml:"processes"`       // with proxies; half as many have servers
	ZonesPerRegion     int     `toml:"zones"`           // in each of the file's zones
	Services           int     `toml:"services"`        // of the servers, for faults of one service
	CallRate           float64 `toml:"calls"`           // simulated calls a second of each proxy
	FailedFraction     float64 `toml:"bad"`             // fraction of the simulated calls that fail
	ConfigServiceCount int     `toml:"config_services"` // followed by the proxies, one each; 0: none
	Relays             bool    `toml:"relays"`          // gossip passes relays, for delays and link faults
}

// Phase is a span of the run, in seconds, with control-plane metrics of its own.
type Phase struct {
	Name string  `toml:"name"`
	From float64 `toml:"from"`
	To   float64 `toml:"to"`
}

const (
	maxHollow          = 5000 // proxies, and servers
	maxHollowProcesses = 64
	maxConfigServices  = 1000 // limit of the list service
	maxConfigWrites    = 10000
	hollowPrefix       = "h" // of the names of hollow proxies and servers
)

// Enabled reports whether there are any hollow proxies or servers.
func (h Hollow) Enabled() bool { return h.Proxies+h.Servers > 0 }

// ServerProcesses returns the number of processes with servers.
func (h Hollow) ServerProcesses() int { return min(max(1, h.Processes/2), h.Servers) }

// HollowProxies returns the hollow proxies. The zone of each is one of a region's.
func (e *Experiment) HollowProxies() []Node { return e.hollowNodes("p", e.Hollow.Proxies) }

// HollowServers returns the hollow servers. The zone of each is one of a region's.
func (e *Experiment) HollowServers() []Node { return e.hollowNodes("s", e.Hollow.Servers) }

func (e *Experiment) hollowNodes(kind string, n int) (out []Node) {
	zones := e.ZoneNames()
	for i := range n {
		region, index := i%len(zones), i/len(zones)%max(1, e.Hollow.ZonesPerRegion)
		out = append(out, Node{Name: fmt.Sprintf("%s%s%d", hollowPrefix, kind, i+1),
			Zone: hollowZoneName(zones[region], index)})
	}
	return out
}

func hollowZoneName(region string, index int) string {
	return fmt.Sprintf("%s-%c", region, 'a'+rune(index))
}

// HollowZones returns the names of the zones of the hollow proxies and servers.
func (e *Experiment) HollowZones() (out []string) {
	for _, z := range e.ZoneNames() {
		for index := range e.Hollow.ZonesPerRegion {
			out = append(out, hollowZoneName(z, index))
		}
	}
	return out
}

// RegionOf returns the region, a zone of the file, that contains the zone of a hollow proxy or server.
func RegionOf(zone string) string { return zone[:strings.LastIndexByte(zone, '-')] }

// ConfigService returns the number, from 1, of the service whose configuration hollow proxy i, from 0,
// follows. It is 0 if the proxy follows none.
func (h Hollow) ConfigService(i int) int {
	if h.ConfigServiceCount == 0 {
		return 0
	}
	return i%h.ConfigServiceCount + 1
}

// ConfigServices returns the number of services whose configurations hollow proxies follow.
func (h Hollow) ConfigServices() int { return min(h.ConfigServiceCount, h.Proxies) }

// ServiceName returns the name that a service, with a number from 1, has at the list service.
func ServiceName(service int) string { return fmt.Sprintf("s%d", service) }

// BelongsToService reports whether hollow server i, from 0, belongs to a service, with a number from 1.
func (h Hollow) BelongsToService(i, service int) bool { return i%h.Services == service-1 }

// checkHollow checks the settings of hollow proxies and servers, and the phases.
func (c *checker) checkHollow() {
	exp, hollow := c.experiment, c.experiment.Hollow
	for key, n := range map[string]int{"proxies": hollow.Proxies, "nodos": hollow.Servers} {
		if n < 0 || n > maxHollow {
			c.report("hollow."+key, "must be from 0 to %d, not %d", maxHollow, n)
		}
	}
	if hollow.Enabled() {
		if exp.List.Members == 0 {
			c.report("hollow", "hollow proxies and nodos need the list service: set list.members")
		}
		if hollow.Processes < 1 || hollow.Processes > maxHollowProcesses {
			c.report("hollow.processes", "must be from 1 to %d, not %d", maxHollowProcesses, hollow.Processes)
		}
		if hollow.ZonesPerRegion < 1 || hollow.ZonesPerRegion > 26 {
			c.report("hollow.zones", "must be from 1 to 26, not %d", hollow.ZonesPerRegion)
		}
		if hollow.Services < 1 {
			c.report("hollow.services", "must be 1 or more, not %d", hollow.Services)
		}
		if hollow.ConfigServiceCount < 0 || hollow.ConfigServiceCount > maxConfigServices {
			c.report("hollow.config_services", "must be from 0 to %d, not %d", maxConfigServices,
				hollow.ConfigServiceCount)
		}
		if hollow.Relays && !exp.Cluster.Enabled {
			c.report("hollow.relays", "relays are between members of the fleet: set fleet.on")
		}
		c.checkNotNegative("hollow.calls", hollow.CallRate)
		c.checkFraction("hollow.bad", hollow.FailedFraction)
	}
	seen := map[string]bool{}
	for i, p := range exp.Phases {
		key := fmt.Sprintf("phase[%d]", i+1)
		if p.Name == "" || seen[p.Name] || strings.ContainsAny(p.Name, " .") {
			c.report(key+".name", "%q must be a non-empty, unique name without spaces and dots", p.Name)
		}
		seen[p.Name] = true
		if !(p.From >= 0 && p.To > p.From && p.To < exp.Seconds) {
			c.report(key+".from", "%v to %v is not a span that ends before the run of %v seconds does",
				p.From, p.To, exp.Seconds)
		}
	}
	if len(exp.Phases) > 0 && !hollow.Enabled() {
		c.report("phase", "phases need hollow proxies or nodos: set hollow.proxies or hollow.nodos")
	}
}

// checkHollowFault checks the keys of faults of hollow servers and of configurations.
func (c *checker) checkHollowFault(key string, fault Fault, kind FaultKind) {
	if kind.Configs {
		c.checkConfigWrite(key, fault)
		return
	}
	if fault.InvalidConfig {
		c.report(key+".faulty", "is only for config_put")
	}
	if !kind.Hollow {
		if fault.Service != 0 || fault.Count != 0 {
			c.report(key, "service and count are only for faults of hollow nodos, and %s is not one",
				fault.Kind)
		}
		return
	}
	if c.experiment.Hollow.Servers == 0 {
		c.report(key+".kind", "%s needs hollow.nodos", fault.Kind)
	}
	if fault.Service < 0 || fault.Service > c.experiment.Hollow.Services {
		c.report(key+".service", "must be from 1 to %d, or 0 for all, not %d", c.experiment.Hollow.Services,
			fault.Service)
	}
	if fault.Count < 0 {
		c.report(key+".count", "must be 0 or more, not %d", fault.Count)
	}
	if zones := c.experiment.HollowZones(); fault.Zone != "" && !slices.Contains(zones, fault.Zone) {
		c.report(key+".zone", "there is no zone %q of hollow nodos; their zones are %s", fault.Zone,
			strings.Join(zones, ", "))
	}
}

// checkConfigWrite checks the keys of a fault that writes configurations.
func (c *checker) checkConfigWrite(key string, fault Fault) {
	services := c.experiment.Hollow.ConfigServices()
	if services == 0 {
		c.report(key+".kind",
			"%s needs hollow proxies that follow configurations: set hollow.config_services", fault.Kind)
	}
	if fault.Service < 0 || fault.Service > services {
		c.report(key+".service", "must be from 1 to %d, or 0 for all in turn, not %d", services,
			fault.Service)
	}
	if fault.Count < 1 || fault.Count > maxConfigWrites {
		c.report(key+".count", "must be from 1 to %d, not %d", maxConfigWrites, fault.Count)
	}
	if fault.Share != 0 || fault.Zone != "" || fault.Duration != 0 {
		c.report(key, "share, zone and for cannot be used with %s", fault.Kind)
	}
}

// Names of the control plane's metrics: the roles, the metrics of each role, and the metrics without a role.
var (
	controlRoles   = []string{"proxy", "real", "nodo", "leader", "follower", "five", "regions"}
	controlMetrics = []string{"in_b_s", "out_b_s", "calls_s", "cpu_pct", "memory_mb"}
	phaseMetrics   = []string{"known_p50_ms", "known_p99_ms", "known_last_ms", "real_known_p50_ms",
		"real_known_p99_ms", "real_known_last_ms", "confirmed_p50_ms", "confirmed_p99_ms",
		"confirmed_last_ms", "changes", "unknown", "turned", "watches_most", "deaths", "buried_p50_ms",
		"buried_p99_ms", "buried_last_ms", "unburied", "config_changes", "config_refused", "config_failed",
		"config_in_force_p50_ms", "config_in_force_p99_ms", "config_in_force_last_ms",
		"config_confirmed_p50_ms", "config_confirmed_p99_ms", "config_confirmed_last_ms", "config_never"}
	gossipMetrics = []string{"gossip_in_b_s", "gossip_out_b_s", "gossip_sent_s", "gossip_waiting",
		"gossip_entries", "gossip_oldest_ms", "gossip_dropped", "living_least", "gossip_age_p50_ms",
		"gossip_age_p99_ms", "gossip_age_last_ms"}
	factorMetrics = []string{"calls", "in", "out", "cpu", "memory", "known", "gossip_in", "gossip_out",
		"gossip_sent", "gossip_oldest"}
	wholeRunControlMetrics = []string{"hollow_stall_ms", "list_failures", "list_moves", "list_age_last_ms"}
)

// isControlMetric reports whether the control plane has a metric of a name: PHASE.ROLE.METRIC,
// PHASE.factor.METRIC, PHASE.METRIC, or a metric of the complete run.
func isControlMetric(name string, exp *Experiment) bool {
	phase, rest, ok := strings.Cut(name, ".")
	if !ok {
		return slices.Contains(wholeRunControlMetrics, name)
	}
	if !slices.ContainsFunc(exp.Phases, func(p Phase) bool { return p.Name == phase }) {
		return false
	}
	role, metric, dotted := strings.Cut(rest, ".")
	switch {
	case !dotted:
		return slices.Contains(phaseMetrics, rest) ||
			slices.Contains(gossipMetrics, strings.TrimPrefix(rest, "real_"))
	case role == "factor":
		return slices.Contains(factorMetrics, metric)
	}
	return slices.Contains(controlRoles, role) && slices.Contains(controlMetrics, metric)
}
