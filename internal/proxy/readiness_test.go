package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/proxytest"
)

// pollingSiteJSON holds settings with which the proxy polls discovery for the list, at an interval of
// minutes.
var pollingSiteJSON = strings.NewReplacer(`"membership_mode":"automatic"`, `"membership_mode":"subscribe"`,
	`{"contract":{`, `{"contract":{"ask_every_us":300000000,`).Replace(proxytest.SiteJSON)

// TestReadinessNamesWhatIsMissing checks that a proxy that starts without a list while discovery is down
// reports what is missing, and becomes ready soon after discovery recovers, whatever the poll interval.
func TestReadinessNamesWhatIsMissing(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var down atomic.Bool
	down.Store(true)
	var calls atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1); down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !r.URL.Query().Has("from") {
			_, _ = io.WriteString(w, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
			return
		}
		<-r.Context().Done()
	}))
	s.Listener.Close()
	s.Listener = listener
	s.Start()
	t.Cleanup(s.Close)
	p := startSite(t, pollingSiteJSON, listener.Addr().String(), 200, "", t.TempDir())
	proxytest.WaitUntil(t, func() bool { return p.frontend.IsServing() && calls.Load() >= 4 })
	if missing := p.NotReadyReason(); p.Ready() || !strings.Contains(missing, "no list") ||
		!strings.Contains(missing, listener.Addr().String()) {
		t.Errorf("got ready %v with the reason %q, want not ready for lack of a list", p.Ready(), missing)
	}
	down.Store(false)
	back := time.Now()
	proxytest.WaitUntil(t, p.Ready)
	if took := time.Since(back); took > 5*time.Second {
		t.Errorf("ready %v after discovery recovered, want at most 5 s", took)
	}
	p.stop()
	proxytest.WaitUntil(t, func() bool { return p.NotReadyReason() == "it drains" })
}

// TestLastKnownServersAreKept checks that the last known servers are used while discovery is down, hangs or
// sends malformed lists. A proxy with a list from its configuration is ready with it; here it does not wait
// for discovery to confirm it.
func TestLastKnownServersAreKept(t *testing.T) {
	for _, how := range []string{"down", "503", "deaf", "nonsense"} {
		t.Run(how, func(t *testing.T) {
			b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
			var calls atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				switch how {
				case "down":
					panic(http.ErrAbortHandler)
				case "503":
					w.WriteHeader(http.StatusServiceUnavailable)
				case "nonsense":
					_, _ = io.WriteString(w, listJSON(9, true, endpointJSON("a", "nowhere", discovery.StatusServing)))
				default:
					<-r.Context().Done()
				}
			}))
			t.Cleanup(s.Close)
			known := listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing))
			p := startSite(t, pollingSiteJSON, strings.TrimPrefix(s.URL, "http://"), 200, known, t.TempDir())
			proxytest.WaitUntil(t, p.Ready)
			lost := 4
			if how == "deaf" {
				lost = 1 // each failed call takes two seconds
			}
			for i := range lost {
				proxytest.WaitUntil(t, func() bool { return calls.Load() > int32(i+1) })
				c := connect(t, p)
				c.Send(t, proxytest.LookRequest(fmt.Sprint(i), 4000))
				if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 {
					t.Errorf("request %d, after %d failed calls to discovery: got %s, want 200",
						i, calls.Load(), resp.Status)
				}
			}
			if !p.Ready() {
				t.Error(p.NotReadyReason())
			}
		})
	}
}
