package main

import (
	"strings"
	"testing"
)

// New processes and broken watches before a list with a long queue, with real processes: none sends to a server that it should
// know to be gone, however late its list is.
func TestLateLists(t *testing.T) {
	cmd, out := faultlab("run", "late-lists", "--proxy", buildProgram(t, t.TempDir(), "merlinpick-proxy"), "--out", t.TempDir(), "--tries", "2")
	err := cmd.Run()
	if code := exitCode(t, cmd, err); code == exitUnable && strings.Contains(out.String(), "\nvoid: ") {
		t.Skip("the machine was too busy to judge, three times:\n", out)
	} else if code != exitHeld {
		t.Fatalf("exit %d\n%s", code, out)
	}
}
