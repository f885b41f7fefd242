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

// TestEveryRuleIsDetected checks, for each rule, a case that breaks it and the closest case that does not.
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
		{"retry, first attempt not executed",
			sent(NewRequest("1", once, at(second)), true, false).AttemptStarted(b, began), nil},
		{"retry of a non-idempotent request",
			sent(NewRequest("1", once, at(second)), true, true).AttemptStarted(a, began),
			[]Rule{RetriedNonIdempotent}},
		{"retry of an idempotent request",
			sent(NewRequest("1", safe, at(second)), true, true).AttemptStarted(b, at(9*second)), nil},
		{"retry in the same zone",
			sent(NewRequest("1", keyed, at(second)), true, true).
				AttemptStarted(Server{"c", "norte", 9}, at(second)), nil},
		{"retry in another zone",
			sent(NewRequest("1", keyed, at(second)), true, true).AttemptStarted(b, began),
			[]Rule{RetriedOutsideScope}},
		{"retry in another cell",
			sent(NewRequest("1", cell, at(second)), true, true).
				AttemptStarted(Server{"c", "norte", 9}, began), []Rule{RetriedOutsideScope}},
		{"retry with a scope of all servers",
			sent(NewRequest("1", everywhere, at(second)), true, true).AttemptStarted(b, began), nil},
		{"retry after the deduplication window",
			sent(NewRequest("1", keyed, at(second)), true, true).AttemptStarted(a, at(second+SocketSlack+1)),
			[]Rule{RetriedAfterWindow}},
		{"concurrent attempt",
			sent(NewRequest("1", safe, at(second)), false, false).AttemptStarted(b, began),
			[]Rule{ConcurrentAttempt}},
		{"attempt after the response",
			answered(NewRequest("1", safe, at(second))).AttemptStarted(b, began), []Rule{SentAfterResponse}},
		{"response in time", NewRequest("1", safe, began).Responded(at(MaxResponseDelay), false), nil},
		{"second response",
			answered(NewRequest("1", safe, at(second))).Responded(began, false), []Rule{RespondedTwice}},
		{"late response",
			NewRequest("1", safe, began).Responded(at(MaxResponseDelay+1), false), []Rule{RespondedLate}},
		{"response without a known deadline",
			NewRequest("1", safe, time.Time{}).Responded(at(time.Hour), false), nil},
		{"rejected, not executed",
			sent(NewRequest("1", once, at(second)), true, false).Responded(began, true), nil},
		{"rejected, may have been executed",
			sent(NewRequest("1", once, at(second)), true, true).Responded(began, true),
			[]Rule{RejectedAfterExecution}},
		{"rejected, attempt in flight",
			sent(NewRequest("1", keyed, at(second)), false, false).Responded(began, true),
			[]Rule{RejectedAfterExecution}},
		{"rejected, all servers deduplicate",
			sent(NewRequest("1", everywhere, at(second)), true, true).Responded(began, true), nil},
		{"failed, may have been executed",
			sent(NewRequest("1", once, at(second)), true, true).Responded(began, false), nil},
		{"first byte in time", firstByte(at(MaxSchedulingDelay), began, time.Time{}).Check(), nil},
		{"first byte late",
			firstByte(at(MaxSchedulingDelay+1), began, time.Time{}).Check(), []Rule{SentAfterDeadline}},
		{"first byte within the grace period", firstByte(at(second), at(second), began).Check(), nil},
		{"first byte after the grace period",
			firstByte(at(second+SocketSlack+1), at(2*second), began).Check(), []Rule{SentToDraining}},
		{"connection closed in flight", []Violation{ConnClosed("1", "idle")}, []Rule{ClosedInFlight}},
	} {
		var got []Rule
		for _, v := range c.broken {
			got = append(got, v.Rule)
		}
		if len(got) != len(c.want) || len(got) > 0 && got[0] != c.want[0] {
			t.Errorf("%s: got %v, want %v", c.name, c.broken, c.want)
		}
	}
	many := NewRequest("1", safe, at(second))
	for range 2 {
		many.AttemptStarted(a, began)
		many.AttemptEnded(len(many.attempts)-1, true)
	}
	if got := many.AttemptStarted(a, began); len(got) != 1 || got[0].Rule != TooManyAttempts {
		t.Errorf("third attempt of at most two: got %v, want %v", got, TooManyAttempts)
	}
	var counts Counts
	counts.Add(ConnClosed("1", "idle"), ConnClosed("2", "idle"))
	if total(&counts) != 2 || counts.Snapshot()["closed_unanswered"] != 2 || len(counts.Snapshot()) != int(ruleCount) {
		t.Errorf("got counts %v, want 2 of closed_unanswered and 0 of every other rule", counts.Snapshot())
	}
}

// total returns the number of violations of all rules.
func total(c *Counts) (n int64) {
	for _, count := range c.Snapshot() {
		n += count
	}
	return n
}
