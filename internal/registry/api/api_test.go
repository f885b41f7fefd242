package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/registry/lease"
	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/state"
)

// openServer starts a cluster of one with its API, and waits until it serves.
func openServer(b testing.TB, watchers int) (*raftnode.Node, *Server) {
	b.Helper()
	log := slog.New(slog.DiscardHandler)
	s, err := Listen(Config{Listen: "127.0.0.1:0", Name: "r1", MaxWatches: watchers, Logger: log})
	if err != nil {
		b.Fatal(err)
	}
	node, err := raftnode.Open(b.Context(), raftnode.Config{Name: "r1", Dir: b.TempDir(), ElectionTimeout: 100 * time.Millisecond,
		MaxListAge: time.Minute, Lease: lease.DefaultConfig(), Logger: log})
	if err != nil {
		b.Fatal(err)
	}
	s.SetNode(node)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	b.Cleanup(func() {
		s.Shutdown(time.Second)
		if err := <-served; err != nil {
			b.Error(err)
		}
		if err := node.Close(); err != nil {
			b.Error(err)
		}
	})
	for !node.Serving() {
		time.Sleep(10 * time.Millisecond)
	}
	return node, s
}

// call makes a call and returns the response's status, Retry-After header and body.
func call(t testing.TB, s *Server, method, path, body string) (status int, after, text string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+s.Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get("Retry-After"), string(answer)
}

const body = `{"address":"127.0.0.1:1","zone":"a","instance":"i","lease_ms":60000}`

// The response to an invalid call names what is wrong, and the call changes nothing.
func TestInvalidCalls(t *testing.T) {
	node, s := openServer(t, 10)
	_, before := node.Version()
	for _, c := range []struct {
		method, path, body string
		wantStatus         int
		wantText           string
	}{
		{"PUT", "/catalog/members/n", "", 400, "body"},
		{"PUT", "/catalog/members/n", `{"adress":"x"}`, 400, "adress"},
		{"PUT", "/catalog/members/n", body + body, 400, "more than one"},
		{"PUT", "/catalog/members/n", strings.Replace(body, "127.0.0.1:1", "here", 1), 400, "address"},
		{"PUT", "/catalog/members/n", strings.Replace(body, "60000", "5", 1), 400, "lease_ms"},
		{"PUT", "/catalog/members/n", strings.Replace(body, "60000", "9223372036854775807", 1), 400, "lease_ms"},
		{"PUT", "/catalog/members/n", strings.Replace(body, "{", `{"name":"m",`, 1), 400, "name"},
		{"PUT", "/catalog/members/a%20b", body, 400, "name"},
		{"PUT", "/catalog/members/n", strings.Replace(body, `"i"`, `"`+strings.Repeat("i", maxBodyBytes)+`"`, 1), 400, "too large"},
		{"POST", "/catalog/members/n/renew", `{"instance":"i"}`, 404, "register it"},
		{"POST", "/catalog/members/n/drain", `{}`, 400, "instance is missing"},
		{"DELETE", "/catalog/members/n", "", 400, "instance is missing"},
		{"GET", "/catalog/members?from=x", "", 400, "from"},
		{"GET", "/catalog/members?from=-1", "", 400, "from"},
		{"GET", "/catalog/members?from=1&hold_ms=soon", "", 400, "hold_ms"},
		{"POST", "/v1/restore", "roster-snapshot 1 2 00000000\n{}", 400, "damaged"},
		{"POST", "/v1/restore", "", 400, "damaged"},
	} {
		if status, _, text := call(t, s, c.method, c.path, c.body); status != c.wantStatus ||
			!strings.Contains(text, c.wantText) {
			t.Errorf("%s %s %.80s: %d %s, wanted %d and %q", c.method, c.path, c.body, status, text,
				c.wantStatus, c.wantText)
		}
	}
	if _, after := node.Version(); after != before {
		t.Errorf("invalid calls changed version %d to %d", before, after)
	}
}

// Depending on its version and epoch, a client gets the changes or the whole list in the published form, or
// waits.
func TestListWatch(t *testing.T) {
	node, s := openServer(t, 2)
	epoch, base := node.Version()
	register(t, node, "a", 1)
	version := register(t, node, "b", 1)
	for _, c := range []struct {
		query             string
		snapshot          bool
		endpoints, status int
	}{
		{"", true, 2, 200},
		{"?consistent=1", true, 2, 200},
		{fmt.Sprint("?from=", version-1, "&hold_ms=1000"), false, 1, 200},
		{fmt.Sprint("?from=", version, "&hold_ms=1"), false, 0, 200},
		{fmt.Sprint("?from=", base, "&line=", epoch), false, 2, 200},
		{"?from=5", true, 2, 200},                                                   // before all retained changes
		{fmt.Sprint("?from=", version+9, "&hold_ms=60000"), true, 2, 200},           // rolled back, as far as a client without an epoch knows
		{fmt.Sprint("?from=", version, "&line=other&hold_ms=60000"), true, 2, 200},  // another epoch
		{fmt.Sprint("?from=", version+9, "&hold_ms=1&line=", epoch), false, 0, 503}, // this member is behind
	} {
		status, after, text := call(t, s, "GET", "/catalog/members"+c.query, "")
		var l struct {
			Index     *int64
			Snapshot  *bool
			Endpoints []state.Endpoint
		}
		if status != c.status {
			t.Errorf("%s: %d %s", c.query, status, text)
			continue
		}
		if status != 200 {
			if after == "" {
				t.Errorf("%s: no Retry-After", c.query)
			}
			continue
		}
		if err := json.Unmarshal([]byte(text), &l); err != nil || l.Index == nil || *l.Index != version ||
			*l.Snapshot != c.snapshot ||
			len(l.Endpoints) != c.endpoints {
			t.Errorf("%s: %s (%v)", c.query, text, err)
		}
	}
	// A third watch is rejected at once; a change answers the two in flight.
	watches := []*rawClient{dial(t, s.Addr()), dial(t, s.Addr())}
	for _, c := range watches {
		c.sendWatch(version)
	}
	for s.Metrics().Watches < 2 {
		time.Sleep(time.Millisecond)
	}
	if status, after, _ := call(t, s, "GET", fmt.Sprint("/catalog/members?hold_ms=60000&from=", version), ""); status != 503 || after == "" {
		t.Errorf("a third watch: %d, Retry-After %q", status, after)
	}
	register(t, node, "c", 1)
	for _, c := range watches {
		if err := c.readResponse(); err != nil {
			t.Error(err)
		}
	}
}

// A client that does not read its responses delays no other client.
func TestSlowClientDelaysNobody(t *testing.T) {
	node, s := openServer(t, 10)
	snapshot := node.StateSnapshot()
	for k := range 5000 {
		snapshot.Records = append(snapshot.Records, state.Record{Endpoint: state.Endpoint{Name: fmt.Sprintf("s-%08x", k), Address: "10.1.0.18:8443", Zone: "a",
			Status: state.StatusServing, Weight: 1}, Instance: "1", LeaseMs: 60_000})
	}
	if _, _, err := node.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		slow := dial(t, s.Addr())
		for range 10 {
			slow.sendWatch(0)
		}
	}
	_, version := node.Version()
	fast := dial(t, s.Addr())
	fast.sendWatch(version)
	register(t, node, "n", 1)
	if err := fast.readResponse(); err != nil {
		t.Error(err)
	}
}

// FuzzRegister checks that the state is valid after any registration.
func FuzzRegister(f *testing.F) {
	node, s := openServer(f, 10)
	f.Add([]byte(body))
	f.Add([]byte(`{"address":":","instance":"\u0000","weight":1e300,"lease_ms":1000,"status":"DELETED"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		w := httptest.NewRecorder()
		s.http.Handler.ServeHTTP(w, httptest.NewRequest("PUT", "/catalog/members/n", bytes.NewReader(data)))
		if w.Code != 200 && w.Code != 400 && w.Code != 409 {
			t.Errorf("%q: %d %s", data, w.Code, w.Body)
		}
		snapshot := node.StateSnapshot()
		if err := snapshot.Check(); err != nil {
			t.Errorf("registration %q led to an invalid state: %v", data, err)
		}
	})
}
