package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// event is a line of go test -json; see go doc test2json.
type event struct {
	Action, Package, Test, Output, ImportPath string
}

// tally counts tests by result; a subtest counts with its test.
type tally struct {
	passed, failed, skipped int
	failures                []string
	lastActions             map[string]string // of each test and subtest; nil: not recorded
}

func (t *tally) fail(failure string) {
	t.failed++
	t.failures = append(t.failures, failure)
}

// testKey is a test of a package; an empty test is the package itself.
type testKey struct{ packagePath, test string }

// read reads the events of a run to their end. It writes go test's usual output: one line for each package, and the output
// of each test that failed or did not end.
func (t *tally) read(events io.Reader, out io.Writer) error {
	outputs := map[testKey]*strings.Builder{} // until the test has passed
	failures := map[string]int{}              // by package
	lines := bufio.NewReader(events)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		var e event
		if err := json.Unmarshal(line, &e); err != nil {
			_, _ = out.Write(line)
			t.fail(fmt.Sprintf("go test wrote what is no event: %v", err))
			continue
		}
		test, _, isSubtest := strings.Cut(e.Test, "/")
		key := testKey{e.Package, test}
		if outputs[key] == nil {
			outputs[key] = &strings.Builder{}
		}
		outputs[key].WriteString(e.Output)
		switch {
		case e.Action == "build-output":
			fmt.Fprint(out, e.Output)
		case e.Test == "" && (e.Action == "pass" || e.Action == "skip"):
			fmt.Fprint(out, lastLine(outputs[key].String()))
		case e.Test == "" && e.Action == "fail":
			for other, text := range outputs {
				if other.packagePath == e.Package && other.test != "" { // it started and did not end
					fmt.Fprint(out, text)
				}
			}
			fmt.Fprint(out, outputs[key])
			if failures[e.Package] == 0 {
				t.fail(e.Package + " failed outside its tests")
			}
		case e.Test != "" && t.record(e, isSubtest):
			if e.Action == "fail" {
				failures[e.Package]++
				fmt.Fprint(out, outputs[key])
			}
			delete(outputs, key)
		}
	}
}

// record counts an event of a test and reports whether it is the end of a test that is no subtest.
func (t *tally) record(e event, isSubtest bool) bool {
	ended := e.Action == "pass" || e.Action == "fail" || e.Action == "skip"
	if t.lastActions != nil && (ended || e.Action == "run") {
		t.lastActions[e.Test] = e.Action
	}
	if !ended || isSubtest {
		return false
	}
	switch e.Action {
	case "pass":
		t.passed++
	case "skip":
		t.skipped++
	default:
		t.fail(e.Package + ": " + e.Test + " failed")
	}
	return true
}

// lastLine returns the last line of a package's output, which has its result.
func lastLine(text string) string {
	text = strings.TrimSuffix(text, "\n")
	return text[strings.LastIndexByte(text, '\n')+1:] + "\n"
}
