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

// appliedWithin is the documented time in which all proxies apply a change.
const appliedWithin = 9 * time.Second

// rolloutRun is a cluster with proxies that follow its configurations, and the newest version that was
// written.
type rolloutRun struct {
	cluster *cluster
	proxies []*proxyProcess
	version int64
	changes int // class of the last change
}

// Whatever fails at the same time, all proxies apply a change in time and once, and none applies an invalid
// one. The cases share the cluster and run in this order.
func TestConfigChangeIsAppliedDespiteFailures(t *testing.T) {
	s := startCluster(t, 3)
	r := &rolloutRun{cluster: s, proxies: newProxies(t, s, 6)}
	for _, proxy := range r.proxies {
		proxy.start()
	}
	var at time.Time
	r.version, at = s.putConfig(t, 0, document("first"))
	awaitApplied(t, r.proxies, r.version, "first", at, waitTimeout) // the proxies are starting
	for _, c := range []struct {
		name string
		run  func(*testing.T)
	}{
		{"no failure", r.noFailure},
		{"a follower with watches is suspended", r.followerSuspended},
		{"the leader is killed", r.leaderKilled},
		{"the leader is suspended", r.leaderSuspended},
		{"a proxy is suspended and resumes", r.proxySuspended},
		{"an invalid document is rejected", r.invalidDocument},
		{"proxies reject a document", r.rejectedByProxies},
		{"of two concurrent writes one succeeds", r.concurrentWrites},
		{"30 changes in a row", r.changesInARow},
		{"all members and a proxy are killed", r.allKilled},
		{"the status while a member is suspended", r.statusWhileMemberSuspended},
		{"a snapshot is restored", r.snapshotRestored},
	} {
		t.Run(c.name, c.run)
	}
}

// change writes the next document while fail runs, and waits until all proxies have applied it. Restore
// undoes the failure afterwards. Both functions may be nil.
func (r *rolloutRun) change(t *testing.T, fail, restore func()) {
	t.Helper()
	r.changes++
	class := fmt.Sprint("c", r.changes)
	var failing sync.WaitGroup
	if fail != nil {
		failing.Go(fail)
	}
	next, at := r.cluster.putConfig(t, r.version, document(class))
	failing.Wait()
	if next != r.version+1 {
		t.Errorf("version %d after %d", next, r.version)
	}
	r.version = next
	t.Logf("applied by all after %v", awaitApplied(t, r.proxies, r.version, class, at, appliedWithin))
	if restore != nil {
		restore()
		r.cluster.awaitServing()
	}
}

func (r *rolloutRun) noFailure(t *testing.T) {
	r.change(t, nil, nil)
}

func (r *rolloutRun) followerSuspended(t *testing.T) {
	l, i := r.cluster.awaitLeader(t), -1
	waitFor(t, "a follower to have watches", func() bool {
		for j := range r.cluster.addresses {
			if j != l && r.cluster.watchesAt(t, j) > 1 { // one of the list and one of the configuration
				i = j
			}
		}
		return i >= 0
	})
	suspend(t, r.cluster.processes[i])
	r.change(t, nil, func() { r.cluster.signal(t, i, syscall.SIGCONT) })
}

func (r *rolloutRun) leaderKilled(t *testing.T) {
	l := r.cluster.awaitLeader(t)
	r.change(t, func() { r.cluster.signal(t, l, syscall.SIGKILL) }, func() { <-r.cluster.processes[l].Ended(); r.cluster.start(l) })
}

func (r *rolloutRun) leaderSuspended(t *testing.T) {
	l := r.cluster.awaitLeader(t)
	suspend(t, r.cluster.processes[l])
	r.change(t, nil, func() { r.cluster.signal(t, l, syscall.SIGCONT) })
}

func (r *rolloutRun) proxySuspended(t *testing.T) {
	p := r.proxies[0]
	suspend(t, p.Process)
	rest := r.proxies
	r.proxies = r.proxies[1:]
	r.change(t, nil, nil)
	r.proxies = rest
	waitFor(t, "the suspended proxy to be unknown or behind", func() bool {
		status := r.cluster.configStatus(t, r.cluster.awaitLeader(t))
		return status.Counts[api.StateApplied] == len(r.proxies)-1 && status.Counts[api.StateBehind]+status.Counts[api.StateUnknown] == 1
	})
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	awaitApplied(t, r.proxies[:1], r.version, fmt.Sprint("c", r.changes), time.Now(), appliedWithin)
}

func (r *rolloutRun) invalidDocument(t *testing.T) {
	status, _, text, err := r.cluster.putConfigAt(0, r.version, strings.Replace(document("bad"), `"try_limit":3`, `"try_limit":0`, 1))
	if err != nil || status != 400 || !strings.Contains(text, "settings.limits.try_limit") {
		t.Errorf("%d %s, %v", status, text, err)
	}
	if c := r.cluster.config(t, 1); c.Version != r.version {
		t.Errorf("version %d, and %d was acknowledged", c.Version, r.version)
	}
}

func (r *rolloutRun) rejectedByProxies(t *testing.T) {
	before := fmt.Sprint("c", r.changes)
	next, _ := r.cluster.putConfig(t, r.version, strings.Replace(document("short"), `,"worth":1`, "", 1))
	waitFor(t, "all proxies to reject it", func() bool {
		status := r.cluster.configStatus(t, 0)
		for _, p := range status.Proxies {
			if p.State == api.StateRejected && (p.AppliedVersion != r.version || !strings.Contains(p.RejectReason, "settings.profiles[0].worth: is missing")) {
				t.Errorf("%+v", p)
			}
		}
		return status.Counts[api.StateRejected] == len(r.proxies) && status.Lowest == r.version && status.Highest == r.version
	})
	for _, f := range r.proxies {
		if metrics := f.metrics(); !f.hasApplied(r.version, before) || metrics["config_refused"] != next {
			t.Errorf("%s: %v", f.name, metrics)
		}
	}
	r.version = next
	r.change(t, nil, nil)
}

func (r *rolloutRun) concurrentWrites(t *testing.T) {
	type end struct {
		status  int
		version int64
		err     error
	}
	ends := make([]end, 2)
	var writes sync.WaitGroup
	for i := range ends {
		writes.Go(func() {
			ends[i].status, ends[i].version, _, ends[i].err = r.cluster.putConfigAt(i, r.version, document(fmt.Sprint("two", i)))
		})
	}
	writes.Wait()
	won := 0
	if ends[1].status == 200 {
		won = 1
	}
	if ends[won].err != nil || ends[won].status != 200 || ends[1-won].status != 409 || ends[1-won].version != r.version+1 {
		t.Fatalf("%+v", ends)
	}
	r.version++
	awaitApplied(t, r.proxies, r.version, fmt.Sprint("two", won), time.Now(), appliedWithin)
}

func (r *rolloutRun) changesInARow(t *testing.T) {
	var at time.Time
	for i := range 30 {
		r.version, at = r.cluster.putConfig(t, r.version, document(fmt.Sprint("row", i)))
	}
	t.Logf("applied by all after %v", awaitApplied(t, r.proxies, r.version, "row29", at, appliedWithin))
}

func (r *rolloutRun) allKilled(t *testing.T) {
	p := r.proxies[0]
	waitFor(t, "the applied version to be cached", func() bool {
		k, err := rollout.LoadCached(filepath.Join(p.dir, "state"), "tarifas")
		return err == nil && k != nil && k.Version == r.version
	})
	for i := range r.cluster.processes {
		r.cluster.signal(t, i, syscall.SIGKILL)
	}
	for i := range r.cluster.processes {
		<-r.cluster.processes[i].Ended()
	}
	if err := p.Kill(); err != nil {
		t.Fatal(err)
	}
	<-p.Ended()
	p.start() // while the registry is down
	waitFor(t, "the proxy to apply its cached version", func() bool { return p.hasApplied(r.version, "row29") })
	if age := p.metrics()["config_age_ms"]; age != -1 {
		t.Errorf("a member answered %d ms ago", age)
	}
	for i := range r.cluster.processes {
		r.cluster.start(i)
	}
	r.cluster.awaitServing()
	for i := range r.cluster.addresses {
		if c := r.cluster.config(t, i); c.Version != r.version || !bytes.Contains(c.Document, []byte("row29")) {
			t.Errorf("r%d: %+.200v, and %d was acknowledged", i+1, c, r.version)
		}
	}
	r.change(t, nil, nil)
}

func (r *rolloutRun) statusWhileMemberSuspended(t *testing.T) {
	l := r.cluster.awaitLeader(t)
	i := (l + 1) % 3
	waitFor(t, "all proxies to have applied it", func() bool {
		status := r.cluster.configStatus(t, l)
		return status.Counts[api.StateApplied] == len(r.proxies) && !status.Partial && len(status.Silent) == 0 && status.Version == r.version
	})
	suspend(t, r.cluster.processes[i])
	begun := time.Now()
	status := r.cluster.configStatus(t, l)
	if took := time.Since(begun); !status.Partial || len(status.Silent) != 1 || status.Silent[0] != fmt.Sprintf("r%d", i+1) || took > 2500*time.Millisecond {
		t.Errorf("%+v after %v", status, took)
	}
	r.cluster.signal(t, i, syscall.SIGCONT)
}

func (r *rolloutRun) snapshotRestored(t *testing.T) {
	r.cluster.awaitServing()
	text, err := get(t.Context(), 3*time.Second, "http://"+r.cluster.addresses[0]+"/v1/snapshot")
	if err != nil {
		t.Fatal(err)
	}
	was := fmt.Sprint("c", r.changes)
	r.change(t, nil, nil)
	file := filepath.Join(r.cluster.dir, "saved")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := (&restoreSnapshot{memberAddresses: memberAddresses{strings.Join(r.cluster.addresses, ",")}, Yes: true, File: file}).Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	c := r.cluster.config(t, 0)
	if c.Version <= r.version || !bytes.Contains(c.Document, []byte(was)) {
		t.Errorf("version %d after %d: %s", c.Version, r.version, c.Document)
	}
	r.version = c.Version
	awaitApplied(t, r.proxies, r.version, was, time.Now(), appliedWithin)
	r.change(t, nil, nil)
}
