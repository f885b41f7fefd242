package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"merlinpick/internal/registry/config"
)

// While a member does not say that it knows configurations, as builds before them do not, none is taken, at any member;
// a first one needs the word of all, and later ones do not wait for one that is away.
func TestOldBuildBlocksConfigWrites(t *testing.T) {
	const old = 2
	var isOld atomic.Bool
	isOld.Store(true)
	var mu sync.Mutex
	fronts := map[string]string{}
	// The others find the last member's list behind one that says what an older build would.
	s := startService(t, 3, func(i int, f *config.File) {
		if i == old {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		m := &f.Members[old]
		if real := m.List; fronts[real] == "" {
			to := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: real}) }}
			to.ModifyResponse = func(r *http.Response) error {
				if r.Request.URL.Path != "/v1/member" || !isOld.Load() {
					return nil
				}
				text, err := io.ReadAll(r.Body)
				var word map[string]any
				if err = errors.Join(err, json.Unmarshal(text, &word)); err != nil {
					return err
				}
				delete(word, "configs")
				text, err = json.Marshal(word)
				r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(text)), int64(len(text))
				r.Header.Del("Content-Length")
				return err
			}
			to.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, err error) {
				http.Error(w, err.Error(), http.StatusBadGateway)
			}
			front := httptest.NewServer(to)
			t.Cleanup(front.Close)
			fronts[real] = strings.TrimPrefix(front.URL, "http://")
		}
		m.List = fronts[m.List]
	})
	l := s.awaitLeader(t)
	for l == old { // the old one's own word is its own: have another lead
		if err := s.processes[old].Kill(); err != nil {
			t.Fatal(err)
		}
		<-s.processes[old].Ended()
		s.awaitLeader(t)
		s.start(old)
		s.awaitServing()
		l = s.awaitLeader(t)
	}
	var end struct{ Error, End string }
	refused := func(what string) {
		t.Helper()
		for i := range s.addresses {
			status, _, text, err := s.putConfigAt(i, 0, document("x"))
			if err := errors.Join(err, json.Unmarshal([]byte(text), &end)); err != nil || status != 503 || end.End != "old_build" ||
				!strings.Contains(end.Error, what) {
				t.Errorf("r%d: %d %s, %v", i+1, status, text, err)
			}
		}
	}
	refused("member r3 runs a build without configurations")
	isOld.Store(false)
	if err := s.processes[old].Kill(); err != nil { // its word is not to be had
		t.Fatal(err)
	}
	<-s.processes[old].Ended()
	waitFor(t, "a leader", func() bool { l = s.leader(); return l >= 0 })
	status, _, text, err := s.putConfigAt(l, 0, document("x"))
	if err != nil || status != 503 || !strings.Contains(text, "r3 has not told") {
		t.Errorf("a first one without r3: %d %s, %v", status, text, err)
	}
	s.start(old)
	s.awaitServing()
	version, _ := s.putConfig(t, 0, document("first"))
	if err := s.processes[old].Kill(); err != nil {
		t.Fatal(err)
	}
	<-s.processes[old].Ended()
	version, _ = s.putConfig(t, version, document("second"))
	s.start(old)
	s.awaitServing()
	isOld.Store(true) // set back to an older build
	for i := range s.addresses {
		if i == old {
			continue
		}
		if status, _, text, err := s.putConfigAt(i, version, document("third")); err != nil || status != 503 && s.leader() != old {
			t.Errorf("r%d: %d %s, %v", i+1, status, text, err)
		}
	}
}

// A build from before configurations, if one is at hand (ROSTER_OLD names its program), takes no harm and does none.
func TestRealOldBuildBlocksConfigWrites(t *testing.T) {
	old := os.Getenv("ROSTER_OLD")
	if old == "" {
		t.Skip("ROSTER_OLD names no program")
	}
	s := startService(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	for i := range s.processes { // all are replaced by the old build, one after another
		replaceBuild(t, s, i, old)
	}
	if out, err := exec.CommandContext(ctx, old, "nodos", "register", "--at="+s.addresses[0], "n1", "127.0.0.1:1", "--lease=10m").CombinedOutput(); err != nil {
		t.Fatalf("%s: %v", out, err)
	}
	for n := range 3 {
		for i := range s.addresses {
			status, _, text, err := s.putConfigAt(i, 0, document("x"))
			isOld := i >= n
			if err != nil || isOld && status != 404 && status != 405 || !isOld && status != 503 {
				t.Errorf("%d new: r%d: %d %s, %v", n, i+1, status, text, err)
			}
		}
		replaceBuild(t, s, n, program)
	}
	version, _ := s.putConfig(t, 0, document("x"))
	if _, _, values, err := s.list(ctx, 1); err != nil || values["n1"] == "" {
		t.Errorf("the list is lost: %v, %v", values, err)
	}
	replaceBuild(t, s, 0, old) // set back
	waitFor(t, "another to lead", func() bool { return s.leader() > 0 })
	status, _, text, err := s.putConfigAt(1, version, document("y"))
	if err != nil || status != 503 || !strings.Contains(text, "r1 runs a build without configurations") {
		t.Errorf("after r1 was set back: %d %s, %v", status, text, err)
	}
}

// swap ends a member and starts another build in its place.
func replaceBuild(t *testing.T, s *cluster, i int, with string) {
	t.Helper()
	if err := s.processes[i].Kill(); err != nil {
		t.Fatal(err)
	}
	<-s.processes[i].Ended()
	was := program
	program = with
	s.start(i)
	program = was
	s.awaitServing()
}
