package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"merlinpick/internal/faultlab/linear"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/registry/config"
	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/state"
)

const waitTimeout = 30 * time.Second

var registryProgram, proxyProgram string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "roster-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	registryProgram = filepath.Join(dir, "roster")
	proxyProgram = filepath.Join(dir, "merlinpick-proxy")
	for path, of := range map[string]string{registryProgram: ".", proxyProgram: "../merlinpick-proxy"} {
		if out, err := exec.Command("go", "build", "-o", path, of).CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	return m.Run()
}

// cluster is a registry whose members are processes.
type cluster struct {
	t         testing.TB
	starter   *process.Starter
	dir       string
	addresses []string
	processes []*process.Process
}

// startCluster starts a cluster and waits until it serves. Each configure function may change the
// configuration of member i, such as the addresses of its peers.
func startCluster(t testing.TB, members int, configure ...func(i int, f *config.File)) *cluster {
	t.Helper()
	s := &cluster{t: t, starter: process.NewStarter(), dir: t.TempDir(), processes: make([]*process.Process, members)}
	t.Cleanup(func() {
		var left []*process.Process
		for _, p := range s.processes {
			if p != nil {
				left = append(left, p)
			}
		}
		if err := process.KillAll(left); err != nil {
			t.Error(err)
		}
		s.starter.Close()
		if t.Failed() {
			for i := range members {
				text, _ := os.ReadFile(s.path(i, ".log"))
				t.Logf("r%d:\n%s", i+1, text)
			}
		}
	})
	host := freeHost(t)
	at := func(i, port int) string { return net.JoinHostPort(host, strconv.Itoa(port+i)) }
	for i := range members {
		s.addresses = append(s.addresses, at(i, 8500))
	}
	for i := range members {
		f := config.Default()
		f.Name, f.Dir, f.Listen, f.MetricsAddress = fmt.Sprintf("r%d", i+1), s.path(i, ""), s.addresses[i], at(i, 9500)
		for j := range members {
			if members > 1 {
				f.Members = append(f.Members, config.Member{Name: fmt.Sprintf("r%d", j+1), Raft: at(j, 8600), List: s.addresses[j]})
			}
		}
		for _, change := range configure {
			change(i, &f)
		}
		var text strings.Builder
		if err := toml.NewEncoder(&text).Encode(f); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(s.path(i, ".toml"), []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		s.start(i)
	}
	s.awaitServing()
	return s
}

// freeHost returns a loopback address on which nothing listens, so that tests can run at the same time.
func freeHost(t testing.TB) string {
	t.Helper()
	for range 100 {
		host := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))
		l, err := net.Listen("tcp", host+":8500")
		if err == nil {
			l.Close()
			return host
		}
	}
	t.Fatal("no loopback address is free")
	return ""
}

func (s *cluster) path(i int, suffix string) string {
	return filepath.Join(s.dir, fmt.Sprintf("r%d%s", i+1, suffix))
}

func (s *cluster) start(i int) {
	s.t.Helper()
	p, err := s.starter.Start(process.Spec{Name: fmt.Sprintf("r%d", i+1),
		Command: []string{registryProgram, "serve", "--config", s.path(i, ".toml")},
		Env:     os.Environ(), Log: s.path(i, ".log")})
	if err != nil {
		s.t.Fatal(err)
	}
	s.processes[i] = p
}

func (s *cluster) status(i int) (st raftnode.Status, err error) {
	text, err := get(s.t.Context(), time.Second, "http://"+s.addresses[i]+"/v1/member")
	if err == nil {
		err = json.Unmarshal(text, &st)
	}
	return st, err
}

// awaitServing waits until all members serve.
func (s *cluster) awaitServing() {
	s.t.Helper()
	waitFor(s.t, "all members to serve", func() bool {
		for i := range s.addresses {
			if st, err := s.status(i); err != nil || !st.Serving {
				return false
			}
		}
		return true
	})
}

// leader returns the index of the serving leader, or -1 if there is none.
func (s *cluster) leader() int {
	for i := range s.addresses {
		if st, err := s.status(i); err == nil && st.Role == "leader" && st.Serving {
			return i
		}
	}
	return -1
}

func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited %v for %s", waitTimeout, what)
		}
	}
}

func record(name string, since int64) state.Record {
	return state.Record{Endpoint: state.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Status: state.StatusServing, Weight: 1, StartedAtMs: since},
		Instance: fmt.Sprint("i", since), LeaseMs: state.MaxLease.Milliseconds()}
}

// list reads the list from one member, linearizably. Values holds each endpoint's value as defined by package
// linear.
func (s *cluster) list(ctx context.Context, i int) (epoch string, version int64, values map[string]string, err error) {
	text, err := get(ctx, 3*time.Second, "http://"+s.addresses[i]+"/catalog/members?consistent=1")
	if err != nil {
		return "", 0, nil, err
	}
	var l struct {
		Line      string
		Index     int64
		Endpoints []state.Endpoint
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return "", 0, nil, err
	}
	values = map[string]string{}
	for _, e := range l.Endpoints {
		values[e.Name] = linear.Value(e.Status, fmt.Sprint("i", e.StartedAtMs))
	}
	return l.Line, l.Index, values, nil
}

// suspend stops a process, and returns once all its threads are stopped.
func suspend(t *testing.T, p *process.Process) {
	t.Helper()
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a process to be suspended", func() bool {
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
	if err := s.processes[i].Signal(sig); err != nil {
		t.Fatal(err)
	}
}

func (s *cluster) awaitLeader(t *testing.T) (l int) {
	t.Helper()
	waitFor(t, "a leader", func() bool { l = s.leader(); return l >= 0 })
	return l
}
