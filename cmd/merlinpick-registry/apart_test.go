package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
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
	"time"

	"merlinpick/internal/registry/config"
)

// gate passes connections on between a member and the others, unless it is shut: then all break, and none come up.
type gate struct {
	mu    sync.Mutex
	shut  bool
	conns map[net.Conn]bool
}

func (g *gate) keep(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		c.Close()
		return false
	}
	g.conns[c] = true
	return true
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	if shut {
		for c := range g.conns {
			c.Close()
		}
		clear(g.conns)
	}
}

// to is an address that leads to another through the gate.
func (g *gate) to(t *testing.T, addr string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	t.Cleanup(func() { l.Close(); g.set(true); all.Wait() })
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				if !g.keep(c) {
					return
				}
				defer c.Close()
				out, err := net.DialTimeout("tcp", addr, time.Second)
				if err != nil || !g.keep(out) {
					return
				}
				defer out.Close()
				back := make(chan struct{})
				go func() { defer close(back); _, _ = io.Copy(c, out); c.Close() }()
				_, _ = io.Copy(out, c)
				out.Close()
				<-back
			})
		}
	})
	return l.Addr().String()
}

// A member that is cut off from the others takes no configuration, and those that watch it move on in time; once it is
// back it has what was confirmed meanwhile.
func TestPartitionedMemberRejectsConfigWrites(t *testing.T) {
	gates := []*gate{{conns: map[net.Conn]bool{}}, {conns: map[net.Conn]bool{}}, {conns: map[net.Conn]bool{}}}
	// Each member reaches each other one through the gates of both.
	s := startService(t, 3, func(i int, f *config.File) {
		for j := range f.Members {
			if m := &f.Members[j]; i != j {
				m.Raft, m.List = gates[i].to(t, gates[j].to(t, m.Raft)), gates[i].to(t, gates[j].to(t, m.List))
			} else {
				f.RaftListen = m.Raft
			}
		}
	})
	all := startFollowers(t, s, 6)
	for _, f := range all {
		f.start()
	}
	version, at := s.put(t, 0, document("before"))
	inForce(t, all, version, "before", at, patience)
	l := s.awaitLeader(t)
	gates[l].set(true)
	// Its own callers still reach it: it leads until it finds that it does not.
	status, _, text, err := s.putAt(l, version, document("lost"))
	if err != nil || status != 503 {
		t.Errorf("cut off: %d %s, %v", status, text, err)
	}
	var confirmed int64
	until(t, "the others to take one", func() bool {
		status, v, _, err := s.putAt((l+1)%3, version, document("after"))
		confirmed, at = v, time.Now()
		return err == nil && status == 200
	})
	t.Logf("in force at all after %v", inForce(t, all, confirmed, "after", at, inForceWithin))
	if text, err := get(t.Context(), time.Second, "http://"+s.addrs[l]+"/config/tarifas"); err == nil || !errors.Is(err, errRejected) {
		t.Errorf("the one cut off tells %s, %v", text, err)
	}
	gates[l].set(false)
	s.await()
	if c := s.config(t, l); c.Version != confirmed || !bytes.Contains(c.Document, []byte("after")) {
		t.Errorf("back, it has version %d, and %d was confirmed: %s", c.Version, confirmed, c.Document)
	}
}

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
		if err := s.procs[old].Kill(); err != nil {
			t.Fatal(err)
		}
		<-s.procs[old].Ended()
		s.awaitLeader(t)
		s.start(old)
		s.await()
		l = s.awaitLeader(t)
	}
	var end struct{ Error, End string }
	refused := func(what string) {
		t.Helper()
		for i := range s.addrs {
			status, _, text, err := s.putAt(i, 0, document("x"))
			if err := errors.Join(err, json.Unmarshal([]byte(text), &end)); err != nil || status != 503 || end.End != "old_build" ||
				!strings.Contains(end.Error, what) {
				t.Errorf("r%d: %d %s, %v", i+1, status, text, err)
			}
		}
	}
	refused("member r3 runs a build without configurations")
	isOld.Store(false)
	if err := s.procs[old].Kill(); err != nil { // its word is not to be had
		t.Fatal(err)
	}
	<-s.procs[old].Ended()
	until(t, "a leader", func() bool { l = s.leader(); return l >= 0 })
	status, _, text, err := s.putAt(l, 0, document("x"))
	if err != nil || status != 503 || !strings.Contains(text, "r3 has not told") {
		t.Errorf("a first one without r3: %d %s, %v", status, text, err)
	}
	s.start(old)
	s.await()
	version, _ := s.put(t, 0, document("first"))
	if err := s.procs[old].Kill(); err != nil {
		t.Fatal(err)
	}
	<-s.procs[old].Ended()
	version, _ = s.put(t, version, document("second"))
	s.start(old)
	s.await()
	isOld.Store(true) // set back to an older build
	for i := range s.addrs {
		if i == old {
			continue
		}
		if status, _, text, err := s.putAt(i, version, document("third")); err != nil || status != 503 && s.leader() != old {
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
	for i := range s.procs { // all are replaced by the old build, one after another
		swap(t, s, i, old)
	}
	if out, err := exec.CommandContext(ctx, old, "nodos", "register", "--at="+s.addrs[0], "n1", "127.0.0.1:1", "--lease=10m").CombinedOutput(); err != nil {
		t.Fatalf("%s: %v", out, err)
	}
	for n := range 3 {
		for i := range s.addrs {
			status, _, text, err := s.putAt(i, 0, document("x"))
			isOld := i >= n
			if err != nil || isOld && status != 404 && status != 405 || !isOld && status != 503 {
				t.Errorf("%d new: r%d: %d %s, %v", n, i+1, status, text, err)
			}
		}
		swap(t, s, n, program)
	}
	version, _ := s.put(t, 0, document("x"))
	if _, _, values, err := s.list(ctx, 1); err != nil || values["n1"] == "" {
		t.Errorf("the list is lost: %v, %v", values, err)
	}
	swap(t, s, 0, old) // set back
	until(t, "another to lead", func() bool { return s.leader() > 0 })
	status, _, text, err := s.putAt(1, version, document("y"))
	if err != nil || status != 503 || !strings.Contains(text, "r1 runs a build without configurations") {
		t.Errorf("after r1 was set back: %d %s, %v", status, text, err)
	}
}

// swap ends a member and starts another build in its place.
func swap(t *testing.T, s *cluster, i int, with string) {
	t.Helper()
	if err := s.procs[i].Kill(); err != nil {
		t.Fatal(err)
	}
	<-s.procs[i].Ended()
	was := program
	program = with
	s.start(i)
	program = was
	s.await()
}
