// Command knownfailures runs the project's tests and gives the verdict, except for the tests that KNOWN-RED.txt lists.
//
// KNOWN-RED.txt at the root names the tests that fail for a known and filed cause, one line each:
//
//	TestName, cause in a few words, issue 20
//
// A test may be a subtest (TestName/case). If several packages have it, it needs its package's directory
// (internal/proxy.TestName). There are at most three lines; a file that is missing or empty lists none. All other tests
// run without the listed ones, and go test has to exit with 0. Each listed test then runs alone, so that it cannot hide
// another failure: it has to fail, else its line is out of date, which is a failure too.
//
// The last line of output is the number of tests that passed, failed and were skipped. A package that fails outside its
// tests (build, panic, data race, exit) and an invalid line of the list count as failed. The exit status is 0, or 1 if
// anything failed.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

func main() {
	race := flag.Bool("race", false, "as go test's")
	flag.Parse()
	r := runner{dir: ".", race: *race, out: os.Stdout, errs: os.Stderr}
	if r.run("KNOWN-RED.txt", flag.Args()) > 0 {
		os.Exit(1)
	}
}

// runner runs the tests of the module in a directory.
type runner struct {
	dir       string
	race      bool
	out, errs io.Writer
	tally
}

// run runs the tests of the packages that match the patterns and returns the number of failures.
func (r *runner) run(list string, patterns []string) int {
	packages, err := r.findPackages(patterns)
	var known []knownFailure
	if err == nil {
		known, err = load(filepath.Join(r.dir, list), packages)
	}
	if err != nil {
		r.fail(fmt.Sprintf("%v; no test was run", err))
		return r.printVerdict()
	}
	var withoutKnown []string
	for _, p := range packages {
		if failures := ofPackage(known, p.path); failures != nil {
			r.runStrict("-skip="+testPattern(failures), p.path)
		} else {
			withoutKnown = append(withoutKnown, p.path)
		}
	}
	if len(withoutKnown) > 0 {
		r.runStrict(withoutKnown...)
	}
	for _, k := range known {
		if problem := r.runKnownFailure(k); problem != "" {
			r.fail(list + ": " + k.name + " " + problem)
		} else {
			fmt.Fprintf(r.out, "known red: %s: %s (%s)\n", k.name, k.cause, k.number)
		}
	}
	if r.passed+r.failed+r.skipped+len(known) == 0 {
		r.fail("no test ran")
	}
	return r.printVerdict()
}

// printVerdict prints the failures and the counts, and returns the number of failures.
func (r *runner) printVerdict() int {
	for _, failure := range r.failures {
		fmt.Fprintln(r.out, "red: "+failure)
	}
	fmt.Fprintf(r.out, "%d passed, %d failed, %d skipped\n", r.passed, r.failed, r.skipped)
	return r.failed
}

// runStrict runs tests of which none may fail: go test's exit status counts beside its events.
func (r *runner) runStrict(args ...string) {
	failed := r.failed
	if err := r.goTest(&r.tally, r.out, args...); err != nil && r.failed == failed {
		r.fail(fmt.Sprintf("go test: %v, with no failed test or package named", err))
	}
}

// runKnownFailure runs one listed test alone and returns why its line is invalid; empty if it fails as listed.
func (r *runner) runKnownFailure(k knownFailure) string {
	t := tally{lastActions: map[string]string{}}
	err := r.goTest(&t, io.Discard, "-run="+testPattern([]knownFailure{k}), k.packagePath)
	switch action := t.lastActions[k.test]; {
	case action == "fail", action == "run" && err != nil: // in the latter case its process has exited
		return ""
	case action == "pass":
		return "passes: take its line out"
	default:
		return "did not run: there is no such test, or it was skipped"
	}
}

// goTest runs go test without its cache, tallies its events and returns an error if it failed.
func (r *runner) goTest(t *tally, out io.Writer, args ...string) error {
	if r.race {
		args = append([]string{"-race"}, args...)
	}
	cmd := r.command(append([]string{"test", "-json", "-count=1"}, args...)...)
	events, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	readErr := t.read(events, out)
	return errors.Join(readErr, cmd.Wait())
}

func (r *runner) command(args ...string) *exec.Cmd {
	cmd := exec.Command("go", args...)
	cmd.Dir, cmd.Stderr = r.dir, r.errs
	return cmd
}

// testPackage is a package with the names of the tests that its files declare, sorted.
type testPackage struct {
	path, dir string // dir is relative to the module
	tests     []string
}

var testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Example)\w*)\(`)

// findPackages returns the packages that match the patterns. Directories that begin with a dot match only by name.
func (r *runner) findPackages(patterns []string) ([]testPackage, error) {
	const format = `{{.ImportPath}}{{"\t"}}{{.Module.Path}}{{range .TestGoFiles}}{{"\t"}}{{$.Dir}}/{{.}}{{end}}` +
		`{{range .XTestGoFiles}}{{"\t"}}{{$.Dir}}/{{.}}{{end}}`
	list, err := r.command(append([]string{"list", "-f", format}, patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	var packages []testPackage
	for line := range strings.Lines(string(list)) {
		fields := strings.Split(strings.TrimSpace(line), "\t")
		path, module, files := fields[0], fields[1], fields[2:]
		p := testPackage{path: path, dir: strings.TrimPrefix(strings.TrimPrefix(path, module), "/")}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				return nil, err
			}
			for _, match := range testDeclaration.FindAllSubmatch(text, -1) {
				p.tests = append(p.tests, string(match[1]))
			}
		}
		slices.Sort(p.tests)
		packages = append(packages, p)
	}
	return packages, nil
}
