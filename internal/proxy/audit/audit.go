// Package audit counts what happens to requests and connections by name, counts and logs the violations that package
// invariant finds, and traces single requests in the log. It changes nothing that it watches.
package audit

import (
	"context"
	"log/slog"
	"maps"
	"path"
	"runtime"
	"strings"
	"sync"

	"merlinpick/internal/proxy/invariant"
)

// Event is something that is counted, by the name that the metrics show.
type Event string

// Why the proxy closed a connection of a client.
const (
	ClientConnNoResponse Event = "closes.client.no_answer"          // its request has none: the client or the process has gone
	ClientConnNoRoom     Event = "closes.client.no_room"            // to make room for others
	ClientConnUnused     Event = "closes.client.idle_or_half"       // no complete head of a request on it
	ClientConnDone       Event = "closes.client.answered_or_broken" // by net/http
)

// ClientBytesDiscarded is a connection of a client on which bytes came after the proxy had ended its sending. A request
// among them was never read: its client sends it once more.
const ClientBytesDiscarded Event = "discards.client"

// Why the proxy closed a connection to a backend.
const (
	BackendConnDone       Event = "closes.server.answered"  // answered, and not to be used again
	BackendConnNoResponse Event = "closes.server.no_answer" // its request has no complete response
	BackendConnIdle       Event = "closes.server.idle"      // idle for too long, or closed by the backend
	BackendConnNoRoom     Event = "closes.server.room"      // idle, closed to make room for another
	BackendConnList       Event = "closes.server.list"      // the endpoint list or an override has taken the backend out
)

// AttemptEnded is the end of an attempt with a status.
func AttemptEnded(status string) Event { return Event("attempts." + status) }

// AttemptOnStaleList is an attempt that began while the endpoint list was stale, by what showed that its server was listed.
func AttemptOnStaleList(evidence string) Event { return Event("stale_list_attempts." + evidence) }

// Recorder may be used from any goroutine; a nil one records nothing.
type Recorder struct {
	logger       *slog.Logger // nil: nothing is logged
	traceEnabled bool         // each step of each request is logged
	violations   invariant.Counts

	mu     sync.Mutex
	events map[Event]int64
}

// New returns a recorder without counts. It traces requests if the logger is at the debug level.
func New(logger *slog.Logger) *Recorder {
	return &Recorder{logger: logger, events: map[Event]int64{},
		traceEnabled: logger != nil && logger.Enabled(context.Background(), slog.LevelDebug)}
}

// RecordViolations counts and logs violations.
func (r *Recorder) RecordViolations(violations ...invariant.Violation) {
	if r == nil || len(violations) == 0 {
		return
	}
	r.violations.Add(violations...)
	for _, v := range violations {
		if r.logger != nil {
			r.logger.Error("rule broken", "rule", v.Rule, "request", v.Request, "detail", v.Detail)
		}
	}
}

// Violations are the counts by the rules' names, those that are zero too.
func (r *Recorder) Violations() map[string]int64 { return r.violations.Snapshot() }

// Count counts an event.
func (r *Recorder) Count(event Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[event]++
}

// Events are the counts by the events' names, those that are not zero.
func (r *Recorder) Events() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int64, len(r.events))
	for event, n := range maps.All(r.events) {
		counts[string(event)] = n
	}
	return counts
}

// IsTracing reports whether Trace logs.
func (r *Recorder) IsTracing() bool { return r != nil && r.traceEnabled }

// Trace logs one step of a request, at the debug level.
func (r *Recorder) Trace(request, step string, more ...any) {
	if r.IsTracing() {
		r.logger.Debug("request step", append([]any{"request", request, "step", step}, more...)...)
	}
}

// ConnClosed is the end of a client's connection.
type ConnClosed struct {
	Address   string // the client's
	Reason    Event  // why the proxy closed it
	Phase     string // how far the request on it had come
	Discarded int64  // bytes that came after the proxy had ended its sending
}

// RecordConnClosed counts bytes that were discarded, and logs the end of the connection at the debug level.
func (r *Recorder) RecordConnClosed(c ConnClosed) {
	if r == nil {
		return
	}
	if c.Discarded > 0 {
		r.Count(ClientBytesDiscarded)
	}
	if r.traceEnabled {
		r.logger.Debug("client connection closed", "address", c.Address, "reason", c.Reason, "phase", c.Phase, "discarded_bytes", c.Discarded)
	}
}

// Callers names the functions on whose behalf the caller's caller was called, the nearest first.
func Callers() string {
	const skip, maxFrames = 3, 8
	var counters [maxFrames]uintptr
	frames := runtime.CallersFrames(counters[:runtime.Callers(skip, counters[:])])
	var names []string
	for more := true; more; {
		var f runtime.Frame
		f, more = frames.Next()
		names = append(names, path.Base(f.Function))
	}
	return strings.Join(names, " < ")
}
