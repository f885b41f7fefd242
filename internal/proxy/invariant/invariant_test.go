package invariant

import (
	"testing"
	"time"
)

var (
	began  = time.Unix(1000, 0)
	a, b   = Server{"a", "norte", 1}, Server{"b", "sur", 2}
	second = time.Second
)

// Each rule is shown broken, and kept in the nearest case that does not break it.
func TestEveryRuleIsDetected(t *testing.T) {
	keyed := Policy{Idempotency: IdempotentWithKey, DedupScope: DedupScopeZone, DedupWindow: second, MaxAttempts: 3}
	cell := Policy{Idempotency: IdempotentWithKey, DedupScope: DedupScopeCell, DedupWindow: second, MaxAttempts: 3}
	everywhere := Policy{Idempotency: IdempotentWithKey, DedupScope: DedupScopeAll, DedupWindow: second, MaxAttempts: 3}
	once := Policy{Idempotency: NonIdempotent, MaxAttempts: 3}
	safe := Policy{Idempotency: Idempotent, MaxAttempts: 2}
	at := func(d time.Duration) time.Time { return began.Add(d) }
	sent := func(r *Request, ends bool, mayRun bool) *Request {
		r.AttemptStarted(a, began)
		if ends {
			r.AttemptEnded(0, mayRun)
		}
		return r
	}
	firstByte := func(sent, deadline, unavailable time.Time) FirstByte {
		return FirstByte{Request: "1", Server: "a", SentAt: sent, Deadline: deadline, UnavailableSince: unavailable, Grace: second}
	}
	answered := func(r *Request) *Request { r.Responded(began, false); return r }
	for _, c := range []struct {
		name   string
		broken []Violation
		want   []Rule
	}{
		{"first attempt", NewRequest("1", once, at(second)).AttemptStarted(a, began), nil},
		{"again, it never ran", sent(NewRequest("1", once, at(second)), true, false).AttemptStarted(b, began), nil},
		{"again, unsafe", sent(NewRequest("1", once, at(second)), true, true).AttemptStarted(a, began), []Rule{RetriedNonIdempotent}},
		{"again, safe", sent(NewRequest("1", safe, at(second)), true, true).AttemptStarted(b, at(9*second)), nil},
		{"again in the zone", sent(NewRequest("1", keyed, at(second)), true, true).AttemptStarted(Server{"c", "norte", 9}, at(second)), nil},
		{"again in another zone", sent(NewRequest("1", keyed, at(second)), true, true).AttemptStarted(b, began), []Rule{RetriedOutsideScope}},
		{"again in another cell", sent(NewRequest("1", cell, at(second)), true, true).AttemptStarted(Server{"c", "norte", 9}, began), []Rule{RetriedOutsideScope}},
		{"again anywhere", sent(NewRequest("1", everywhere, at(second)), true, true).AttemptStarted(b, began), nil},
		{"again after the window", sent(NewRequest("1", keyed, at(second)), true, true).AttemptStarted(a, at(second+SocketSlack+1)), []Rule{RetriedAfterWindow}},
		{"a second copy", sent(NewRequest("1", safe, at(second)), false, false).AttemptStarted(b, began), []Rule{ConcurrentAttempt}},
		{"after the answer", answered(NewRequest("1", safe, at(second))).AttemptStarted(b, began), []Rule{SentAfterResponse}},
		{"answered", NewRequest("1", safe, began).Responded(at(MaxResponseDelay), false), nil},
		{"answered twice", answered(NewRequest("1", safe, at(second))).Responded(began, false), []Rule{RespondedTwice}},
		{"answered late", NewRequest("1", safe, began).Responded(at(MaxResponseDelay+1), false), []Rule{RespondedLate}},
		{"its time has not begun", NewRequest("1", safe, time.Time{}).Responded(at(time.Hour), false), nil},
		{"refused, it never ran", sent(NewRequest("1", once, at(second)), true, false).Responded(began, true), nil},
		{"refused, it may have run", sent(NewRequest("1", once, at(second)), true, true).Responded(began, true), []Rule{RejectedAfterExecution}},
		{"refused, it is out", sent(NewRequest("1", keyed, at(second)), false, false).Responded(began, true), []Rule{RejectedAfterExecution}},
		{"refused, any server drops it", sent(NewRequest("1", everywhere, at(second)), true, true).Responded(began, true), nil},
		{"failed, it may have run", sent(NewRequest("1", once, at(second)), true, true).Responded(began, false), nil},
		{"first byte in time", firstByte(at(MaxSchedulingDelay), began, time.Time{}).Check(), nil},
		{"first byte late", firstByte(at(MaxSchedulingDelay+1), began, time.Time{}).Check(), []Rule{SentAfterDeadline}},
		{"first byte in the grace", firstByte(at(second), at(second), began).Check(), nil},
		{"first byte after the grace", firstByte(at(second+SocketSlack+1), at(2*second), began).Check(), []Rule{SentToDraining}},
		{"closed", []Violation{ConnClosed("1", "idle")}, []Rule{ClosedInFlight}},
	} {
		var got []Rule
		for _, v := range c.broken {
			got = append(got, v.Rule)
		}
		if len(got) != len(c.want) || len(got) > 0 && got[0] != c.want[0] {
			t.Errorf("%s: %v, want %v", c.name, c.broken, c.want)
		}
	}
	many := NewRequest("1", safe, at(second))
	for range 2 {
		many.AttemptStarted(a, began)
		many.AttemptEnded(len(many.attempts)-1, true)
	}
	if got := many.AttemptStarted(a, began); len(got) != 1 || got[0].Rule != TooManyAttempts {
		t.Errorf("a third attempt of two: %v", got)
	}
	var counts Counts
	counts.Add(ConnClosed("1", "idle"), ConnClosed("2", "idle"))
	if total(&counts) != 2 || counts.Snapshot()["closed_unanswered"] != 2 || len(counts.Snapshot()) != int(ruleCount) {
		t.Errorf("counted %v", counts.Snapshot())
	}
}

func total(c *Counts) (n int64) {
	for _, count := range c.Snapshot() {
		n += count
	}
	return n
}
