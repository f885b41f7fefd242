package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// event is a line of the output of go test -json; go doc test2json describes the fields.
type event struct {
	Action, Package, Test, Output, ImportPath string
}

// tally counts tests by result. Subtests are not counted on their own.
type tally struct {
	passed, failed, skipped int
	failures                []string          // descriptions of the failures
	lastActions             map[string]string // last action of each test and subtest; nil: not recorded
}

// fail counts a failure.
func (t *tally) fail(failure string) {
	t.failed++
	t.failures = append(t.failures, failure)
}

// testKey identifies a test of a package. If test is empty, it identifies the package itself.
type testKey struct{ packagePath, test string }

// read reads the events of a run of go test up to the end and counts the results. It writes the same output
// as go test without -json: one line for each package, and the output of each test that failed or did not
// finish.
func (t *tally) read(events io.Reader, out io.Writer) error {
	outputs := map[testKey]*strings.Builder{} // buffered until the test has finished
	failedTests := map[string]int{}           // failed tests by package
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
			t.fail(fmt.Sprintf("go test wrote a line that is not an event: %v", err))
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
				if other.packagePath == e.Package && other.test != "" { // the test started and did not finish
					fmt.Fprint(out, text)
				}
			}
			fmt.Fprint(out, outputs[key])
			if failedTests[e.Package] == 0 {
				t.fail(e.Package + " failed outside its tests")
			}
		case e.Test != "" && t.record(e, isSubtest):
			if e.Action == "fail" {
				failedTests[e.Package]++
				fmt.Fprint(out, outputs[key])
			}
			delete(outputs, key)
		}
	}
}

// record counts an event of a test. It reports whether the event is the end of a test that is not a subtest.
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

// lastLine returns the last line of a package's output, which gives its result.
func lastLine(text string) string {
	text = strings.TrimSuffix(text, "\n")
	return text[strings.LastIndexByte(text, '\n')+1:] + "\n"
}
