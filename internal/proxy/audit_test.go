package proxy

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/invariant"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/upstream"
)

// TestAuditReportsBrokenRule checks that a decision that breaks a rule is carried out, counted and logged:
// the audit checks what the balancer and the loop do, whatever they intended.
func TestAuditReportsBrokenRule(t *testing.T) {
	var log bytes.Buffer
	l := &eventLoop{clock: clock{start: time.Now()}, requests: map[string]*request{}, audit: audit.New(slog.New(slog.NewTextHandler(&log, nil)))}
	rules := &balancer.Settings{MaxAttempts: 2, Classes: []balancer.Class{{Name: "post", Idempotency: balancer.NonIdempotent}}}
	r := &request{Request: &downstream.Request{Request: balancer.Request{ID: "r1", Deadline: l.clock.now() + 1e6, Settings: rules}}}
	l.auditRequest(r)
	begin := func() *attempt {
		a := &attempt{request: r, server: upstream.Server{Name: "a"}, started: true}
		l.auditAttemptStart(a)
		return a
	}
	a := begin()
	l.auditAttemptEnd(a, balancer.StatusTimedOut)
	begin() // a retry, although the first attempt may have been executed
	l.auditResponse(r, downstream.Response{Status: 503})
	l.auditResponse(r, downstream.Response{Status: 502})
	got := l.audit.Violations()
	for _, rule := range []invariant.Rule{invariant.RetriedNonIdempotent, invariant.RejectedAfterExecution, invariant.RespondedTwice} {
		if got[rule.String()] != 1 || !strings.Contains(log.String(), "rule="+rule.String()+" request=r1") {
			t.Errorf("rule %v: counted %d violations, want 1 and a log line; log:\n%s",
				rule, got[rule.String()], log.String())
		}
	}
	if l.audit.Events()["attempts.timed_out"] != 1 {
		t.Errorf("got events %v, want one attempts.timed_out", l.audit.Events())
	}
}

// TestAuditReportsConnectionClosedInFlight checks that closing a client connection with a request in flight
// is reported as a violation, whichever code closes it.
func TestAuditReportsConnectionClosedInFlight(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.NeverRespond(t))
	p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	p.breaksRules = true
	cl := connect(t, p)
	cl.Send(t, proxytest.LookRequest("1", 4000))
	proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == 1 && b.Requests.Load() == 1 })
	for _, c := range p.frontend.Conns() {
		c.Close() // injects the fault
	}
	proxytest.WaitUntil(t, func() bool { return p.Metrics().RuleViolations["closed_unanswered"] == 1 })
}

// TestAuditReportsNothingWhenRulesHold checks that ordinary requests are counted and cause no violation.
func TestAuditReportsNothingWhenRulesHold(t *testing.T) {
	p, _ := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	for _, id := range []string{"1", "2", "3"} {
		cl := connect(t, p)
		cl.Send(t, proxytest.LookRequest(id, 4000))
		cl.ReadResponse(t)
		cl.Close()
	}
	proxytest.WaitUntil(t, func() bool { return p.Metrics().Events["attempts.ok"] == 3 && p.frontend.OpenConns() == 0 })
	for rule, n := range p.Metrics().RuleViolations {
		if n != 0 {
			t.Errorf("rule %s: got %d violations, want none", rule, n)
		}
	}
}
