package linear

import (
	"slices"
	"testing"
	"time"
)

// testCall is a call that lasts from one time to another, in ms. A write with to 0 was not answered.
type testCall struct {
	kind     Operation
	instance string // of a read: the value
	from, to int
}

// TestCheck checks that linearizable histories pass and others are reported.
func TestCheck(t *testing.T) {
	const i1, i2 = "SERVING i1", "SERVING i2"
	for name, c := range map[string]struct {
		calls []testCall
		wrong bool
	}{
		"read after write": {[]testCall{{Register, "i1", 0, 10}, {Read, i1, 20, 30}}, false},
		"stale read":       {[]testCall{{Register, "i1", 0, 10}, {Read, Absent, 20, 30}}, true},
		"concurrent read": {[]testCall{{Register, "i1", 0, 30}, {Read, Absent, 10, 20},
			{Read, i1, 21, 25}}, false},
		"new value read, then the old one": {[]testCall{{Register, "i1", 0, 50}, {Read, i1, 10, 20},
			{Read, Absent, 21, 25}}, true},
		"acknowledged write lost": {[]testCall{{Register, "i1", 0, 10}, {Register, "i2", 20, 30},
			{Read, i1, 40, 50}}, true},
		"unanswered write takes effect late": {[]testCall{{Register, "i1", 0, 0}, {Read, Absent, 20, 30},
			{Read, i1, 40, 50}}, false},
		"unanswered write never takes effect": {[]testCall{{Register, "i1", 0, 0}, {Read, Absent, 20, 30},
			{Read, Absent, 40, 50}}, false},
		"unanswered write takes effect twice": {[]testCall{{Register, "i1", 0, 0},
			{Read, i1, 20, 30}, {Remove, "i1", 31, 32},
			{Read, Absent, 33, 34}, {Read, i1, 40, 50}}, true},
		"value that was never written": {[]testCall{{Read, i1, 0, 10}}, true},
		"drained": {[]testCall{{Register, "i1", 0, 10}, {Drain, "i1", 11, 12},
			{Read, "DRAINING i1", 13, 14}}, false},
		"acknowledged drain lost": {[]testCall{{Register, "i1", 0, 10}, {Drain, "i1", 11, 12},
			{Read, i1, 13, 14}}, true},
		"late drain of another instance": {[]testCall{{Register, "i2", 0, 10}, {Drain, "i1", 11, 12},
			{Read, i2, 13, 14}}, false},
		"lease may expire": {[]testCall{{Register, "i1", 0, 10}, {Remove, "i1", 11, 0}, {Read, i1, 13, 14},
			{Read, Absent, 20, 21}}, false},
	} {
		h := New()
		for i, s := range c.calls {
			h.Begin(s.kind, "n", s.instance, i)
			op := &h.operations[len(h.operations)-1]
			op.Call = int64(s.from) * int64(time.Millisecond)
			if s.to > 0 {
				op.Return = int64(s.to) * int64(time.Millisecond)
			}
			if s.kind == Read {
				op.Output = s.instance
			}
		}
		v := h.Check(10 * time.Second)
		if got := slices.Contains(v.Violations, "n"); got != c.wrong || len(v.Undecided) > 0 {
			t.Errorf("history %q: wrong check result %+v", name, v)
		}
	}
}

// TestRecorder checks that the history contains the recorded calls, except rejected ones, and that a check
// reports reads that contradict them.
func TestRecorder(t *testing.T) {
	h := New()
	h.Begin(Register, "a", "i1", 0)(true, false)
	begun := time.Now()
	h.RecordRead(1, begun, map[string]string{"a": Value("SERVING", "i1"), "b": Absent})
	h.Begin(Register, "b", "i1", 0)(false, true) // rejected: removed
	h.Begin(Register, "b", "i2", 0)(false, false)
	if v := h.Check(time.Second); len(v.Violations)+len(v.Undecided) != 0 || v.Calls != 4 {
		t.Errorf("wrong check result %+v, want 4 calls without violations", v)
	}
	h.RecordRead(1, time.Now(), map[string]string{"a": Absent, "b": Value("SERVING", "i1")})
	if v := h.Check(time.Second); len(v.Violations) != 2 {
		t.Errorf("wrong check result %+v, want violations of both servers", v)
	}
}
