package discovery

import (
	"context"
	"fmt"
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

// A watch that hung was given up 3 s after its wait, when its news had counted as told for a second.
func TestASilentWatchIsGivenUpBeforeItsNewsCountsAsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Config{Source: Source{Address: "127.0.0.1:1"}, Log: slog.New(slog.DiscardHandler)})
		c.http.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		start := time.Now()
		if _, err := c.call(t.Context(), 5); err == nil {
			t.Error("a silent watch gave a list")
		}
		if took := time.Since(start); took <= watchHold || took >= watchHold+2*time.Second {
			t.Errorf("given up after %v", took)
		}
	})
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
