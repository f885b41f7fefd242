package discovery

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Hashes of what clients do on a virtual clock: method, URL and time of each call, time and contents of each
// update, and the metrics at the end. They change if a client makes other calls, pauses or decisions.
const (
	goldenCallsUnknownFleet = "e4d9aac0136d63f0"
	goldenCallsSmallFleet   = "81856cee661e17ba"
	goldenCallsLargeFleet   = "16ac39cd23889d16"
	goldenCallsAgent        = "3dc20ec3e2384a7f"
	goldenMemberCalls       = "40b3f716a41ef52e"
)

// transcript records the calls and updates of a client.
type transcript struct {
	mu    sync.Mutex
	start time.Time
	calls []string
	lists []string
}

func (t *transcript) call(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, fmt.Sprintf("%d %s %s", time.Since(t.start), r.Method, r.URL))
}

func (t *transcript) list(l *List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	line := fmt.Sprintf("%d %d %t", time.Since(t.start), l.Version, l.Snapshot)
	for _, e := range l.Endpoints {
		line += fmt.Sprintf(" %s/%s/%s", e.Name, e.Address, e.Status)
	}
	t.lists = append(t.lists, line)
}

// runScripted runs a client against a scripted server for some virtual time and returns what it did. The
// source changes to newSource at sourceChangeAt.
func runScripted(t *testing.T, cfg Config, known *List,
	answer func(elapsed time.Duration, r *http.Request) (*http.Response, error),
	duration, sourceChangeAt time.Duration, newSource Source) (calls, lists []string, counts string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		recorded := &transcript{start: time.Now()}
		cfg.Logger = slog.New(slog.DiscardHandler)
		c := New(cfg)
		transport := roundTrip(func(r *http.Request) (*http.Response, error) {
			recorded.call(r)
			return answer(time.Since(recorded.start), r)
		})
		c.makeHTTPClient = func(Source) *http.Client { return &http.Client{Transport: transport} }
		c.http = c.makeHTTPClient(Source{})
		if known != nil {
			c.SetInitialList(known)
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); c.Run(ctx) }()
		go func() {
			for {
				select {
				case update := <-c.Updates():
					recorded.list(update.List)
				case <-ctx.Done():
					return
				}
			}
		}()
		time.Sleep(sourceChangeAt)
		c.SetSource(newSource)
		time.Sleep(duration - sourceChangeAt)
		metrics := c.Metrics()
		stop()
		<-ended
		recorded.mu.Lock()
		defer recorded.mu.Unlock()
		calls, lists = recorded.calls, recorded.lists
		counts = fmt.Sprint(metrics.FromRegistry, metrics.Age, metrics.Failovers, metrics.Failures,
			metrics.RetainedEndpoints, metrics.CallResults)
	})
	return calls, lists, counts
}

// answerAfter calls answer after d, unless the call's context ends first.
func answerAfter(r *http.Request, d time.Duration,
	answer func() (*http.Response, error)) (*http.Response, error) {
	select {
	case <-time.After(d):
		return answer()
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func unavailable() (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
}

// holdOf returns how long a call may be held, and the version since which it requests changes.
func holdOf(r *http.Request) (hold time.Duration, from string) {
	hold, _ = time.ParseDuration(r.URL.Query().Get("hold_ms") + "ms")
	return hold, r.URL.Query().Get("from")
}

// platformAnswer simulates the platform's discovery with a change every 1.7 s and a fault in every other
// phase.
func platformAnswer(elapsed time.Duration, r *http.Request) (*http.Response, error) {
	hold, from := holdOf(r)
	list := func() (*http.Response, error) {
		version := int64(elapsed / (1700 * time.Millisecond))
		return okResponse(fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[{"name":"e%d","address":"127.0.0.1:%d","status":"SERVING"}]}`,
			version, from == "", version%7, 1+version)), nil
	}
	healthy := func() (*http.Response, error) {
		return answerAfter(r, min(hold, 1700*time.Millisecond-elapsed%(1700*time.Millisecond)), list)
	}
	phases := []struct {
		until  time.Duration
		answer func() (*http.Response, error)
	}{
		{10 * time.Second, healthy},
		{13 * time.Second, func() (*http.Response, error) { // never answered
			return answerAfter(r, time.Hour, list)
		}},
		{20 * time.Second, healthy},
		{27 * time.Second, func() (*http.Response, error) { return nil, errors.New("connection reset") }},
		{34 * time.Second, healthy},
		{45 * time.Second, func() (*http.Response, error) {
			return answerAfter(r, 30*time.Millisecond, unavailable)
		}},
		{52 * time.Second, healthy},
		{110 * time.Second, func() (*http.Response, error) {
			return answerAfter(r, 2*time.Second, unavailable)
		}},
		{120 * time.Second, healthy},
		{125 * time.Second, func() (*http.Response, error) {
			return answerAfter(r, 10*time.Millisecond, func() (*http.Response, error) {
				return okResponse(`{"index":9,"endpoints":[{}]}`), nil
			})
		}},
		{132 * time.Second, healthy},
		{133 * time.Second, func() (*http.Response, error) {
			return answerAfter(r, max(hold/2, 20*time.Millisecond), func() (*http.Response, error) {
				return okResponse(`{"index":2,"snapshot":false,"endpoints":[]}`), nil
			})
		}},
		{140 * time.Second, healthy},
		{147 * time.Second, func() (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(&slowBody{r.Context()})}, nil
		}},
		{155 * time.Second, healthy},
		{170 * time.Second, func() (*http.Response, error) {
			return answerAfter(r, 300*time.Millisecond, unavailable)
		}},
		{time.Hour, healthy},
	}
	for _, p := range phases {
		if elapsed < p.until {
			return p.answer()
		}
	}
	panic("after the last phase")
}

// memberAnswer simulates three registry members, each with faults at its own times, and changes of epoch.
func memberAnswer(elapsed time.Duration, r *http.Request) (*http.Response, error) {
	hold, from := holdOf(r)
	epoch, version := "one", 100+int64(elapsed/(2300*time.Millisecond))
	if elapsed > 60*time.Second {
		epoch = "two"
	}
	if elapsed > 95*time.Second {
		epoch, version = "three", int64(elapsed/(2300*time.Millisecond))
	}
	names := []string{"a", "b", "c", "d"}[:2+version%3]
	if epoch == "two" {
		names = []string{"a", "e"}
	}
	list := func(version int64, full bool) func() (*http.Response, error) {
		return func() (*http.Response, error) {
			var entries []string
			for _, n := range names {
				entries = append(entries, fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","zone":"z","status":"SERVING","weight":1,"since_ms":5}`, n))
			}
			return okResponse(fmt.Sprintf(`{"index":%d,"snapshot":%t,"line":%q,"endpoints":[%s]}`,
				version, full, epoch, strings.Join(entries, ","))), nil
		}
	}
	faulty := fmt.Sprintf("m%d", 1+elapsed/(6*time.Second)%3)
	if elapsed > 130*time.Second && elapsed < 150*time.Second || r.URL.Hostname() == faulty {
		switch elapsed / (18 * time.Second) % 5 {
		case 0:
			return nil, errors.New("connection refused")
		case 1:
			return answerAfter(r, time.Hour, unavailable)
		case 2:
			return unavailable()
		case 3:
			return okResponse(`{"index":9`), nil
		case 4:
			return answerAfter(r, 10*time.Millisecond, list(version-4, false))
		}
	}
	full := from == "" || r.URL.Query().Get("line") != epoch
	if full {
		hold = 0
	}
	return answerAfter(r, min(hold, 900*time.Millisecond), list(version, full))
}

func hashOf(lines ...[]string) string {
	sum := sha256.New()
	for _, l := range lines {
		fmt.Fprintln(sum, strings.Join(l, "\n"))
	}
	return fmt.Sprintf("%x", sum.Sum(nil)[:8])
}

// Clients of the platform list make the same calls at the same times as before.
func TestGoldenPlatformCalls(t *testing.T) {
	for _, tt := range []struct {
		name string
		cfg  Config
		want string
	}{
		{"callers unknown", Config{Callers: 0}, goldenCallsUnknownFleet},
		{"12 callers", Config{Callers: 12}, goldenCallsSmallFleet},
		{"300 callers", Config{Callers: 300}, goldenCallsLargeFleet},
		{"local agent", Config{LocalAgent: true}, goldenCallsAgent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var all []string
			for seed := range uint64(4) {
				tt.cfg.Seed, tt.cfg.Source = seed, Source{Address: "127.0.0.1:1"}
				var known *List
				if seed%2 == 1 {
					known = &List{Version: 0, Snapshot: true}
				}
				calls, lists, counts := runScripted(t, tt.cfg, known, platformAnswer,
					5*time.Minute, 180*time.Second, Source{Address: "127.0.0.1:2"})
				if len(calls) < 100 || len(lists) < 50 {
					t.Errorf("seed %d: %d calls and %d updates are too few", seed, len(calls), len(lists))
				}
				all = append(all, hashOf(calls, lists, []string{counts}))
			}
			if got := hashOf(all); got != tt.want {
				t.Errorf("hash of the calls is %s, want %s", got, tt.want)
			}
		})
	}
}

// Clients of the registry make the same calls at the same times as before.
func TestGoldenRegistryCalls(t *testing.T) {
	var all []string
	for seed := range uint64(6) {
		cfg := Config{Source: Source{Members: []string{"m1:1", "m2:1", "m3:1"}}, Seed: seed}
		var known *List
		if seed%2 == 1 {
			known = &List{Version: 90, Snapshot: true, Epoch: "one", Endpoints: []Endpoint{{Name: "old", Address: "127.0.0.1:9", Status: StatusServing}}}
		}
		calls, lists, counts := runScripted(t, cfg, known, memberAnswer,
			4*time.Minute, 200*time.Second, Source{Members: []string{"m3:1", "m2:1"}})
		if len(calls) < 60 || len(lists) < 30 {
			t.Errorf("seed %d: %d calls and %d updates are too few", seed, len(calls), len(lists))
		}
		all = append(all, hashOf(calls, lists, []string{counts}))
	}
	if got := hashOf(all); got != goldenMemberCalls {
		t.Errorf("hash of the calls is %s, want %s", got, goldenMemberCalls)
	}
}

// A list that an earlier version of the program cached is read correctly, and is written as the same bytes.
func TestGoldenCachedList(t *testing.T) {
	l, err := LoadCachedList(filepath.Join("testdata", "cached"))
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenList(); !reflect.DeepEqual(l, want) {
		t.Errorf("got %+v, want %+v", l, want)
	}
	dir := t.TempDir()
	writer := newCacheWriter(dir, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(t.Context())
	wait := writer.Run(ctx)
	writer.Put(goldenList().encode)
	stop()
	wait()
	before, err := os.ReadFile(filepath.Join("testdata", "cached", "list"))
	if err != nil {
		t.Fatal(err)
	}
	if now, err := os.ReadFile(filepath.Join(dir, "list")); err != nil || !bytes.Equal(now, before) {
		t.Errorf("wrote %q, %v, want %q", now, err, before)
	}
}

func goldenList() *List {
	weight := 1.5
	return &List{Version: 4711, Snapshot: true, Epoch: "8f3a", Endpoints: []Endpoint{
		{Name: "a-1", Address: "10.0.0.1:80", Zone: "north", Cell: 2, Status: StatusServing, Weight: &weight, StartedAtMs: 1700000000123},
		{Name: "b \"2\"", Address: "[::1]:8080", Zone: "süd", Status: StatusDraining}}}
}
