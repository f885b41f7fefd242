package run

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"

	"merlinpick/internal/faultlab/experiment"
)

// Upper bounds of the resources that an experiment needs.
const (
	maxProcesses          = 300
	maxMemory             = 12 << 30 // bytes
	labBytes              = 300 << 20
	proxyBytes            = 30 << 20  // of a real proxy
	memberBytes           = 400 << 20 // of a member of the list service
	hollowProcessBytes    = 40 << 20  // of an empty hollow process
	hollowProxyBytes      = 500 << 10
	hollowBytesPerServer  = 900       // in a hollow proxy, for each listed server
	labBytesPerConnection = 100 << 10 // for each forwarded connection
	labBytesPerListing    = 450       // for each pair of a listed server and a hollow proxy
	hollowServerBytes     = 150 << 10
	memberBytesPerClient  = 60 << 10  // in a member, for each client
	clusterMemberBytes    = 600 << 10 // gossip of a hollow proxy
	clusterBytesPerMember = 1500      // in a cluster member, for each other member
	relayBytesPerMember   = 500       // in a cluster member's relay, for each member
	relayBytes            = 200 << 10 // of a cluster member's relay
	clusterMilliCores     = 20        // CPU of a cluster member, in clusters of 10 members and more
	filesPerConnection    = 2         // descriptors of the lab for each forwarded connection
	minFiles              = 2000      // descriptors of the lab without hollow processes
)

// CapacityError is returned for an experiment that needs more of a resource than this machine has. Nothing
// was started.
type CapacityError struct {
	Resource          string // resource and unit
	Needed, Available int64
	Remedy            string
}

// Error returns the needed and the available amount, and the remedy.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("the experiment needs %d %s but only %d are available: %s",
		e.Needed, e.Resource, e.Available, e.Remedy)
}

// machine holds the available resources.
type machine struct {
	memory int64 // bytes available
	files  int64 // descriptors of a process
	cores  int64
}

// thisMachine returns the resources of the machine that the lab runs on; a resource that cannot be read is 0.
func thisMachine() (m machine) {
	m.cores = int64(Cores())
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return m
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "MemAvailable:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			m.memory = kb << 10
		}
	}
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil {
		m.files = int64(files.Cur)
	}
	return m
}

// checkCapacity returns a *CapacityError if a machine is too small for an experiment with hollow processes.
// Others are bounded by the limits of the experiment file.
func checkCapacity(exp *experiment.Experiment, m machine) error {
	hollow := exp.Hollow
	if !hollow.Enabled() {
		return nil
	}
	real, members := int64(len(exp.ProxyNodes())), int64(exp.List.Members)
	listed := int64(hollow.Servers + len(exp.ServerNodes()))
	processes := 1 + real + members + int64(min(hollow.Processes, hollow.Proxies)+hollow.ServerProcesses())
	each := hollowProxyBytes + hollowBytesPerServer*listed
	if exp.Cluster.Enabled {
		each += clusterMemberBytes + clusterBytesPerMember*int64(hollow.Proxies)
		if hollow.Relays {
			each += relayBytes + relayBytesPerMember*(int64(hollow.Proxies)+real)
		}
	}
	memory := labBytes + (labBytesPerConnection+labBytesPerListing*listed)*int64(hollow.Proxies) + labBytesPerConnection*int64(hollow.Servers) + real*proxyBytes + members*(memberBytes+memberBytesPerClient*int64(hollow.Proxies+hollow.Servers)/max(1, members)) +
		int64(hollow.Processes+hollow.ServerProcesses())*hollowProcessBytes + int64(hollow.Proxies)*each + int64(hollow.Servers)*hollowServerBytes
	configFollowers := int64(0) // hollow proxies that follow a configuration, each with one more connection
	if hollow.ConfigServiceCount > 0 {
		configFollowers = int64(hollow.Proxies)
		memory += configFollowers * (labBytesPerConnection + memberBytesPerClient)
	}
	files := minFiles + filesPerConnection*(int64(hollow.Proxies+hollow.Servers)+configFollowers)
	cores := int64(0)
	if exp.Cluster.Enabled {
		cores = (clusterMilliCores*(int64(hollow.Proxies)+real) + 999) / 1000
	}
	const remedy = "configure fewer hollow.proxies and hollow.nodos, or use a larger machine"
	switch {
	case processes > maxProcesses:
		return &CapacityError{"processes", processes, maxProcesses,
			"configure fewer proxies or hollow.processes"}
	case memory > maxMemory:
		return &CapacityError{"MB of memory", memory >> 20, maxMemory >> 20,
			"the lab may use half of its machine's memory; configure fewer hollow.proxies"}
	case memory > m.memory:
		return &CapacityError{"MB of memory", memory >> 20, m.memory >> 20, remedy}
	case cores > m.cores:
		return &CapacityError{"cores for gossip alone", cores, m.cores,
			"configure fewer hollow.proxies, or use a larger machine"}
	case files > m.files:
		return &CapacityError{"file descriptors in one process", files, m.files,
			"raise the limit (ulimit -n), or " + remedy}
	}
	return nil
}
