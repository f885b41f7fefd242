package proxy

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"path"
	"runtime"
	"strings"
	"sync"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/invariant"
)

// defaultGrace stands in for settings that state none: no deployment known has a longer one.
const defaultDrainGrace = time.Second

// audit tells the guard what becomes of requests, counts what it finds and logs it. It changes nothing.
type audit struct {
	counts       invariant.Counts
	logger       *slog.Logger
	traceEnabled bool // each step of each request is logged

	mu     sync.Mutex
	events map[string]int64 // closes, refusals, ends of attempts: by name
}

func newAudit(log *slog.Logger) *audit {
	a := &audit{logger: log, events: map[string]int64{}}
	a.traceEnabled = log != nil && log.Enabled(context.Background(), slog.LevelDebug)
	return a
}

// found counts and logs violations.
func (a *audit) recordViolations(broken ...invariant.Violation) {
	if a == nil || len(broken) == 0 {
		return
	}
	a.counts.Add(broken...)
	for _, v := range broken {
		if a.logger != nil {
			a.logger.Error("rule broken", "rule", v.Rule, "request", v.Request, "detail", v.Detail)
		}
	}
}

// count counts an event by its name.
func (a *audit) countEvent(event string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events[event]++
}

// all are the counts of events by name.
func (a *audit) eventCounts() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.events)
}

// step logs one step of a request, at the level for tracing.
func (a *audit) trace(id, what string, more ...any) {
	if a != nil && a.traceEnabled {
		a.logger.Debug("request", append([]any{"id", id, "step", what}, more...)...)
	}
}

// terms are the rules that a request was read by.
func policyOf(r *request) invariant.Policy {
	if r.Settings == nil || r.Class >= len(r.Settings.Classes) {
		return invariant.Policy{MaxAttempts: 1 << 30} // a test's request, with no rules
	}
	k := r.Settings.Classes[r.Class]
	return invariant.Policy{Idempotency: invariant.Idempotency(k.Idempotency), DedupScope: invariant.DedupScope(k.DedupScope),
		DedupWindow: time.Duration(k.DedupWindow) * time.Microsecond, MaxAttempts: r.Settings.MaxAttempts, RejectedMayHaveExecuted: r.Settings.RejectedMayHaveExecuted}
}

// taken has the guard watch a request from now on.
func (l *eventLoop) auditRequest(r *request) {
	due := time.Time{}
	if !r.BodyPending {
		due = l.clock.time(r.Deadline)
	}
	r.rules = invariant.NewRequest(r.ID, policyOf(r), due)
	l.audit.trace(r.ID, "taken", "class", r.className, "uploading", r.BodyPending)
}

// sends notes that an attempt begins.
func (l *eventLoop) auditAttemptStart(a *attempt) {
	if a.request.rules != nil {
		l.audit.recordViolations(a.request.rules.AttemptStarted(invariant.Server{Name: a.backend.name, Zone: a.zone, Cell: a.cell}, time.Now())...)
	}
	a.recordIndex = a.request.recordedAttempts
	a.request.recordedAttempts++
	l.audit.trace(a.request.ID, "sent", "attempt", a.number, "server", a.backend.name)
}

// ends notes how an attempt ended.
func (l *eventLoop) auditAttemptEnd(a *attempt, status balancer.Status) {
	l.audit.countEvent("attempts." + statusNames[status])
	l.audit.trace(a.request.ID, "ended", "attempt", a.number, "status", statusNames[status])
	if a.backend == nil || a.request.rules == nil || a.ctx == nil { // it never began
		return
	}
	proof := status == balancer.StatusConnectFailed || status == balancer.StatusNotSent ||
		status == balancer.StatusRejected && (a.request.Settings == nil || !a.request.Settings.RejectedMayHaveExecuted)
	a.request.rules.AttemptEnded(a.recordIndex, !proof)
}

// answers notes a request's final answer.
func (l *eventLoop) auditResponse(r *request, ans response) {
	l.audit.trace(r.ID, "answered", "status", ans.status)
	switch {
	case r.rules == nil:
	case ans.status == 0:
		r.rules.ClientGone()
	default:
		refused := ans.status == http.StatusServiceUnavailable || ans.status == http.StatusTooManyRequests
		l.audit.recordViolations(r.rules.Responded(time.Now(), refused)...)
	}
}

var statusNames = map[balancer.Status]string{balancer.StatusOK: "ok", balancer.StatusError: "error", balancer.StatusRejected: "full", balancer.StatusTimedOut: "timed_out",
	balancer.StatusConnectFailed: "connect_failed", balancer.StatusReset: "reset", balancer.StatusCancelled: "cancelled", balancer.StatusNotSent: "not_sent"}

// firstByte checks the moment in which an attempt's first byte goes out.
func (a *attempt) checkFirstByte(at time.Time) {
	if a.pool.audit == nil {
		return
	}
	closed, grace := a.pool.unavailableSince(a.backend)
	a.pool.audit.recordViolations(invariant.CheckFirstByte(a.request.ID, a.backend.name, at, a.deadline, closed, grace)...)
}

// closedAt is when a backend was last closed to new requests, zero if it is open to them, and the grace from then on.
func (p *backendPool) unavailableSince(b *backend) (time.Time, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.unavailableSince, p.drainGrace
}

// setGrace sets the grace for sends to backends that drain or are gone; 0 stands for the default.
func (p *backendPool) setDrainGrace(micros int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drainGrace = time.Duration(micros) * time.Microsecond; p.drainGrace <= 0 {
		p.drainGrace = defaultDrainGrace
	}
}

// callers names the functions on whose behalf a connection is closed, the nearest first.
func callers() string {
	const skip, most = 3, 8
	var at [most]uintptr
	frames := runtime.CallersFrames(at[:runtime.Callers(skip, at[:])])
	var names []string
	for more := true; more; {
		var f runtime.Frame
		f, more = frames.Next()
		names = append(names, path.Base(f.Function))
	}
	return strings.Join(names, " < ")
}

// owe notes that a request has been taken on a client's connection; paid, that it has its answer, or nobody waits for one.
func (c *clientConn) markUnanswered(id string) { c.unanswered.Store(&id) }
func (c *clientConn) markAnswered()            { c.unanswered.Store(nil) }

// closes notes that the proxy ends a connection, and why.
func (c *clientConn) auditClose(reason string) {
	audit := c.listener.audit
	if audit == nil {
		return
	}
	audit.countEvent("closes.client." + reason)
	if id := c.unanswered.Load(); id != nil {
		audit.recordViolations(invariant.ConnClosed(*id, reason+" by "+callers()))
		c.markAnswered()
	}
}
