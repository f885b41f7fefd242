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

// service stands in for the members, on the test's clock: a list of its own for each, and what is wrong with it.
type service struct {
	mu      sync.Mutex
	members map[string]*fake
	changed chan struct{}
	calls   []time.Duration // since the start
	start   time.Time
	watched string // the member that the only client watches, as set begins: the last one that answered
}
type fake struct {
	line  string
	index int64
	names []string
	kept  int64 // versions below this are no longer known
	state string
	last  int // call, by number
}

func newService(line string, index int64, names ...string) *service {
	s := &service{members: map[string]*fake{}, changed: make(chan struct{}), start: time.Now()}
	for _, m := range []string{"m1", "m2", "m3"} {
		s.members[m] = &fake{line: line, index: index, names: names, kept: index}
	}
	return s
}

// set changes members and wakes those who watch.
func (s *service) set(do func(name string, m *fake)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := -1
	s.watched = ""
	for name, m := range s.members {
		if m.state == "" && m.last > last {
			s.watched, last = name, m.last
		}
	}
	for name, m := range s.members {
		do(name, m)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
func (s *service) RoundTrip(r *http.Request) (*http.Response, error) {
	q := r.URL.Query()
	hold, _ := strconv.Atoi(q.Get("hold_ms"))
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	until := time.After(time.Duration(hold) * time.Millisecond)
	s.mu.Lock()
	s.calls = append(s.calls, time.Since(s.start))
	s.members[r.URL.Host].last = len(s.calls)
	s.mu.Unlock()
	for over := false; ; {
		s.mu.Lock()
		m, changed := *s.members[r.URL.Host], s.changed
		s.mu.Unlock()
		answer := func(status int, body string) (*http.Response, error) {
			return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}, nil
		}
		switch {
		case m.state == "dead":
			return nil, errors.New("connection refused")
		case m.state == "silent":
			<-r.Context().Done()
			return nil, r.Context().Err()
		case m.state == "lost":
			return answer(http.StatusServiceUnavailable, `{"error":"lost"}`)
		case m.state == "garbled":
			return answer(http.StatusOK, `{"index":9`)
		case !q.Has("from") || q.Get("line") != m.line || from < min(m.kept, m.index) || from > m.index:
			return answer(http.StatusOK, listOf(m, true, m.names))
		case from < m.index:
			return answer(http.StatusOK, listOf(m, false, m.names))
		case over:
			return answer(http.StatusOK, listOf(m, false, nil))
		}
		select {
		case <-changed:
		case <-until:
			over = true
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}
func listOf(m fake, whole bool, names []string) string {
	var b strings.Builder
	for i, n := range names {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":%q,"address":"127.0.0.1:1","zone":"a","status":"SERVING","weight":1,"since_ms":1}`, n)
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"line":%q,"endpoints":[%s]}`, m.index, whole, m.line, b.String())
}

// told is what a client has told so far, as the proxy would have it.
type told struct {
	mu    sync.Mutex
	names map[string]bool
	view
}
type view struct {
	index int64
	at    time.Duration // when, since the start
	news  int
	list  string // names in order
}

func (d *told) now() view {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view
	v.list = strings.Join(slices.Sorted(maps.Keys(d.names)), " ")
	return v
}

// made are the calls so far.
func (s *service) made() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// client runs a client of the service in the test's bubble.
func (s *service) client(t *testing.T, seed uint64, known *List) (*Client, *told) {
	c := New(Config{Source: Source{Members: []string{"m1", "m2", "m3"}}, Seed: seed, Logger: slog.New(slog.DiscardHandler)})
	c.http.Transport = s
	if known != nil {
		c.SetInitialList(known)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	d := &told{names: map[string]bool{}}
	read := make(chan struct{})
	go func() {
		defer close(read)
		for {
			select {
			case n := <-c.Updates():
				d.mu.Lock()
				if n.List.Full {
					clear(d.names)
				}
				for _, e := range n.List.Endpoints {
					d.names[e.Name] = true
					if e.Status == StatusDeleted {
						delete(d.names, e.Name)
					}
				}
				d.index, d.at = n.List.Version, time.Since(s.start)
				d.news++
				d.mu.Unlock()
			case <-ctx.Done():
				return
			}
		}
	}()
	t.Cleanup(func() { stop(); <-ended; <-read })
	return c, d
}

// bubble plays a test on its own clock.
func bubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}
func sleep(d time.Duration) { time.Sleep(d); synctest.Wait() }
