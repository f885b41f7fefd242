package run

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"merlinpick/internal/faultlab/catalog"
	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/result"
	"merlinpick/internal/faultlab/service"
)

// buildService creates the members and links of the list service.
func (bed *testbed) buildService() (err error) {
	list := bed.experiment.List
	var isHollow func(string) bool
	if bed.experiment.Hollow.Enabled() {
		names := map[string]bool{}
		for _, n := range bed.experiment.HollowServers() {
			names[n.Name] = true
		}
		isHollow = func(server string) bool { return names[server] }
	}
	var proxies []service.Proxy
	for _, proxy := range bed.proxyOrder {
		proxies = append(proxies, service.Proxy{Name: proxy.node.Name, Zone: proxy.node.Zone})
	}
	bed.service, err = service.New(service.Config{Members: list.Members, Zones: bed.experiment.ZoneNames(),
		Proxies: proxies, Command: bed.registryCommand, Lease: experiment.Millis(list.LeaseMs),
		Election: experiment.Millis(list.ElectionMs), MaxListAge: experiment.Millis(list.MaxListAgeMs),
		Dir: filepath.Join(bed.workDir, "roster"), LogDir: bed.logDir, Seed: bed.plan.Seed, Net: bed.net,
		Referee: bed.ref, Starter: bed.starter, Log: bed.log, Delay: bed.delay, ServerAddress: bed.address,
		ProxyAddress: bed.block.listMember, MemberAddress: bed.block.member,
		PeerAddress: bed.block.memberLink, ZoneAddress: bed.block.zoneMember, IsHollow: isHollow})
	return err
}

// startService starts the list service and waits until all servers are registered.
func (bed *testbed) startService(ctx context.Context) error {
	if bed.service == nil {
		return nil
	}
	if err := bed.service.Start(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	bed.mu.Lock()
	all := slices.Collect(maps.Values(bed.servers))
	bed.mu.Unlock()
	var registrations []func(context.Context) error
	for _, server := range all {
		registrations = append(registrations, bed.service.StartServer(registeredServer(server.entry)))
	}
	registerCtx, cancel := context.WithTimeout(ctx, experiment.Seconds(bed.experiment.Lab.ReadyWait))
	defer cancel()
	for _, waitRegistered := range registrations {
		if err := waitRegistered(registerCtx); err != nil {
			return fmt.Errorf("%w: %w", ErrEnvironment, err)
		}
	}
	return nil
}

// registeredServer returns a server as the list service registers it.
func registeredServer(entry catalog.Entry) service.Server {
	return service.Server{Name: entry.Name, Zone: entry.Zone, Type: entry.Type, Group: entry.Group, StartedAtMs: entry.Since}
}

// announce announces a server's state to the list. At the list service, a server that dies announces nothing:
// its lease expires.
func (bed *testbed) announce(entry catalog.Entry) {
	if bed.service == nil {
		bed.catalog.Change(entry)
		return
	}
	switch entry.Status {
	case catalog.Serving:
		bed.service.StartServer(registeredServer(entry))
	case catalog.Draining:
		bed.service.DrainServer(entry.Name)
	default:
		bed.service.StopServer(entry.Name)
	}
}

// initialList returns the list in a proxy's configuration, which has each entry with a probability of
// fraction.
func (bed *testbed) initialList(proxy string, fraction float64, r *rand.Rand) (json.RawMessage,
	[]referee.Entry) {
	if bed.service != nil {
		return bed.service.Snapshot(proxy, func() bool { return r.Float64() < fraction })
	}
	return bed.catalog.Snapshot(proxy, fraction, r)
}

// runList serves the list until the context ends.
func (bed *testbed) runList(ctx context.Context) {
	if bed.service != nil {
		bed.service.Run(ctx)
		return
	}
	bed.catalog.Run(ctx)
}

// listReport ends the list service and returns its observations, nil with the catalog. A wrong history or
// list is recorded as a violation.
func (bed *testbed) listReport(record *referee.Record) (*result.List, error) {
	if bed.service == nil {
		return nil, nil
	}
	report, err := bed.service.End()
	if violation := report.Violation(); violation != "" {
		record.ViolationCounts["list"]++
		record.Violations = append(record.Violations,
			referee.Violation{Rule: "list", At: time.Now(), Text: violation})
	}
	return &result.List{CheckedCalls: report.History.Calls, NotificationDelays: report.Delays,
		MissingServers: report.MissingServers, RefusedStarts: report.RefusedStarts}, err
}

// listMembers returns the addresses at which a proxy reaches the members of the list service, nil with the
// catalog.
func (bed *testbed) listMembers(proxy *proxyUnderTest) []string {
	if bed.service == nil {
		return nil
	}
	return bed.service.MemberAddresses(proxy.ordinal)
}
