package rollout

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// States of a fakeMember.
const (
	healthy      = ""
	dead         = "dead"           // refuses connections, and resets those that were open
	silent       = "silent"         // accepts calls and never answers them
	leaderLost   = "leader lost"    // answers 503 at once
	partitioned  = "partitioned"    // receives no changes; answers 503 after maxStaleness
	malformed    = "malformed"      // answers with an incomplete message
	holdsNoWatch = "holds no watch" // answers watches at once
	answersOlder = "answers older"  // answers with a version older than the one in the request
)

const maxStaleness = 2250 * time.Millisecond // the registry's own bound on how stale a member may be

// fakeRegistry simulates the registry's members on the test's virtual clock.
type fakeRegistry struct {
	mu            sync.Mutex
	members       map[string]*fakeMember
	changed       chan struct{}
	start         time.Time
	calls         []time.Duration   // times of the calls, since the start
	calledMembers []string          // the member of each of these calls
	reported      map[string]string // query parameters of the latest calls
}

// fakeMember is the state of one member of a fakeRegistry.
type fakeMember struct {
	state       string
	since       time.Time // when it took that state
	epoch       string
	version     int64
	document    string
	atPartition *fakeMember // its contents when it took that state, which it has while it is partitioned
}

func newFakeRegistry(version int64) *fakeRegistry {
	registry := &fakeRegistry{members: map[string]*fakeMember{}, changed: make(chan struct{}), start: time.Now(), reported: map[string]string{}}
	for i := range 5 {
		registry.members[fmt.Sprint("m", i+1)] = &fakeMember{epoch: "one", version: version, document: documentOf(version)}
	}
	return registry
}

// documentOf returns the document of a version.
func documentOf(version int64) string { return fmt.Sprintf(`{"n":%d}`, version) }

// set changes the members and wakes their watches.
func (f *fakeRegistry) set(update func(name string, m *fakeMember)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, m := range f.members {
		before := *m
		update(name, m)
		if m.state != before.state {
			m.since, m.atPartition = time.Now(), &before
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// publish makes all members confirm another version.
func (f *fakeRegistry) publish(version int64) {
	f.set(func(_ string, m *fakeMember) { m.version, m.document = version, documentOf(version) })
}

// lastCalled returns the member that was called last.
func (f *fakeRegistry) lastCalled() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calledMembers[len(f.calledMembers)-1]
}

// reports returns the parameters of the latest calls, and the number of calls.
func (f *fakeRegistry) reports() (map[string]string, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.reported), len(f.calls)
}

// RoundTrip answers a call as the member would that the request is sent to.
func (f *fakeRegistry) RoundTrip(r *http.Request) (*http.Response, error) {
	query := r.URL.Query()
	hold, _ := strconv.Atoi(query.Get("hold_ms"))
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	until := time.After(time.Duration(hold) * time.Millisecond)
	f.mu.Lock()
	f.calls, f.calledMembers = append(f.calls, time.Since(f.start)), append(f.calledMembers, r.URL.Host)
	f.mu.Unlock()
	for holdExpired := false; ; {
		f.mu.Lock()
		m, changed := *f.members[r.URL.Host], f.changed
		if m.state == healthy {
			for key := range query {
				f.reported[key] = query.Get(key)
			}
			if !query.Has("refused") {
				delete(f.reported, "refused")
				delete(f.reported, "why")
			}
		}
		f.mu.Unlock()
		answer := func(status int, format string, args ...any) (*http.Response, error) {
			return &http.Response{StatusCode: status, Status: strconv.Itoa(status), Body: io.NopCloser(strings.NewReader(fmt.Sprintf(format, args...)))}, nil
		}
		becomesStale := time.After(time.Hour)
		if m.state == partitioned {
			left := maxStaleness - time.Since(m.since)
			if left <= 0 {
				return answer(http.StatusServiceUnavailable, "stale")
			}
			m.version, m.document, becomesStale =
				m.atPartition.version, m.atPartition.document, time.After(left)
		}
		switch {
		case m.state == dead:
			return nil, errors.New("connection refused")
		case m.state == silent:
			<-r.Context().Done()
			return nil, r.Context().Err()
		case m.state == leaderLost:
			return answer(http.StatusServiceUnavailable, "lost")
		case m.state == malformed:
			return answer(http.StatusOK, `{"version":9`)
		case query.Get("line") != m.epoch || from < m.version || m.state == answersOlder:
			document := ""
			if m.version > 0 {
				document = `,"document":` + m.document
			}
			return answer(http.StatusOK, `{"service":"tarifas","line":%q,"version":%d%s}`, m.epoch, m.version, document)
		case from > m.version && holdExpired:
			return answer(http.StatusServiceUnavailable, "behind")
		case holdExpired, m.state == holdsNoWatch:
			return answer(http.StatusOK, `{"service":"tarifas","line":%q,"version":%d}`, m.epoch, m.version)
		}
		select {
		case <-changed:
		case <-becomesStale:
		case <-until:
			holdExpired = true
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// recordingApplier records the documents that a client applies.
type recordingApplier struct {
	mu              sync.Mutex
	document        string
	appliedAt       time.Time
	count           int    // documents applied
	attempts        int    // calls of Apply
	rejectSubstring string // documents that contain this are rejected; empty: none
}

func (a *recordingApplier) Apply(_ int64, document []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts++
	if a.rejectSubstring != "" && strings.Contains(string(document), a.rejectSubstring) {
		return errors.New("settings.x: is refused")
	}
	a.document, a.appliedAt, a.count = string(document), time.Now(), a.count+1
	return nil
}

func (a *recordingApplier) current() (string, time.Time, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.document, a.appliedAt, a.count
}

func (a *recordingApplier) reject(substring string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rejectSubstring = substring
}

// client runs a client of the registry until the test ends.
func (f *fakeRegistry) client(t *testing.T, seed uint64, dir string, known *CachedConfig) (*Client, *recordingApplier) {
	applier := &recordingApplier{}
	c := New(Config{Service: "tarifas", ProxyName: "p1", Members: []string{"m1", "m2", "m3", "m4", "m5"}, Seed: seed, CacheDir: dir,
		Logger: slog.New(slog.DiscardHandler)}, applier)
	c.http.Transport = f
	if known != nil {
		c.SetInitial(known, nil)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	return c, applier
}

// bubble runs a subtest on a virtual clock.
func bubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// sleep advances the virtual clock and waits until all goroutines are blocked.
func sleep(d time.Duration) { time.Sleep(d); synctest.Wait() }
