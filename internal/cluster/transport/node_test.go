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

const testTimeout = 30 * time.Second // only a failing test waits so long

var start = time.Now()

func micros() int64 { return time.Since(start).Microseconds() + 1 }

// testNode is a node that runs.
type testNode struct {
	*Node
	stopAndWait func()
	snapshot    Snapshot
}

func testConfig(name string, seeds ...string) Config {
	return Config{Name: name, Zone: "z-" + name, Tier: "0", Bind: "127.0.0.1:0", Label: "test", Seeds: seeds,
		StartedAtMs: time.Now().UnixMilli(), Now: micros, Logger: slog.New(slog.DiscardHandler)}
}

func startNode(t *testing.T, cfg Config) *testNode {
	t.Helper()
	l, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); l.Run(ctx) }()
	m := &testNode{Node: l, stopAndWait: func() { cancel(); <-ended }}
	t.Cleanup(m.stopAndWait)
	return m
}

// until waits for a snapshot that meets a condition.
func (m *testNode) until(t *testing.T, what string, holds func(Snapshot) bool) {
	t.Helper()
	late := time.After(testTimeout)
	for !holds(m.snapshot) {
		select {
		case m.snapshot = <-m.Snapshots():
		case <-late:
			t.Fatalf("%s: timeout waiting for %s: %+v, %+v", m.cfg.Name, what, m.snapshot, m.Metrics())
		}
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timeout waiting for ", what)
		}
	}
}

func hasEntry(s Snapshot, observer, subject string) bool {
	return slices.ContainsFunc(s.PeerEntries, func(e state.Entry) bool { return e.Observer == observer && e.Subject == subject })
}

// Three nodes join through one seed, which starts last, receive each other's entries, and detect who leaves.
func TestThreeNodesFormACluster(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0") // reserves an address for the seed
	if err != nil {
		t.Fatal(err)
	}
	seed := probe.Addr().String()
	probe.Close()
	all := []*testNode{startNode(t, testConfig("b", seed)), startNode(t, testConfig("c", seed))}
	all[0].until(t, "isolation", func(s Snapshot) bool { return s.Isolated && all[0].Metrics().Isolations == 1 })
	first := testConfig("a", seed)
	first.Bind = seed
	all = append(all, startNode(t, first))
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
		t.Errorf("a call after Close: %v", err)
	}
	if f := all[0].Metrics(); f.Isolated || f.BytesIn == 0 || f.BytesOut == 0 || f.Joined < 2 || f.Left != 1 || f.JoinFailures == 0 {
		t.Errorf("metrics %+v", f)
	}
}

// Traffic of another cluster, another tier, or random bytes is counted and rejected, and the cluster goes on.
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
		junk := make([]byte, 1+random.IntN(3000))
		for j := range junk {
			junk[j] = byte(random.Uint32())
		}
		if i%2 == 0 { // behind the right label
			junk = append([]byte{244, 4, 't', 'e', 's', 't'}, junk...)
		}
		for _, network := range []string{"udp", "tcp"} {
			if network == "tcp" && i%10 > 1 {
				continue
			}
			conn, err := net.Dial(network, a.Addr())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write(junk) // the peer may have closed it
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
		t.Errorf("the foreign node has %+v", s)
	}
}

// An override outlives its process; one that cannot be stored is rejected and has no effect.
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
	var keep *StoreError
	if err := a.Suspend("o"); !errors.As(err, &keep) {
		t.Errorf("a suspension without a directory: %v", err)
	}
	if err := a.Resume("n"); !errors.As(err, &keep) {
		t.Errorf("a resumption without a directory: %v", err)
	}
	<-a.Snapshots() // may be an old one
	a.snapshot = <-a.Snapshots()
	a.until(t, "the previous overrides", func(s Snapshot) bool { return s.Overrides["n"] && !s.Overrides["o"] })
	a.stopAndWait()
	if err := errors.Join(os.MkdirAll(cfg.StateDir, 0o700), os.WriteFile(a.overrideFile.path, []byte("fleet-hands"), 0o600)); err != nil {
		t.Fatal(err)
	}
	startNode(t, cfg)
	if _, err := os.Stat(a.overrideFile.path + ".damaged"); err != nil {
		t.Errorf("a damaged file: %v", err)
	}
}

func TestConfigErrorsNameTheKey(t *testing.T) {
	for key, spoil := range map[string]func(*Config){
		"name":      func(c *Config) { c.Name = "" },
		"label":     func(c *Config) { c.Label = "" },
		"bind":      func(c *Config) { c.Bind = "0.0.0.0:1" },
		"advertise": func(c *Config) { c.Advertise = "here" },
		"seeds":     func(c *Config) { c.Seeds = []string{"127.0.0.1:1", "127.0.0.1"} },
	} {
		cfg := testConfig("a")
		spoil(&cfg)
		_, err := Open(cfg)
		var bad *ConfigError
		if !errors.As(err, &bad) || bad.Key != key {
			t.Errorf("%s: %v", key, err)
		}
	}
	a := startNode(t, testConfig("a"))
	cfg := testConfig("b")
	cfg.Bind = a.Addr()
	var open *OpenError
	if _, err := Open(cfg); !errors.As(err, &open) || open.Addr != a.Addr() {
		t.Errorf("an address in use: %v", err)
	}
}

// Other members can identify a connection by its source address.
func TestConnectionsComeFromTheBoundAddress(t *testing.T) {
	there, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	cfg := testConfig("a")
	cfg.Bind = "127.0.0.77:0"
	a := startNode(t, cfg)
	conn, err := a.network.DialTimeout(there.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if from := conn.LocalAddr().(*net.TCPAddr).IP.String(); from != "127.0.0.77" {
		t.Error("from ", from)
	}
}

// Only entries of live members are used, and only if they name the zone that the member announced.
func TestEntriesOfLiveMembersOnly(t *testing.T) {
	m := newLiveMembers("self", "0", nil, slog.New(slog.DiscardHandler), func() {})
	m.alive = map[string]liveMember{"a": {name: "a", zone: "north"}}
	var got []string
	for _, e := range m.filterLive([]state.Entry{{Observer: "a", ObserverZone: "north", Subject: "1"}, {Observer: "a", ObserverZone: "south", Subject: "2"},
		{Observer: "left", ObserverZone: "north", Subject: "3"}}) {
		got = append(got, e.Subject)
	}
	if !slices.Equal(got, []string{"1"}) {
		t.Errorf("used %v", got)
	}
}

// After the process was stopped, messages that memberlist still held are rejected for a moment; then they are accepted.
func TestMessagesFromBeforeAStopAreRejected(t *testing.T) {
	cfg := testConfig("a")
	var now atomic.Int64
	now.Store(1)
	cfg.Now = now.Load
	l, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, step := range []struct {
		forth time.Duration
		look  bool // the owner ticks before the message
		taken bool
	}{
		{0, false, true}, {snapshotInterval, true, true}, {maxInputDelay, false, true}, {time.Microsecond, false, false},
		{time.Minute, true, false}, {snapshotInterval / 2, true, false}, {snapshotInterval / 2, true, true},
	} {
		now.Add(step.forth.Microseconds())
		if step.look {
			l.tick(1)
		}
		before := len(l.inbound)
		if (delegate{l}).NotifyMsg([]byte{1}); (len(l.inbound) > before) != step.taken {
			t.Errorf("%+v: taken %v", step, !step.taken)
		}
	}
	if got := l.Metrics().Rejected[rejectLate]; got != 3 {
		t.Errorf("%d are counted", got)
	}
}

// The time that a datagram waited in the kernel is known.
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
		t.Errorf("waited %v of %v, %v", d, time.Since(sent), err)
	}
}

// Any metadata is safe to read, and what is read is bounded.
func FuzzMeta(f *testing.F) {
	f.Add(memberMeta{metaVersion, "z", "t", 5}.encode(512))
	f.Add([]byte{0xa1, 0x01, 0x02})
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, ok := decodeMeta(b); ok && (m.Version < metaVersion || len(m.Zone) > maxNameBytes || len(m.Tier) > maxNameBytes) {
			t.Errorf("read %+v", m)
		}
	})
}
