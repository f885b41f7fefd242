package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

const maxKnown = 3

// listed is a line of the list of known reds.
type listed struct {
	name         string // as the line has it
	pkg, test    string // its package's path, and its name there
	cause, issue string
}

// listError is a line that does not hold.
type listError struct {
	file    string
	line    int
	problem string
}

func (e *listError) Error() string { return fmt.Sprintf("%s:%d: %s", e.file, e.line, e.problem) }

var (
	form  = regexp.MustCompile(`^([^,\s]+), (\S.*\S), ((?:issue )?#?\d+)$`)
	named = regexp.MustCompile(`^(?:([\w./-]+?)\.)?((?:Test|Fuzz|Example)\w*)((?:/.+)?)$`)
)

// load reads the list and finds each test's package. A list that is not there is empty.
func load(file string, pkgs []pack) ([]listed, error) {
	data, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	var known []listed
	text := strings.TrimSpace(string(data))
	for i, line := range strings.Split(text, "\n") {
		if text == "" {
			break
		}
		no := func(problem string) ([]listed, error) { return nil, &listError{filepath.Base(file), i + 1, problem} }
		if i >= maxKnown {
			return no(fmt.Sprintf("one line too many: at most %d tests may be listed", maxKnown))
		}
		f := form.FindStringSubmatch(line)
		if f == nil {
			return no(fmt.Sprintf(`%q is not "TestName, cause, issue N"`, line))
		}
		k := listed{name: f[1], cause: f[2], issue: f[3]}
		n := named.FindStringSubmatch(k.name)
		if n == nil {
			return no(k.name + " is no name of a test")
		}
		k.test = n[2] + n[3]
		where := having(pkgs, n[1], n[2])
		switch len(where) {
		case 0:
			return no("no package has a test " + k.name)
		case 1:
			k.pkg = where[0]
		default:
			return no(fmt.Sprintf("%s is in several packages, put one's folder and a dot before it: %s", k.name, strings.Join(where, ", ")))
		}
		if slices.ContainsFunc(known, func(o listed) bool { return o.pkg == k.pkg && o.test == k.test }) {
			return no(k.name + " is listed twice")
		}
		known = append(known, k)
	}
	return known, nil
}

// having is the packages that declare the test; an empty folder is any.
func having(pkgs []pack, folder, test string) (paths []string) {
	for _, p := range pkgs {
		if _, ok := slices.BinarySearch(p.tests, test); ok && (folder == "" || folder == p.folder) {
			paths = append(paths, p.path)
		}
	}
	return paths
}

// of is what is listed of a package.
func of(known []listed, pkg string) (its []listed) {
	for _, k := range known {
		if k.pkg == pkg {
			its = append(its, k)
		}
	}
	return its
}

// pattern matches these tests and no other, as go test's -run and -skip take it.
func pattern(tests []listed) string {
	var all []string
	for _, k := range tests {
		parts := strings.Split(k.test, "/")
		for i, p := range parts {
			parts[i] = "^" + regexp.QuoteMeta(p) + "$"
		}
		all = append(all, strings.Join(parts, "/"))
	}
	return strings.Join(all, "|")
}
