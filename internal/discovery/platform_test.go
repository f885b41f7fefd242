package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// roundTrip stands in for discovery and its network.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// A watch that fell silent is given up while its news does not count as told, and the next one goes on from its version.
func TestASilentWatchIsTakenUpAgainFromItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Config{Source: Source{Address: "127.0.0.1:1"}, Subscribe: true, Log: slog.New(slog.DiscardHandler)})
		c.Known(&List{Index: 5, Full: true})
		var calls []string
		c.http.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
			calls = append(calls, r.URL.Query().Get("from"))
			if len(calls) != 2 {
				return answer(`{"index":6,"snapshot":false,"endpoints":[]}`), nil
			}
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		ctx, stop := context.WithCancel(t.Context())
		go c.Run(ctx)
		c.Ask()
		<-c.News()
		start := time.Now()
		if n := <-c.News(); n.List == nil {
			t.Error("the module was told of a failure")
		}
		if took := time.Since(start); took <= holdLeast || took >= 6*time.Second-time.Second {
			t.Errorf("heard again after %v; it counts as told after 6 s", took)
		}
		stop()
		if got := strings.Join(calls[:3], " "); got != "5 6 6" {
			t.Errorf("calls went from versions %s", got)
		}
	})
}

func answer(text string) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}
}

// With a subscription the module is not asked again: for all it knows the one that it asked for stands.
func TestASubscriptionMovesUnasked(t *testing.T) {
	at := func(index int) (addr string, calls chan string) {
		calls = make(chan string, 10)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- r.URL.RawQuery
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
				return
			}
			fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[]}`, index)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://"), calls
	}
	first, calls := at(5)
	second, _ := at(3)
	c := New(Config{Source: Source{Address: first}, Subscribe: true, Log: slog.New(slog.DiscardHandler)})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	c.Ask()
	if n := <-c.News(); n.List == nil || n.List.Index != 5 {
		t.Errorf("got %+v", n.List)
	}
	<-calls
	<-calls // the watch is held
	c.Move(Source{Address: second})
	if n := <-c.News(); n.List == nil || n.List.Index != 3 {
		t.Errorf("got %+v", n.List)
	}
	stop()
	<-ended
}
