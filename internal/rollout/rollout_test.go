package rollout

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/atomicfile"
	"merlinpick/internal/failover"
)

const promised = 9 * time.Second

// The table in rollout.go: how long a change takes, whatever the members are as it is made. All of it is under the
// operators' 9 s.
func TestHowLongAChangeTakes(t *testing.T) {
	const (
		H, S, P, C = LongPollTimeout, slack, failover.Jitter, callWait
		ms         = time.Millisecond
	)
	// strike makes of the member that is watched, and of those that are asked after it, what is listed.
	strike := func(s *service, c *Client, states ...string) {
		order := failover.NewRing(c.cfg.Members, rand.New(rand.NewPCG(c.cfg.Seed, 29)), pauseMost) // as the client drew it
		for order.Current() != s.watched() {
			order.RecordFailure()
		}
		for _, state := range states {
			s.set(func(name string, m *fake) {
				if name == order.Current() {
					m.state = state
				}
			})
			order.RecordFailure()
		}
	}
	for _, c := range []struct {
		name   string
		states []string // of the watched member, and of the next
		bound  time.Duration
		last   time.Duration // of the bound, what the answer itself may take: nothing here
	}{
		{"it tells", []string{well}, 0, 0},
		{"it dies", []string{dead}, P + C, C},
		{"it has lost the leader", []string{lost}, P + C, C},
		{"it falls silent", []string{silent}, H + S + P + C, C},
		{"it falls silent, and the next", []string{silent, silent}, H + S + 2*(P+C), C},
		{"it dies, and the next falls silent", []string{dead, silent}, 2 * (P + C), C},
		{"it is cut off", []string{cut}, stale + P + C, C},
		{"it is cut off, the next is silent", []string{cut, silent}, stale + 2*(P+C), C},
		{"it is garbled", []string{garbled}, P + C, C},
	} {
		if c.bound >= promised {
			t.Errorf("%s: %v is written down, and %v promised", c.name, c.bound, promised)
		}
		worst := time.Duration(0)
		bubble(t, c.name, func(t *testing.T) {
			for seed := range uint64(40) {
				s := newService(10)
				client, a := s.client(t, seed, "", nil)
				sleep(time.Duration(7000+137*seed) * ms)
				for _, before := s.heard(); ; { // the worst moment: a watch has just begun
					if _, calls := s.heard(); calls > before {
						break
					}
					sleep(ms)
				}
				strike(s, client, c.states...)
				changed := time.Now()
				s.put(11)
				sleep(30 * time.Second)
				text1, at, _ := a.now()
				if took := at.Sub(changed); text1 != text(11) || took < 0 || took > c.bound-c.last {
					t.Errorf("seed %d: %s in force after %v, %v is written down", seed, text1, took, c.bound)
				} else {
					worst = max(worst, took)
				}
			}
		})
		if least := c.bound - c.last - P; worst < least*9/10 {
			t.Errorf("%s: %v at most, and %v is written down: the test does not strike", c.name, worst, c.bound)
		}
		t.Logf("%s: %v at most of 40, %v written down", c.name, worst, c.bound)
	}
	// After a time without any member; one of them stays silent, or none.
	for _, c := range []struct {
		stays string
		bound time.Duration
	}{{well, pauseMost + 2*C}, {silent, 2 * (pauseMost + 2*C)}} {
		bubble(t, "all are away, then back but for one "+c.stays, func(t *testing.T) {
			for seed := range uint64(40) {
				s := newService(10)
				_, a := s.client(t, seed, "", nil)
				sleep(7 * time.Second)
				s.set(func(_ string, m *fake) { m.state = dead })
				sleep(time.Minute + time.Duration(seed)*100*ms)
				s.put(11)
				s.set(func(name string, m *fake) {
					if m.state = well; name == "m1" {
						m.state = c.stays
					}
				})
				back := time.Now()
				sleep(30 * time.Second)
				if text1, at, _ := a.now(); text1 != text(11) || at.Sub(back) > c.bound || c.bound >= promised {
					t.Errorf("seed %d: %s in force after %v, %v is written down", seed, text1, at.Sub(back), c.bound)
				}
			}
		})
	}
}

// What is in force, or refused, is said with the next call; a refused document changes nothing and is not tried again.
func TestWhatIsSaid(t *testing.T) {
	bubble(t, "in force and refused", func(t *testing.T) {
		s := newService(10)
		c, a := s.client(t, 1, "", nil)
		sleep(time.Second)
		if said, _ := s.heard(); said["name"] != "p1" || said["in_force"] != "10" || said["refused"] != "" {
			t.Errorf("said %v", said)
		}
		a.refuse(`11`)
		s.put(11)
		sleep(time.Minute)
		said, _ := s.heard()
		if now, _, n := a.now(); now != text(10) || n != 1 || a.tried != 2 || said["in_force"] != "10" || said["refused"] != "11" ||
			said["why"] != "settings.x: is refused" {
			t.Errorf("%s in force, %d tried, said %v", now, a.tried, said)
		}
		if f := c.Metrics(); f.Version != 10 || f.RejectedVersion != 11 || f.Applied != 1 || f.Age > LongPollTimeout {
			t.Errorf("%+v", f)
		}
		a.refuse("")
		c.RetryRejected() // what it is put above has changed
		sleep(LongPollTimeout)
		if f := c.Metrics(); f.Version != 11 || f.RejectedVersion != 0 {
			t.Errorf("%+v", f)
		}
		a.refuse(`12`)
		s.put(12)
		sleep(time.Second)
		s.put(13)
		sleep(time.Second)
		if said, _ := s.heard(); said["in_force"] != "13" || said["refused"] != "" || said["why"] != "" {
			t.Errorf("said %v", said)
		}
	})
	bubble(t, "30 changes within a minute, and each is in force at once", func(t *testing.T) {
		s := newService(10)
		_, a := s.client(t, 1, "", nil)
		sleep(time.Second)
		_, before := s.heard()
		for v := int64(11); v <= 40; v++ {
			s.put(v)
			sleep(2 * time.Second)
			if now, _, _ := a.now(); now != text(v) {
				t.Errorf("%s in force, %d was put", now, v)
			}
		}
		if _, calls := s.heard(); calls-before > 2*30 {
			t.Errorf("%d calls for 30 changes", calls-before)
		}
	})
	bubble(t, "few calls are made, also of a member that holds no watch, and while none answers", func(t *testing.T) {
		s := newService(10)
		_, a := s.client(t, 1, "", nil)
		for _, c := range []struct {
			state string
			most  int // in 10 minutes
		}{{well, 300}, {hasty, 4000}, {dead, 700}, {silent, 700}} {
			s.set(func(_ string, m *fake) { m.state = c.state })
			sleep(time.Minute)
			_, before := s.heard()
			sleep(10 * time.Minute)
			if _, calls := s.heard(); calls-before > c.most || calls-before < 100 {
				t.Errorf("%s: %d calls in 10 minutes", c.state, calls-before)
			}
		}
		if now, _, n := a.now(); now != text(10) || n != 1 {
			t.Errorf("%s is in force, %d applied", now, n)
		}
	})
	bubble(t, "other members are asked once they are named", func(t *testing.T) {
		s := newService(10)
		s.members["n1"] = &fake{line: "one", version: 12, text: text(12)}
		c, a := s.client(t, 1, "", nil)
		sleep(time.Second)
		c.SetMembers([]string{"n1"})
		sleep(LongPollTimeout + slack)
		if now, _, _ := a.now(); now != text(12) || s.watched() != "n1" {
			t.Errorf("%s in force, %s asked", now, s.watched())
		}
	})
}

// Which versions are believed.
func TestLines(t *testing.T) {
	bubble(t, "nothing older within a line", func(t *testing.T) {
		s := newService(10)
		_, a := s.client(t, 1, "", nil)
		sleep(time.Second)
		at := s.watched()
		s.set(func(name string, m *fake) {
			if m.version, m.text, m.state = 9, text(9), brazen; name == at {
				m.state = dead
			}
		})
		sleep(time.Minute)
		if now, _, n := a.now(); now != text(10) || n != 1 {
			t.Errorf("%s in force", now)
		}
	})
	bubble(t, "a restored service, whose versions lie above, counts at once, and what is the same is not applied again", func(t *testing.T) {
		s := newService(10)
		c, a := s.client(t, 1, "", nil)
		sleep(time.Second)
		s.set(func(_ string, m *fake) { m.line, m.version, m.text = "two", 1000, text(10) })
		sleep(time.Second)
		if now, _, n := a.now(); now != text(10) || n != 1 || c.Metrics().Version != 1000 {
			t.Errorf("%s in force, %d applied, %+v", now, n, c.Metrics())
		}
		s.set(func(_ string, m *fake) { m.version, m.text = 1001, text(7) })
		sleep(time.Second)
		if now, _, _ := a.now(); now != text(7) {
			t.Errorf("%s in force", now)
		}
	})
	bubble(t, "a service that begins empty takes nothing away, and its first configuration counts", func(t *testing.T) {
		s := newService(10)
		c, a := s.client(t, 1, "", nil)
		sleep(time.Second)
		s.set(func(_ string, m *fake) { m.line, m.version, m.text = "two", 0, "" })
		sleep(time.Minute)
		if now, _, n := a.now(); now != text(10) || n != 1 || c.Metrics().Version != 10 || c.Metrics().Age > LongPollTimeout {
			t.Errorf("%s in force, %+v", now, c.Metrics())
		}
		s.set(func(_ string, m *fake) { m.version, m.text = 2000, text(2000) })
		sleep(time.Second)
		if now, _, _ := a.now(); now != text(2000) {
			t.Errorf("%s in force", now)
		}
	})
	bubble(t, "a line below counts when nobody answers for the one before", func(t *testing.T) {
		s := newService(10)
		_, a := s.client(t, 1, "", nil)
		sleep(time.Second)
		s.set(func(_ string, m *fake) { m.line, m.version, m.text = "zero", 5, text(5) })
		sleep(failover.EpochWait - LongPollTimeout)
		if now, _, _ := a.now(); now != text(10) {
			t.Errorf("%s in force", now)
		}
		sleep(LongPollTimeout + 2*pauseMost)
		if now, _, _ := a.now(); now != text(5) {
			t.Errorf("%s in force", now)
		}
	})
}

// What is in force outlives the process, and nothing else passes for it.
func TestWhatIsKept(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	if k, err := LoadCached(dir, "tarifas"); k != nil || err != nil {
		t.Errorf("of nothing came %+v, %v", k, err)
	}
	bubble(t, "the newest in force, not what was refused", func(t *testing.T) {
		s := newService(10)
		_, a := s.client(t, 1, dir, nil)
		sleep(time.Second)
		s.put(11)
		sleep(2 * time.Second)
		a.refuse("12")
		s.put(12)
		sleep(2 * time.Second)
	})
	k, err := LoadCached(dir, "tarifas")
	if err != nil || k == nil || k.Version != 11 || k.Epoch != "one" || string(k.Document) != text(11) {
		t.Fatalf("got %+v, %v", k, err)
	}
	bubble(t, "a client goes on from it", func(t *testing.T) {
		s := newService(11)
		c, a := s.client(t, 1, "", k)
		sleep(time.Minute)
		if _, _, n := a.now(); n != 0 || c.Metrics().Version != 11 {
			t.Errorf("%d applied, %+v", n, c.Metrics())
		}
		s.put(12)
		sleep(time.Second)
		if now, _, _ := a.now(); now != text(12) {
			t.Errorf("%s in force", now)
		}
	})
	bubble(t, "one that could not be put in force at the start is told so", func(t *testing.T) {
		s := newService(11)
		a := &applied{}
		c := New(Config{Service: "tarifas", ProxyName: "p1", Members: []string{"m1"}, Logger: slog.New(slog.DiscardHandler)}, a)
		c.http.Transport = s
		c.SetInitial(k, errors.New(strings.Repeat("x", 300)))
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); c.Run(ctx) }()
		sleep(time.Second)
		if said, _ := s.heard(); said["in_force"] != "0" || said["refused"] != "11" || len(said["why"]) != whyMost {
			t.Errorf("said %v", said)
		}
		stop()
		<-ended
	})
	if k, err := LoadCached(dir, "another"); k != nil || err != nil {
		t.Errorf("of another service came %+v, %v", k, err)
	}
	path := filepath.Join(dir, keptFile)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, spoilt := range [][]byte{nil, whole[:len(whole)-1], bytes.Replace(whole, []byte("11"), []byte("12"), 1),
		atomicfile.Seal(keptKind, []byte(`{"service":"tarifas"}`)), atomicfile.Seal("proxy-list", whole)} {
		if err := os.WriteFile(path, spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		k, err := LoadCached(dir, "tarifas")
		if _, gone := os.Stat(path); k != nil || !errors.Is(err, atomicfile.ErrDamaged) || !errors.Is(gone, os.ErrNotExist) {
			t.Errorf("%q: got %+v, %v", spoilt, k, err)
		}
		if text, err := os.ReadFile(path + aside); err != nil || !bytes.Equal(text, spoilt) {
			t.Errorf("%q was not set aside: %v", spoilt, err)
		}
	}
}
