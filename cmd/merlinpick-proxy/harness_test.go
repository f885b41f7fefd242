package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/proxy/proxytest"
)

// proxyProgram is the path of the proxy that the tests run. It is built without the race detector, which takes
// several times the memory.
var proxyProgram string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "merlinpick-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	proxyProgram = filepath.Join(dir, "merlinpick-proxy")
	if out, err := exec.Command("go", "build", "-o", proxyProgram, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

const (
	serverCount    = 9
	serviceTime    = 30 * time.Millisecond // of a server, for each request
	longBody       = 32 << 20              // bytes of a response to a request for longPath
	longPath       = "/enrol/long"
	shortPath      = "/enrol/short"
	clientDeadline = 2 * time.Second
	startTimeout   = 20 * time.Second
)

// startServers starts servers that answer each request, and discovery with a list of them. It returns
// discovery's address.
func startServers(t *testing.T) (discovery string) {
	var entries []string
	for i := range serverCount {
		entries = append(entries, fmt.Sprintf(
			`{"name":"s%d","address":%q,"zone":"a","type":"m","group":1,"status":"SERVING","weight":1,"since_ms":0}`,
			i, proxytest.StartBackend(t, respond).Addr))
	}
	list := `{"index":5,"snapshot":true,"endpoints":[` + strings.Join(entries, ",") + `]}`
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.URL.Query().Has("from") {
			_, _ = io.WriteString(w, list)
			return
		}
		select { // the list never changes
		case <-r.Context().Done():
		case <-time.After(400 * time.Millisecond):
			_, _ = io.WriteString(w, `{"index":5,"snapshot":false,"endpoints":[]}`)
		}
	})}
	l := listen(t)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// respond answers a request like a server of the tier.
func respond(w io.Writer, request *http.Request, _ int) (keepOpen bool) {
	time.Sleep(serviceTime)
	if request.URL.Path != longPath {
		_, err := io.WriteString(w, proxytest.OKResponse)
		return err == nil
	}
	if _, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longBody); err != nil {
		return false
	}
	chunk := make([]byte, 256<<10)
	for left := longBody; left > 0; left -= len(chunk) {
		if _, err := w.Write(chunk); err != nil {
			return false
		}
	}
	return true
}

// proxyProcess is a proxy that runs as a process.
type proxyProcess struct {
	*process.Process
	address string // for clients
	log     string // path of its log
}

// limits are the limits of a proxy, as in its configuration.
type limits struct {
	memoryMB    int
	descriptors int
}

// startProxy starts a proxy and waits until it is ready. The process ends with the test.
func startProxy(t *testing.T, discovery string, l limits) *proxyProcess {
	t.Helper()
	dir := t.TempDir()
	reserved := listen(t)
	p := &proxyProcess{address: reserved.Addr().String(), log: filepath.Join(dir, "log")}
	reserved.Close()
	settings := `{"contract":{"ask_every_us":10000000,"drain_grace_us":1000000},"failure_domains":["a"],` +
		`"limits":{"dial_timeout_us":250000,"idle_close_us":5000000,"try_limit":3},"membership_mode":"subscribe",` +
		`"profiles":[{"give_up_us":4000000,"name":"enrol","objective_us":1500000,"repeat":"at_most_once","worth":1},` +
		`{"give_up_us":5000000,"name":"read","objective_us":2000000,"repeat":"deduplicated","dedup_scope":"zone","dedup_window_us":7500000,"worth":1}],` +
		`"siblings":1,"tiers":["entry"]}`
	text, err := json.Marshal(map[string]any{"name": "n1", "listen": p.address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": l.memoryMB, "sockets": l.descriptors},
		"settings": json.RawMessage(settings)})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	starter := process.NewStarter()
	p.Process, err = starter.Start(process.Spec{Name: "n1", Command: []string{proxyProgram}, Log: p.log,
		Env: append(os.Environ(), "LB_CONFIG="+path, "TMPDIR="+dir)})
	if err != nil {
		starter.Close()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := p.Kill(); err != nil {
			t.Error(err)
		}
		starter.Close()
	})
	for end := time.Now().Add(startTimeout); !p.isHealthy(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the proxy is not ready; its log:\n%s", p.logText())
		}
	}
	return p
}

func (p *proxyProcess) isHealthy() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+"/_health", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *proxyProcess) logText() string {
	text, _ := os.ReadFile(p.log)
	return string(text)
}

// peakKB returns the most memory in KB that the process has had resident so far. The test fails if it has ended.
func (p *proxyProcess) peakKB(t *testing.T) int {
	t.Helper()
	peak := process.PeakMemory(p.PID())
	if p.Crashed() || peak == 0 {
		t.Fatalf("the proxy has ended; its log:\n%s", p.logText())
	}
	return int(peak >> 10)
}
