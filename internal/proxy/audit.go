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
	"merlinpick/internal/proxy/guard"
)

// defaultGrace stands in for settings that state none: no deployment known has a longer one.
const defaultGrace = time.Second

// audit tells the guard what becomes of requests, counts what it finds and logs it. It changes nothing.
type audit struct {
	counts guard.Counts
	log    *slog.Logger
	traces bool // each step of each request is logged

	mu     sync.Mutex
	events map[string]int64 // closes, refusals, ends of attempts: by name
}

func newAudit(log *slog.Logger) *audit {
	a := &audit{log: log, events: map[string]int64{}}
	a.traces = log != nil && log.Enabled(context.Background(), slog.LevelDebug)
	return a
}

// found counts and logs violations.
func (a *audit) found(broken ...guard.Violation) {
	if a == nil || len(broken) == 0 {
		return
	}
	a.counts.Add(broken...)
	for _, v := range broken {
		if a.log != nil {
			a.log.Error("rule broken", "rule", v.Kind, "request", v.Request, "detail", v.Detail)
		}
	}
}

// count counts an event by its name.
func (a *audit) count(event string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events[event]++
}

// all are the counts of events by name.
func (a *audit) all() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.events)
}

// step logs one step of a request, at the level for tracing.
func (a *audit) step(id, what string, more ...any) {
	if a != nil && a.traces {
		a.log.Debug("request", append([]any{"id", id, "step", what}, more...)...)
	}
}

// terms are the rules that a request was read by.
func terms(r *request) guard.Terms {
	if r.Settings == nil || r.Class >= len(r.Settings.Classes) {
		return guard.Terms{MaxAttempts: 1 << 30} // a test's request, with no rules
	}
	k := r.Settings.Classes[r.Class]
	return guard.Terms{Repeat: guard.Repeat(k.Idempotency), Scope: guard.Scope(k.DedupScope),
		Window: time.Duration(k.DedupWindow) * time.Microsecond, MaxAttempts: r.Settings.MaxAttempts, FullMayRun: r.Settings.RejectedMayHaveExecuted}
}

// taken has the guard watch a request from now on.
func (l *loop) taken(r *request) {
	due := time.Time{}
	if !r.BodyPending {
		due = l.clock.time(r.Deadline)
	}
	r.watched = guard.Take(r.ID, terms(r), due)
	l.audit.step(r.ID, "taken", "class", r.class, "uploading", r.BodyPending)
}

// sends notes that an attempt begins.
func (l *loop) sends(a *attempt) {
	if a.req.watched != nil {
		l.audit.found(a.req.watched.Send(guard.Server{Name: a.backend.name, Zone: a.zone, Cell: a.cell}, time.Now())...)
	}
	a.record = a.req.recorded
	a.req.recorded++
	l.audit.step(a.req.ID, "sent", "attempt", a.number, "server", a.backend.name)
}

// ends notes how an attempt ended.
func (l *loop) ends(a *attempt, status balancer.Status) {
	l.audit.count("attempts." + statusNames[status])
	l.audit.step(a.req.ID, "ended", "attempt", a.number, "status", statusNames[status])
	if a.backend == nil || a.req.watched == nil || a.ctx == nil { // it never began
		return
	}
	proof := status == balancer.StatusConnectFailed || status == balancer.StatusNotSent ||
		status == balancer.StatusRejected && (a.req.Settings == nil || !a.req.Settings.RejectedMayHaveExecuted)
	a.req.watched.Ended(a.record, !proof)
}

// answers notes a request's final answer.
func (l *loop) answers(r *request, ans answer) {
	l.audit.step(r.ID, "answered", "status", ans.status)
	switch {
	case r.watched == nil:
	case ans.status == 0:
		r.watched.Gone()
	default:
		refused := ans.status == http.StatusServiceUnavailable || ans.status == http.StatusTooManyRequests
		l.audit.found(r.watched.Answer(time.Now(), refused)...)
	}
}

var statusNames = map[balancer.Status]string{balancer.StatusOK: "ok", balancer.StatusError: "error", balancer.StatusRejected: "full", balancer.StatusTimedOut: "timed_out",
	balancer.StatusConnectFailed: "connect_failed", balancer.StatusReset: "reset", balancer.StatusCancelled: "cancelled", balancer.StatusNotSent: "not_sent"}

// firstByte checks the moment in which an attempt's first byte goes out.
func (a *attempt) firstByte(at time.Time) {
	if a.pool.audit == nil {
		return
	}
	closed, grace := a.pool.closedAt(a.backend)
	a.pool.audit.found(guard.FirstByte(a.req.ID, a.backend.name, at, a.deadline, closed, grace)...)
}

// closedAt is when a backend was last closed to new requests, zero if it is open to them, and the grace from then on.
func (p *backends) closedAt(b *backend) (time.Time, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.closed, p.grace
}

// setGrace sets the grace for sends to backends that drain or are gone; 0 stands for the default.
func (p *backends) setGrace(micros int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.grace = time.Duration(micros) * time.Microsecond; p.grace <= 0 {
		p.grace = defaultGrace
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
func (c *framedConn) owe(id string) { c.owed.Store(&id) }
func (c *framedConn) paid()         { c.owed.Store(nil) }

// closes notes that the proxy ends a connection, and why.
func (c *framedConn) closes(reason string) {
	audit := c.of.audit
	if audit == nil {
		return
	}
	audit.count("closes.client." + reason)
	if id := c.owed.Load(); id != nil {
		audit.found(guard.Closed(*id, reason+" by "+callers()))
		c.paid()
	}
}
