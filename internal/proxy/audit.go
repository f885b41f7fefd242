package proxy

import (
	"net/http"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/invariant"
)

// statusNames maps the status of an ended attempt to its name in metrics and traces.
var statusNames = map[balancer.Status]string{balancer.StatusOK: "ok", balancer.StatusError: "error",
	balancer.StatusRejected: "full", balancer.StatusTimedOut: "timed_out", balancer.StatusConnectFailed: "connect_failed",
	balancer.StatusReset: "reset", balancer.StatusCancelled: "cancelled", balancer.StatusNotSent: "not_sent"}

// policyOf returns the retry policy for a request's class, from the settings in force when the request was
// read.
func policyOf(r *request) invariant.Policy {
	class := r.Settings.Classes[r.Class]
	return invariant.Policy{
		Idempotency: invariant.Idempotency(class.Idempotency), DedupScope: invariant.DedupScope(class.DedupScope),
		DedupWindow: time.Duration(class.DedupWindow) * time.Microsecond, MaxAttempts: r.Settings.MaxAttempts,
	}
}

// auditRequest starts the rule checks for a request.
func (l *eventLoop) auditRequest(r *request) {
	deadline := time.Time{}
	if !r.BodyPending {
		deadline = l.clock.time(r.Deadline)
	}
	r.rules = invariant.NewRequest(r.ID, policyOf(r), deadline)
	l.audit.Trace(r.ID, "taken", "class", r.ClassName, "uploading", r.BodyPending)
}

// auditBodySent records that the client may have sent the last byte of its body at sent, though bytes of it are
// still unread. The client's time starts then.
func (l *eventLoop) auditBodySent(r *request, sent, deadline time.Time) {
	r.rules.SetDeadline(deadline)
	if l.audit.IsTracing() {
		l.audit.Trace(r.ID, "body arrived", "since", time.Since(sent))
	}
}

// auditBodyRead records that all of a request's body has been read.
func (l *eventLoop) auditBodyRead(r *request, deadline time.Time) {
	r.rules.SetDeadline(deadline)
	l.audit.Trace(r.ID, "body read")
}

// auditAttemptStart records the start of an attempt and reports the rules that it breaks.
func (l *eventLoop) auditAttemptStart(a *attempt) {
	l.audit.RecordViolations(a.request.rules.AttemptStarted(invariant.Server(a.server), time.Now())...)
	a.recordIndex = a.request.recordedAttempts
	a.request.recordedAttempts++
	l.audit.Trace(a.request.ID, "sent", "attempt", a.number, "endpoint", a.server.Name)
}

// auditListEvidence records, while the endpoint list is stale, which other evidence shows that an attempt's
// server is still listed.
func (l *eventLoop) auditListEvidence(a *attempt) {
	evidence, stale := l.balancer.ListEvidence(a.decidedAt, a.server.Name)
	if !stale {
		return
	}
	l.audit.Count(audit.AttemptOnStaleList(evidence.Evidence.String()))
	if !l.audit.IsTracing() {
		return
	}
	confirmed, leastInFlight := l.balancer.ConfirmedServers(a.decidedAt)
	l.audit.Trace(a.request.ID, "list stale", "attempt", a.number, "endpoint", a.server.Name, "evidence", evidence.Evidence.String(),
		"since", microseconds(evidence.Since), "age", microseconds(evidence.ListAge), "confirmed", confirmed,
		"least_in_flight", leastInFlight)
}

// microseconds converts a span from the balancer, which counts in microseconds, to a duration.
func microseconds(span int64) time.Duration { return time.Duration(span) * time.Microsecond }

// auditAttemptEnd records how an attempt ended. An attempt that was never started is counted and traced, but
// not checked against the rules.
func (l *eventLoop) auditAttemptEnd(a *attempt, status balancer.Status) {
	l.audit.Count(audit.AttemptEnded(statusNames[status]))
	l.audit.Trace(a.request.ID, "ended", "attempt", a.number, "status", statusNames[status])
	if !a.started {
		return
	}
	neverExecuted := status == balancer.StatusConnectFailed || status == balancer.StatusNotSent ||
		status == balancer.StatusRejected && !a.request.Settings.RejectedMayHaveExecuted
	a.request.mayBeExecuted = a.request.mayBeExecuted || !neverExecuted
	a.request.rules.AttemptEnded(a.recordIndex, !neverExecuted)
}

// auditResponse records a request's final response and reports the rules that it breaks. Status 0 means that
// the client disconnected.
func (l *eventLoop) auditResponse(r *request, resp downstream.Response) {
	l.audit.Trace(r.ID, "answered", "status", resp.Status)
	if resp.Status == 0 {
		r.rules.ClientGone()
		return
	}
	rejected := resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests
	l.audit.RecordViolations(r.rules.Responded(time.Now(), rejected)...)
}
