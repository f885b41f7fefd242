package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"merlinpick/internal/faultlab/process"
)

// TestMain runs the program instead of the tests if the environment asks for it, so that tests can start the
// test binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv("MERLINPICK_TEST_AS_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const testTimeout = 60 * time.Second // only a failing test waits this long

const configText = `{"name":%q,"listen":%q,"mgmt":%q,"discovery":"127.0.0.1:1","seed":"1",` +
	`"fleet":{"bind":%q,"label":%q,"seeds":[%q]},"limits":{"cores":1.0,"memory_mb":192,"sockets":512},` +
	`"known":{"index":4,"snapshot":true,"endpoints":[{"name":"n/1","address":"127.0.0.1:1","zone":"a","status":"SERVING",` +
	`"since_ms":5},{"name":"n/2","address":"127.0.0.1:1","zone":"b","status":"SERVING","since_ms":5}]},` +
	`"settings":{"contract":{},"failure_domains":["a","b"],"limits":{"dial_timeout_us":100000,"idle_close_us":1000000,` +
	`"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":800000,"name":"look","objective_us":400000,` +
	`"repeat":"idempotent","worth":1}],"siblings":3}}`

// member is one process of the program, with its addresses and its directory.
type member struct {
	*process.Process
	name, listen, mgmt, bind, dir string
}

// freeAddress returns an address that is free for UDP and TCP.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close() // deferred, so that the next attempt gets another port
		u, err := net.ListenPacket("udp", l.Addr().String())
		if err == nil {
			u.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no port is free for both TCP and UDP")
	return ""
}

// newMember returns a member with free addresses and an empty directory. It does not start it.
func newMember(t *testing.T, name string) *member {
	return &member{name: name, listen: freeAddress(t), mgmt: freeAddress(t), bind: freeAddress(t), dir: t.TempDir()}
}

// start starts or restarts the process.
func (m *member) start(t *testing.T, starter *process.Starter, label, seed string) {
	t.Helper()
	path := filepath.Join(m.dir, "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, configText, m.name, m.listen, m.mgmt, m.bind, label, seed), 0o600); err != nil {
		t.Fatal(err)
	}
	log := filepath.Join(m.dir, "log")
	p, err := starter.Start(process.Spec{Name: m.name, Command: []string{os.Args[0]}, Dir: m.dir, Log: log,
		Env: []string{"MERLINPICK_TEST_AS_PROGRAM=1", "LB_CONFIG=" + path, "TMPDIR=" + m.dir}})
	if err != nil {
		t.Fatal(err)
	}
	m.Process = p
	t.Cleanup(func() {
		_ = p.Kill()
		if text, err := os.ReadFile(log); t.Failed() && err == nil {
			t.Logf("%s:\n%s", m.name, text)
		}
	})
}

// metrics returns the metrics of the management address, without the prefix "app.". The map is empty while
// the address does not answer.
func (m *member) metrics() map[string]int {
	out := map[string]int{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.mgmt+"/v1/metrics", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		key, value, _ := strings.Cut(lines.Text(), "=")
		out[strings.TrimPrefix(key, "app.")], _ = strconv.Atoi(value)
	}
	return out
}

// until waits until the metrics meet a condition. what describes the condition.
func (m *member) until(t *testing.T, what string, condition func(f map[string]int) bool) {
	t.Helper()
	f := m.metrics()
	for end := time.Now().Add(testTimeout); !condition(f); f = m.metrics() {
		if time.Now().After(end) {
			t.Fatalf("%s: timeout waiting for %s: %v", m.name, what, f)
		}
		if f["fleet_oldest_ms"] > 5000 { // the longest TTL in this test, that of load reports
			t.Errorf("%s uses entries that are %d ms old", m.name, f["fleet_oldest_ms"])
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// metricIs returns the condition that a metric has a value.
func metricIs(key string, want int) func(map[string]int) bool {
	return func(f map[string]int) bool { n, known := f[key]; return known && n == want }
}

// call suspends or resumes a server at the management address.
func (m *member) call(t *testing.T, action, nodo string) {
	t.Helper()
	m.post(t, "nodos/"+nodo+"/"+action)
}

// post sends a POST request to the management address. It repeats the request while the member answers 503,
// because a slow disk may delay the confirmation.
func (m *member) post(t *testing.T, path string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		resp, err := http.Post("http://"+m.mgmt+"/v1/"+path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		switch {
		case resp.StatusCode == http.StatusOK:
			return
		case resp.StatusCode != http.StatusServiceUnavailable || time.Now().After(end):
			t.Fatalf("%s at %s: %d %s", path, m.name, resp.StatusCode, text)
		}
		t.Logf("%s at %s: %s", path, m.name, text)
	}
}

// request sends a client's request and ignores the response.
func (m *member) request(id int) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+m.listen+"/look/k", nil)
	req.Header = http.Header{"Request-Id": {strconv.Itoa(id)}, "Request-Class": {"look"}, "Request-Timeout-Ms": {"800"}}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// TestThreeProcessesFormACluster checks that three processes form a cluster and keep overrides while single
// processes crash, lose their disk, are stopped and continued, and are replaced, and that foreign traffic is
// rejected.
func TestThreeProcessesFormACluster(t *testing.T) {
	starter := process.NewStarter()
	defer starter.Close()
	a, b, c := newMember(t, "a"), newMember(t, "b"), newMember(t, "c")
	all := []*member{a, b, c}
	allUntil := func(what string, condition func(map[string]int) bool) {
		t.Helper()
		started := time.Now()
		for _, m := range all {
			m.until(t, what, condition)
		}
		t.Logf("%s: %v", what, time.Since(started).Round(time.Millisecond))
	}
	for _, m := range all {
		m.start(t, starter, "test", a.bind)
	}
	allUntil("three members from one seed", metricIs("fleet_living", 3))
	allUntil("the end of isolation", metricIs("fleet_alone", 0))

	a.call(t, "suspend", "n%2F1")
	allUntil("a suspension at all members", metricIs("ejected", 1))
	if err := a.Kill(); err != nil {
		t.Fatal(err)
	}
	for _, m := range all[1:] {
		m.until(t, "the crash of the member that was called", metricIs("fleet_living", 2))
		m.until(t, "its suspension to stay", metricIs("ejected", 1))
	}
	a.dir = t.TempDir() // without its files it receives the override from the others
	a.start(t, starter, "test", b.bind)
	allUntil("three live members", metricIs("fleet_living", 3))
	allUntil("the suspension at the restarted member", metricIs("ejected", 1))
	b.call(t, "resume", "n%2F1")
	allUntil("the resumption at all members", metricIs("ejected", 0))

	a.call(t, "suspend", "n%2F1") // suspended at two members: each stores it, and one resumption ends both
	b.call(t, "suspend", "n%2F1")
	allUntil("the suspension at two members", metricIs("ejected", 1))
	c.call(t, "resume", "n%2F1")
	allUntil("its resumption", metricIs("ejected", 0))
	b.until(t, "its own file to be removed", func(map[string]int) bool {
		files, err := filepath.Glob(filepath.Join(b.dir, "fernlanding-*", "ban-*"))
		return err == nil && len(files) == 0
	})

	foreign := newMember(t, "d")
	foreign.start(t, starter, "other", a.bind)
	foreign.until(t, "a foreign label to be rejected",
		func(f map[string]int) bool { return f["fleet_join_failed"] > 0 })
	before := a.metrics()["fleet_refused.label"]
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		data := make([]byte, 1+random.IntN(1000))
		for i := range data {
			data[i] = byte(random.Uint32())
		}
		for _, network := range []string{"udp", "tcp"} {
			if conn, err := net.Dial(network, a.bind); err == nil {
				_, _ = conn.Write(data)
				conn.Close()
			}
		}
	}
	a.until(t, "random bytes to be counted", func(f map[string]int) bool { return f["fleet_refused.label"] > before+50 })
	foreign.until(t, "the foreign member to be alone", metricIs("fleet_living", 1))

	id := 0
	a.until(t, "reports of c", func(f map[string]int) bool {
		id++
		c.request(id)
		return f["fleet_entries"] > 0
	})
	if err := c.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for _, m := range all[:2] {
		m.until(t, "the stopped member to be missing", metricIs("fleet_living", 2))
		m.until(t, "its entries to expire", metricIs("fleet_entries", 0))
	}
	b.call(t, "suspend", "n%2F2")
	if err := c.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	allUntil("the continued member to be back", metricIs("fleet_living", 3))
	allUntil("the override that was set meanwhile", metricIs("fleet_suspended", 1))
	c.until(t, "messages from before the stop to be rejected",
		func(f map[string]int) bool { return f["fleet_refused.late"] > 0 })

	successor := *b // a successor of b with the same address, which joins after b has left
	successor.mgmt = freeAddress(t)
	successor.start(t, starter, "test", a.bind)
	successor.until(t, "the successor to start without waiting for the address", metricIs("fleet_open", 0))
	if clean, err := b.Terminate(testTimeout); err != nil || !clean {
		t.Errorf("stopping b: clean %v, error %v", clean, err)
	}
	all[1] = &successor
	allUntil("the successor in place of b",
		func(f map[string]int) bool { return f["fleet_living"] == 3 && f["fleet_suspended"] == 1 })

	for _, m := range all {
		if clean, err := m.Terminate(testTimeout); err != nil || !clean {
			t.Errorf("stopping %s: clean %v, error %v", m.name, clean, err)
		}
	}
}
