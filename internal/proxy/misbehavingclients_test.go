package proxy

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/settings"
)

// repeatedByte returns a reader of n bytes.
func repeatedByte(n int64) io.Reader {
	return io.LimitReader(readerFunc(func(p []byte) (int, error) {
		for i := range p {
			p[i] = 'x'
		}
		return len(p), nil
	}), n)
}

// TestOversizedInputIsClosedInTime checks that a client that sends 60 MB that are no valid request gets an
// error or a closed connection within 6 s, even if it reads nothing while it sends.
func TestOversizedInputIsClosedInTime(t *testing.T) {
	p, b := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	for name, head := range map[string]string{
		"no head's end": "GET /look/k HTTP/1.1\r\nHost: h\r\nX: ",
		"no line":       "",
		"a body":        proxytest.PostRequest("1", "Content-Length: 60000000"),
		"on a GET":      strings.Replace(proxytest.LookRequest("2", 4000), "Tenant: acme", "Content-Length: 60000000", 1),
		"no class":      strings.ReplaceAll(proxytest.PostRequest("3", "Content-Length: 60000000"), "post", "leap"),
		"a bare LF":     "GET /look/k HTTP/1.1\nHost: h\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := connect(t, p)
			start := time.Now()
			_ = c.SetDeadline(start.Add(proxytest.Timeout))
			_, err := io.Copy(struct{ io.Writer }{c},
				io.MultiReader(strings.NewReader(head), repeatedByte(60e6)))
			if err == nil {
				var got bytes.Buffer
				_, err = got.ReadFrom(c)
				if got.Len() > 0 {
					err = io.EOF
				}
			}
			if took := time.Since(start); took > 6*time.Second {
				t.Errorf("got %v; the connection ended after %v, want at most 6 s", err, took)
			}
		})
	}
	t.Cleanup(func() {
		if n := b.Requests.Load(); n > 0 {
			t.Errorf("%d requests reached the backend, want none", n)
		}
	})
}

// TestSIGTERMBeforeRun checks that a SIGTERM between New and Run ends the process, after the clients that
// have connected by then have got a response.
func TestSIGTERMBeforeRun(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	site, err := settings.Decode([]byte(proxytest.SiteJSON))
	if err != nil {
		t.Fatal(err)
	}
	known, err := discovery.Parse([]byte(listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing))))
	if err != nil {
		t.Fatal(err)
	}
	proxy, err := New(Config{Listen: "127.0.0.1:0", Discovery: discovery.Source{Address: startDiscovery(t).addr}, Seed: 7, MaxDescriptors: 200,
		Site: site, Managed: true, StateDir: t.TempDir(), InitialList: known, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	c := connect(t, &runningProxy{Proxy: proxy})
	c.Send(t, proxytest.LookRequest("1", 4000))
	done := make(chan error, 1)
	go func() { done <- proxy.Run(ctx) }()
	if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 {
		t.Errorf("got %s, want 200", resp.Status)
	}
	if err := proxytest.Receive(t, "end of Run", done); err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", proxy.Addr()); err == nil {
		t.Error("the listener is still open")
	} else if !strings.Contains(err.Error(), syscall.ECONNREFUSED.Error()) {
		t.Error(err)
	}
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
