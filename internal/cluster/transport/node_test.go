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

const patience = 30 * time.Second // for what takes a second or two

var start = time.Now()

func micros() int64 { return time.Since(start).Microseconds() + 1 }

// member is a link that runs.
type member struct {
	*Node
	stop func() // and wait for its end
	last Snapshot
}

func config(name string, seeds ...string) Config {
	return Config{Name: name, Zone: "z-" + name, Tier: "0", Bind: "127.0.0.1:0", Label: "test", Seeds: seeds,
		StartedAtMs: time.Now().UnixMilli(), Now: micros, Logger: slog.New(slog.DiscardHandler)}
}

func run(t *testing.T, cfg Config) *member {
	t.Helper()
	l, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); l.Run(ctx) }()
	m := &member{Node: l, stop: func() { cancel(); <-ended }}
	t.Cleanup(m.stop)
	return m
}

// until waits for a snapshot that shows what is wanted.
func (m *member) until(t *testing.T, what string, holds func(Snapshot) bool) {
	t.Helper()
	late := time.After(patience)
	for !holds(m.last) {
		select {
		case m.last = <-m.Snapshots():
		case <-late:
			t.Fatalf("%s: waited in vain for %s: %+v, %+v", m.cfg.Name, what, m.last, m.Metrics())
		}
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain for ", what)
		}
	}
}

func says(s Snapshot, observer, subject string) bool {
	return slices.ContainsFunc(s.PeerEntries, func(e state.Entry) bool { return e.Observer == observer && e.Subject == subject })
}

// Three find each other from one seed, which starts last, hear what each says, and notice who leaves.
func TestThreeBecomeAFleet(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0") // an address for the seed
	if err != nil {
		t.Fatal(err)
	}
	seed := probe.Addr().String()
	probe.Close()
	all := []*member{run(t, config("b", seed)), run(t, config("c", seed))}
	all[0].until(t, "a word that it is alone", func(s Snapshot) bool { return s.Isolated && all[0].Metrics().Isolations == 1 })
	first := config("a", seed)
	first.Bind = seed
	all = append(all, run(t, first))
	for _, m := range all {
		m.Publish([]state.Observation{{Kind: state.ServerUnhealthy, Subject: "s", SubjectStartMs: 1, Body: state.Body{Fault: 1, Calls: 9, BadFraction: 1}}})
		m.until(t, "all three", func(s Snapshot) bool { return s.LiveMembers == 3 && s.LiveMembersInZone == 1 && !s.Isolated })
	}
	for _, m := range all {
		m.until(t, "what the two others say", func(s Snapshot) bool { return len(s.PeerEntries) == 2 })
	}
	all[0].Publish(nil)
	all[1].until(t, "what b said to be taken back", func(s Snapshot) bool { return !says(s, "b", "s") && says(s, "a", "s") })
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
		m.until(t, "its end", func(s Snapshot) bool { on, known := s.Overrides["n/1"]; return known && !on })
	}
	all[2].stop()
	for _, m := range all[:2] {
		m.until(t, "two living", func(s Snapshot) bool { return s.LiveMembers == 2 && !says(s, "a", "s") })
	}
	if err := all[2].Suspend("n/1"); !errors.Is(err, ErrClosed) {
		t.Errorf("a call after the end: %v", err)
	}
	if f := all[0].Metrics(); f.Isolated || f.BytesIn == 0 || f.BytesOut == 0 || f.Joined < 2 || f.Left != 1 || f.JoinFailures == 0 {
		t.Errorf("figures %+v", f)
	}
}

// Of a foreign fleet, of another tier, or no message at all: it is counted, and the fleet stands.
func TestStrangersAreRefused(t *testing.T) {
	a := run(t, config("a"))
	b := run(t, config("b", a.Addr()))
	b.until(t, "a", func(s Snapshot) bool { return s.LiveMembers == 2 })
	foreign, other := config("c", a.Addr()), config("d", a.Addr())
	foreign.Label, other.Tier = "foreign", "1"
	c, _ := run(t, foreign), run(t, other)
	eventually(t, "a refusal", func() bool { return c.Metrics().JoinFailures > 0 })
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
			_, _ = conn.Write(junk) // the other end may have closed it
			conn.Close()
		}
	}
	eventually(t, "the counts", func() bool {
		r := a.Metrics().Rejected
		return r[rejectLabel] > 40 && r[rejectLength] > 20 && r["member"] > 0
	})
	eventually(t, "a bound on connections that say nothing", func() bool {
		if conn, err := net.Dial("tcp", a.Addr()); err == nil {
			t.Cleanup(func() { conn.Close() })
		}
		return a.Metrics().Rejected[rejectMany] > 0
	})
	if err := a.Suspend("n"); err != nil {
		t.Fatal(err)
	}
	b.until(t, "the suspension", func(s Snapshot) bool { return s.Overrides["n"] && s.LiveMembers == 2 })
	if s := c.Metrics(); s.LiveMembers != 1 || s.SuspendedServers != 0 {
		t.Errorf("the foreign one knows %+v", s)
	}
}

// A suspension outlives its process; one that cannot be kept is a no and does not hold.
func TestHandsAreKept(t *testing.T) {
	cfg := config("a")
	cfg.StateDir = t.TempDir()
	a := run(t, cfg)
	if err := errors.Join(a.Suspend("n"), a.Suspend("m"), a.Suspend("n"), a.Resume("m")); err != nil {
		t.Fatal(err)
	}
	a.stop()
	cfg.StartedAtMs++
	a = run(t, cfg)
	a.until(t, "what was kept", func(s Snapshot) bool { m, known := s.Overrides["m"]; return s.Overrides["n"] && known && !m })
	if err := os.RemoveAll(cfg.StateDir); err != nil {
		t.Fatal(err)
	}
	var keep *StoreError
	if err := a.Suspend("o"); !errors.As(err, &keep) {
		t.Errorf("a suspension without a folder: %v", err)
	}
	if err := a.Resume("n"); !errors.As(err, &keep) {
		t.Errorf("an end without a folder: %v", err)
	}
	<-a.Snapshots() // from before, perhaps
	a.last = <-a.Snapshots()
	a.until(t, "what held before", func(s Snapshot) bool { return s.Overrides["n"] && !s.Overrides["o"] })
	a.stop()
	if err := errors.Join(os.MkdirAll(cfg.StateDir, 0o700), os.WriteFile(a.overrideFile.path, []byte("fleet-hands"), 0o600)); err != nil {
		t.Fatal(err)
	}
	run(t, cfg)
	if _, err := os.Stat(a.overrideFile.path + ".damaged"); err != nil {
		t.Errorf("a damaged file: %v", err)
	}
}

func TestErrorsTellTheKey(t *testing.T) {
	for key, spoil := range map[string]func(*Config){
		"name":      func(c *Config) { c.Name = "" },
		"label":     func(c *Config) { c.Label = "" },
		"bind":      func(c *Config) { c.Bind = "0.0.0.0:1" },
		"advertise": func(c *Config) { c.Advertise = "here" },
		"seeds":     func(c *Config) { c.Seeds = []string{"127.0.0.1:1", "127.0.0.1"} },
	} {
		cfg := config("a")
		spoil(&cfg)
		_, err := Open(cfg)
		var bad *ConfigError
		if !errors.As(err, &bad) || bad.Key != key {
			t.Errorf("%s: %v", key, err)
		}
	}
	a := run(t, config("a"))
	cfg := config("b")
	cfg.Bind = a.Addr()
	var open *OpenError
	if _, err := Open(cfg); !errors.As(err, &open) || open.Addr != a.Addr() {
		t.Errorf("an address in use: %v", err)
	}
}

// Others can tell by the address where a connection comes from.
func TestConnectionsComeFromTheBoundAddress(t *testing.T) {
	there, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	cfg := config("a")
	cfg.Bind = "127.0.0.77:0"
	a := run(t, cfg)
	conn, err := a.network.DialTimeout(there.Addr().String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if from := conn.LocalAddr().(*net.TCPAddr).IP.String(); from != "127.0.0.77" {
		t.Error("from ", from)
	}
}

// Only what a living member tells, of the zone that it says it is in, is acted on.
func TestWhoIsHeard(t *testing.T) {
	m := newMemberList("self", "0", nil, slog.New(slog.DiscardHandler), func() {})
	m.alive = map[string]Member{"a": {Name: "a", Zone: "north"}}
	var got []string
	for _, e := range m.ofLiveMembers([]state.Entry{{Observer: "a", ObserverZone: "north", Subject: "1"}, {Observer: "a", ObserverZone: "south", Subject: "2"},
		{Observer: "left", ObserverZone: "north", Subject: "3"}}) {
		got = append(got, e.Subject)
	}
	if !slices.Equal(got, []string{"1"}) {
		t.Errorf("acted on %v", got)
	}
}

// After a stop, what memberlist still held is not read for a moment; then all is as before.
func TestAStopIsNoticed(t *testing.T) {
	cfg := config("a")
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
		look  bool // the owner gets to its tick before the message
		taken bool
	}{
		{0, false, true}, {snapshotInterval, true, true}, {maxKernelWait, false, true}, {time.Microsecond, false, false},
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

// A datagram's wait in the kernel is known.
func TestWaited(t *testing.T) {
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
	_ = c.SetReadDeadline(time.Now().Add(patience))
	oob := make([]byte, 64)
	time.Sleep(20 * time.Millisecond)
	_, n, _, _, err := c.ReadMsgUDPAddrPort(make([]byte, 8), oob)
	if d := kernelWait(oob[:n]); err != nil || d < 20*time.Millisecond || d > time.Since(sent) {
		t.Errorf("waited %v of %v, %v", d, time.Since(sent), err)
	}
}

// Whatever a member tells of itself is safe to read, and what is read is bounded.
func FuzzMeta(f *testing.F) {
	f.Add(memberMeta{metaVersion, "z", "t", 5}.encode(512))
	f.Add([]byte{0xa1, 0x01, 0x02})
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, ok := decodeMeta(b); ok && (m.Version < metaVersion || len(m.Zone) > maxNameBytes || len(m.Tier) > maxNameBytes) {
			t.Errorf("read %+v", m)
		}
	})
}
