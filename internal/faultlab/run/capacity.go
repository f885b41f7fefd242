package run

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"

	"merlinpick/internal/faultlab/experiment"
)

// Upper bounds of what an experiment needs.
const (
	maxProcesses          = 300
	maxMemory             = 12 << 30 // bytes
	labBytes              = 300 << 20
	proxyBytes            = 30 << 20 // of a real proxy
	memberBytes           = 400 << 20
	hollowProcessBytes    = 40 << 20 // of an empty hollow process
	hollowProxyBytes      = 500 << 10
	hollowBytesPerServer  = 900       // in a hollow proxy, for each listed server
	labBytesPerConnection = 100 << 10 // for each forwarded connection
	labBytesPerListing    = 450       // for each listed server and proxy that gets the complete list
	hollowServerBytes     = 150 << 10
	memberBytesPerClient  = 60 << 10 // in a member, for each client
	clusterMemberBytes    = 600 << 10
	clusterBytesPerMember = 1500 // in a cluster member, for each other
	relayBytesPerMember   = 500  // in its relay, for each member
	relayBytes            = 200 << 10
	clusterMilliCores     = 20 // CPU of a cluster member, from 10 members on
	filesPerConnection    = 2  // descriptors of the lab for each forwarded connection
	minFiles              = 2000
)

// A NeedError is an experiment that needs more than this machine has. Nothing was started.
type NeedError struct {
	What      string
	Need, Has int64
	Remedy    string
}

// Error says what is needed, what there is, and the remedy.
func (e *NeedError) Error() string {
	return fmt.Sprintf("this experiment needs %d %s, and there are %d: %s", e.Need, e.What, e.Has, e.Remedy)
}

// machine holds the available resources.
type machine struct {
	memory int64 // bytes available
	files  int64 // descriptors of a process
	cores  int64
}

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

// checkCapacity returns a *NeedError if a machine is too small for an experiment with hollow processes. Others are bounded by the
// limits of the experiment file.
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
	following := int64(0) // each has one more connection
	if hollow.ConfigServiceCount > 0 {
		following = int64(hollow.Proxies)
		memory += following * (labBytesPerConnection + memberBytesPerClient)
	}
	files := minFiles + filesPerConnection*(int64(hollow.Proxies+hollow.Servers)+following)
	cores := int64(0)
	if exp.Cluster.Enabled {
		cores = (clusterMilliCores*(int64(hollow.Proxies)+real) + 999) / 1000
	}
	const less = "give fewer hollow.proxies and hollow.nodos, or a larger machine"
	switch {
	case processes > maxProcesses:
		return &NeedError{"processes", processes, maxProcesses, "give fewer proxies or hollow.processes"}
	case memory > maxMemory:
		return &NeedError{"MB of memory", memory >> 20, maxMemory >> 20, "the lab's bound is half of its machine; give fewer hollow.proxies"}
	case memory > m.memory:
		return &NeedError{"MB of memory", memory >> 20, m.memory >> 20, less}
	case cores > m.cores:
		return &NeedError{"cores at the least, for the gossip alone", cores, m.cores, "give fewer hollow.proxies, or a larger machine"}
	case files > m.files:
		return &NeedError{"descriptors in one process", files, m.files, "raise the limit (ulimit -n), or " + less}
	}
	return nil
}
