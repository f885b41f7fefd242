package run

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/sleep"
)

const (
	hollowLinkName     = "hollow" // dialing side of the links that hollow processes share
	hollowCallTimeout  = 20 * time.Second
	hollowPollInterval = 200 * time.Millisecond
	seedsPerKind       = 3 // gossip seeds of a hollow proxy among the hollow proxies, and among the real ones
)

// errHollowCall is returned if a hollow process answers a command with an error status.
var errHollowCall = errors.New("command of a hollow process failed")

// hollowProcess is a process of hollow proxies or servers.
type hollowProcess struct {
	config  hollow.Config
	path    string // of its configuration file
	process *process.Process
}

// buildHollow creates the configurations of the hollow processes, and their links, one for each zone and
// member of the list service.
func (bed *testbed) buildHollow() error {
	hollowExp := bed.experiment.Hollow
	if !hollowExp.Enabled() {
		return nil
	}
	lists, leases, err := bed.buildHollowLinks()
	if err != nil {
		return err
	}
	hollowSettings, err := bed.hollowSettings()
	if err != nil {
		return err
	}
	proxies := bed.addHollow("hollow-proxies", min(hollowExp.Processes, hollowExp.Proxies), hollowSettings)
	bed.configureHollowProxies(proxies, lists)
	servers := bed.addHollow("hollow-nodos", hollowExp.ServerProcesses(), hollowSettings)
	bed.hollowProcessOf = map[string]*hollowProcess{}
	for i, node := range bed.experiment.HollowServers() {
		process := servers[i%len(servers)]
		bed.hollowProcessOf[node.Name] = process
		process.config.Servers = append(process.config.Servers, hollow.Server{Name: node.Name, Zone: node.Zone,
			Address: bed.block.hollowServer(), RegistryMembers: leases[experiment.RegionOf(node.Zone)]})
	}
	return nil
}

// buildHollowLinks creates the links to the members of the list service, and returns their addresses by zone:
// those for lists and those for leases.
func (bed *testbed) buildHollowLinks() (lists, leases map[string][]string, err error) {
	lists, leases = map[string][]string{}, map[string][]string{}
	for i, zone := range bed.experiment.ZoneNames() {
		for n, member := range bed.service.Members(nil) {
			own := bed.block.member(n, listPort)
			listen := func(kind, address string) error {
				ends := link.Ends{Kind: kind, From: hollowLinkName, FromZone: zone, To: member.Name, ToZone: member.Zone}
				_, err := bed.net.Listen(ends, address, bed.delay(zone, member.Zone),
					func(c *link.Conn) { _ = link.Forward(c, own, nil) })
				return err
			}
			list, lease := bed.block.hollowList(i, n), bed.block.hollowLease(i, n)
			if err := errors.Join(listen("list", list), listen("lease", lease)); err != nil {
				return nil, nil, err
			}
			lists[zone], leases[zone] = append(lists[zone], list), append(leases[zone], lease)
		}
	}
	return lists, leases, nil
}

// addHollow adds n hollow processes that have no proxies or servers yet.
func (bed *testbed) addHollow(kind string, n int, settings json.RawMessage) (added []*hollowProcess) {
	hollowExp := bed.experiment.Hollow
	for i := range n {
		name := fmt.Sprintf("%s%d", kind, i+1)
		process := &hollowProcess{path: filepath.Join(bed.workDir, name+".json"), config: hollow.Config{Name: name,
			ControlAddress: bed.block.hollowControl(len(bed.hollow)), Settings: settings, CallRate: hollowExp.CallRate,
			FailedFraction: hollowExp.FailedFraction, LeaseMs: int64(bed.experiment.List.LeaseMs),
			FailureFile: filepath.Join(bed.workDir, name+".failed")}}
		bed.hollow = append(bed.hollow, process)
		added = append(added, process)
	}
	return added
}

// configureHollowProxies distributes the hollow proxies over their processes.
func (bed *testbed) configureHollowProxies(processes []*hollowProcess, lists map[string][]string) {
	hollowExp, cluster := bed.experiment.Hollow, bed.experiment.Cluster
	random := bed.plan.Source("hollow")
	for i, node := range bed.experiment.HollowProxies() {
		process := processes[i%len(processes)]
		region := experiment.RegionOf(node.Zone)
		proxy := hollow.Proxy{Name: node.Name, Zone: node.Zone, ReplicaIndex: i, Seed: random.Uint64(), RegistryMembers: lists[region]}
		if service := hollowExp.ConfigService(i); service > 0 {
			proxy.Service = experiment.ServiceName(service)
		}
		if cluster.Enabled {
			process.config.Cluster = &hollow.Cluster{Label: cluster.Label}
			proxy.Bind, proxy.Seeds = bed.block.hollowGossip(i), bed.hollowSeeds(i)
			if hollowExp.Relays {
				proxy.Advertise = bed.block.hollowRelay(i)
			}
			own := netip.MustParseAddrPort(proxy.Bind).Addr()
			bed.gossipMembers[own] = experiment.Node{Name: node.Name, Zone: region}
		}
		process.config.Proxies = append(process.config.Proxies, proxy)
	}
	if cluster.Enabled && hollowExp.Relays {
		relays := bed.hollowRelays()
		for _, process := range processes {
			process.config.Relays = relays
		}
	}
}

// hollowSettings returns the settings of hollow proxies: those of a real proxy, with the hollow zones.
func (bed *testbed) hollowSettings() (json.RawMessage, error) {
	s := settings(bed.experiment, 0, 0)
	s["failure_domains"] = bed.experiment.HollowZones()
	s["siblings"] = bed.experiment.Hollow.Proxies
	s["membership_mode"] = "automatic"
	return json.Marshal(s)
}

// hollowSeeds returns the gossip addresses of the members that hollow proxy i joins through: the first hollow
// proxies and the first real ones.
func (bed *testbed) hollowSeeds(i int) (out []string) {
	address := bed.block.hollowGossip
	if bed.experiment.Hollow.Relays {
		address = bed.block.hollowRelay
	}
	for n := range min(seedsPerKind, bed.experiment.Hollow.Proxies) {
		if n != i {
			out = append(out, address(n))
		}
	}
	for n := range min(seedsPerKind, len(bed.proxyOrder)) {
		out = append(out, bed.proxyOrder[n].relay.Address())
	}
	return out
}

// hollowRelays returns the configuration of the relays of hollow members.
func (bed *testbed) hollowRelays() *hollow.Relays {
	out := &hollow.Relays{Members: map[string]hollow.RelayMember{}, RegionDelayUs: micros(bed.experiment.Network.LocalMs),
		CrossRegionDelayUs: micros(bed.experiment.Network.CrossMs)}
	for ip, n := range bed.gossipMembers {
		out.Members[ip.String()] = hollow.RelayMember{Name: n.Name, Region: n.Zone}
	}
	return out
}

// dropHollowGossip makes the hollow members' relays drop datagrams for the duration of a loss fault.
func (t *timeline) dropHollowGossip(ctx context.Context, planned plan.PlannedFault) error {
	if planned.Fault.Kind != "loss" || !t.experiment.Hollow.Relays {
		return nil
	}
	duration := planned.Duration
	if duration <= 0 {
		duration = experiment.Seconds(t.experiment.Seconds) - planned.At
	}
	var errs []error
	for _, p := range t.hollow {
		if len(p.config.Proxies) > 0 {
			_, err := p.call(ctx, http.MethodPost, "/do", hollow.Command{Action: "lose",
				Fraction: planned.Fault.Fraction, DurationMs: duration.Milliseconds()})
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// startHollow starts all hollow processes, those with servers first, and waits until each is ready. If a
// process crashes later, fail is called with the reason.
func (bed *testbed) startHollow(ctx context.Context, fail context.CancelCauseFunc) error {
	readyCtx, cancel := context.WithTimeout(ctx, experiment.Seconds(bed.experiment.Lab.ReadyWait))
	defer cancel()
	for _, withServers := range []bool{true, false} {
		var started []*hollowProcess
		for _, p := range bed.hollow {
			if len(p.config.Servers) > 0 != withServers {
				continue
			}
			if err := bed.startProcess(p, fail); err != nil {
				return fmt.Errorf("%w: %w", ErrEnvironment, err)
			}
			started = append(started, p)
		}
		for _, p := range started {
			missing := "no answer yet"
			for missing != "" && sleep.For(readyCtx, hollowPollInterval) {
				if text, err := p.call(ctx, http.MethodGet, "/ready", nil); err == nil {
					missing = string(text)
				}
			}
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			if missing != "" {
				return fmt.Errorf("%w: %w", ErrEnvironment, &hollow.FailedError{
					Process: p.config.Name, Name: missing,
					Reason: fmt.Sprintf("not ready after %v s (lab.ready_wait)", bed.experiment.Lab.ReadyWait)})
			}
		}
	}
	return nil
}

// startProcess writes a hollow process's configuration file and starts the process.
func (bed *testbed) startProcess(p *hollowProcess, fail context.CancelCauseFunc) error {
	text, err := json.Marshal(p.config)
	if err == nil {
		err = os.WriteFile(p.path, text, 0o644)
	}
	if err != nil {
		return err
	}
	if p.process, err = bed.starter.Start(process.Spec{Name: p.config.Name, Command: append(slices.Clone(bed.hollowCommand), p.path),
		Env: os.Environ(), Log: filepath.Join(bed.logDir, p.config.Name+".log")}); err != nil {
		return err
	}
	go func() {
		<-p.process.Ended()
		if p.process.Crashed() {
			fail(hollow.ReadFailure(p.config.Name, p.config.FailureFile))
		}
	}()
	return nil
}

// call sends a request to the process's control address and returns the body of the response.
func (p *hollowProcess) call(ctx context.Context, method, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, hollowCallTimeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.config.ControlAddress+path, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%w: %s of %s: %s: %s", errHollowCall, path, p.config.Name, resp.Status, strings.TrimSpace(string(text)))
	}
	return text, err
}

// metrics reads the process's metrics; without steps, versions and changes are left out.
func (p *hollowProcess) metrics(ctx context.Context, steps bool) (out hollow.Metrics, err error) {
	path := "/figures"
	if !steps {
		path += "?steps=0"
	}
	text, err := p.call(ctx, http.MethodGet, path, nil)
	if err == nil {
		err = json.Unmarshal(text, &out)
	}
	return out, err
}

// injectHollowFault sends a fault to the processes of the targeted hollow servers, each target with its own
// delay.
func (t *timeline) injectHollowFault(ctx context.Context, planned plan.PlannedFault) error {
	action, _ := strings.CutPrefix(planned.Fault.Kind, "hollow_")
	commands := map[*hollowProcess]*hollow.Command{}
	last := time.Duration(0)
	for _, target := range planned.Targets {
		p := t.hollowProcessOf[target.Name]
		command := commands[p]
		if command == nil {
			command = &hollow.Command{Action: action, DurationMs: planned.Duration.Milliseconds()}
			commands[p] = command
		}
		command.Targets = append(command.Targets, hollow.CommandTarget{Name: target.Name,
			DelayMs: (target.At - planned.At).Milliseconds()})
		last = max(last, target.At)
	}
	for p, command := range commands {
		if _, err := p.call(ctx, http.MethodPost, "/do", command); err != nil && ctx.Err() == nil {
			return err
		}
	}
	t.waitUntil(ctx, last+planned.Duration)
	return nil
}
