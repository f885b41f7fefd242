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

// inForceWithin is what the operators ask for.
const inForceWithin = 9 * time.Second

// Whatever fails under way, a change is in force at all proxies in time, once, and nothing faulty is.
func TestConfigChangeIsAppliedDespiteFailures(t *testing.T) {
	s := startService(t, 3)
	all := startFollowers(t, s, 6)
	for _, f := range all {
		f.start()
	}
	version, at := s.put(t, 0, document("first"))
	inForce(t, all, version, "first", at, patience) // they start meanwhile
	n := 0
	// change puts the next one; do strikes as it is put.
	change := func(t *testing.T, do func(), undo func()) {
		t.Helper()
		n++
		class := fmt.Sprint("c", n)
		var struck sync.WaitGroup
		if do != nil {
			struck.Go(do)
		}
		next, at := s.put(t, version, document(class))
		struck.Wait()
		if next != version+1 {
			t.Errorf("version %d after %d", next, version)
		}
		version = next
		t.Logf("in force at all after %v", inForce(t, all, version, class, at, inForceWithin))
		if undo != nil {
			undo()
			s.await()
		}
	}
	t.Run("nothing", func(t *testing.T) { change(t, nil, nil) })
	t.Run("a follower with watches is stopped just before", func(t *testing.T) {
		l, i := s.awaitLeader(t), -1
		until(t, "a follower to have watches", func() bool {
			for j := range s.addrs {
				if j != l && s.watches(t, j) > 1 { // of the list and of the configuration
					i = j
				}
			}
			return i >= 0
		})
		stop(t, s.procs[i])
		change(t, nil, func() { s.signal(t, i, syscall.SIGCONT) })
	})
	t.Run("the leader is killed under it", func(t *testing.T) {
		l := s.awaitLeader(t)
		change(t, func() { s.signal(t, l, syscall.SIGKILL) }, func() { <-s.procs[l].Ended(); s.start(l) })
	})
	t.Run("the leader is stopped just before", func(t *testing.T) {
		l := s.awaitLeader(t)
		stop(t, s.procs[l])
		change(t, nil, func() { s.signal(t, l, syscall.SIGCONT) })
	})
	t.Run("a proxy is stopped, and goes on", func(t *testing.T) {
		p := all[0]
		stop(t, p.Process)
		rest := all
		all = all[1:]
		change(t, nil, nil)
		all = rest
		until(t, "the stopped one to be unknown or behind", func() bool {
			st := s.configStatus(t, s.awaitLeader(t))
			return st.Counts[api.StateApplied] == len(all)-1 && st.Counts[api.StateBehind]+st.Counts[api.StateUnknown] == 1
		})
		if err := p.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		inForce(t, all[:1], version, fmt.Sprint("c", n), time.Now(), inForceWithin)
	})
	t.Run("a faulty document", func(t *testing.T) {
		status, _, text, err := s.putAt(0, version, strings.Replace(document("bad"), `"try_limit":3`, `"try_limit":0`, 1))
		if err != nil || status != 400 || !strings.Contains(text, "settings.limits.try_limit") {
			t.Errorf("%d %s, %v", status, text, err)
		}
		if c := s.config(t, 1); c.Version != version {
			t.Errorf("version %d, and %d was confirmed", c.Version, version)
		}
	})
	t.Run("a document that only proxies can judge", func(t *testing.T) {
		before := fmt.Sprint("c", n)
		next, _ := s.put(t, version, strings.Replace(document("short"), `,"worth":1`, "", 1))
		until(t, "all to refuse it", func() bool {
			st := s.configStatus(t, 0)
			for _, p := range st.Proxies {
				if p.State == api.StateRejected && (p.AppliedVersion != version || !strings.Contains(p.RejectReason, "settings.profiles[0].worth: is missing")) {
					t.Errorf("%+v", p)
				}
			}
			return st.Counts[api.StateRejected] == len(all) && st.Lowest == version && st.Highest == version
		})
		for _, f := range all {
			if figs := f.figures(); !f.has(version, before) || figs["config_refused"] != next {
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
				ends[i].status, ends[i].version, _, ends[i].err = s.putAt(i, version, document(fmt.Sprint("two", i)))
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
		inForce(t, all, version, fmt.Sprint("two", won), time.Now(), inForceWithin)
	})
	t.Run("30 changes one after another", func(t *testing.T) {
		var at time.Time
		for i := range 30 {
			version, at = s.put(t, version, document(fmt.Sprint("row", i)))
		}
		t.Logf("in force at all after %v", inForce(t, all, version, "row29", at, inForceWithin))
	})
	t.Run("all members and a proxy are killed", func(t *testing.T) {
		p := all[0]
		until(t, "what is in force to be kept", func() bool {
			k, err := rollout.LoadCached(filepath.Join(p.dir, "state"), "tarifas")
			return err == nil && k != nil && k.Version == version
		})
		for i := range s.procs {
			s.signal(t, i, syscall.SIGKILL)
		}
		for i := range s.procs {
			<-s.procs[i].Ended()
		}
		if err := p.Kill(); err != nil {
			t.Fatal(err)
		}
		<-p.Ended()
		p.start() // with the service down
		until(t, "the proxy to have what was in force", func() bool { return p.has(version, "row29") })
		if age := p.figures()["config_age_ms"]; age != -1 {
			t.Errorf("a member answered %d ms ago", age)
		}
		for i := range s.procs {
			s.start(i)
		}
		s.await()
		for i := range s.addrs {
			if c := s.config(t, i); c.Version != version || !bytes.Contains(c.Document, []byte("row29")) {
				t.Errorf("r%d: %+.200v, and %d was confirmed", i+1, c, version)
			}
		}
		change(t, nil, nil)
	})
	t.Run("a status while a member is stopped", func(t *testing.T) {
		l := s.awaitLeader(t)
		i := (l + 1) % 3
		until(t, "all to be in force", func() bool {
			st := s.configStatus(t, l)
			return st.Counts[api.StateApplied] == len(all) && !st.Partial && len(st.Silent) == 0 && st.Version == version
		})
		stop(t, s.procs[i])
		begun := time.Now()
		st := s.configStatus(t, l)
		if took := time.Since(begun); !st.Partial || len(st.Silent) != 1 || st.Silent[0] != fmt.Sprintf("r%d", i+1) || took > 2500*time.Millisecond {
			t.Errorf("%+v after %v", st, took)
		}
		s.signal(t, i, syscall.SIGCONT)
	})
	t.Run("the service is restored to another time", func(t *testing.T) {
		s.await()
		text, err := get(t.Context(), 3*time.Second, "http://"+s.addrs[0]+"/v1/snapshot")
		if err != nil {
			t.Fatal(err)
		}
		was := fmt.Sprint("c", n)
		change(t, nil, nil)
		file := filepath.Join(s.dir, "saved")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := (&restoreSnapshot{memberAddresses: memberAddresses{strings.Join(s.addrs, ",")}, Yes: true, File: file}).Run(t.Context()); err != nil {
			t.Fatal(err)
		}
		c := s.config(t, 0)
		if c.Version <= version || !bytes.Contains(c.Document, []byte(was)) {
			t.Errorf("version %d after %d: %s", c.Version, version, c.Document)
		}
		version = c.Version
		inForce(t, all, version, was, time.Now(), inForceWithin)
		change(t, nil, nil)
	})
}
