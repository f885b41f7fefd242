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

// While a member runs a build that does not support configurations, no member accepts a write of one. The
// first write needs an answer from all members; later ones go on without a member that is down.
func TestOldBuildBlocksConfigWrites(t *testing.T) {
	const old = 2
	var isOld atomic.Bool
	isOld.Store(true)
	var mu sync.Mutex
	fakeOldAPIs := map[string]string{}
	// The other members reach the last member's API through a proxy that answers as an older build would.
	s := startCluster(t, 3, func(i int, f *config.File) {
		if i == old {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		m := &f.Members[old]
		if real := m.List; fakeOldAPIs[real] == "" {
			to := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: real}) }}
			to.ModifyResponse = func(r *http.Response) error {
				if r.Request.URL.Path != "/v1/member" || !isOld.Load() {
					return nil
				}
				text, err := io.ReadAll(r.Body)
				var status map[string]any
				if err = errors.Join(err, json.Unmarshal(text, &status)); err != nil {
					return err
				}
				delete(status, "configs")
				text, err = json.Marshal(status)
				r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(text)), int64(len(text))
				r.Header.Del("Content-Length")
				return err
			}
			to.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, err error) {
				http.Error(w, err.Error(), http.StatusBadGateway)
			}
			front := httptest.NewServer(to)
			t.Cleanup(front.Close)
			fakeOldAPIs[real] = strings.TrimPrefix(front.URL, "http://")
		}
		m.List = fakeOldAPIs[m.List]
	})
	l := s.awaitLeader(t)
	for l == old { // a leader does not check its own build: make another member lead
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
	checkRejected := func(what string) {
		t.Helper()
		for i := range s.addresses {
			status, _, text, err := s.putConfigAt(i, 0, document("x"))
			if err := errors.Join(err, json.Unmarshal([]byte(text), &end)); err != nil || status != 503 || end.End != "old_build" ||
				!strings.Contains(end.Error, what) {
				t.Errorf("r%d: %d %s, %v", i+1, status, text, err)
			}
		}
	}
	checkRejected("member r3 runs a build without configurations")
	isOld.Store(false)
	if err := s.processes[old].Kill(); err != nil { // it does not answer
		t.Fatal(err)
	}
	<-s.processes[old].Ended()
	waitFor(t, "a leader", func() bool { l = s.leader(); return l >= 0 })
	status, _, text, err := s.putConfigAt(l, 0, document("x"))
	if err != nil || status != 503 || !strings.Contains(text, "r3 has not told") {
		t.Errorf("the first write while r3 is down: %d %s, %v", status, text, err)
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
	isOld.Store(true) // downgraded
	for i := range s.addresses {
		if i == old {
			continue
		}
		if status, _, text, err := s.putConfigAt(i, version, document("third")); err != nil || status != 503 && s.leader() != old {
			t.Errorf("r%d: %d %s, %v", i+1, status, text, err)
		}
	}
}

// A real build without configurations, whose program ROSTER_OLD names, blocks writes of configurations, and
// the list survives the upgrade and the downgrade.
func TestRealOldBuildBlocksConfigWrites(t *testing.T) {
	old := os.Getenv("ROSTER_OLD")
	if old == "" {
		t.Skip("ROSTER_OLD names no program")
	}
	s := startCluster(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	for i := range s.processes { // downgrade all, one after another
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
		replaceBuild(t, s, n, registryProgram)
	}
	version, _ := s.putConfig(t, 0, document("x"))
	if _, _, values, err := s.list(ctx, 1); err != nil || values["n1"] == "" {
		t.Errorf("endpoint n1 was lost in the upgrade: %v, %v", values, err)
	}
	replaceBuild(t, s, 0, old) // downgrade
	waitFor(t, "another member to lead", func() bool { return s.leader() > 0 })
	status, _, text, err := s.putConfigAt(1, version, document("y"))
	if err != nil || status != 503 || !strings.Contains(text, "r1 runs a build without configurations") {
		t.Errorf("after r1 was downgraded: %d %s, %v", status, text, err)
	}
}

// replaceBuild kills a member and starts another build in its place.
func replaceBuild(t *testing.T, s *cluster, i int, build string) {
	t.Helper()
	if err := s.processes[i].Kill(); err != nil {
		t.Fatal(err)
	}
	<-s.processes[i].Ended()
	was := registryProgram
	registryProgram = build
	s.start(i)
	registryProgram = was
	s.awaitServing()
}
