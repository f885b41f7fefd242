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
	maxProcesses = 300
	maxMemory    = 12 << 30 // bytes
	labBytes     = 300 << 20
	proxyBytes   = 30 << 20 // of a real proxy
	memberBytes  = 400 << 20
	hollowBytes  = 40 << 20 // of a hollow process with nothing in it
	hollowEach   = 500 << 10
	hollowListed = 900       // a hollow proxy keeps so much of each listed server
	labEach      = 100 << 10 // the lab for each connection that it passes on
	labListed    = 450       // and of each listed server, for each proxy that is sent the whole list
	nodoEach     = 150 << 10
	memberEach   = 60 << 10 // a member for each caller
	fleetEach    = 600 << 10
	fleetKnown   = 1500 // a member of the fleet keeps so much of each other
	relayKnown   = 500  // and its relay
	relayEach    = 200 << 10
	fleetMillis  = 20 // of a core in a thousand that a member of the fleet takes at least, from 10 members on
	fileEach     = 2  // of the lab for each connection that it passes on
	minFiles     = 2000
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
func bears(e *experiment.Experiment, m machine) error {
	h := e.Hollow
	if !h.On() {
		return nil
	}
	real, members := int64(len(e.ProxyNodes())), int64(e.List.Members)
	listed := int64(h.Servers + len(e.ServerNodes()))
	processes := 1 + real + members + int64(min(h.Processes, h.Proxies)+h.ServerProcesses())
	each := hollowEach + hollowListed*listed
	if e.Cluster.On {
		each += fleetEach + fleetKnown*int64(h.Proxies)
		if h.Relays {
			each += relayEach + relayKnown*(int64(h.Proxies)+real)
		}
	}
	memory := labBytes + (labEach+labListed*listed)*int64(h.Proxies) + labEach*int64(h.Servers) + real*proxyBytes + members*(memberBytes+memberEach*int64(h.Proxies+h.Servers)/max(1, members)) +
		int64(h.Processes+h.ServerProcesses())*hollowBytes + int64(h.Proxies)*each + int64(h.Servers)*nodoEach
	following := int64(0) // one more connection each
	if h.Following > 0 {
		following = int64(h.Proxies)
		memory += following * (labEach + memberEach)
	}
	files := minFiles + fileEach*(int64(h.Proxies+h.Servers)+following)
	cores := int64(0)
	if e.Cluster.On {
		cores = (fleetMillis*(int64(h.Proxies)+real) + 999) / 1000
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
