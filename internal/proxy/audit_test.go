package proxy

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/discovery"
	"fernlanding/internal/proxy/guard"
	"fernlanding/logic"
)

// A decision that breaks a rule is carried out all the same, and counted and logged: the audit sees what the module and the
// loop do, not what they mean to do.
func TestTheAuditSeesABrokenRule(t *testing.T) {
	var log bytes.Buffer
	l := &loop{clock: clock{start: time.Now()}, reqs: map[string]*request{}, audit: newAudit(slog.New(slog.NewTextHandler(&log, nil)))}
	rules := &logic.Settings{MaxAttempts: 2, Classes: []logic.Class{{Name: "post", Repeat: logic.Unsafe}}}
	r := &request{Request: logic.Request{ID: "r1", GiveUp: l.clock.now() + 1e6, Under: rules}, answer: make(chan answer, 2)}
	l.taken(r)
	begin := func() *attempt {
		a := &attempt{req: r, backend: &backend{name: "a"}, ctx: t.Context()}
		l.sends(a)
		return a
	}
	a := begin()
	l.ends(a, logic.TimedOut)
	begin() // it may have run
	l.answers(r, answer{status: 503})
	l.answers(r, answer{status: 502})
	got := l.audit.counts.All()
	for _, rule := range []guard.Kind{guard.RepeatedUnsafe, guard.RefusedAfterRun, guard.AnsweredTwice} {
		if got[rule.String()] != 1 || !strings.Contains(log.String(), "rule="+rule.String()+" request=r1") {
			t.Errorf("%v counted %d times; the log:\n%s", rule, got[rule.String()], log.String())
		}
	}
	if l.audit.all()["attempts.timed_out"] != 1 {
		t.Errorf("events %v", l.audit.all())
	}
}

// A client's connection that the proxy ends under a request that it has taken is a broken rule, by whatever path; one that
// rests is not.
func TestTheAuditSeesAConnectionClosedOnARequest(t *testing.T) {
	b := startBackend(t, hang(t))
	p := startProxy(t, startDiscovery(t).addr, 200, listText(1, true, listed("a", b.addr, discovery.Serving)))
	p.breaks = true
	cl := connect(t, p)
	cl.send(t, look("1", 4000))
	waitUntil(t, func() bool { return p.Figures().Outstanding == 1 && b.requests.Load() == 1 })
	p.front.mu.Lock()
	for c := range p.front.conns {
		c.Close() // a seeded fault
	}
	p.front.mu.Unlock()
	waitUntil(t, func() bool { return p.Figures().Broken["closed_unanswered"] == 1 })
}

// What is served and refused in the ordinary way breaks no rule, and shows in the figures.
func TestTheAuditIsQuietWhereRulesHold(t *testing.T) {
	p, _ := serving(t, says(served, true))
	for _, id := range []string{"1", "2", "3"} {
		cl := connect(t, p)
		cl.send(t, look(id, 4000))
		cl.answer(t)
		cl.Close()
	}
	waitUntil(t, func() bool { return p.Figures().Events["attempts.ok"] == 3 && p.front.open() == 0 })
	for rule, n := range p.Figures().Broken {
		if n != 0 {
			t.Errorf("%s: %d", rule, n)
		}
	}
}
