package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The recorded input of several instances (retries, rejections, timers, list updates, cancelled requests) has the same output,
// byte for byte. Only the texts of log lines may differ; TestActionsOnTheWire tests the form of such a line.
func TestGoldenTranscript(t *testing.T) {
	input, err := os.ReadFile(filepath.Join("testdata", "transcript.in.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	output, err := os.ReadFile(filepath.Join("testdata", "transcript.out.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	words := regexp.MustCompile(`^(\{"emit":\{"who":"[^"]*","line":").*("\}\})$`)
	got, want := mustRun(t, string(input)), strings.Split(strings.TrimSuffix(string(output), "\n"), "\n")
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) {
			t.Fatalf("%d lines, want %d", len(got), len(want))
		}
		if g, w := words.ReplaceAllString(got[i], "$1$2"), words.ReplaceAllString(want[i], "$1$2"); g != w {
			t.Fatalf("line %d: got %s, want %s", i+1, g, w)
		}
	}
}
