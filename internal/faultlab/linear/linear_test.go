package linear

import (
	"slices"
	"testing"
	"time"
)

// testCall is a call from and to a time in ms; to 0 is a write without an answer.
type testCall struct {
	kind     Operation
	instance string // of a read: the value
	from, to int
}

// Linearizable histories pass and others are found.
func TestCheck(t *testing.T) {
	const i1, i2 = "SERVING i1", "SERVING i2"
	for name, c := range map[string]struct {
		calls []testCall
		wrong bool
	}{
		"read after write":                  {[]testCall{{Register, "i1", 0, 10}, {Read, i1, 20, 30}}, false},
		"a read that is too old":            {[]testCall{{Register, "i1", 0, 10}, {Read, Absent, 20, 30}}, true},
		"a read at the same time":           {[]testCall{{Register, "i1", 0, 30}, {Read, Absent, 10, 20}, {Read, i1, 21, 25}}, false},
		"seen, and then not":                {[]testCall{{Register, "i1", 0, 50}, {Read, i1, 10, 20}, {Read, Absent, 21, 25}}, true},
		"an acknowledged one that was lost": {[]testCall{{Register, "i1", 0, 10}, {Register, "i2", 20, 30}, {Read, i1, 40, 50}}, true},
		"what was not sure happens late":    {[]testCall{{Register, "i1", 0, 0}, {Read, Absent, 20, 30}, {Read, i1, 40, 50}}, false},
		"what was not sure never happens":   {[]testCall{{Register, "i1", 0, 0}, {Read, Absent, 20, 30}, {Read, Absent, 40, 50}}, false},
		"what was not sure happens twice": {[]testCall{{Register, "i1", 0, 0}, {Read, i1, 20, 30}, {Remove, "i1", 31, 32},
			{Read, Absent, 33, 34}, {Read, i1, 40, 50}}, true},
		"out of nothing":                {[]testCall{{Read, i1, 0, 10}}, true},
		"drained":                       {[]testCall{{Register, "i1", 0, 10}, {Drain, "i1", 11, 12}, {Read, "DRAINING i1", 13, 14}}, false},
		"a drain that was forgotten":    {[]testCall{{Register, "i1", 0, 10}, {Drain, "i1", 11, 12}, {Read, i1, 13, 14}}, true},
		"a late drain of another start": {[]testCall{{Register, "i2", 0, 10}, {Drain, "i1", 11, 12}, {Read, i2, 13, 14}}, false},
		"a lease may end":               {[]testCall{{Register, "i1", 0, 10}, {Remove, "i1", 11, 0}, {Read, i1, 13, 14}, {Read, Absent, 20, 21}}, false},
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
			t.Errorf("%s: %+v", name, v)
		}
	}
}

// The history has the calls that were recorded.
func TestRecorder(t *testing.T) {
	h := New()
	h.Begin(Register, "a", "i1", 0)(true, false)
	begun := time.Now()
	h.RecordRead(1, begun, map[string]string{"a": Value("SERVING", "i1"), "b": Absent})
	h.Begin(Register, "b", "i1", 0)(false, true) // rejected: removed
	h.Begin(Register, "b", "i2", 0)(false, false)
	if v := h.Check(time.Second); len(v.Violations)+len(v.Undecided) != 0 || v.Calls != 4 {
		t.Errorf("%+v", v)
	}
	h.RecordRead(1, time.Now(), map[string]string{"a": Absent, "b": Value("SERVING", "i1")})
	if v := h.Check(time.Second); len(v.Violations) != 2 {
		t.Errorf("%+v", v)
	}
}
