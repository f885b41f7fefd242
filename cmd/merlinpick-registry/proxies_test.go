package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/faultlab/process"
)

const proxyConfigFormat = `{"name":%q,"listen":%q,"mgmt":%q,"discovery_members":[%s],"discovery_state":%q,"config_service":"tarifas","seed":"%d",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":1,"snapshot":true,"endpoints":[]},%s}`

// settingsMember returns the JSON member "settings", which a proxy's file and a document share. The name of
// the class distinguishes documents.
func settingsMember(class string) string {
	return fmt.Sprintf(`"settings":{"contract":{},"failure_domains":["a","b"],"limits":{"dial_timeout_us":100000,`+
		`"idle_close_us":1000000,"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":800000,"name":%q,`+
		`"objective_us":400000,"repeat":"idempotent","worth":1}],"siblings":3}`, class)
}

func document(class string) string { return "{" + settingsMember(class) + "}" }

// proxyProcess is a proxy that runs as a process of its own.
type proxyProcess struct {
	*process.Process
	t                *testing.T
	starter          *process.Starter
	name, management string
	dir, members     string
	seed             int
}

func newProxies(t *testing.T, s *cluster, n int) []*proxyProcess {
	t.Helper()
	var all []*proxyProcess
	for i := range n {
		f := &proxyProcess{t: t, starter: s.starter, name: fmt.Sprintf("p%d", i+1), dir: t.TempDir(), seed: i + 1,
			members: `"` + strings.Join(s.addresses, `","`) + `"`}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f.management = l.Addr().String()
		defer l.Close() // keeps its port until all are chosen
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

func (f *proxyProcess) start() {
	f.t.Helper()
	path := filepath.Join(f.dir, "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, proxyConfigFormat, f.name, "127.0.0.1:0", f.management,
		f.members, filepath.Join(f.dir, "state"),
		f.seed, settingsMember("file")), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p, err := f.starter.Start(process.Spec{Name: f.name, Command: []string{proxyProgram}, Dir: f.dir, Log: filepath.Join(f.dir, "log"),
		Env: []string{"LB_CONFIG=" + path, "TMPDIR=" + f.dir}})
	if err != nil {
		f.t.Fatal(err)
	}
	f.Process = p
}

// metrics returns the metrics of the proxy's management address; they are empty while it does not answer.
func (f *proxyProcess) metrics() map[string]int64 {
	out := map[string]int64{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.management+"/v1/metrics", nil)
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

// hasApplied reports whether the proxy has applied a version of the configuration and knows its class.
func (f *proxyProcess) hasApplied(version int64, class string) bool {
	metrics := f.metrics()
	_, named := metrics["succeeded."+class]
	return metrics["config_version"] == version && named
}

// awaitApplied waits until all proxies have applied a version, and returns how long after begun the last one
// had.
func awaitApplied(t *testing.T, all []*proxyProcess, version int64, class string, begun time.Time, within time.Duration) time.Duration {
	t.Helper()
	last := time.Duration(0)
	for _, f := range all {
		for !f.hasApplied(version, class) {
			if time.Since(begun) > waitTimeout {
				t.Fatalf("%s has not applied version %d: %v", f.name, version, f.metrics())
			}
			time.Sleep(5 * time.Millisecond)
		}
		last = max(last, time.Since(begun))
	}
	if last > within {
		t.Errorf("version %d was applied by all proxies after %v, want at most %v", version, last, within)
	}
	return last
}
