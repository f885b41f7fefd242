package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/registry/api"
	"merlinpick/internal/rollout"
)

// inForceWithin is what the operators ask for.
const inForceWithin = 9 * time.Second

const proxyText = `{"name":%q,"listen":%q,"mgmt":%q,"discovery_members":[%s],"discovery_state":%q,"config_service":"tarifas","seed":"%d",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":1,"snapshot":true,"endpoints":[]},%s}`

// rules is the part of a proxy's file that is a document too; its class names which one is in force.
func rules(class string) string {
	return fmt.Sprintf(`"settings":{"contract":{},"failure_domains":["a","b"],"limits":{"dial_timeout_us":100000,`+
		`"idle_close_us":1000000,"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":800000,"name":%q,`+
		`"objective_us":400000,"repeat":"idempotent","worth":1}],"siblings":3}`, class)
}

func document(class string) string { return "{" + rules(class) + "}" }

// follower is a proxy as a real process.
type follower struct {
	*process.Process
	t            *testing.T
	starter      *process.Starter
	name, mgmt   string
	dir, members string
	seed         int
}

func startFollowers(t *testing.T, s *cluster, n int) []*follower {
	t.Helper()
	var all []*follower
	for i := range n {
		f := &follower{t: t, starter: s.starter, name: fmt.Sprintf("p%d", i+1), dir: t.TempDir(), seed: i + 1,
			members: `"` + strings.Join(s.addrs, `","`) + `"`}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f.mgmt = l.Addr().String()
		defer l.Close() // not before the others are chosen
		all = append(all, f)
		t.Cleanup(func() {
			_ = f.Kill()
			if text, err := os.ReadFile(filepath.Join(f.dir, "log")); t.Failed() && err == nil {
				t.Logf("%s:\n%s", f.name, text)
			}
		})
	}
	return all
}

func (f *follower) start() {
	f.t.Helper()
	path := filepath.Join(f.dir, "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, proxyText, f.name, "127.0.0.1:0", f.mgmt, f.members, filepath.Join(f.dir, "state"),
		f.seed, rules("file")), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p, err := f.starter.Start(process.Spec{Name: f.name, Command: []string{proxyProgram}, Dir: f.dir, Log: filepath.Join(f.dir, "log"),
		Env: []string{"LB_CONFIG=" + path, "TMPDIR=" + f.dir}}, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	f.Process = p
}

// figures are what the management address shows; nothing while it does not answer.
func (f *follower) figures() map[string]int64 {
	out := map[string]int64{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.mgmt+"/v1/metrics", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		key, value, _ := strings.Cut(lines.Text(), "=")
		out[strings.TrimPrefix(key, "app.")], _ = strconv.ParseInt(value, 10, 64)
	}
	return out
}

// has tells whether a version is in force, and the class that it has.
func (f *follower) has(version int64, class string) bool {
	figs := f.figures()
	_, named := figs["succeeded."+class]
	return figs["config_version"] == version && named
}

// inForce waits until a version is in force at all, and gives how long after begun the last had it.
func inForce(t *testing.T, all []*follower, version int64, class string, begun time.Time, within time.Duration) time.Duration {
	t.Helper()
	last := time.Duration(0)
	for _, f := range all {
		for !f.has(version, class) {
			if time.Since(begun) > patience {
				t.Fatalf("%s: version %d is not in force: %v", f.name, version, f.figures())
			}
			time.Sleep(5 * time.Millisecond)
		}
		last = max(last, time.Since(begun))
	}
	if last > within {
		t.Errorf("version %d is in force after %v, and not within %v", version, last, within)
	}
	return last
}

// putAt puts a document at one member.
func (s *cluster) putAt(i int, after int64, body string) (status int, version int64, text string, err error) {
	return s.putFor("tarifas", i, after, body)
}

func (s *cluster) putFor(service string, i int, after int64, body string) (status int, version int64, text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/config/%s?from=%d", s.addrs[i], service, after),
		strings.NewReader(body))
	if err != nil {
		return 0, 0, "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, 0, "", err
	}
	var c struct{ Version int64 }
	_ = json.Unmarshal(raw, &c)
	return resp.StatusCode, c.Version, string(raw), nil
}

// put repeats a put until it is answered yes or no, at one member after another, from the leader on.
func (s *cluster) put(t *testing.T, after int64, body string) (version int64, confirmed time.Time) {
	t.Helper()
	for end, i := time.Now().Add(patience), max(0, s.leader()); time.Now().Before(end); i++ {
		status, version, text, err := s.putAt(i%len(s.addrs), after, body)
		switch {
		case err == nil && status == 200:
			return version, time.Now()
		case err == nil && status != 503:
			t.Fatalf("after %d: %d %s", after, status, text)
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("after %d: nobody takes it", after)
	return 0, time.Time{}
}

func (s *cluster) configStatus(t *testing.T, i int) (st api.ConfigStatus) {
	t.Helper()
	text, err := get(t.Context(), 3*time.Second, "http://"+s.addrs[i]+"/config/tarifas/status?all=1")
	if err == nil {
		err = json.Unmarshal(text, &st)
	}
	if err != nil {
		t.Fatal(err)
	}
	return st
}

func (s *cluster) config(t *testing.T, i int) (c api.ServiceConfig) {
	t.Helper()
	text, err := get(t.Context(), 3*time.Second, "http://"+s.addrs[i]+"/config/tarifas?consistent=1")
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// watches are those that a member holds.
func (s *cluster) watches(t *testing.T, i int) (n int) {
	t.Helper()
	host, _, _ := net.SplitHostPort(s.addrs[i])
	text, err := get(t.Context(), 3*time.Second, fmt.Sprintf("http://%s:%d/metrics", host, 9500+i))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "\nroster_watches ")
	if _, err := fmt.Sscan(after, &n); err != nil {
		t.Fatal(err)
	}
	return n
}

// stop stops a process, and returns once all of it stands still.
func stop(t *testing.T, p *process.Process) {
	t.Helper()
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	until(t, "a process to stand still", func() bool {
		tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
		if err != nil || len(tasks) == 0 {
			t.Fatalf("%s: %v", p.Name, err)
		}
		for _, task := range tasks {
			text, err := os.ReadFile(task)
			if _, after, _ := strings.Cut(string(text), ") "); err != nil || !strings.HasPrefix(after, "T") {
				return false
			}
		}
		return true
	})
}

func (s *cluster) signal(t *testing.T, i int, sig syscall.Signal) {
	t.Helper()
	if err := s.procs[i].Signal(sig); err != nil {
		t.Fatal(err)
	}
}

func (s *cluster) awaitLeader(t *testing.T) (l int) {
	t.Helper()
	until(t, "a leader", func() bool { l = s.leader(); return l >= 0 })
	return l
}

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
