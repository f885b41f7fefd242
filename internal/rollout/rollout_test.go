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

const documentedBound = 9 * time.Second // bound required by operators

// A change is applied within the times of the table in rollout.go, whatever the state of the members. All of
// these times are below the operators' bound of 9 s.
func TestChangeIsAppliedWithinBound(t *testing.T) {
	const (
		H, S, P, C = LongPollTimeout, watchSlack, failover.Jitter, callTimeout
		ms         = time.Millisecond
	)
	// setStates sets the states of the watched member and of the members that the client calls after it.
	setStates := func(registry *fakeRegistry, c *Client, states ...string) {
		// The members in the client's order.
		ring := failover.NewRing(c.cfg.Members, rand.New(rand.NewPCG(c.cfg.Seed, 29)), maxBackoff)
		for ring.Current() != registry.lastCalled() {
			ring.RecordFailure()
		}
		for _, state := range states {
			registry.set(func(name string, m *fakeMember) {
				if name == ring.Current() {
					m.state = state
				}
			})
			ring.RecordFailure()
		}
	}
	for _, c := range []struct {
		name       string
		states     []string // of the watched member and of the next one
		bound      time.Duration
		lastAnswer time.Duration // part of the bound for the last answer, which takes no time in the test
	}{
		{"it answers", []string{healthy}, 0, 0},
		{"it dies", []string{dead}, P + C, C},
		{"it has lost the leader", []string{leaderLost}, P + C, C},
		{"it falls silent", []string{silent}, H + S + P + C, C},
		{"it falls silent, and the next", []string{silent, silent}, H + S + 2*(P+C), C},
		{"it dies, and the next falls silent", []string{dead, silent}, 2 * (P + C), C},
		{"it is cut off", []string{partitioned}, maxStaleness + P + C, C},
		{"it is cut off, the next is silent", []string{partitioned, silent}, maxStaleness + 2*(P+C), C},
		{"it is garbled", []string{malformed}, P + C, C},
	} {
		if c.bound >= documentedBound {
			t.Errorf("%s: the documented time %v is not below the operators' bound %v",
				c.name, c.bound, documentedBound)
		}
		worst := time.Duration(0)
		bubble(t, c.name, func(t *testing.T) {
			for seed := range uint64(40) {
				registry := newFakeRegistry(10)
				client, applier := registry.client(t, seed, "", nil)
				sleep(time.Duration(7000+137*seed) * ms)
				// Wait for the worst moment for the fault: a watch has just started.
				for _, before := registry.reports(); ; {
					if _, calls := registry.reports(); calls > before {
						break
					}
					sleep(ms)
				}
				setStates(registry, client, c.states...)
				changed := time.Now()
				registry.publish(11)
				sleep(30 * time.Second)
				document, at, _ := applier.current()
				if took := at.Sub(changed); document != documentOf(11) || took < 0 ||
					took > c.bound-c.lastAnswer {
					t.Errorf("seed %d: got %s after %v, documented time is %v",
						seed, document, took, c.bound)
				} else {
					worst = max(worst, took)
				}
			}
		})
		if least := c.bound - c.lastAnswer - P; worst < least*9/10 {
			t.Errorf("%s: took at most %v of the documented %v: the fault has no effect",
				c.name, worst, c.bound)
		}
		t.Logf("%s: took at most %v in 40 runs, documented time is %v", c.name, worst, c.bound)
	}
	// After an outage of all members, all of them are back, or all but one, which stays silent.
	for _, c := range []struct {
		oneState string
		bound    time.Duration
	}{{healthy, maxBackoff + 2*C}, {silent, 2 * (maxBackoff + 2*C)}} {
		bubble(t, "all are down, then back but for one "+c.oneState, func(t *testing.T) {
			for seed := range uint64(40) {
				registry := newFakeRegistry(10)
				_, applier := registry.client(t, seed, "", nil)
				sleep(7 * time.Second)
				registry.set(func(_ string, m *fakeMember) { m.state = dead })
				sleep(time.Minute + time.Duration(seed)*100*ms)
				registry.publish(11)
				registry.set(func(name string, m *fakeMember) {
					if m.state = healthy; name == "m1" {
						m.state = c.oneState
					}
				})
				back := time.Now()
				sleep(30 * time.Second)
				if document, at, _ := applier.current(); document != documentOf(11) ||
					at.Sub(back) > c.bound || c.bound >= documentedBound {
					t.Errorf("seed %d: got %s after %v, documented time is %v",
						seed, document, at.Sub(back), c.bound)
				}
			}
		})
	}
}

// The client reports the applied or rejected version with its next call. A rejected document changes nothing
// and is not retried by itself.
func TestReports(t *testing.T) {
	bubble(t, "applied and rejected", func(t *testing.T) {
		registry := newFakeRegistry(10)
		c, applier := registry.client(t, 1, "", nil)
		sleep(time.Second)
		if reported, _ := registry.reports(); reported["name"] != "p1" ||
			reported["in_force"] != "10" || reported["refused"] != "" {
			t.Errorf("reported %v", reported)
		}
		applier.reject(`11`)
		registry.publish(11)
		sleep(time.Minute)
		reported, _ := registry.reports()
		if now, _, count := applier.current(); now != documentOf(10) || count != 1 || applier.attempts != 2 ||
			reported["in_force"] != "10" || reported["refused"] != "11" ||
			reported["why"] != "settings.x: is refused" {
			t.Errorf("applied %s after %d attempts, reported %v", now, applier.attempts, reported)
		}
		if f := c.Metrics(); f.Version != 10 || f.RejectedVersion != 11 || f.Applied != 1 || f.Age > LongPollTimeout {
			t.Errorf("after a rejected document: metrics %+v", f)
		}
		applier.reject("")
		c.RetryRejected() // the proxy's own file has changed
		sleep(LongPollTimeout)
		if f := c.Metrics(); f.Version != 11 || f.RejectedVersion != 0 {
			t.Errorf("after the document was accepted on a retry: metrics %+v", f)
		}
		applier.reject(`12`)
		registry.publish(12)
		sleep(time.Second)
		registry.publish(13)
		sleep(time.Second)
		if reported, _ := registry.reports(); reported["in_force"] != "13" ||
			reported["refused"] != "" || reported["why"] != "" {
			t.Errorf("reported %v", reported)
		}
	})
	bubble(t, "30 changes within a minute, each applied at once", func(t *testing.T) {
		registry := newFakeRegistry(10)
		_, applier := registry.client(t, 1, "", nil)
		sleep(time.Second)
		_, before := registry.reports()
		for v := int64(11); v <= 40; v++ {
			registry.publish(v)
			sleep(2 * time.Second)
			if now, _, _ := applier.current(); now != documentOf(v) {
				t.Errorf("applied %s, want version %d", now, v)
			}
		}
		if _, calls := registry.reports(); calls-before > 2*30 {
			t.Errorf("%d calls for 30 changes", calls-before)
		}
	})
	bubble(t, "few calls are made, also of a member that holds no watch, and while none answers", func(t *testing.T) {
		registry := newFakeRegistry(10)
		_, applier := registry.client(t, 1, "", nil)
		for _, c := range []struct {
			state string
			most  int // calls in 10 minutes
		}{{healthy, 300}, {holdsNoWatch, 4000}, {dead, 700}, {silent, 700}} {
			registry.set(func(_ string, m *fakeMember) { m.state = c.state })
			sleep(time.Minute)
			_, before := registry.reports()
			sleep(10 * time.Minute)
			if _, calls := registry.reports(); calls-before > c.most || calls-before < 100 {
				t.Errorf("members in state %q: %d calls in 10 minutes", c.state, calls-before)
			}
		}
		if now, _, n := applier.current(); now != documentOf(10) || n != 1 {
			t.Errorf("applied %s, %d documents in all", now, n)
		}
	})
	bubble(t, "other members are called after SetMembers", func(t *testing.T) {
		registry := newFakeRegistry(10)
		registry.members["n1"] = &fakeMember{epoch: "one", version: 12, document: documentOf(12)}
		c, applier := registry.client(t, 1, "", nil)
		sleep(time.Second)
		c.SetMembers([]string{"n1"})
		sleep(LongPollTimeout + watchSlack)
		if now, _, _ := applier.current(); now != documentOf(12) || registry.lastCalled() != "n1" {
			t.Errorf("applied %s, called %s", now, registry.lastCalled())
		}
	})
}

// Older versions are rejected within an epoch. Another epoch is accepted at once with higher versions, and
// after EpochWait with lower ones. An empty registry changes nothing.
func TestEpochs(t *testing.T) {
	bubble(t, "nothing older within an epoch", func(t *testing.T) {
		registry := newFakeRegistry(10)
		_, applier := registry.client(t, 1, "", nil)
		sleep(time.Second)
		at := registry.lastCalled()
		registry.set(func(name string, m *fakeMember) {
			if m.version, m.document, m.state = 9, documentOf(9), answersOlder; name == at {
				m.state = dead
			}
		})
		sleep(time.Minute)
		if now, _, n := applier.current(); now != documentOf(10) || n != 1 {
			t.Errorf("applied %s", now)
		}
	})
	bubble(t, "an epoch with higher versions is accepted at once, and the same document is not applied again", func(t *testing.T) {
		registry := newFakeRegistry(10)
		c, applier := registry.client(t, 1, "", nil)
		sleep(time.Second)
		registry.set(func(_ string, m *fakeMember) { m.epoch, m.version, m.document = "two", 1000, documentOf(10) })
		sleep(time.Second)
		if now, _, n := applier.current(); now != documentOf(10) || n != 1 || c.Metrics().Version != 1000 {
			t.Errorf("applied %s, %d documents in all, %+v", now, n, c.Metrics())
		}
		registry.set(func(_ string, m *fakeMember) { m.version, m.document = 1001, documentOf(7) })
		sleep(time.Second)
		if now, _, _ := applier.current(); now != documentOf(7) {
			t.Errorf("applied %s", now)
		}
	})
	bubble(t, "an empty registry removes nothing, and its first configuration is accepted", func(t *testing.T) {
		registry := newFakeRegistry(10)
		c, applier := registry.client(t, 1, "", nil)
		sleep(time.Second)
		registry.set(func(_ string, m *fakeMember) { m.epoch, m.version, m.document = "two", 0, "" })
		sleep(time.Minute)
		if now, _, n := applier.current(); now != documentOf(10) || n != 1 || c.Metrics().Version != 10 || c.Metrics().Age > LongPollTimeout {
			t.Errorf("applied %s, %+v", now, c.Metrics())
		}
		registry.set(func(_ string, m *fakeMember) { m.version, m.document = 2000, documentOf(2000) })
		sleep(time.Second)
		if now, _, _ := applier.current(); now != documentOf(2000) {
			t.Errorf("applied %s", now)
		}
	})
	bubble(t, "an epoch with lower versions is accepted once nobody confirms the former", func(t *testing.T) {
		registry := newFakeRegistry(10)
		_, applier := registry.client(t, 1, "", nil)
		sleep(time.Second)
		registry.set(func(_ string, m *fakeMember) { m.epoch, m.version, m.document = "zero", 5, documentOf(5) })
		sleep(failover.EpochWait - LongPollTimeout)
		if now, _, _ := applier.current(); now != documentOf(10) {
			t.Errorf("applied %s", now)
		}
		sleep(LongPollTimeout + 2*maxBackoff)
		if now, _, _ := applier.current(); now != documentOf(5) {
			t.Errorf("applied %s", now)
		}
	})
}

// The applied configuration is cached for the next process. Damaged files and those of another kind or
// service are not used.
func TestCachedConfig(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	if cached, err := LoadCached(dir, "tarifas"); cached != nil || err != nil {
		t.Errorf("without a file: %+v, %v", cached, err)
	}
	bubble(t, "the latest applied one, not the rejected one", func(t *testing.T) {
		registry := newFakeRegistry(10)
		_, applier := registry.client(t, 1, dir, nil)
		sleep(time.Second)
		registry.publish(11)
		sleep(2 * time.Second)
		applier.reject("12")
		registry.publish(12)
		sleep(2 * time.Second)
	})
	cached, err := LoadCached(dir, "tarifas")
	if err != nil || cached == nil || cached.Version != 11 || cached.Epoch != "one" ||
		string(cached.Document) != documentOf(11) {
		t.Fatalf("got %+v, %v", cached, err)
	}
	bubble(t, "a client continues from it", func(t *testing.T) {
		registry := newFakeRegistry(11)
		c, applier := registry.client(t, 1, "", cached)
		sleep(time.Minute)
		if _, _, n := applier.current(); n != 0 || c.Metrics().Version != 11 {
			t.Errorf("%d documents applied, want none; %+v", n, c.Metrics())
		}
		registry.publish(12)
		sleep(time.Second)
		if now, _, _ := applier.current(); now != documentOf(12) {
			t.Errorf("applied %s", now)
		}
	})
	bubble(t, "one that was rejected at the start is reported", func(t *testing.T) {
		registry := newFakeRegistry(11)
		applier := &recordingApplier{}
		c := New(Config{Service: "tarifas", ProxyName: "p1", Members: []string{"m1"}, Logger: slog.New(slog.DiscardHandler)}, applier)
		c.http.Transport = registry
		c.SetInitial(cached, errors.New(strings.Repeat("x", 300)))
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); c.Run(ctx) }()
		sleep(time.Second)
		if reported, _ := registry.reports(); reported["in_force"] != "0" ||
			reported["refused"] != "11" || len(reported["why"]) != maxReasonBytes {
			t.Errorf("reported %v", reported)
		}
		stop()
		<-ended
	})
	if cached, err := LoadCached(dir, "another"); cached != nil || err != nil {
		t.Errorf("cache of another service was used: %+v, %v", cached, err)
	}
	path := filepath.Join(dir, cacheFile)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, damaged := range [][]byte{nil, content[:len(content)-1],
		bytes.Replace(content, []byte("11"), []byte("12"), 1),
		atomicfile.Encode(cacheKind, []byte(`{"service":"tarifas"}`)),
		atomicfile.Encode("proxy-list", content)} {
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		cached, err := LoadCached(dir, "tarifas")
		if _, statErr := os.Stat(path); cached != nil ||
			!errors.Is(err, atomicfile.ErrDamaged) || !errors.Is(statErr, os.ErrNotExist) {
			t.Errorf("%q: got %+v, %v", damaged, cached, err)
		}
		if text, err := os.ReadFile(path + damagedSuffix); err != nil || !bytes.Equal(text, damaged) {
			t.Errorf("%q was not renamed: %v", damaged, err)
		}
	}
}
