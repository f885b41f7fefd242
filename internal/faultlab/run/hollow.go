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
	hollowFrom  = "hollow" // the name of the dialling side of links that hollow ones share
	hollowCall  = 20 * time.Second
	hollowPoll  = 200 * time.Millisecond
	hollowSeeds = 3 // of its fleet that a hollow proxy is told in each region
)

// hollowProcess is a process of hollow proxies or servers.
type hollowProcess struct {
	cfg  hollow.Config
	path string
	proc *process.Process
}

// buildHollow makes the links of hollow ones, which share one for each zone and member, and their processes' files.
func (f *fleet) buildHollow() error {
	h := f.exp.Hollow
	if !h.On() {
		return nil
	}
	zones := f.exp.ZoneNames()
	members := f.service.Targets(nil)
	lists, leases := map[string][]string{}, map[string][]string{}
	for z, zone := range zones {
		for n, m := range members {
			for kind, of := range map[string]struct {
				addr string
				all  map[string][]string
			}{"list": {f.block.hollowList(z, n), lists}, "lease": {f.block.hollowLease(z, n), leases}} {
				ends := link.Ends{Kind: kind, From: hollowFrom, FromZone: zone, To: m.Name, ToZone: m.Zone}
				own := f.block.member(n, listPort)
				if _, err := f.net.Listen(ends, of.addr, f.delay(zone, m.Zone), func(c *link.Conn) { _ = link.Pass(c, own, nil) }); err != nil {
					return err
				}
				of.all[zone] = append(of.all[zone], of.addr)
			}
		}
	}
	told, err := f.hollowSettings()
	if err != nil {
		return err
	}
	add := func(kind string, n int) (out []*hollowProcess) {
		for i := range n {
			p := &hollowProcess{cfg: hollow.Config{Name: fmt.Sprintf("%s%d", kind, i+1), ControlAddress: f.block.hollowControl(len(f.hollow)),
				Settings: told, CallRate: h.Calls, FailedFraction: h.Bad, LeaseMs: int64(f.exp.List.LeaseMs)}}
			p.path = filepath.Join(f.work, p.cfg.Name+".json")
			p.cfg.FailureFile = filepath.Join(f.work, p.cfg.Name+".failed")
			f.hollow = append(f.hollow, p)
			out = append(out, p)
		}
		return out
	}
	proxies := add("hollow-proxies", min(h.Processes, h.Proxies))
	r := f.plan.Source("hollow")
	for i, n := range f.exp.HollowProxies() {
		p := proxies[i%len(proxies)]
		region := experiment.RegionOf(n.Zone)
		x := hollow.Proxy{Name: n.Name, Zone: n.Zone, ReplicaIndex: i, Seed: r.Uint64(), RegistryMembers: lists[region]}
		if s := h.ConfigService(i); s > 0 {
			x.Service = experiment.ServiceName(s)
		}
		if f.exp.Cluster.On {
			p.cfg.Cluster = &hollow.Cluster{Label: f.exp.Cluster.Label}
			x.Bind, x.Seeds = f.block.hollowGossip(i), f.hollowSeeds(i)
			if h.Relays {
				x.Advertise = f.block.hollowRelay(i)
			}
			own := netip.MustParseAddrPort(x.Bind).Addr()
			f.speakers[own] = experiment.Node{Name: n.Name, Zone: region}
		}
		p.cfg.Proxies = append(p.cfg.Proxies, x)
	}
	if f.exp.Cluster.On && h.Relays {
		relays := f.hollowRelays()
		for _, p := range proxies {
			p.cfg.Relays = relays
		}
	}
	nodos := add("hollow-nodos", h.ServerProcesses())
	f.hollowOf = map[string]*hollowProcess{}
	for i, n := range f.exp.HollowServers() {
		p := nodos[i%len(nodos)]
		f.hollowOf[n.Name] = p
		p.cfg.Servers = append(p.cfg.Servers, hollow.Server{Name: n.Name, Zone: n.Zone, Address: f.block.hollowServer(),
			RegistryMembers: leases[experiment.RegionOf(n.Zone)]})
	}
	return nil
}

// hollowSettings are what hollow proxies are told: a real proxy's settings, with the hollow zones.
func (f *fleet) hollowSettings() (json.RawMessage, error) {
	s := settings(f.exp, 0, 0)
	s["failure_domains"] = f.exp.HollowZones()
	s["siblings"] = f.exp.Hollow.Proxies
	s["membership_mode"] = "automatic"
	return json.Marshal(s)
}

// hollowSeeds are the members that hollow proxy i is told to join at: the real ones' first and the hollow ones' first.
func (f *fleet) hollowSeeds(i int) (out []string) {
	at := f.block.hollowGossip
	if f.exp.Hollow.Relays {
		at = f.block.hollowRelay
	}
	for n := range min(hollowSeeds, f.exp.Hollow.Proxies) {
		if n != i {
			out = append(out, at(n))
		}
	}
	for n := range min(hollowSeeds, len(f.order)) {
		out = append(out, f.order[n].relay.Addr())
	}
	return out
}

// hollowRelays are what relays before hollow members know of the fleet.
func (f *fleet) hollowRelays() *hollow.Relays {
	out := &hollow.Relays{Members: map[string]hollow.RelayMember{}, RegionDelayUs: micros(f.exp.Network.LocalMs),
		CrossRegionDelayUs: micros(f.exp.Network.CrossMs)}
	for ip, n := range f.speakers {
		out.Members[ip.String()] = hollow.RelayMember{Name: n.Name, Region: n.Zone}
	}
	return out
}

// hollowLoss has hollow members' relays lose datagrams while a fault of all gossip does.
func (t *timeline) hollowLoss(ctx context.Context, s plan.Strike) error {
	if s.Fault.Kind != "loss" || !t.exp.Hollow.Relays {
		return nil
	}
	length := s.For
	if length <= 0 {
		length = experiment.Seconds(t.exp.Seconds) - s.At
	}
	var errs []error
	for _, p := range t.hollow {
		if len(p.cfg.Proxies) > 0 {
			_, err := p.call(ctx, http.MethodPost, "/do", hollow.Command{Action: "lose", Fraction: s.Fault.Part, DurationMs: length.Milliseconds()})
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// startHollow starts all hollow processes, servers' first, and waits until each has what it follows. One that ends by itself
// ends the run.
func (f *fleet) startHollow(ctx context.Context, fail context.CancelCauseFunc) error {
	patience, cancel := context.WithTimeout(ctx, experiment.Seconds(f.exp.Lab.ReadyWait))
	defer cancel()
	for _, nodos := range []bool{true, false} {
		var some []*hollowProcess
		for _, p := range f.hollow {
			if len(p.cfg.Servers) > 0 != nodos {
				continue
			}
			if err := f.startProcess(p, fail); err != nil {
				return fmt.Errorf("%w: %w", ErrEnvironment, err)
			}
			some = append(some, p)
		}
		for _, p := range some {
			missing := "no answer yet"
			for missing != "" && sleep.For(patience, hollowPoll) {
				if text, err := p.call(ctx, http.MethodGet, "/ready", nil); err == nil {
					missing = string(text)
				}
			}
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			if missing != "" {
				return fmt.Errorf("%w: %w", ErrEnvironment, &hollow.FailedError{Process: p.cfg.Name, Name: missing,
					Reason: fmt.Sprintf("not ready after %v s (lab.ready_wait)", f.exp.Lab.ReadyWait)})
			}
		}
	}
	return nil
}

func (f *fleet) startProcess(p *hollowProcess, fail context.CancelCauseFunc) error {
	text, err := json.Marshal(p.cfg)
	if err == nil {
		err = os.WriteFile(p.path, text, 0o644)
	}
	if err != nil {
		return err
	}
	if p.proc, err = f.starter.Start(process.Spec{Name: p.cfg.Name, Command: append(slices.Clone(f.self), p.path),
		Env: os.Environ(), Log: filepath.Join(f.logs, p.cfg.Name+".log")}, f.log); err != nil {
		return err
	}
	go func() {
		<-p.proc.Ended()
		if p.proc.Crashed() {
			fail(hollow.ReadFailure(p.cfg.Name, p.cfg.FailureFile))
		}
	}()
	return nil
}

// call makes a call of a process's control address.
func (p *hollowProcess) call(ctx context.Context, method, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, hollowCall)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.cfg.ControlAddress+path, bytes.NewReader(text))
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
		err = fmt.Errorf("%s of %s: %s: %s", path, p.cfg.Name, resp.Status, strings.TrimSpace(string(text)))
	}
	return text, err
}

func (p *hollowProcess) figures(ctx context.Context, steps bool) (out hollow.Metrics, err error) {
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

// hollowNodos has hollow servers do what a fault says, each at its turn.
func (t *timeline) strikeHollowServers(ctx context.Context, s plan.Strike) error {
	act, _ := strings.CutPrefix(s.Fault.Kind, "hollow_")
	orders := map[*hollowProcess]*hollow.Command{}
	last := time.Duration(0)
	for _, turn := range s.Turns {
		p := t.hollowOf[turn.Target]
		o := orders[p]
		if o == nil {
			o = &hollow.Command{Action: act, DurationMs: s.For.Milliseconds()}
			orders[p] = o
		}
		o.Targets = append(o.Targets, hollow.CommandTarget{Name: turn.Target, DelayMs: (turn.At - s.At).Milliseconds()})
		last = max(last, turn.At)
	}
	for p, o := range orders {
		if _, err := p.call(ctx, http.MethodPost, "/do", o); err != nil && ctx.Err() == nil {
			return err
		}
	}
	t.until(ctx, last+s.For)
	return nil
}
