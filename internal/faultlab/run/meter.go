package run

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/result"
	"merlinpick/internal/faultlab/service"
	"merlinpick/internal/faultlab/sleep"
)

const meterInterval = 500 * time.Millisecond

// meter measures the usage of the control plane: it takes bytes from the links, CPU and memory from the
// kernel, and the rest from the members' metrics. It samples all the time, since a member's counters end with
// its process and the leader changes.
type meter struct {
	*testbed
	members []*service.Member

	sampleMu sync.Mutex // held while a sample is taken

	mu          sync.Mutex
	total       result.Sample
	lastSamples map[string]memberSample // by member
}

// memberSample is the usage of a member so far.
type memberSample struct {
	service.MemberUsage
	traffic link.Traffic // FromDialer: received by the member; ToDialer: sent by it
}

// newMeter returns a meter that has taken its first sample.
func (bed *testbed) newMeter() *meter {
	m := &meter{testbed: bed, lastSamples: map[string]memberSample{}}
	if bed.service != nil {
		m.members = bed.service.Members(nil)
	}
	m.total.Roles = map[string]result.Usage{}
	m.sample()
	return m
}

// run takes samples until the context ends.
func (m *meter) run(ctx context.Context) {
	for sleep.For(ctx, meterInterval) {
		m.sample()
	}
}

// traffic returns the traffic of the links so far, by role and by member. FromDialer is what they received
// and ToDialer what they sent.
func (m *meter) traffic() (roles, members map[string]link.Traffic) {
	roles, members = map[string]link.Traffic{}, map[string]link.Traffic{}
	add := func(to map[string]link.Traffic, key string, t link.Traffic) { to[key] = to[key].Add(t) }
	m.net.EachTraffic(func(ends link.Ends, t link.Traffic) {
		reversed := link.Traffic{FromDialer: t.ToDialer, ToDialer: t.FromDialer, Chunks: t.Chunks}
		switch {
		case ends.Kind == "list" && ends.From == hollowLinkName:
			add(roles, "proxy", reversed)
		case ends.Kind == "list":
			add(roles, "real", reversed)
		case ends.Kind == "lease" && ends.From == hollowLinkName:
			add(roles, "nodo", reversed)
		}
		switch ends.Kind {
		case "list", "lease", "member":
			add(members, ends.To, t)
			if ends.FromZone != ends.ToZone {
				add(roles, "regions", t)
			}
		}
		if ends.Kind == "member" {
			back := reversed
			back.Chunks = 0
			add(members, ends.From, back)
		}
	})
	return roles, members
}

// sample takes a sample, and adds the usage since the previous one to the total.
func (m *meter) sample() {
	m.sampleMu.Lock()
	defer m.sampleMu.Unlock()
	usages := make([]service.MemberUsage, len(m.members))
	var all sync.WaitGroup
	for i, member := range m.members {
		all.Go(func() { usages[i] = m.service.MemberUsage(member) })
	}
	all.Wait()
	roles, members := m.traffic()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	elapsed, first := now.Sub(m.total.TakenAt), m.total.TakenAt.IsZero()
	m.total.TakenAt = now
	watches := 0.0
	for i, member := range m.members {
		current := memberSample{usages[i], members[member.Name]}
		last := m.lastSamples[member.Name]
		m.lastSamples[member.Name] = current
		watches += current.Watches
		if !first {
			m.addMember(last, current, elapsed)
		}
	}
	if !first {
		allMembers := m.total.Roles["five"]
		allMembers.InstanceTime += elapsed
		m.total.Roles["five"] = allMembers
	}
	m.total.Watches = max(m.total.Watches, watches)
	instances := map[string]int{"proxy": m.experiment.Hollow.Proxies, "real": len(m.proxyOrder), "nodo": m.experiment.Hollow.Servers,
		"regions": 1}
	for role, n := range instances {
		usage, traffic := m.total.Roles[role], roles[role]
		usage.BytesIn, usage.BytesOut, usage.Calls = traffic.FromDialer, traffic.ToDialer, traffic.Chunks
		if !first {
			usage.InstanceTime += elapsed * time.Duration(n)
		}
		m.total.Roles[role] = usage
	}
}

// addMember adds a member's usage between two samples to that of its role, leader or follower, and to that of
// all members (role "five").
func (m *meter) addMember(last, current memberSample, elapsed time.Duration) {
	if last.PID != current.PID { // the counters of the new process began at zero
		last.CPU, last.Rejected = 0, 0
	}
	role := "follower"
	if current.IsLeader {
		role = "leader"
	}
	traffic := current.traffic.Sub(last.traffic)
	usage := result.Usage{BytesIn: traffic.FromDialer, BytesOut: traffic.ToDialer, Calls: traffic.Chunks,
		CPU: max(0, current.CPU-last.CPU), InstanceTime: elapsed, Memory: current.Memory}
	m.total.Roles[role] = m.total.Roles[role].Plus(usage)
	usage.InstanceTime = 0
	m.total.Roles["five"] = m.total.Roles["five"].Plus(usage)
	if current.Reachable {
		m.total.Rejected += max(0, current.Rejected-last.Rejected)
	}
}

// read returns the usage so far. Memory is the current value, except that of members, which is the maximum so
// far, as is the number of watches.
func (m *meter) read(ctx context.Context) result.Sample {
	m.sample()
	var hollowProxies []hollow.ProxyMetrics
	var real []*hollow.ClusterMetrics
	if m.experiment.Cluster.Enabled {
		for _, proxy := range m.proxyOrder {
			real = append(real, readClusterMetrics(ctx, proxy.managementAddress))
		}
		for _, p := range m.hollow {
			processMetrics, err := p.metrics(ctx, false)
			if err != nil {
				if ctx.Err() == nil {
					m.recordError(err)
				}
				continue
			}
			hollowProxies = append(hollowProxies, processMetrics.Proxies...)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.total.Clone()
	addUsage := func(role string, cpu time.Duration, memory int64) {
		usage := out.Roles[role]
		usage.CPU, usage.Memory = usage.CPU+cpu, usage.Memory+memory
		out.Roles[role] = usage
	}
	for _, p := range m.hollow {
		role := "proxy"
		if len(p.config.Servers) > 0 {
			role = "nodo"
		}
		addUsage(role, p.process.Usage().CPU, process.ResidentMemory(p.process.PID()))
	}
	for _, proxy := range m.proxyOrder {
		for _, proc := range proxy.processes() {
			memory := int64(0)
			if !ended(proc) {
				memory = process.ResidentMemory(proc.PID())
			}
			addUsage("real", proc.Usage().CPU, memory)
		}
	}
	out.RealGossip = real
	for i := range hollowProxies {
		out.Gossip = append(out.Gossip, hollowProxies[i].Cluster)
	}
	return out
}

// phases returns the samples at the start and the end of each phase.
func (m *meter) phases(ctx context.Context, start time.Time) []result.PhaseSamples {
	out := make([]result.PhaseSamples, len(m.experiment.Phases))
	var all sync.WaitGroup
	for i, p := range m.experiment.Phases {
		all.Go(func() {
			for j, at := range []float64{p.From, p.To} {
				if !sleep.For(ctx, time.Until(start.Add(experiment.Seconds(at)))) {
					return
				}
				sample := m.read(ctx)
				if j == 0 {
					out[i].Before = &sample
				} else {
					out[i].After = &sample
				}
			}
		})
	}
	all.Wait()
	return out
}

// hollowReport reads the metrics of all hollow processes. It returns an error if a relay dropped datagrams,
// since the lab then caused losses itself.
func (bed *testbed) hollowReport() (out []hollow.Metrics, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), hollowCallTimeout)
	defer cancel()
	for _, p := range bed.hollow {
		processMetrics, err := p.metrics(ctx, true)
		if err != nil {
			return out, err
		}
		if processMetrics.RelayDrops > 0 {
			return out, fmt.Errorf("%w: %d in the relays of %s, use a less busy machine", errGossipDropped,
				processMetrics.RelayDrops, p.config.Name)
		}
		out = append(out, processMetrics)
	}
	return out, nil
}

// startMeter starts to measure the phases. The returned function waits for the end of the last phase and
// returns the samples, or none without hollow processes.
func (bed *testbed) startMeter(ctx context.Context, start time.Time) (phases func() []result.PhaseSamples) {
	if len(bed.hollow) == 0 {
		return func() []result.PhaseSamples { return nil }
	}
	for _, p := range bed.hollow {
		_, err := p.call(ctx, http.MethodPost, "/begin", nil)
		bed.recordError(err)
	}
	m := bed.newMeter()
	go m.run(ctx)
	read := make(chan []result.PhaseSamples, 1)
	go func() { read <- m.phases(ctx, start) }()
	return func() []result.PhaseSamples { return <-read }
}

// controlReport returns the observations of the control plane, nil without hollow processes.
func (bed *testbed) controlReport(phases []result.PhaseSamples) *result.Control {
	if len(bed.hollow) == 0 {
		return nil
	}
	out := &result.Control{Phases: phases, ConfigWrites: bed.configs.all()}
	var err error
	if out.Hollow, err = bed.hollowReport(); err != nil {
		bed.recordError(err)
	}
	for _, versions := range bed.service.ReceivedVersions() {
		var received []result.ReceivedVersion
		for _, version := range versions {
			received = append(received,
				result.ReceivedVersion{Version: version.Version, ReceivedAt: version.ReceivedAt.UnixNano()})
		}
		out.RealProxyVersions = append(out.RealProxyVersions, received)
	}
	return out
}

// readClusterMetrics reads a real proxy's cluster metrics at its management address. It returns nil if the
// proxy does not answer.
func readClusterMetrics(ctx context.Context, mgmt string) *hollow.ClusterMetrics {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+mgmt+"/v1/metrics", nil)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	values := map[string]float64{}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			values[strings.TrimPrefix(name, "app.fleet_")] = v
		}
	}
	return &hollow.ClusterMetrics{LiveMembers: int(values["living"]), Entries: int(values["entries"]),
		OldestEntryMs: values["oldest_ms"], Sent: int64(values["sent"]), BytesIn: int64(values["in_bytes"]),
		BytesOut: int64(values["out_bytes"]), Dropped: int64(values["dropped"])}
}
