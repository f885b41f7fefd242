package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Checks that a recorded input of several instances (retries, rejections, timers, list updates, cancelled
// requests) still gives the recorded output, byte for byte. Only the texts of log lines may differ;
// TestActionsOnTheWire checks the form of such a line.
func TestGoldenTranscript(t *testing.T) {
	input, err := os.ReadFile(filepath.Join("testdata", "transcript.in.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	output, err := os.ReadFile(filepath.Join("testdata", "transcript.out.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	logText := regexp.MustCompile(`^(\{"emit":\{"who":"[^"]*","line":").*("\}\})$`)
	got, want := mustRun(t, string(input)), strings.Split(strings.TrimSuffix(string(output), "\n"), "\n")
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) {
			t.Fatalf("the output has %d lines, want %d", len(got), len(want))
		}
		if g, w := logText.ReplaceAllString(got[i], "$1$2"),
			logText.ReplaceAllString(want[i], "$1$2"); g != w {
			t.Fatalf("output line %d: got %s, want %s", i+1, g, w)
		}
	}
}
