// Command red runs the project's tests and gives the verdict, with the list of known reds passed over.
//
// KNOWN-RED.txt at the root names the tests that fail for a cause that is known and filed, one line each:
//
//	TestName, cause in a few words, issue 20
//
// A test may be a subtest (TestName/case), and needs its package's folder before it where several packages have it
// (internal/proxy.TestName). There are three lines at most; a file that is absent or empty lists none. All other tests
// run without the listed ones, and go test has to end with 0 there. Each listed test then runs alone, so that whatever it
// does hides no other red: it has to fail, or its line is out of date and that is red too.
//
// The last line is how many tests passed, failed and were skipped. A package that fails outside its tests (a build, a
// panic, a data race, an exit) and a line of the list that does not hold count as failed. It ends with 0, or 1 for red.
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

// runner runs the tests of the module in a folder.
type runner struct {
	dir       string
	race      bool
	out, errs io.Writer
	tally
}

// run tells how many reds there are.
func (r *runner) run(list string, patterns []string) int {
	pkgs, err := r.packages(patterns)
	var known []listed
	if err == nil {
		known, err = load(filepath.Join(r.dir, list), pkgs)
	}
	if err != nil {
		r.red(fmt.Sprintf("%v; no test was run", err))
		return r.close()
	}
	var rest []string
	for _, p := range pkgs {
		if skip := of(known, p.path); skip != nil {
			r.strict("-skip="+pattern(skip), p.path)
		} else {
			rest = append(rest, p.path)
		}
	}
	if len(rest) > 0 {
		r.strict(rest...)
	}
	for _, k := range known {
		if problem := r.alone(k); problem != "" {
			r.red(list + ": " + k.name + " " + problem)
		} else {
			fmt.Fprintf(r.out, "known red: %s: %s (%s)\n", k.name, k.cause, k.issue)
		}
	}
	if r.passed+r.failed+r.skipped+len(known) == 0 {
		r.red("no test ran")
	}
	return r.close()
}

// close writes the verdict's lines.
func (r *runner) close() int {
	for _, red := range r.reds {
		fmt.Fprintln(r.out, "red: "+red)
	}
	fmt.Fprintf(r.out, "%d passed, %d failed, %d skipped\n", r.passed, r.failed, r.skipped)
	return r.failed
}

// strict runs tests of which none may fail. Go's own word counts, and what it said of single tests besides.
func (r *runner) strict(args ...string) {
	failed := r.failed
	if err := r.test(&r.tally, r.out, args...); err != nil && r.failed == failed {
		r.red(fmt.Sprintf("go test: %v, with no failed test or package named", err))
	}
}

// alone runs one listed test, and says why its line does not hold; "" is that it fails as listed.
func (r *runner) alone(k listed) string {
	t := tally{verdicts: map[string]string{}}
	err := r.test(&t, io.Discard, "-count=1", "-run="+pattern([]listed{k}), k.pkg)
	switch verdict := t.verdicts[k.test]; {
	case verdict == "fail", verdict == "run" && err != nil: // the latter did not live to tell
		return ""
	case verdict == "pass":
		return "passes: take its line out"
	default:
		return "did not run: there is no such test, or it was skipped"
	}
}

// test runs go test. It returns no error for a run that passed.
func (r *runner) test(t *tally, out io.Writer, args ...string) error {
	if r.race {
		args = append([]string{"-race"}, args...)
	}
	cmd := r.command(append([]string{"test", "-json"}, args...)...)
	stream, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	read := t.read(stream, out)
	return errors.Join(read, cmd.Wait())
}

func (r *runner) command(args ...string) *exec.Cmd {
	cmd := exec.Command("go", args...)
	cmd.Dir, cmd.Stderr = r.dir, r.errs
	return cmd
}

// pack is a package, with the names of the tests that its files declare.
type pack struct {
	path, folder string
	tests        []string
}

var declared = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Example)\w*)\(`)

// packages looks the patterns up. Folders that begin with a dot are in none but by name.
func (r *runner) packages(patterns []string) ([]pack, error) {
	const form = `{{.ImportPath}}{{"\t"}}{{.Module.Path}}{{range .TestGoFiles}}{{"\t"}}{{$.Dir}}/{{.}}{{end}}` +
		`{{range .XTestGoFiles}}{{"\t"}}{{$.Dir}}/{{.}}{{end}}`
	told, err := r.command(append([]string{"list", "-f", form}, patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	var pkgs []pack
	for line := range strings.Lines(string(told)) {
		f := strings.Split(strings.TrimSpace(line), "\t")
		p := pack{path: f[0], folder: strings.TrimPrefix(strings.TrimPrefix(f[0], f[1]), "/")}
		for _, file := range f[2:] {
			text, err := os.ReadFile(file)
			if err != nil {
				return nil, err
			}
			for _, m := range declared.FindAllSubmatch(text, -1) {
				p.tests = append(p.tests, string(m[1]))
			}
		}
		slices.Sort(p.tests)
		pkgs = append(pkgs, p)
	}
	return pkgs, nil
}
