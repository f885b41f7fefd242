package main

import (
	"strings"
	"testing"
)

// Real proxies with new processes and broken watches, at a list service with a long queue, send nothing to a
// server that they should know to be removed, however late their lists are.
func TestLateLists(t *testing.T) {
	cmd, out := faultlab("run", "late-lists", "--proxy", buildProgram(t, t.TempDir(), "merlinpick-proxy"),
		"--out", t.TempDir(), "--tries", "2")
	err := cmd.Run()
	if code := exitCode(t, cmd, err); code == exitUnable && strings.Contains(out.String(), "\nvoid: ") {
		t.Skip("the machine was too busy for a verdict, three times:\n", out)
	} else if code != exitHeld {
		t.Fatalf("exit %d\n%s", code, out)
	}
}
