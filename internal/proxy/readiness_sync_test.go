package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/proxytest"
)

// TestSuccessorWaitsForEndpointList checks that a new process is not ready before discovery has confirmed its
// list: the list in its configuration may be of any age, and the process would send to servers that were
// removed. It does not wait if discovery is unreachable, nor longer than its sync timeout.
func TestSuccessorWaitsForEndpointList(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	known := listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing))
	start := func(
		t *testing.T, handler http.HandlerFunc, syncTimeout time.Duration,
	) (*runningProxy, chan struct{}) {
		t.Helper()
		called := make(chan struct{}, 1)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case called <- struct{}{}:
			default:
			}
			handler(w, r)
		}))
		t.Cleanup(s.Close)
		p := startSiteWithSyncTimeout(t, pollingSiteJSON, strings.TrimPrefix(s.URL, "http://"), known,
			syncTimeout)
		proxytest.Receive(t, "call for the list", called)
		proxytest.WaitUntil(t, p.frontend.IsServing)
		return p, called
	}
	t.Run("until it is confirmed", func(t *testing.T) {
		answer := make(chan struct{}, 1)
		p, _ := start(t, func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-answer:
				_, _ = io.WriteString(w, listJSON(1, false))
			case <-r.Context().Done():
			}
		}, time.Minute)
		if missing := p.NotReadyReason(); !strings.Contains(missing, "not confirmed") {
			t.Errorf("before discovery has answered: got the reason %q, want one with \"not confirmed\"",
				missing)
		}
		answer <- struct{}{} // the watch that follows waits
		proxytest.WaitUntil(t, p.Ready)
	})
	t.Run("not where discovery is out of reach", func(t *testing.T) {
		p, _ := start(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, time.Minute)
		proxytest.WaitUntil(t, p.Ready)
	})
	t.Run("not where it is down", func(t *testing.T) {
		p, _ := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, time.Minute)
		proxytest.WaitUntil(t, p.Ready)
	})
	t.Run("not for longer than its bound", func(t *testing.T) {
		p, _ := start(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 100*time.Millisecond)
		proxytest.WaitUntil(t, p.Ready)
	})
}
