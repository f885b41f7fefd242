package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// A member that loses its quorum answers the watches in flight, and new ones, with 503.
func TestWatchEndsWhenQuorumIsLost(t *testing.T) {
	s := startCluster(t, 3)
	l := s.leader()
	for ; l < 0; l = s.leader() {
		time.Sleep(20 * time.Millisecond)
	}
	follower := (l + 1) % 3
	_, index, _, err := s.list(t.Context(), follower)
	if err != nil {
		t.Fatal(err)
	}
	watch := func() (status int, after string, took time.Duration) {
		begun := time.Now()
		resp, err := http.Get(fmt.Sprintf("http://%s/catalog/members?from=%d&hold_ms=60000", s.addresses[follower], index))
		if err != nil {
			t.Error(err)
			return 0, "", 0
		}
		resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("Retry-After"), time.Since(begun)
	}
	type end struct {
		status int
		after  string
	}
	ended := make(chan end, 1)
	go func() {
		status, after, _ := watch()
		ended <- end{status, after}
	}()
	for i, p := range s.processes { // the follower loses its quorum
		if i != follower {
			if err := p.Kill(); err != nil {
				t.Fatal(err)
			}
		}
	}
	select {
	case e := <-ended:
		if e.status != http.StatusServiceUnavailable || e.after == "" {
			t.Errorf("%+v", e)
		}
	case <-time.After(waitTimeout):
		t.Error("a watch stays in flight at a member that has lost the leader")
	}
	if status, _, _ := watch(); status != http.StatusServiceUnavailable {
		t.Errorf("a new watch got %d", status)
	}
}
