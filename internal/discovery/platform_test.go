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

// roundTrip simulates discovery and the network.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// A watch without an answer times out well before NotifyDeadline. The next one requests the changes since the
// same version.
func TestTimedOutWatchContinuesFromVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Config{Source: Source{Address: "127.0.0.1:1"}, Logger: slog.New(slog.DiscardHandler)})
		c.SetInitialList(&List{Version: 5, Snapshot: true})
		var calls []string
		c.http.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
			calls = append(calls, r.URL.Query().Get("from"))
			if len(calls) != 2 {
				return okResponse(`{"index":6,"snapshot":false,"endpoints":[]}`), nil
			}
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		ctx, stop := context.WithCancel(t.Context())
		go c.Run(ctx)
		<-c.Updates()
		start := time.Now()
		if n := <-c.Updates(); n.List == nil {
			t.Error("the update has no list")
		}
		if took := time.Since(start); took <= watchHoldMin || took >= 6*time.Second-time.Second {
			t.Errorf("updated after %v; a change counts as known after 6 s", took)
		}
		stop()
		synctest.Wait() // a call is in progress
		if got := strings.Join(calls[:3], " "); got != "5 6 6" {
			t.Errorf("calls requested the changes since versions %s, want 5 6 6", got)
		}
	})
}

// After a change of source the client requests the changes since its version, and later the full list once:
// another service may answer for that version too.
func TestSourceChangeSchedulesResync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Config{Source: Source{Address: "127.0.0.1:1"}, Logger: slog.New(slog.DiscardHandler)})
		c.SetInitialList(&List{Version: 5, Snapshot: true})
		c.scheduleResync()
		start, fullCalls := time.Now(), []time.Duration(nil)
		c.http.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
			if hold, _ := time.ParseDuration(r.URL.Query().Get("hold_ms") + "ms"); hold > 0 {
				select {
				case <-time.After(hold):
					return okResponse(`{"index":5,"snapshot":false,"endpoints":[]}`), nil
				case <-r.Context().Done():
					return nil, r.Context().Err()
				}
			}
			if fullCalls = append(fullCalls, time.Since(start)); len(fullCalls) == 1 {
				return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
			}
			return okResponse(`{"index":5,"snapshot":true,"endpoints":[]}`), nil
		})
		ctx, stop := context.WithCancel(t.Context())
		go c.Run(ctx)
		go func() {
			for {
				select {
				case <-c.Updates():
				case <-ctx.Done():
					return
				}
			}
		}()
		time.Sleep(10 * time.Minute)
		stop()
		synctest.Wait()
		if len(fullCalls) != 2 || fullCalls[0] < resyncDelayMin || fullCalls[0] > resyncDelayMin+resyncDelayJitter+5*time.Second ||
			fullCalls[1]-fullCalls[0] < resyncDelayMin {
			t.Errorf("the full list was requested at %v", fullCalls)
		}
	})
}

// After a change of source the client publishes the new source's list, even with a lower version.
func TestWatchFollowsSourceChange(t *testing.T) {
	serveVersion := func(index int) (addr string, calls chan string) {
		calls = make(chan string, 10)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- r.URL.RawQuery
			if q := r.URL.Query(); q.Has("from") {
				hold, _ := time.ParseDuration(q.Get("hold_ms") + "ms")
				select {
				case <-time.After(hold):
					fmt.Fprintf(w, `{"index":%d,"snapshot":false,"endpoints":[]}`, index)
				case <-r.Context().Done():
				}
				return
			}
			fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[]}`, index)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://"), calls
	}
	first, calls := serveVersion(5)
	second, _ := serveVersion(3)
	c := New(Config{Source: Source{Address: first}, Logger: slog.New(slog.DiscardHandler)})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	if n := <-c.Updates(); n.List == nil || n.List.Version != 5 {
		t.Errorf("got %+v, want version 5", n.List)
	}
	<-calls
	<-calls // the watch is in progress
	c.SetSource(Source{Address: second})
	if n := <-c.Updates(); n.List == nil || n.List.Version != 3 || !n.List.Snapshot {
		t.Errorf("got %+v, want a full list of version 3", n.List)
	}
	stop()
	<-ended
}

// An update that waits for its reader is not lost when the source changes.
func TestSourceChangeLosesNoUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Config{Source: Source{Address: "127.0.0.1:1"}, Logger: slog.New(slog.DiscardHandler)})
		c.SetInitialList(&List{Version: 5, Snapshot: true})
		calls := 0
		transport := roundTrip(func(r *http.Request) (*http.Response, error) {
			if calls++; calls == 1 {
				return okResponse(`{"index":6,"snapshot":false,"endpoints":[]}`), nil
			}
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		c.makeHTTPClient = func(Source) *http.Client { return &http.Client{Transport: transport} }
		c.http = c.makeHTTPClient(Source{})
		ctx, stop := context.WithCancel(t.Context())
		go c.Run(ctx)
		synctest.Wait() // the update waits for its reader
		c.SetSource(Source{Address: "127.0.0.1:2"})
		synctest.Wait()
		select {
		case n := <-c.Updates():
			if n.List.Version != 6 {
				t.Errorf("got version %d, want 6", n.List.Version)
			}
		case <-time.After(time.Minute):
			t.Error("the update was lost")
		}
		stop()
	})
}

// After a reused connection is lost under a watch, the client makes a new call with the timeout of such a
// call. The retry of net/http would wait in the queue with what is left of the watch's timeout.
func TestLostConnectionIsNotRetriedSilently(t *testing.T) {
	var holds []string // requested holds, which tell watches from other calls
	calls := make(chan struct{}, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holds = append(holds, r.URL.Query().Get("hold_ms"))
		calls <- struct{}{}
		switch len(holds) {
		case 1:
			fmt.Fprint(w, `{"index":5,"snapshot":false,"endpoints":[]}`)
		case 2:
			panic(http.ErrAbortHandler)
		default:
			<-r.Context().Done()
		}
	}))
	defer s.Close()
	c := New(Config{Source: Source{Address: strings.TrimPrefix(s.URL, "http://")}, Logger: slog.New(slog.DiscardHandler)})
	c.SetInitialList(&List{Version: 5, Snapshot: true})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	<-c.Updates()
	for range 3 {
		<-calls
	}
	stop()
	<-ended
	if first := fmt.Sprint(pollHold.Milliseconds()); holds[0] != first ||
		holds[1] == first || holds[2] != first {
		t.Errorf("calls requested holds of %v ms; only the first may have the hold of a poll", holds)
	}
}
