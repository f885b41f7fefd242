package run

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"

	"merlinpick/internal/faultlab/experiment"
)

// What an experiment needs, at the most: measured with scale-30 to scale-1300 and rounded up.
const (
	maxProcesses          = 300
	maxMemory             = 12 << 30 // bytes
	labBytes              = 300 << 20
	proxyBytes            = 30 << 20 // of a real proxy
	memberBytes           = 400 << 20
	hollowProcessBytes    = 40 << 20 // of a hollow process with nothing in it
	hollowProxyBytes      = 500 << 10
	hollowBytesPerServer  = 900       // a hollow proxy keeps so much of each listed server
	labBytesPerConnection = 100 << 10 // the lab for each connection that it passes on
	labBytesPerListing    = 450       // and of each listed server, for each proxy that is sent the whole list
	hollowServerBytes     = 150 << 10
	memberBytesPerClient  = 60 << 10 // a member for each caller
	clusterMemberBytes    = 600 << 10
	clusterBytesPerMember = 1500 // a member of the fleet keeps so much of each other
	relayBytesPerMember   = 500  // and its relay
	relayBytes            = 200 << 10
	clusterMilliCores     = 20 // of a core in a thousand that a member of the fleet takes at least, from 10 members on
	filesPerConnection    = 2  // of the lab for each connection that it passes on
	minFiles              = 2000
)

// A NeedError is an experiment that this machine cannot bear. Nothing was started.
type NeedError struct {
	What      string
	Need, Has int64
	Remedy    string
}

func (e *NeedError) Error() string {
	return fmt.Sprintf("this experiment needs %d %s, and there are %d: %s", e.Need, e.What, e.Has, e.Remedy)
}

// machine is what there is to be had.
type machine struct {
	memory int64 // bytes that are available
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

// bears tells whether a machine can bear an experiment with hollow ones: a *NeedError if not. Others are bounded by their
// file's own limits.
func checkCapacity(exp *experiment.Experiment, m machine) error {
	hollow := exp.Hollow
	if !hollow.On() {
		return nil
	}
	real, members := int64(len(exp.ProxyNodes())), int64(exp.List.Members)
	listed := int64(hollow.Servers + len(exp.ServerNodes()))
	processes := 1 + real + members + int64(min(hollow.Processes, hollow.Proxies)+hollow.ServerProcesses())
	each := hollowProxyBytes + hollowBytesPerServer*listed
	if exp.Cluster.On {
		each += clusterMemberBytes + clusterBytesPerMember*int64(hollow.Proxies)
		if hollow.Relays {
			each += relayBytes + relayBytesPerMember*(int64(hollow.Proxies)+real)
		}
	}
	memory := labBytes + (labBytesPerConnection+labBytesPerListing*listed)*int64(hollow.Proxies) + labBytesPerConnection*int64(hollow.Servers) + real*proxyBytes + members*(memberBytes+memberBytesPerClient*int64(hollow.Proxies+hollow.Servers)/max(1, members)) +
		int64(hollow.Processes+hollow.ServerProcesses())*hollowProcessBytes + int64(hollow.Proxies)*each + int64(hollow.Servers)*hollowServerBytes
	following := int64(0) // one more connection each
	if hollow.Following > 0 {
		following = int64(hollow.Proxies)
		memory += following * (labBytesPerConnection + memberBytesPerClient)
	}
	files := minFiles + filesPerConnection*(int64(hollow.Proxies+hollow.Servers)+following)
	cores := int64(0)
	if exp.Cluster.On {
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
