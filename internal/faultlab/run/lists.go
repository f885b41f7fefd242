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

// buildService makes the list service's members and links.
func (f *fleet) buildService() (err error) {
	l := f.exp.List
	var carriesNone func(string) bool
	if f.exp.Hollow.On() {
		names := map[string]bool{}
		for _, n := range f.exp.HollowServers() {
			names[n.Name] = true
		}
		carriesNone = func(nodo string) bool { return names[nodo] }
	}
	var proxies []service.Proxy
	for _, m := range f.order {
		proxies = append(proxies, service.Proxy{Name: m.node.Name, Zone: m.node.Zone})
	}
	f.service, err = service.New(service.Config{Members: l.Members, Zones: f.exp.ZoneNames(), Proxies: proxies, Command: f.registry,
		Lease: experiment.Millis(l.LeaseMs), Election: experiment.Millis(l.ElectionMs), Stale: experiment.Millis(l.StaleMs),
		Dir: filepath.Join(f.work, "roster"), Logs: f.logs, Seed: f.plan.Seed, Net: f.net, Ref: f.ref, Starter: f.starter,
		Log: f.log, Delay: f.delay, Address: f.address, List: f.block.listMember, Own: f.block.member,
		Between: f.block.memberLink, Near: f.block.memberNear, Hollow: carriesNone})
	return err
}

// startService starts the list service and has all servers register.
func (f *fleet) startService(ctx context.Context) error {
	if f.service == nil {
		return nil
	}
	if err := f.service.Start(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	f.mu.Lock()
	all := slices.Collect(maps.Values(f.servers))
	f.mu.Unlock()
	var waits []func(context.Context) error
	for _, s := range all {
		waits = append(waits, f.service.Begin(registeredServer(s.entry)))
	}
	patience, cancel := context.WithTimeout(ctx, experiment.Seconds(f.exp.Lab.ReadyWait))
	defer cancel()
	for _, registered := range waits {
		if err := registered(patience); err != nil {
			return fmt.Errorf("%w: %w", ErrEnvironment, err)
		}
	}
	return nil
}

func registeredServer(e catalog.Entry) service.Server {
	return service.Server{Name: e.Name, Zone: e.Zone, Type: e.Type, Group: e.Group, Since: e.Since}
}

// change tells the list what a server is now. A server that dies tells nobody: its lease ends.
func (f *fleet) change(e catalog.Entry) {
	if f.service == nil {
		f.list.Change(e)
		return
	}
	switch e.Status {
	case catalog.Serving:
		f.service.Begin(registeredServer(e))
	case catalog.Draining:
		f.service.Drain(e.Name)
	default:
		f.service.Die(e.Name)
	}
}

// known is the list as a proxy is told it at its start.
func (f *fleet) known(proxy string, part float64, r *rand.Rand) (json.RawMessage, []referee.Entry) {
	if f.service != nil {
		return f.service.Snapshot(proxy, func() bool { return r.Float64() < part })
	}
	return f.list.Snapshot(proxy, part, r)
}

// runList serves the list until the context ends.
func (f *fleet) runList(ctx context.Context) {
	if f.service != nil {
		f.service.Run(ctx)
		return
	}
	f.list.Run(ctx)
}

// listReport is what a list service leaves; what is wrong with it is a broken rule.
func (f *fleet) listReport(rec *referee.Record) (*result.List, error) {
	if f.service == nil {
		return nil, nil
	}
	r, err := f.service.End()
	if wrong := r.Wrong(); wrong != "" {
		rec.ViolationCounts["list"]++
		rec.Violations = append(rec.Violations, referee.Violation{Rule: "list", At: time.Now(), Text: wrong})
	}
	return &result.List{CheckedCalls: r.History.Calls, NotificationDelays: r.Delays, MissingServers: r.Lacks, RefusedStarts: r.Refused}, err
}

// listMembers are where a proxy finds the members of the list service; nil with the stand-in.
func (f *fleet) listMembers(m *member) []string {
	if f.service == nil {
		return nil
	}
	return f.service.Lists(m.ordinal)
}
