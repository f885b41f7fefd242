package proxy

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/settings"
)

// fakeDiscovery is a discovery server. It sends the queued responses in order, one per call, and lets calls
// wait while there is none.
type fakeDiscovery struct {
	addr      string
	responses chan string   // the queued responses; "" breaks the connection
	calls     chan string   // the URL query of each call
	stop      chan struct{} // closed to end the waiting calls
	refusing  atomic.Bool   // further calls are reset
}

// startDiscovery starts a fakeDiscovery without responses.
func startDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{responses: make(chan string, 10), calls: make(chan string, 1000), stop: make(chan struct{})}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls <- r.URL.RawQuery
		if d.refusing.Load() {
			panic(http.ErrAbortHandler)
		}
		select {
		case text := <-d.responses:
			if text == "" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, text)
		case <-d.stop:
		case <-r.Context().Done():
		}
	}))
	d.addr = strings.TrimPrefix(s.URL, "http://")
	t.Cleanup(func() { close(d.stop); s.Close() })
	return d
}

// listJSON returns an endpoint list, complete (full) or a delta, as discovery sends it.
func listJSON(index int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, full, strings.Join(entries, ","))
}

// endpointJSON returns an entry of an endpoint list in zone a, as discovery sends it.
func endpointJSON(name, addr, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":1,"status":%q,"weight":1,"since_ms":0}`,
		name, addr, status)
}

// runningProxy is a proxy whose Run has been called.
type runningProxy struct {
	*Proxy
	stop context.CancelFunc // has the effect of SIGTERM
	done chan error         // receives the result of Run

	breaksRules bool // the test makes the proxy break a rule
}

// startProxy starts a proxy with a new state directory. list is the address of discovery, sockets the
// descriptor limit, and known the initial endpoint list as JSON, or "".
func startProxy(t *testing.T, list string, sockets int, known string) *runningProxy {
	t.Helper()
	return startProxyAt(t, list, sockets, known, t.TempDir())
}

// startProxyAt starts a proxy with the given state directory.
func startProxyAt(t *testing.T, list string, sockets int, known, state string) *runningProxy {
	t.Helper()
	return startSite(t, proxytest.SiteJSON, list, sockets, known, state)
}

// startSite starts a proxy with the given settings as JSON.
func startSite(t *testing.T, text, list string, sockets int, known, state string) *runningProxy {
	t.Helper()
	return startWithSyncTimeout(t, text, list, sockets, known, state, 0)
}

// startSiteWithSyncTimeout starts a proxy that waits up to syncTimeout for discovery to confirm its list.
func startSiteWithSyncTimeout(
	t *testing.T, text, list, known string, syncTimeout time.Duration,
) *runningProxy {
	t.Helper()
	return startWithSyncTimeout(t, text, list, 200, known, t.TempDir(), syncTimeout)
}

// startWithSyncTimeout starts a proxy with the given sync timeout. At the end of the test it stops the proxy
// and checks that the proxy broke no rule, unless breaksRules is set.
func startWithSyncTimeout(
	t *testing.T, text, list string, sockets int, known, state string, syncTimeout time.Duration,
) *runningProxy {
	t.Helper()
	site, err := settings.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Listen: "127.0.0.1:0", Discovery: discovery.Source{Address: list}, Seed: 7, MaxDescriptors: sockets, Site: site,
		Managed: true, StateDir: state, Logger: slog.New(slog.DiscardHandler)}
	if known != "" {
		if cfg.InitialList, err = discovery.Parse([]byte(known)); err != nil {
			t.Fatal(err)
		}
	}
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	p.syncTimeout = syncTimeout
	ctx, stop := context.WithCancel(context.Background())
	r := &runningProxy{Proxy: p, stop: stop, done: make(chan error, 1)}
	ended := make(chan struct{})
	go func() { defer close(ended); r.done <- p.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		proxytest.Receive(t, "end of the proxy", ended)
		for rule, n := range p.Metrics().RuleViolations { // checked in every test
			if n > 0 && !r.breaksRules {
				t.Errorf("the proxy broke the rule %s %d times", rule, n)
			}
		}
	})
	return r
}

// startServing starts a proxy with one backend.
func startServing(
	t *testing.T, reply func(io.Writer, *http.Request, int) bool,
) (*runningProxy, *proxytest.Backend) {
	t.Helper()
	b := proxytest.StartBackend(t, reply)
	return startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing))), b
}

// connLimit returns the limit of client connections of a proxy.
func connLimit(p *runningProxy) int {
	conns, _ := p.frontend.Limits()
	return conns
}

// bufferedHeads returns how many bytes of request headers and first bytes of bodies a proxy has buffered.
func bufferedHeads(p *runningProxy) int {
	_, heads, _ := p.frontend.BufferedBytes()
	return heads
}

// connect opens a client connection to a proxy.
func connect(t *testing.T, p *runningProxy) *proxytest.Client {
	t.Helper()
	return proxytest.Connect(t, p.Addr())
}
