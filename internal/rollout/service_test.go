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

// What a member may be.
const (
	well    = ""
	dead    = "dead"    // refuses, and breaks off what it held
	silent  = "silent"  // never answers
	lost    = "lost"    // 503 at once
	cut     = "cut"     // knows nothing new; 503 once that has lasted for stale
	garbled = "garbled" // answers half
	hasty   = "hasty"   // holds no watch
	brazen  = "brazen"  // tells what it has, also what is older than what was asked for
)

const stale = 2250 * time.Millisecond // the service's own bound

// service stands in for the members, on the test's clock.
type service struct {
	mu      sync.Mutex
	members map[string]*fake
	changed chan struct{}
	start   time.Time
	calls   []time.Duration // since the start
	asked   []string        // the members of these calls
	said    map[string]string
}

type fake struct {
	state   string
	since   time.Time
	line    string
	version int64
	text    string
	before  *fake // what it knows while it is cut off
}

func newService(version int64) *service {
	s := &service{members: map[string]*fake{}, changed: make(chan struct{}), start: time.Now(), said: map[string]string{}}
	for i := range 5 {
		s.members[fmt.Sprint("m", i+1)] = &fake{line: "one", version: version, text: text(version)}
	}
	return s
}

func text(version int64) string { return fmt.Sprintf(`{"n":%d}`, version) }

// set changes members and wakes those who watch.
func (s *service) set(do func(name string, m *fake)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, m := range s.members {
		was := *m
		do(name, m)
		if m.state != was.state {
			m.since, m.before = time.Now(), &was
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put has all members know another version.
func (s *service) put(version int64) {
	s.set(func(_ string, m *fake) { m.version, m.text = version, text(version) })
}

// watched is the member that was asked last.
func (s *service) watched() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked[len(s.asked)-1]
}

// next are the members that a client asks after the watched one.
func (s *service) heard() (map[string]string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.said), len(s.calls)
}

func (s *service) RoundTrip(r *http.Request) (*http.Response, error) {
	q := r.URL.Query()
	hold, _ := strconv.Atoi(q.Get("hold_ms"))
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	until := time.After(time.Duration(hold) * time.Millisecond)
	s.mu.Lock()
	s.calls, s.asked = append(s.calls, time.Since(s.start)), append(s.asked, r.URL.Host)
	s.mu.Unlock()
	for over := false; ; {
		s.mu.Lock()
		m, changed := *s.members[r.URL.Host], s.changed
		if m.state == well {
			for key := range q {
				s.said[key] = q.Get(key)
			}
			if !q.Has("refused") {
				delete(s.said, "refused")
				delete(s.said, "why")
			}
		}
		s.mu.Unlock()
		answer := func(status int, format string, args ...any) (*http.Response, error) {
			return &http.Response{StatusCode: status, Status: strconv.Itoa(status), Body: io.NopCloser(strings.NewReader(fmt.Sprintf(format, args...)))}, nil
		}
		turns := time.After(time.Hour)
		if m.state == cut {
			left := stale - time.Since(m.since)
			if left <= 0 {
				return answer(http.StatusServiceUnavailable, "stale")
			}
			m.version, m.text, turns = m.before.version, m.before.text, time.After(left)
		}
		switch {
		case m.state == dead:
			return nil, errors.New("connection refused")
		case m.state == silent:
			<-r.Context().Done()
			return nil, r.Context().Err()
		case m.state == lost:
			return answer(http.StatusServiceUnavailable, "lost")
		case m.state == garbled:
			return answer(http.StatusOK, `{"version":9`)
		case q.Get("line") != m.line || from < m.version || m.state == brazen:
			document := ""
			if m.version > 0 {
				document = `,"document":` + m.text
			}
			return answer(http.StatusOK, `{"service":"tarifas","line":%q,"version":%d%s}`, m.line, m.version, document)
		case from > m.version && over:
			return answer(http.StatusServiceUnavailable, "behind")
		case over, m.state == hasty:
			return answer(http.StatusOK, `{"service":"tarifas","line":%q,"version":%d}`, m.line, m.version)
		}
		select {
		case <-changed:
		case <-turns:
		case <-until:
			over = true
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// applied is what a client has put in force.
type applied struct {
	mu      sync.Mutex
	text    string
	at      time.Time
	n       int
	tried   int
	refuses string // a text that holds this is refused
}

func (a *applied) Apply(_ int64, document []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tried++
	if a.refuses != "" && strings.Contains(string(document), a.refuses) {
		return errors.New("settings.x: is refused")
	}
	a.text, a.at, a.n = string(document), time.Now(), a.n+1
	return nil
}

func (a *applied) now() (string, time.Time, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.text, a.at, a.n
}

func (a *applied) refuse(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuses = what
}

// client runs a client of the service in the test's bubble.
func (s *service) client(t *testing.T, seed uint64, dir string, known *CachedConfig) (*Client, *applied) {
	a := &applied{}
	c := New(Config{Service: "tarifas", ProxyName: "p1", Members: []string{"m1", "m2", "m3", "m4", "m5"}, Seed: seed, StateDir: dir,
		Logger: slog.New(slog.DiscardHandler)}, a)
	c.http.Transport = s
	if known != nil {
		c.SetInitial(known, nil)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	return c, a
}

// bubble plays a test on its own clock.
func bubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

func sleep(d time.Duration) { time.Sleep(d); synctest.Wait() }
