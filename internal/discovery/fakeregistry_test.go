package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fakeRegistry simulates the registry's members on the test's virtual clock. Each member has a list and a
// fault of its own.
type fakeRegistry struct {
	mu           sync.Mutex
	members      map[string]*fakeMember
	changed      chan struct{}
	calls        []time.Duration // times of the calls, since the start
	start        time.Time
	lastAnswered string // the healthy member called last before the last set
}

// fakeMember is the state of one member of a fakeRegistry.
type fakeMember struct {
	epoch       string
	version     int64
	names       []string
	oldestKnown int64  // calls for the changes since an older version get a full list
	state       string // its fault; empty: none
	lastCall    int    // number of the last call to it
}

func newFakeRegistry(epoch string, version int64, names ...string) *fakeRegistry {
	registry := &fakeRegistry{members: map[string]*fakeMember{}, changed: make(chan struct{}), start: time.Now()}
	for _, m := range []string{"m1", "m2", "m3"} {
		registry.members[m] = &fakeMember{epoch: epoch, version: version, names: names, oldestKnown: version}
	}
	return registry
}

// set changes the members and wakes their watches.
func (f *fakeRegistry) set(update func(name string, m *fakeMember)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := -1
	f.lastAnswered = ""
	for name, m := range f.members {
		if m.state == "" && m.lastCall > last {
			f.lastAnswered, last = name, m.lastCall
		}
	}
	for name, m := range f.members {
		update(name, m)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// RoundTrip answers a call as the member would that the request is sent to.
func (f *fakeRegistry) RoundTrip(r *http.Request) (*http.Response, error) {
	query := r.URL.Query()
	hold, _ := strconv.Atoi(query.Get("hold_ms"))
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	until := time.After(time.Duration(hold) * time.Millisecond)
	f.mu.Lock()
	f.calls = append(f.calls, time.Since(f.start))
	f.members[r.URL.Host].lastCall = len(f.calls)
	f.mu.Unlock()
	for holdExpired := false; ; {
		f.mu.Lock()
		m, changed := *f.members[r.URL.Host], f.changed
		f.mu.Unlock()
		answer := func(status int, body string) (*http.Response, error) {
			return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}, nil
		}
		switch {
		case m.state == "dead":
			return nil, errors.New("connection refused")
		case m.state == "silent":
			<-r.Context().Done()
			return nil, r.Context().Err()
		case m.state == "unavailable":
			return answer(http.StatusServiceUnavailable, `{"error":"lost"}`)
		case m.state == "malformed":
			return answer(http.StatusOK, `{"index":9`)
		case !query.Has("from") || query.Get("line") != m.epoch ||
			from < min(m.oldestKnown, m.version) || from > m.version:
			return answer(http.StatusOK, encodeList(m, true, m.names))
		case from < m.version:
			return answer(http.StatusOK, encodeList(m, false, m.names))
		case holdExpired:
			return answer(http.StatusOK, encodeList(m, false, nil))
		}
		select {
		case <-changed:
		case <-until:
			holdExpired = true
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

func encodeList(m fakeMember, full bool, names []string) string {
	var b strings.Builder
	for i, n := range names {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":%q,"address":"127.0.0.1:1","zone":"a","status":"SERVING","weight":1,"since_ms":1}`, n)
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"line":%q,"endpoints":[%s]}`, m.version, full, m.epoch, b.String())
}

// recordedList is the list that results from a client's updates.
type recordedList struct {
	mu    sync.Mutex
	names map[string]bool
	recordedState
}

// recordedState is the state of a recordedList after its last update.
type recordedState struct {
	version int64
	at      time.Duration // time of the last update, since the start
	updates int
	list    string // sorted names, separated by spaces
}

func (r *recordedList) current() recordedState {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.recordedState
	v.list = strings.Join(slices.Sorted(maps.Keys(r.names)), " ")
	return v
}

// callTimes returns the times of the calls so far.
func (f *fakeRegistry) callTimes() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

// client runs a client of the registry until the test ends.
func (f *fakeRegistry) client(t *testing.T, seed uint64, known *List) (*Client, *recordedList) {
	c := New(Config{Source: Source{Members: []string{"m1", "m2", "m3"}}, Seed: seed, Logger: slog.New(slog.DiscardHandler)})
	c.http.Transport = f
	if known != nil {
		c.SetInitialList(known)
	}
	ctx, stop := context.WithCancel(t.Context())
	runDone := make(chan struct{})
	go func() { defer close(runDone); c.Run(ctx) }()
	recorded := &recordedList{names: map[string]bool{}}
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		for {
			select {
			case update := <-c.Updates():
				recorded.mu.Lock()
				if update.List.Snapshot {
					clear(recorded.names)
				}
				for _, e := range update.List.Endpoints {
					recorded.names[e.Name] = true
					if e.Status == StatusDeleted {
						delete(recorded.names, e.Name)
					}
				}
				recorded.version, recorded.at = update.List.Version, time.Since(f.start)
				recorded.updates++
				recorded.mu.Unlock()
			case <-ctx.Done():
				return
			}
		}
	}()
	t.Cleanup(func() { stop(); <-runDone; <-readerDone })
	return c, recorded
}

// bubble runs a subtest on a virtual clock.
func bubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// sleep advances the virtual clock and waits until all goroutines are blocked.
func sleep(d time.Duration) { time.Sleep(d); synctest.Wait() }
