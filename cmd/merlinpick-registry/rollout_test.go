package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"merlinpick/internal/registry/api"
	"merlinpick/internal/rollout"
)

// appliedWithin is the documented bound.
const appliedWithin = 9 * time.Second

// Whatever fails meanwhile, all proxies apply a change in time, once, and apply no invalid one.
func TestConfigChangeIsAppliedDespiteFailures(t *testing.T) {
	s := startService(t, 3)
	all := newProxies(t, s, 6)
	for _, f := range all {
		f.start()
	}
	version, at := s.putConfig(t, 0, document("first"))
	awaitApplied(t, all, version, "first", at, patience) // the proxies are starting
	n := 0
	// change writes the next document, with do running beside it.
	change := func(t *testing.T, do func(), undo func()) {
		t.Helper()
		n++
		class := fmt.Sprint("c", n)
		var struck sync.WaitGroup
		if do != nil {
			struck.Go(do)
		}
		next, at := s.putConfig(t, version, document(class))
		struck.Wait()
		if next != version+1 {
			t.Errorf("version %d after %d", next, version)
		}
		version = next
		t.Logf("in force at all after %v", awaitApplied(t, all, version, class, at, appliedWithin))
		if undo != nil {
			undo()
			s.awaitServing()
		}
	}
	t.Run("nothing", func(t *testing.T) { change(t, nil, nil) })
	t.Run("a follower with watches is stopped just before", func(t *testing.T) {
		l, i := s.awaitLeader(t), -1
		waitFor(t, "a follower to have watches", func() bool {
			for j := range s.addresses {
				if j != l && s.watchesAt(t, j) > 1 { // one of the list and one of the configuration
					i = j
				}
			}
			return i >= 0
		})
		suspend(t, s.processes[i])
		change(t, nil, func() { s.signal(t, i, syscall.SIGCONT) })
	})
	t.Run("the leader is killed under it", func(t *testing.T) {
		l := s.awaitLeader(t)
		change(t, func() { s.signal(t, l, syscall.SIGKILL) }, func() { <-s.processes[l].Ended(); s.start(l) })
	})
	t.Run("the leader is stopped just before", func(t *testing.T) {
		l := s.awaitLeader(t)
		suspend(t, s.processes[l])
		change(t, nil, func() { s.signal(t, l, syscall.SIGCONT) })
	})
	t.Run("a proxy is stopped, and goes on", func(t *testing.T) {
		p := all[0]
		suspend(t, p.Process)
		rest := all
		all = all[1:]
		change(t, nil, nil)
		all = rest
		waitFor(t, "the stopped one to be unknown or behind", func() bool {
			st := s.configStatus(t, s.awaitLeader(t))
			return st.Counts[api.StateApplied] == len(all)-1 && st.Counts[api.StateBehind]+st.Counts[api.StateUnknown] == 1
		})
		if err := p.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		awaitApplied(t, all[:1], version, fmt.Sprint("c", n), time.Now(), appliedWithin)
	})
	t.Run("a faulty document", func(t *testing.T) {
		status, _, text, err := s.putConfigAt(0, version, strings.Replace(document("bad"), `"try_limit":3`, `"try_limit":0`, 1))
		if err != nil || status != 400 || !strings.Contains(text, "settings.limits.try_limit") {
			t.Errorf("%d %s, %v", status, text, err)
		}
		if c := s.config(t, 1); c.Version != version {
			t.Errorf("version %d, and %d was confirmed", c.Version, version)
		}
	})
	t.Run("a document that only proxies can judge", func(t *testing.T) {
		before := fmt.Sprint("c", n)
		next, _ := s.putConfig(t, version, strings.Replace(document("short"), `,"worth":1`, "", 1))
		waitFor(t, "all to refuse it", func() bool {
			st := s.configStatus(t, 0)
			for _, p := range st.Proxies {
				if p.State == api.StateRejected && (p.AppliedVersion != version || !strings.Contains(p.RejectReason, "settings.profiles[0].worth: is missing")) {
					t.Errorf("%+v", p)
				}
			}
			return st.Counts[api.StateRejected] == len(all) && st.Lowest == version && st.Highest == version
		})
		for _, f := range all {
			if figs := f.metrics(); !f.hasApplied(version, before) || figs["config_refused"] != next {
				t.Errorf("%s: %v", f.name, figs)
			}
		}
		version = next
		change(t, nil, nil)
	})
	t.Run("two at once", func(t *testing.T) {
		type end struct {
			status  int
			version int64
			err     error
		}
		ends := make([]end, 2)
		var puts sync.WaitGroup
		for i := range ends {
			puts.Go(func() {
				ends[i].status, ends[i].version, _, ends[i].err = s.putConfigAt(i, version, document(fmt.Sprint("two", i)))
			})
		}
		puts.Wait()
		won := 0
		if ends[1].status == 200 {
			won = 1
		}
		if ends[won].err != nil || ends[won].status != 200 || ends[1-won].status != 409 || ends[1-won].version != version+1 {
			t.Fatalf("%+v", ends)
		}
		version++
		awaitApplied(t, all, version, fmt.Sprint("two", won), time.Now(), appliedWithin)
	})
	t.Run("30 changes one after another", func(t *testing.T) {
		var at time.Time
		for i := range 30 {
			version, at = s.putConfig(t, version, document(fmt.Sprint("row", i)))
		}
		t.Logf("in force at all after %v", awaitApplied(t, all, version, "row29", at, appliedWithin))
	})
	t.Run("all members and a proxy are killed", func(t *testing.T) {
		p := all[0]
		waitFor(t, "what is in force to be kept", func() bool {
			k, err := rollout.LoadCached(filepath.Join(p.dir, "state"), "tarifas")
			return err == nil && k != nil && k.Version == version
		})
		for i := range s.processes {
			s.signal(t, i, syscall.SIGKILL)
		}
		for i := range s.processes {
			<-s.processes[i].Ended()
		}
		if err := p.Kill(); err != nil {
			t.Fatal(err)
		}
		<-p.Ended()
		p.start() // while the registry is down
		waitFor(t, "the proxy to have what was in force", func() bool { return p.hasApplied(version, "row29") })
		if age := p.metrics()["config_age_ms"]; age != -1 {
			t.Errorf("a member answered %d ms ago", age)
		}
		for i := range s.processes {
			s.start(i)
		}
		s.awaitServing()
		for i := range s.addresses {
			if c := s.config(t, i); c.Version != version || !bytes.Contains(c.Document, []byte("row29")) {
				t.Errorf("r%d: %+.200v, and %d was confirmed", i+1, c, version)
			}
		}
		change(t, nil, nil)
	})
	t.Run("a status while a member is stopped", func(t *testing.T) {
		l := s.awaitLeader(t)
		i := (l + 1) % 3
		waitFor(t, "all to be in force", func() bool {
			st := s.configStatus(t, l)
			return st.Counts[api.StateApplied] == len(all) && !st.Partial && len(st.Silent) == 0 && st.Version == version
		})
		suspend(t, s.processes[i])
		begun := time.Now()
		st := s.configStatus(t, l)
		if took := time.Since(begun); !st.Partial || len(st.Silent) != 1 || st.Silent[0] != fmt.Sprintf("r%d", i+1) || took > 2500*time.Millisecond {
			t.Errorf("%+v after %v", st, took)
		}
		s.signal(t, i, syscall.SIGCONT)
	})
	t.Run("the service is restored to another time", func(t *testing.T) {
		s.awaitServing()
		text, err := get(t.Context(), 3*time.Second, "http://"+s.addresses[0]+"/v1/snapshot")
		if err != nil {
			t.Fatal(err)
		}
		was := fmt.Sprint("c", n)
		change(t, nil, nil)
		file := filepath.Join(s.dir, "saved")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := (&restoreSnapshot{memberAddresses: memberAddresses{strings.Join(s.addresses, ",")}, Yes: true, File: file}).Run(t.Context()); err != nil {
			t.Fatal(err)
		}
		c := s.config(t, 0)
		if c.Version <= version || !bytes.Contains(c.Document, []byte(was)) {
			t.Errorf("version %d after %d: %s", c.Version, version, c.Document)
		}
		version = c.Version
		awaitApplied(t, all, version, was, time.Now(), appliedWithin)
		change(t, nil, nil)
	})
}
