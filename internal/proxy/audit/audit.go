// Package audit counts events of requests and connections by name, counts and logs the violations that
// package invariant finds, and traces single requests in the log. It does not influence how requests are
// handled.
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

// Event is the kind of an event that is counted. Its text is its name in the metrics.
type Event string

// Reasons for closing a client connection.
const (
	// ClientConnNoResponse counts connections whose request has no response: the client or the process has
	// gone.
	ClientConnNoResponse Event = "closes.client.no_answer"
	ClientConnNoRoom     Event = "closes.client.no_room"            // to make room for other connections
	ClientConnUnused     Event = "closes.client.idle_or_half"       // it carries no complete request header
	ClientConnDone       Event = "closes.client.answered_or_broken" // closed by net/http
)

// ClientBytesDiscarded counts client connections on which data arrived after the proxy had stopped sending. A
// request in this data was never read, so its client must send it again.
const ClientBytesDiscarded Event = "discards.client"

// RequestIDRepeated counts requests that were rejected since one with the same ID may have been executed.
const RequestIDRepeated Event = "repeated_ids"

// Clients whose work waits since they use more than their share of the processor; see package cpushare.
const (
	ClientThrottled       Event = "throttles.client"    // waits for a turn
	ClientThrottledMicros Event = "throttles.client_us" // microseconds that they took
)

// Reasons for closing a connection to a backend.
const (
	BackendConnDone       Event = "closes.server.answered"  // it has carried a response and cannot be reused
	BackendConnNoResponse Event = "closes.server.no_answer" // its request has no complete response
	BackendConnIdle       Event = "closes.server.idle"      // idle for too long, or closed by the backend
	// BackendConnUnsolicited counts idle connections on which the backend sent bytes that nobody had asked
	// for, such as a second response to a request.
	BackendConnUnsolicited Event = "closes.server.unsolicited"
	// BackendConnNoRoom counts idle connections that were closed to make room for others.
	BackendConnNoRoom  Event = "closes.server.room"
	BackendConnChanged Event = "closes.server.list" // the list or an override has changed the backend
)

// AttemptEnded returns the event of an attempt that ended with a status.
func AttemptEnded(status string) Event { return Event("attempts." + status) }

// AttemptOnStaleList returns the event of an attempt that started while the endpoint list was stale. evidence
// is what showed that its server was still listed.
func AttemptOnStaleList(evidence string) Event { return Event("stale_list_attempts." + evidence) }

// Recorder counts and logs events and violations. It may be used from any goroutine; a nil Recorder records
// nothing.
type Recorder struct {
	logger       *slog.Logger // nil: nothing is logged
	traceEnabled bool         // every step of every request is logged
	violations   invariant.Counts

	mu     sync.Mutex
	events map[Event]int64
}

// New returns a recorder whose counts are zero. It traces requests if the logger is enabled for the debug
// level.
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

// Violations returns the number of violations by rule name, including zero counts.
func (r *Recorder) Violations() map[string]int64 { return r.violations.Snapshot() }

// Count increments the count of an event.
func (r *Recorder) Count(event Event) { r.Add(event, 1) }

// Add adds n to the count of an event.
func (r *Recorder) Add(event Event, n int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[event] += n
}

// Events returns the number of events by name, without zero counts.
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

// ConnClosed describes a client connection that was closed.
type ConnClosed struct {
	Address   string // of the client
	Reason    Event  // why the proxy closed it
	Phase     string // state of the request on the connection
	Discarded int64  // bytes that arrived after the proxy had stopped sending
}

// RecordConnClosed counts a connection with discarded bytes, and logs the close at the debug level.
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

// Callers returns the call stack above the function that calls Callers, innermost first, as text.
func Callers() string {
	const skip, maxFrames = 3, 8
	var programCounters [maxFrames]uintptr
	frames := runtime.CallersFrames(programCounters[:runtime.Callers(skip, programCounters[:])])
	var names []string
	for more := true; more; {
		var f runtime.Frame
		f, more = frames.Next()
		names = append(names, path.Base(f.Function))
	}
	return strings.Join(names, " < ")
}
