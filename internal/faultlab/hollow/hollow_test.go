package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/registry/api"
	"merlinpick/internal/registry/lease"
	"merlinpick/internal/registry/raftnode"
)

const waitTimeout = 30 * time.Second // for conditions that usually take a second or two

var discardLogger = slog.New(slog.DiscardHandler)

// startRegistry starts a registry with a single member in this process, which runs until the test ends.
func startRegistry(t *testing.T) (addr string, m *raftnode.Node, a *api.Server) {
	t.Helper()
	a, err := api.Listen(api.Config{Listen: "127.0.0.1:0", Name: "r1", MaxWatches: 100,
		Logger: discardLogger})
	if err != nil {
		t.Fatal(err)
	}
	m, err = raftnode.Open(t.Context(), raftnode.Config{Name: "r1", Dir: t.TempDir(), ElectionTimeout: 100 * time.Millisecond,
		MaxListAge: time.Minute, Lease: lease.DefaultConfig(), Logger: discardLogger})
	if err != nil {
		t.Fatal(err)
	}
	a.SetNode(m)
	served := make(chan error, 1)
	go func() { served <- a.Serve() }()
	t.Cleanup(func() {
		a.Shutdown(time.Second)
		if err := errors.Join(<-served, m.Close()); err != nil {
			t.Error(err)
		}
	})
	waitFor(t, "a leader", m.Serving)
	return a.Addr(), m, a
}

// waitFor waits until a condition holds, and fails the test after waitTimeout; what names the condition.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for ", what)
		}
	}
}

// testSettings are the settings of hollow proxies in tests.
const testSettings = `{"contract":{"start_capacity":0.3,"cold_us":1000000},"failure_domains":["a-a"],"my_zone":0,"ordinal":0,"siblings":3,
"profiles":[{"name":"c","objective_us":500000,"give_up_us":1000000,"worth":1,"repeat":"idempotent"}],"tiers":["lab"],
"limits":{"try_limit":3},"membership_mode":"automatic","counted_by":"request","weights":"off"}`

// config returns the configuration of a process with a number of proxies and servers.
func config(list string, proxies, servers int) Config {
	c := Config{Name: "h", Settings: []byte(testSettings), CallRate: 50, FailedFraction: 0.1, LeaseMs: 1000}
	for i := range proxies {
		c.Proxies = append(c.Proxies, Proxy{Name: fmt.Sprintf("hp%d", i), Zone: "a-a", ReplicaIndex: i, Seed: uint64(i), RegistryMembers: []string{list}})
	}
	for i := range servers {
		c.Servers = append(c.Servers, Server{Name: fmt.Sprintf("hs%d", i), Zone: "a-a", Address: "127.0.0.1:9", RegistryMembers: []string{list}})
	}
	return c
}

// start starts a process with a fault, which runs until the test ends. ended receives the result of Run.
func start(t *testing.T, c Config, fault seededFault) (p *Process, ended <-chan error) {
	t.Helper()
	p, err := newSeeded(c, discardLogger, fault)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	stopped := make(chan struct{})
	go func() { defer close(stopped); done <- p.Run(ctx) }()
	t.Cleanup(func() { stop(); <-stopped })
	return p, done
}

// TestProxiesReceiveChanges checks that all proxies receive the changes of servers, and that versions and
// times are recorded from which the latency of a change is computed.
func TestProxiesReceiveChanges(t *testing.T) {
	list, m, _ := startRegistry(t)
	p, _ := start(t, config(list, 3, 4), noFault)
	waitFor(t, "all proxies and servers to be ready", func() bool { return p.notReadyReason() == "" })
	p.ResetMetrics()
	if err := p.Execute(Command{Action: "replace", Targets: []CommandTarget{{Name: "hs0"}, {Name: "hs1", DelayMs: 100}}}); err != nil {
		t.Fatal(err)
	}
	if err := p.Execute(Command{Action: "die", DurationMs: 2500, Targets: []CommandTarget{{Name: "hs2"}}}); err != nil {
		t.Fatal(err)
	}
	// Two servers drain, deregister and register again: 6 changes. One dies and registers again: 1 change.
	waitFor(t, "7 confirmed changes of servers",
		func() bool { return len(p.Metrics(true).Servers.Changes) >= 7 })
	_, index := m.Version()
	var f Metrics
	waitFor(t, "all proxies to receive the last version", func() bool {
		f = p.Metrics(true)
		for _, x := range f.Proxies {
			if n := len(x.List.Versions); n == 0 || x.List.Versions[n-1].Version < index {
				return false
			}
		}
		return true
	})
	if f.Servers.Alive != 4 || !f.Ready {
		t.Errorf("%d servers alive, ready %v (%s); want 4 and true", f.Servers.Alive, f.Ready, f.NotReadyReason)
	}
	for _, c := range f.Servers.Changes {
		if c.Version <= 0 || c.ConfirmedAt < c.RequestedAt {
			t.Errorf("change %+v has no version, or was confirmed before it was requested", c)
		}
	}
	for _, x := range f.Proxies {
		if x.List.Servers != 4 {
			t.Errorf("proxy %s has %d servers in its list, want 4", x.Name, x.List.Servers)
		}
		if len(x.List.Removed) != 1 || x.List.Removed[0].Name != "hs2" || x.List.Removed[0].At < f.Servers.Deaths[0].At {
			t.Errorf("proxy %s recorded %v as removed without draining, want hs2 after its death in %v",
				x.Name, x.List.Removed, f.Servers.Deaths)
		}
		if x.Calls.Taken == 0 || x.Calls.Sent < x.Calls.Taken/2 {
			t.Errorf("proxy %s: the balancer got too few calls or sent too few of them: %+v", x.Name, x.Calls)
		}
	}
	if light := p.Metrics(false); len(light.Servers.Changes) > 0 || len(light.Proxies[0].List.Versions) > 0 {
		t.Error("metrics without steps contain changes or versions")
	}
}

// TestFailureNamesProxy checks that the failure of a proxy ends its process and that the error names the
// proxy and the reason, whether the proxy fails when it is created or while it runs, and in the failure file.
func TestFailureNamesProxy(t *testing.T) {
	list, _, _ := startRegistry(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	c := config(list, 2, 0)
	c.FailureFile = filepath.Join(t.TempDir(), "failed")
	c.Cluster = &Cluster{Label: "test"}
	c.Proxies[0].Bind, c.Proxies[1].Bind = "127.0.0.1:0", taken.Addr().String()
	var failed *FailedError
	if _, err := New(c, discardLogger); !errors.As(err, &failed) || failed.Name != "hp1" ||
		!strings.Contains(failed.Reason, "in use") {
		t.Fatalf("New failed with %v, want the failure of hp1 because its address is in use", err)
	}
	if err := failed.write(c.FailureFile); err != nil {
		t.Fatal(err)
	}
	var read *FailedError
	if err := ReadFailure("h", c.FailureFile); !errors.As(err, &read) || *read != *failed {
		t.Errorf("the failure file holds %v, want %v", err, failed)
	}
	if err := ReadFailure("h", c.FailureFile+"-none"); !errors.As(err, &read) || read.Name != "process h" {
		t.Errorf("without a failure file: %v, want a failure of process h", err)
	}

	p, ended := start(t, config(list, 1, 0), noFault)
	go p.recoverPanic("hp0", func() { panic("so it is") })
	if err := <-ended; !errors.As(err, &failed) || failed.Name != "hp0" || !strings.Contains(failed.Reason, "so it is") {
		t.Errorf("the process ended with %v, want the failure of hp0 with its panic", err)
	}
}

// TestRelaysLoseDatagrams checks that relays forward gossip, and drop a fraction of it for the duration of a
// lose command.
func TestRelaysLoseDatagrams(t *testing.T) {
	list, _, _ := startRegistry(t)
	c := config(list, 2, 2)
	c.Cluster = &Cluster{Label: "test"}
	c.Relays = &Relays{Members: map[string]RelayMember{}, RegionDelayUs: 100, CrossRegionDelayUs: 200}
	for i := range c.Proxies {
		ip := fmt.Sprintf("127.0.1.%d", i+1)
		c.Relays.Members[ip] = RelayMember{c.Proxies[i].Name, "a"}
		c.Proxies[i].Bind, c.Proxies[i].Advertise = freeAddress(t, ip), freeAddress(t, ip)
		c.Proxies[i].Seeds = []string{c.Proxies[0].Advertise}
	}
	p, _ := start(t, c, noFault)
	waitFor(t, "both proxies to be ready", func() bool { return p.notReadyReason() == "" })
	countDatagrams := func() (forwarded, lost int) {
		for _, r := range p.memberRelays {
			x := r.Counters()
			forwarded, lost = forwarded+x.Forwarded, lost+x.Lost
		}
		return forwarded, lost
	}
	waitFor(t, "more than 5 forwarded datagrams", func() bool { on, _ := countDatagrams(); return on > 5 })
	if _, lost := countDatagrams(); lost != 0 {
		t.Fatalf("%d datagrams lost before the command, want none", lost)
	}
	if err := p.Execute(Command{Action: "lose", Fraction: 1, DurationMs: 1500}); err != nil {
		t.Fatal(err)
	}
	before, _ := countDatagrams()
	waitFor(t, "more than 3 lost datagrams", func() bool { _, lost := countDatagrams(); return lost > 3 })
	if on, lost := countDatagrams(); on > before+2 { // up to 2 may pass as the command begins
		t.Errorf("%d datagrams forwarded while all are to be lost, and %d lost", on-before, lost)
	}
	waitFor(t, "more than 10 forwarded datagrams after the command",
		func() bool { on, _ := countDatagrams(); return on > before+10 })
}

// freeAddress returns an address with a free port on an IP.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestInvalidOrders checks that a command with an unknown server or action is rejected.
func TestInvalidOrders(t *testing.T) {
	p, err := New(config("127.0.0.1:1", 0, 1), discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range []Command{{Action: "replace", Targets: []CommandTarget{{Name: "none"}}}, {Action: "sing", Targets: []CommandTarget{{Name: "hs0"}}}} {
		if err := p.Execute(o); err == nil {
			t.Errorf("the invalid command %+v was accepted", o)
		}
	}
}
