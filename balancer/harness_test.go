package balancer

import (
	"fmt"
	"testing"
)

// recorder is a Host that records the actions of a Balancer.
type recorder struct {
	lines       []string
	sends       []sendCall
	watches     int
	timers      []string
	retryAfters []int64
}

// sendCall is one call of Host.Send.
type sendCall struct {
	id, server string
	timeout    int64
}

func (r *recorder) record(format string, a ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, a...))
}
func (r *recorder) Send(id, server string, _, timeout int64) {
	r.record("send %s %s %d", id, server, timeout)
	r.sends = append(r.sends, sendCall{id, server, timeout})
}
func (r *recorder) Reject(id string, after int64) {
	r.record("reject %s", id)
	r.retryAfters = append(r.retryAfters, after)
}
func (r *recorder) Fail(id string) { r.record("fail %s", id) }
func (r *recorder) SetTimer(delay int64, token string) {
	r.record("timer %d %s", delay, token)
	r.timers = append(r.timers, token)
}
func (r *recorder) Log(Event) { r.record("log") }
func (r *recorder) Watch()    { r.record("watch"); r.watches++ }

// last returns the latest action, "" if there is none.
func (r *recorder) last() string {
	if len(r.lines) == 0 {
		return ""
	}
	return r.lines[len(r.lines)-1]
}

// Times in µs, as in the public interface.
const (
	second = int64(1_000_000)
	start  = int64(1_000_000_000)
)

// testSettings returns settings with one class of each kind: 0 is idempotent, 1 has idempotency keys that are
// valid in a cell, 2 is not idempotent, and 3 and 4 have keys that are valid at all servers and in a zone.
func testSettings() Settings {
	class := Class{LatencyObjective: 500_000, Deadline: 1_500_000, PriorityWeight: 1, LateWeight: 0.3}
	s := Settings{Replicas: 1, ZoneCount: 2, MaxAttempts: 4, DrainGrace: 500_000,
		SlowStartMinCapacity: 0.2, SlowStartDuration: 20_000_000}
	for _, c := range []Class{
		{Idempotency: Idempotent}, {Idempotency: IdempotentWithKey, DedupScope: DedupScopeCell, DedupWindow: 300_000}, {Idempotency: NonIdempotent, DedupWindow: 300_000},
		{Idempotency: IdempotentWithKey, DedupScope: DedupScopeAll, DedupWindow: 300_000}, {Idempotency: IdempotentWithKey, DedupScope: DedupScopeZone, DedupWindow: 300_000},
	} {
		k := class
		k.Idempotency, k.DedupScope, k.DedupWindow = c.Idempotency, c.DedupScope, c.DedupWindow
		s.Classes = append(s.Classes, k)
	}
	return s
}

// mustNew returns a Balancer with the settings and fails the test if they are invalid.
func mustNew(t *testing.T, s Settings) *Balancer {
	t.Helper()
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// testServers returns n ready servers s0, s1 and so on, in cells of two servers that alternate between two
// zones.
func testServers(n int) []Server {
	var out []Server
	for i := range n {
		out = append(out, Server{ID: fmt.Sprintf("s%d", i), Zone: i / 2 % 2, Cell: i / 2, State: ServerReady, CapacityHint: 1})
	}
	return out
}

// newWithServers returns a Balancer that has an endpoint list of n servers, and its host.
func newWithServers(t *testing.T, s Settings, n int) (*Balancer, *recorder) {
	b, h := mustNew(t, s), &recorder{}
	b.UpdateEndpoints(start, h, UpdateSnapshot, testServers(n))
	return b, h
}

// sendRequest passes a request with a deadline of one second to a Balancer.
func sendRequest(b *Balancer, h Host, now int64, id string, class int) {
	b.HandleRequest(now, h, Request{ID: id, Class: class, Deadline: now + 1_000_000})
}

// weightOf returns a server's weight for a class in a draw.
func weightOf(b *Balancer, now int64, server *server, class int) float64 {
	return b.selection.weight(moment(now), server, class, b.selection.baseWeight(server))
}
