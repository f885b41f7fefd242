package proxy

import (
	"fmt"
	"testing"
)

// TestExecutedIDsAreRememberedForAWindow checks for how long IDs are remembered, and that their number is bounded.
func TestExecutedIDsAreRememberedForAWindow(t *testing.T) {
	window := executedIDWindow.Microseconds()
	for _, tt := range []struct {
		after int64
		want  bool
	}{{0, true}, {window / 2, true}, {window, true}, {2 * window, false}, {10 * window, false}} {
		e := newExecutedIDs()
		e.add(window, hashID("a"))
		if got := e.contains(window+tt.after, hashID("a")); got != tt.want {
			t.Errorf("remembered %d us later: got %t, want %t", tt.after, got, tt.want)
		}
		if e.contains(window, hashID("b")) {
			t.Error("an ID that was not added is remembered")
		}
	}
	e := newExecutedIDs()
	e.add(0, hashID("a"))
	e.remove(hashID("a"))
	if e.contains(0, hashID("a")) {
		t.Error("an ID that was removed is remembered")
	}
	for i := range 3 * maxExecutedIDs {
		e.add(0, hashID(fmt.Sprint(i)))
	}
	if n := len(e.current) + len(e.previous); n > 2*maxExecutedIDs {
		t.Errorf("%d IDs are remembered, want at most %d", n, 2*maxExecutedIDs)
	}
}
