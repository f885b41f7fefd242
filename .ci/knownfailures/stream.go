package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// event is a line of go test -json; see go doc test2json.
type event struct {
	Action, Package, Test, Output, ImportPath string
}

// tally counts tests by how they ended; subtests belong to their test.
type tally struct {
	passed, failed, skipped int
	reds                    []string
	verdicts                map[string]string // of each test and subtest, where it is wanted
}

func (t *tally) red(what string) {
	t.failed++
	t.reds = append(t.reds, what)
}

// read follows a run to its end. It writes go test's usual lines: one for each package, and all that a test which
// failed, or never ended, had to say.
func (t *tally) read(stream io.Reader, out io.Writer) error {
	said := map[[2]string]*strings.Builder{} // by package and test, until the test has passed
	failures := map[string]int{}             // by package
	lines := bufio.NewReader(stream)
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF && len(line) == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
		var e event
		if err := json.Unmarshal(line, &e); err != nil {
			_, _ = out.Write(line)
			t.red(fmt.Sprintf("go test wrote what is no event: %v", err))
			continue
		}
		test, _, sub := strings.Cut(e.Test, "/")
		at := [2]string{e.Package, test}
		if said[at] == nil {
			said[at] = &strings.Builder{}
		}
		said[at].WriteString(e.Output)
		switch {
		case e.Action == "build-output":
			fmt.Fprint(out, e.Output)
		case e.Test == "" && (e.Action == "pass" || e.Action == "skip"):
			fmt.Fprint(out, lastLine(said[at].String()))
		case e.Test == "" && e.Action == "fail":
			for of, text := range said {
				if of[0] == e.Package && of[1] != "" { // it began and did not end
					fmt.Fprint(out, text)
				}
			}
			fmt.Fprint(out, said[at])
			if failures[e.Package] == 0 {
				t.red(e.Package + " failed outside its tests")
			}
		case e.Test != "" && t.end(e, sub):
			if e.Action == "fail" {
				failures[e.Package]++
				fmt.Fprint(out, said[at])
			}
			delete(said, at)
		}
	}
}

// end notes what an event says of a test, and tells whether it is the last of a test's own.
func (t *tally) end(e event, sub bool) bool {
	last := e.Action == "pass" || e.Action == "fail" || e.Action == "skip"
	if t.verdicts != nil && (last || e.Action == "run") {
		t.verdicts[e.Test] = e.Action
	}
	if !last || sub {
		return false
	}
	switch e.Action {
	case "pass":
		t.passed++
	case "skip":
		t.skipped++
	default:
		t.red(e.Package + ": " + e.Test + " failed")
	}
	return true
}

// lastLine is that of a package that passed: its verdict.
func lastLine(text string) string {
	text = strings.TrimSuffix(text, "\n")
	return text[strings.LastIndexByte(text, '\n')+1:] + "\n"
}
