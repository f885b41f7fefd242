package guard

import (
	"testing"
	"time"
)

var (
	began  = time.Unix(1000, 0)
	a, b   = Server{"a", "norte", 1}, Server{"b", "sur", 2}
	second = time.Second
)

// Each rule is shown broken, and kept by what comes nearest to breaking it.
func TestEachRuleIsSeenBroken(t *testing.T) {
	keyed := Terms{Repeat: Keyed, Scope: Zone, Window: second, MaxAttempts: 3}
	cell := Terms{Repeat: Keyed, Scope: Cell, Window: second, MaxAttempts: 3}
	everywhere := Terms{Repeat: Keyed, Scope: All, Window: second, MaxAttempts: 3}
	once := Terms{Repeat: Unsafe, MaxAttempts: 3}
	safe := Terms{Repeat: Safe, MaxAttempts: 2}
	at := func(d time.Duration) time.Time { return began.Add(d) }
	sent := func(r *Request, ends bool, mayRun bool) *Request {
		r.Send(a, began)
		if ends {
			r.Ended(0, mayRun)
		}
		return r
	}
	answered := func(r *Request) *Request { r.Answer(began, false); return r }
	for _, c := range []struct {
		name   string
		broken []Violation
		want   []Kind
	}{
		{"first attempt", Take("1", once, at(second)).Send(a, began), nil},
		{"again, it never ran", sent(Take("1", once, at(second)), true, false).Send(b, began), nil},
		{"again, unsafe", sent(Take("1", once, at(second)), true, true).Send(a, began), []Kind{RepeatedUnsafe}},
		{"again, safe", sent(Take("1", safe, at(second)), true, true).Send(b, at(9*second)), nil},
		{"again in the zone", sent(Take("1", keyed, at(second)), true, true).Send(Server{"c", "norte", 9}, at(second)), nil},
		{"again in another zone", sent(Take("1", keyed, at(second)), true, true).Send(b, began), []Kind{RepeatedElsewhere}},
		{"again in another cell", sent(Take("1", cell, at(second)), true, true).Send(Server{"c", "norte", 9}, began), []Kind{RepeatedElsewhere}},
		{"again anywhere", sent(Take("1", everywhere, at(second)), true, true).Send(b, began), nil},
		{"again after the window", sent(Take("1", keyed, at(second)), true, true).Send(a, at(second+SocketSlack+1)), []Kind{RepeatedLate}},
		{"a second copy", sent(Take("1", safe, at(second)), false, false).Send(b, began), []Kind{SecondCopy}},
		{"after the answer", answered(Take("1", safe, at(second))).Send(b, began), []Kind{SentAfterAnswer}},
		{"answered", Take("1", safe, began).Answer(at(LateMost), false), nil},
		{"answered twice", answered(Take("1", safe, at(second))).Answer(began, false), []Kind{AnsweredTwice}},
		{"answered late", Take("1", safe, began).Answer(at(LateMost+1), false), []Kind{AnsweredLate}},
		{"its time has not begun", Take("1", safe, time.Time{}).Answer(at(time.Hour), false), nil},
		{"refused, it never ran", sent(Take("1", once, at(second)), true, false).Answer(began, true), nil},
		{"refused, it may have run", sent(Take("1", once, at(second)), true, true).Answer(began, true), []Kind{RefusedAfterRun}},
		{"refused, it is out", sent(Take("1", keyed, at(second)), false, false).Answer(began, true), []Kind{RefusedAfterRun}},
		{"refused, any server drops it", sent(Take("1", everywhere, at(second)), true, true).Answer(began, true), nil},
		{"failed, it may have run", sent(Take("1", once, at(second)), true, true).Answer(began, false), nil},
		{"first byte in time", FirstByte("1", "a", at(HoldMost), began, time.Time{}, second), nil},
		{"first byte late", FirstByte("1", "a", at(HoldMost+1), began, time.Time{}, second), []Kind{SentLate}},
		{"first byte in the grace", FirstByte("1", "a", at(second), at(second), began, second), nil},
		{"first byte after the grace", FirstByte("1", "a", at(second+SocketSlack+1), at(2*second), began, second), []Kind{SentToDrained}},
		{"closed", []Violation{Closed("1", "idle")}, []Kind{ClosedUnanswered}},
	} {
		var got []Kind
		for _, v := range c.broken {
			got = append(got, v.Kind)
		}
		if len(got) != len(c.want) || len(got) > 0 && got[0] != c.want[0] {
			t.Errorf("%s: %v, want %v", c.name, c.broken, c.want)
		}
	}
	many := Take("1", safe, at(second))
	for range 2 {
		many.Send(a, began)
		many.Ended(len(many.attempts)-1, true)
	}
	if got := many.Send(a, began); len(got) != 1 || got[0].Kind != TooManyAttempts {
		t.Errorf("a third attempt of two: %v", got)
	}
	var counts Counts
	counts.Add(Closed("1", "idle"), Closed("2", "idle"))
	if counts.Total() != 2 || counts.All()["closed_unanswered"] != 2 || len(counts.All()) != int(kinds) {
		t.Errorf("counted %v", counts.All())
	}
}
