package transport

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"merlinpick/internal/cluster/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 30 * time.Second // only a failing test waits this long

var start = time.Now()

// micros returns the microseconds since the start of the test program, above 0.
func micros() int64 { return time.Since(start).Microseconds() + 1 }

// testNode is a running node with the last snapshot that it sent.
type testNode struct {
	*Node
	stopAndWait func()
	snapshot    Snapshot
}

// testConfig returns the configuration of a node in cluster "test", in a zone of its own.
func testConfig(name string, seeds ...string) Config {
	return Config{Name: name, Zone: "z-" + name, Tier: "0", Bind: "127.0.0.1:0", Label: "test", Seeds: seeds,
		StartedAtMs: time.Now().UnixMilli(), Now: micros, Logger: slog.New(slog.DiscardHandler)}
}

// startNode opens and runs a node until the end of the test.
func startNode(t *testing.T, cfg Config) *testNode {
	t.Helper()
	node, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); node.Run(ctx) }()
	m := &testNode{Node: node, stopAndWait: func() { cancel(); <-ended }}
	t.Cleanup(m.stopAndWait)
	return m
}

// until waits for a snapshot that meets a condition. what describes the condition.
func (m *testNode) until(t *testing.T, what string, condition func(Snapshot) bool) {
	t.Helper()
	timeout := time.After(testTimeout)
	for !condition(m.snapshot) {
		select {
		case m.snapshot = <-m.Snapshots():
		case <-timeout:
			t.Fatalf("%s: timeout waiting for %s: %+v, %+v", m.cfg.Name, what, m.snapshot, m.Metrics())
		}
	}
}

// eventually waits until a condition holds. what describes the condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timeout waiting for ", what)
		}
	}
}

// hasEntry reports whether a snapshot has an entry of an observer about a subject.
func hasEntry(s Snapshot, observer, subject string) bool {
	return slices.ContainsFunc(s.PeerEntries, func(e state.Entry) bool { return e.Observer == observer && e.Subject == subject })
}

// TestThreeNodesFormACluster checks that three nodes join through one seed, which starts last, receive each
// other's entries and overrides, and detect that a node leaves.
func TestThreeNodesFormACluster(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0") // finds a free address for the seed
	if err != nil {
		t.Fatal(err)
	}
	seed := probe.Addr().String()
	probe.Close()
	all := []*testNode{startNode(t, testConfig("b", seed)), startNode(t, testConfig("c", seed))}
	all[0].until(t, "isolation", func(s Snapshot) bool { return s.Isolated && all[0].Metrics().Isolations == 1 })
	seedConfig := testConfig("a", seed)
	seedConfig.Bind = seed
	all = append(all, startNode(t, seedConfig))
	for _, m := range all {
		m.Publish([]state.Observation{{Kind: state.ServerUnhealthy, Subject: "s", SubjectStartMs: 1, Body: state.Body{Fault: 1, Calls: 9, BadFraction: 1}}})
		m.until(t, "three members", func(s Snapshot) bool { return s.LiveMembers == 3 && s.LiveMembersInZone == 1 && !s.Isolated })
	}
	for _, m := range all {
		m.until(t, "the entries of the two others", func(s Snapshot) bool { return len(s.PeerEntries) == 2 })
	}
	all[0].Publish(nil)
	all[1].until(t, "the withdrawal of b's entry", func(s Snapshot) bool { return !hasEntry(s, "b", "s") && hasEntry(s, "a", "s") })
	if err := all[1].Suspend("n/1"); err != nil {
		t.Fatal(err)
	}
	for _, m := range all {
		m.until(t, "the suspension", func(s Snapshot) bool { return s.Overrides["n/1"] })
	}
	if err := all[2].Resume("n/1"); err != nil {
		t.Fatal(err)
	}
	for _, m := range all {
		m.until(t, "the resumption", func(s Snapshot) bool { on, known := s.Overrides["n/1"]; return known && !on })
	}
	all[2].stopAndWait()
	for _, m := range all[:2] {
		m.until(t, "two members", func(s Snapshot) bool { return s.LiveMembers == 2 && !hasEntry(s, "a", "s") })
	}
	if err := all[2].Suspend("n/1"); !errors.Is(err, ErrClosed) {
		t.Errorf("Suspend after Close returns %v, want ErrClosed", err)
	}
	if f := all[0].Metrics(); f.Isolated || f.BytesIn == 0 || f.BytesOut == 0 || f.Joined < 2 || f.Left != 1 || f.JoinFailures == 0 {
		t.Errorf("unexpected metrics of node b: %+v", f)
	}
}

// TestForeignTrafficIsRejected checks that traffic of another cluster or another tier, random bytes and too
// many connections are rejected and counted, and that the cluster keeps working.
func TestForeignTrafficIsRejected(t *testing.T) {
	a := startNode(t, testConfig("a"))
	b := startNode(t, testConfig("b", a.Addr()))
	b.until(t, "a", func(s Snapshot) bool { return s.LiveMembers == 2 })
	foreign, other := testConfig("c", a.Addr()), testConfig("d", a.Addr())
	foreign.Label, other.Tier = "foreign", "1"
	c, _ := startNode(t, foreign), startNode(t, other)
	eventually(t, "a rejection", func() bool { return c.Metrics().JoinFailures > 0 })
	seed := uint64(1)
	random := rand.New(rand.NewPCG(seed, seed))
	for i := range 200 {
		data := make([]byte, 1+random.IntN(3000))
		for j := range data {
			data[j] = byte(random.Uint32())
		}
		if i%2 == 0 { // after the right label
			data = append([]byte{244, 4, 't', 'e', 's', 't'}, data...)
		}
		for _, network := range []string{"udp", "tcp"} {
			if network == "tcp" && i%10 > 1 {
				continue
			}
			conn, err := net.Dial(network, a.Addr())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write(data) // the node may have closed the connection
			conn.Close()
		}
	}
	eventually(t, "the counts", func() bool {
		r := a.Metrics().Rejected
		return r[rejectLabel] > 40 && r[rejectLength] > 20 && r["member"] > 0
	})
	eventually(t, "the limit of silent connections", func() bool {
		if conn, err := net.Dial("tcp", a.Addr()); err == nil {
			t.Cleanup(func() { conn.Close() })
		}
		return a.Metrics().Rejected[rejectTooMany] > 0
	})
	if err := a.Suspend("n"); err != nil {
		t.Fatal(err)
	}
	b.until(t, "the suspension", func(s Snapshot) bool { return s.Overrides["n"] && s.LiveMembers == 2 })
	if s := c.Metrics(); s.LiveMembers != 1 || s.SuspendedServers != 0 {
		t.Errorf("the node with another label takes part in the cluster: %+v", s)
	}
}

// TestOverridesSurviveRestart checks that overrides survive a restart, that an override that cannot be stored
// is rejected and has no effect, and that a damaged file is renamed.
func TestOverridesSurviveRestart(t *testing.T) {
	cfg := testConfig("a")
	cfg.StateDir = t.TempDir()
	a := startNode(t, cfg)
	if err := errors.Join(a.Suspend("n"), a.Suspend("m"), a.Suspend("n"), a.Resume("m")); err != nil {
		t.Fatal(err)
	}
	a.stopAndWait()
	cfg.StartedAtMs++
	a = startNode(t, cfg)
	a.until(t, "the stored overrides", func(s Snapshot) bool { m, known := s.Overrides["m"]; return s.Overrides["n"] && known && !m })
	if err := os.RemoveAll(cfg.StateDir); err != nil {
		t.Fatal(err)
	}
	var storeError *StoreError
	if err := a.Suspend("o"); !errors.As(err, &storeError) {
		t.Errorf("Suspend without a state directory returns %v, want a StoreError", err)
	}
	if err := a.Resume("n"); !errors.As(err, &storeError) {
		t.Errorf("Resume without a state directory returns %v, want a StoreError", err)
	}
	<-a.Snapshots() // may be from before the calls
	a.snapshot = <-a.Snapshots()
	a.until(t, "the previous overrides", func(s Snapshot) bool { return s.Overrides["n"] && !s.Overrides["o"] })
	a.stopAndWait()
	if err := errors.Join(os.MkdirAll(cfg.StateDir, 0o700), os.WriteFile(a.overrideFile.path, []byte("fleet-hands"), 0o600)); err != nil {
		t.Fatal(err)
	}
	startNode(t, cfg)
	if _, err := os.Stat(a.overrideFile.path + ".damaged"); err != nil {
		t.Errorf("the damaged file is not renamed: %v", err)
	}
}

// TestConfigErrorsNameTheKey checks that the error of an invalid configuration names its key, and that an
// address in use gives an OpenError.
func TestConfigErrorsNameTheKey(t *testing.T) {
	for key, corrupt := range map[string]func(*Config){
		"name":      func(c *Config) { c.Name = "" },
		"label":     func(c *Config) { c.Label = "" },
		"bind":      func(c *Config) { c.Bind = "0.0.0.0:1" },
		"advertise": func(c *Config) { c.Advertise = "here" },
		"seeds":     func(c *Config) { c.Seeds = []string{"127.0.0.1:1", "127.0.0.1"} },
	} {
		cfg := testConfig("a")
		corrupt(&cfg)
		_, err := Open(cfg)
		var configError *ConfigError
		if !errors.As(err, &configError) || configError.Key != key {
			t.Errorf("invalid %s: Open returns %v", key, err)
		}
	}
	a := startNode(t, testConfig("a"))
	cfg := testConfig("b")
	cfg.Bind = a.Addr()
	var openError *OpenError
	if _, err := Open(cfg); !errors.As(err, &openError) || openError.Addr != a.Addr() {
		t.Errorf("Open with an address in use returns %v, want an OpenError", err)
	}
}

// TestConnectionsComeFromTheBoundAddress checks that connections come from the bound IP address, by which
// other members can identify the node.
func TestConnectionsComeFromTheBoundAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	cfg := testConfig("a")
	cfg.Bind = "127.0.0.77:0"
	a := startNode(t, cfg)
	conn, err := a.network.DialTimeout(listener.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if from := conn.LocalAddr().(*net.TCPAddr).IP.String(); from != "127.0.0.77" {
		t.Error("the connection comes from ", from)
	}
}

// TestEntriesOfLiveMembersOnly checks that only entries of live members are used, and only if they name the
// zone that the member announced.
func TestEntriesOfLiveMembersOnly(t *testing.T) {
	m := newLiveMembers("self", "0", nil, slog.New(slog.DiscardHandler), func() {})
	m.alive = map[string]liveMember{"a": {name: "a", zone: "north"}}
	var got []string
	for _, e := range m.filterLive([]state.Entry{{Observer: "a", ObserverZone: "north", Subject: "1"},
		{Observer: "a", ObserverZone: "south", Subject: "2"},
		{Observer: "left", ObserverZone: "north", Subject: "3"}}) {
		got = append(got, e.Subject)
	}
	if !slices.Equal(got, []string{"1"}) {
		t.Errorf("the entries about subjects %v are used, want only subject 1", got)
	}
}

// TestMessagesFromBeforeAStopAreRejected checks that messages are rejected for a short time after the process
// was stopped, because memberlist may have held them during the stop, and are accepted after that.
func TestMessagesFromBeforeAStopAreRejected(t *testing.T) {
	cfg := testConfig("a")
	var now atomic.Int64
	now.Store(1)
	cfg.Now = now.Load
	node, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	for _, step := range []struct {
		advance  time.Duration
		ticked   bool // the owner ticks before the message
		accepted bool
	}{
		{0, false, true}, {snapshotInterval, true, true}, {maxInputDelay, false, true}, {time.Microsecond, false, false},
		{time.Minute, true, false}, {snapshotInterval / 2, true, false}, {snapshotInterval / 2, true, true},
	} {
		now.Add(step.advance.Microseconds())
		if step.ticked {
			node.tick(1)
		}
		before := len(node.inbound)
		if (delegate{node}).NotifyMsg([]byte{1}); (len(node.inbound) > before) != step.accepted {
			t.Errorf("%+v: accepted %v", step, !step.accepted)
		}
	}
	if got := node.Metrics().Rejected[rejectLate]; got != 3 {
		t.Errorf("%d late messages are counted, want 3", got)
	}
}

// TestKernelWait checks that the time that a datagram waited in the kernel is measured.
func TestKernelWait(t *testing.T) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := enableTimestamps(c); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	if _, err := c.WriteTo([]byte{1}, c.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	oob := make([]byte, 64)
	time.Sleep(20 * time.Millisecond)
	_, n, _, _, err := c.ReadMsgUDPAddrPort(make([]byte, 8), oob)
	if d := kernelWait(oob[:n]); err != nil || d < 20*time.Millisecond || d > time.Since(sent) {
		t.Errorf("the datagram waited %v of %v, want 20 ms or more; error %v", d, time.Since(sent), err)
	}
}

// FuzzMeta checks that decoding any metadata is safe, and that what is decoded is within the limits.
func FuzzMeta(f *testing.F) {
	f.Add(memberMeta{metaVersion, "z", "t", 5}.encode(512))
	f.Add([]byte{0xa1, 0x01, 0x02})
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, ok := decodeMeta(b); ok && (m.Version < metaVersion || len(m.Zone) > maxNameBytes || len(m.Tier) > maxNameBytes) {
			t.Errorf("decoded metadata is out of range: %+v", m)
		}
	})
}
