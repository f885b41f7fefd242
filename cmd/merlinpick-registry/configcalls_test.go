package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/registry/api"
)

// putConfigAt writes a document of the service tarifas at one member.
func (s *cluster) putConfigAt(i int, after int64, body string) (status int, version int64, text string, err error) {
	return s.putServiceConfigAt("tarifas", i, after, body)
}

func (s *cluster) putServiceConfigAt(service string, i int, after int64, body string) (status int, version int64, text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/config/%s?from=%d", s.addresses[i], service, after),
		strings.NewReader(body))
	if err != nil {
		return 0, 0, "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, 0, "", err
	}
	var c struct{ Version int64 }
	_ = json.Unmarshal(raw, &c)
	return resp.StatusCode, c.Version, string(raw), nil
}

// putConfig repeats a write, at one member after another beginning with the leader, until it is accepted. It
// fails the test if the write is rejected.
func (s *cluster) putConfig(t *testing.T, after int64, body string) (version int64, confirmed time.Time) {
	t.Helper()
	for end, i := time.Now().Add(waitTimeout), max(0, s.leader()); time.Now().Before(end); i++ {
		status, version, text, err := s.putConfigAt(i%len(s.addresses), after, body)
		switch {
		case err == nil && status == 200:
			return version, time.Now()
		case err == nil && status != 503:
			t.Fatalf("a write after version %d: status %d, %s", after, status, text)
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("no member accepts a write after version %d", after)
	return 0, time.Time{}
}

func (s *cluster) configStatus(t *testing.T, i int) (st api.ConfigStatus) {
	t.Helper()
	text, err := get(t.Context(), 3*time.Second, "http://"+s.addresses[i]+"/config/tarifas/status?all=1")
	if err == nil {
		err = json.Unmarshal(text, &st)
	}
	if err != nil {
		t.Fatal(err)
	}
	return st
}

func (s *cluster) config(t *testing.T, i int) (c api.ServiceConfig) {
	t.Helper()
	text, err := get(t.Context(), 3*time.Second, "http://"+s.addresses[i]+"/config/tarifas?consistent=1")
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// watchesAt returns the number of watches in flight at a member.
func (s *cluster) watchesAt(t *testing.T, i int) (n int) {
	t.Helper()
	host, _, _ := net.SplitHostPort(s.addresses[i])
	text, err := get(t.Context(), 3*time.Second, fmt.Sprintf("http://%s:%d/metrics", host, 9500+i))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "\nroster_watches ")
	if _, err := fmt.Sscan(after, &n); err != nil {
		t.Fatal(err)
	}
	return n
}
