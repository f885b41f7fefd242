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

const waitTimeout = 30 * time.Second // for what takes a second or two

var discardLogger = slog.New(slog.DiscardHandler)

// service is an only member of the list service, in this process.
func startRegistry(t *testing.T) (addr string, m *raftnode.Node, a *api.Server) {
	t.Helper()
	a, err := api.Listen(api.Config{Listen: "127.0.0.1:0", Name: "r1", MaxWatches: 100, Logger: discardLogger})
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

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain for ", what)
		}
	}
}

const testSettings = `{"contract":{"start_capacity":0.3,"cold_us":1000000},"failure_domains":["a-a"],"my_zone":0,"ordinal":0,"siblings":3,
"profiles":[{"name":"c","objective_us":500000,"give_up_us":1000000,"worth":1,"repeat":"idempotent"}],"tiers":["lab"],
"limits":{"try_limit":3},"membership_mode":"automatic","counted_by":"request","weights":"off"}`

// config returns a process of some proxies and servers.
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

// start runs a process until the test ends.
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

// Changes of servers reach all proxies, with versions by which their latency is known.
func TestProxiesReceiveChanges(t *testing.T) {
	list, m, _ := startRegistry(t)
	p, _ := start(t, config(list, 3, 4), noFault)
	waitFor(t, "all", func() bool { return p.notReadyReason() == "" })
	p.ResetMetrics()
	if err := p.Execute(Command{Action: "replace", Targets: []CommandTarget{{Name: "hs0"}, {Name: "hs1", DelayMs: 100}}}); err != nil {
		t.Fatal(err)
	}
	if err := p.Execute(Command{Action: "die", DurationMs: 2500, Targets: []CommandTarget{{Name: "hs2"}}}); err != nil {
		t.Fatal(err)
	}
	// Two drain, go and are back; one dies, its lease ends, and it is back.
	waitFor(t, "the changes", func() bool { return len(p.Metrics(true).Servers.Changes) >= 7 })
	_, index := m.Version()
	var f Metrics
	waitFor(t, "all to know", func() bool {
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
			t.Errorf("%+v: no version, or sure before it was asked", c)
		}
	}
	for _, x := range f.Proxies {
		if x.List.Servers != 4 {
			t.Errorf("%s knows %d servers, want 4", x.Name, x.List.Servers)
		}
		if len(x.List.Removed) != 1 || x.List.Removed[0].Name != "hs2" || x.List.Removed[0].At < f.Servers.Deaths[0].At {
			t.Errorf("%s lost %v without draining, want hs2 after %v", x.Name, x.List.Removed, f.Servers.Deaths)
		}
		if x.Calls.Taken == 0 || x.Calls.Sent < x.Calls.Taken/2 {
			t.Errorf("%s: %+v: the module had nothing to decide", x.Name, x.Calls)
		}
	}
	if light := p.Metrics(false); len(light.Servers.Changes) > 0 || len(light.Proxies[0].List.Versions) > 0 {
		t.Error("figures without steps have some")
	}
}

// A proxy that cannot go on ends its process, and is named with the cause: where it is made, where it runs, and on disk.
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
	if _, err := New(c, discardLogger); !errors.As(err, &failed) || failed.Name != "hp1" || !strings.Contains(failed.Reason, "in use") {
		t.Fatalf("%v; want hp1's, and that its address is in use", err)
	}
	if err := failed.write(c.FailureFile); err != nil {
		t.Fatal(err)
	}
	var read *FailedError
	if err := ReadFailure("h", c.FailureFile); !errors.As(err, &read) || *read != *failed {
		t.Errorf("left as %v, wanted %v", err, failed)
	}
	if err := ReadFailure("h", c.FailureFile+"-none"); !errors.As(err, &read) || read.Name != "process h" {
		t.Errorf("%v; want the process's own failure", err)
	}

	p, ended := start(t, config(list, 1, 0), noFault)
	go p.recoverPanic("hp0", func() { panic("so it is") })
	if err := <-ended; !errors.As(err, &failed) || failed.Name != "hp0" || !strings.Contains(failed.Reason, "so it is") {
		t.Errorf("%v; want hp0's, with its panic", err)
	}
}

// Relays pass gossip, and drop a fraction for the duration of the command.
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
	waitFor(t, "both", func() bool { return p.notReadyReason() == "" })
	countDatagrams := func() (on, lost int) {
		for _, r := range p.memberRelays {
			x := r.Counters()
			on, lost = on+x.Forwarded, lost+x.Lost
		}
		return on, lost
	}
	waitFor(t, "gossip", func() bool { on, _ := countDatagrams(); return on > 5 })
	if _, lost := countDatagrams(); lost != 0 {
		t.Fatalf("%d lost before anything is", lost)
	}
	if err := p.Execute(Command{Action: "lose", Fraction: 1, DurationMs: 1500}); err != nil {
		t.Fatal(err)
	}
	before, _ := countDatagrams()
	waitFor(t, "losses", func() bool { _, lost := countDatagrams(); return lost > 3 })
	if on, lost := countDatagrams(); on > before+2 { // what came in the instant of the order
		t.Errorf("%d passed while all is lost, %d lost", on-before, lost)
	}
	waitFor(t, "the end", func() bool { on, _ := countDatagrams(); return on > before+10 })
}

func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Orders that make no sense change nothing.
func TestInvalidOrders(t *testing.T) {
	p, err := New(config("127.0.0.1:1", 0, 1), discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range []Command{{Action: "replace", Targets: []CommandTarget{{Name: "none"}}}, {Action: "sing", Targets: []CommandTarget{{Name: "hs0"}}}} {
		if err := p.Execute(o); err == nil {
			t.Errorf("%+v was taken", o)
		}
	}
}
