package main

import (
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The tests of the modules that TestVerdicts runs. Each text is a file or a part of one, named after its
// tests.
const (
	okTest = "package a\nimport \"testing\"\n" +
		"func TestOK(t *testing.T) { t.Run(\"case\", func(*testing.T) {}) }\n"
	badTest  = "func TestBad(t *testing.T) { t.Error(\"it is wrong\") }\n"
	skipTest = "func TestSkip(t *testing.T) { t.Skip() }\n"
	deepTest = "func TestDeep(t *testing.T) { t.Run(\"good\", func(*testing.T) {}); " +
		"t.Run(\"bad\", func(t *testing.T) { t.Fail() }) }\n"
	deepTestTwoFailures = "func TestDeep(t *testing.T) { t.Run(\"bad\", func(t *testing.T) { t.Fail() }); " +
		"t.Run(\"badder\", func(t *testing.T) { t.Fail() }) }\n"
	panicTest  = "func TestPanic(*testing.T) { panic(\"boom\") }\n"
	exitTest   = "func TestExit(*testing.T) { os.Exit(1) }\n"
	exitInMain = "func TestMain(m *testing.M) { m.Run(); os.Exit(3) }\n"
	raceInMain = "var v int\nfunc TestMain(m *testing.M) { go func() { v++ }(); m.Run(); " +
		"v++; time.Sleep(time.Second / 10) }\n"
	otherPackageBadTest = "package b\nimport \"testing\"\nfunc TestBad(t *testing.T) { t.Fail() }\n"
)

// TestVerdicts runs the command on small modules with a list of known failures and checks the output and the
// result.
func TestVerdicts(t *testing.T) {
	withImports := func(imports string, more ...string) string {
		return strings.Replace(okTest, "\"testing\"", "(\"testing\"; "+imports+")", 1) + strings.Join(more, "")
	}
	bad, twoPackages := okTest+badTest,
		map[string]string{"a/a_test.go": okTest + badTest, "b/b_test.go": otherPackageBadTest}
	oneFile := func(text string) map[string]string { return map[string]string{"a/a_test.go": text} }
	for _, c := range []struct {
		name, known string
		files       map[string]string
		race        bool
		want        string // parts of output lines, in this order; the last is in the last line
	}{
		{"nothing is listed", "",
			oneFile(okTest + skipTest), false, "ok  \tm/a\n1 passed, 0 failed, 1 skipped"},
		{"a listed failure", "TestBad | go test ./a -seed 3 | one, of two | issue 7\n", oneFile(bad), false,
			"known failure: TestBad: go test ./a -seed 3: one, of two (issue 7)\n" +
				"known failures: 1 failed as expected; intermittent ones: 0 failed, 0 passed\n" +
				"1 passed, 0 failed, 0 skipped"},
		{"an unlisted failure", "", oneFile(bad), false,
			"it is wrong\nFAIL\tm/a\nfailure: m/a: TestBad failed\n1 passed, 1 failed, 0 skipped"},
		{"an unlisted failure beside a listed one", "TestPanic | go test ./a | x y | issue 7",
			oneFile(bad + panicTest), false,
			"it is wrong\nknown failure: TestPanic\nfailure: m/a: TestBad failed\n" +
				"1 passed, 1 failed, 0 skipped"},
		{"a listed test that passes", "TestOK | go test ./a | x y | issue 7",
			oneFile(okTest + skipTest), false,
			"failure: KNOWN-RED.txt: TestOK passes\n0 passed, 1 failed, 1 skipped"},
		{"a listed test that is skipped", "TestSkip | go test ./a | x y | issue 7",
			oneFile(okTest + skipTest), false,
			"failure: KNOWN-RED.txt: TestSkip did not run\n1 passed, 1 failed, 0 skipped"},
		{"a listed test that does not exist", "TestNone | go test ./a | x y | issue 7",
			oneFile(okTest), false,
			"failure: KNOWN-RED.txt:1: no package has a test named TestNone\n0 passed, 1 failed, 0 skipped"},
		{"a listed case that does not exist", "TestOK/none | go test ./a | x y | issue 7",
			oneFile(okTest), false,
			"failure: KNOWN-RED.txt: TestOK/none did not run\n1 passed, 1 failed, 0 skipped"},
		{"four lines", "a.TestBad | c | x y | issue 7\nTestDeep/bad | c | x y | issue 7\nTestPanic | c | x y | issue 7\nb.TestBad | c | x y | issue 8\n",
			map[string]string{"a/a_test.go": okTest + badTest + deepTest + panicTest,
				"b/b_test.go": otherPackageBadTest}, false,
			"known failure: a.TestBad\nknown failure: TestDeep/bad\nknown failure: TestPanic\n" +
				"known failure: b.TestBad\nknown failures: 4 failed as expected\n" +
				"2 passed, 0 failed, 0 skipped"},
		{"one that fails at times and fails", "TestBad | c | x y | issue 7 | at times\n", oneFile(bad), false,
			"known intermittent failure, failed: TestBad: c: x y (issue 7)\n" +
				"known failures: 0 failed as expected; intermittent ones: 1 failed, 0 passed\n" +
				"1 passed, 0 failed, 0 skipped"},
		{"one that fails at times and passes", "TestOK | c | x y | issue 7 | at times\n",
			oneFile(okTest + skipTest), false,
			"known intermittent failure, passed: TestOK: c: x y (issue 7)\n" +
				"known failures: 0 failed as expected; intermittent ones: 0 failed, 1 passed\n" +
				"0 passed, 0 failed, 1 skipped"},
		{"one that fails at times and is skipped", "TestSkip | c | x y | issue 7 | at times\n",
			oneFile(okTest + skipTest), false,
			"failure: KNOWN-RED.txt: TestSkip did not run\n1 passed, 1 failed, 0 skipped"},
		{"an unlisted failure beside one at times", "TestOK | c | x y | issue 7 | at times\n",
			oneFile(bad), false,
			"failure: m/a: TestBad failed\n0 passed, 1 failed, 0 skipped"},
		{"a case beside one at times", "TestDeep/bad | c | x y | issue 7 | at times",
			oneFile(okTest + deepTestTwoFailures), false,
			"failure: m/a: TestDeep failed\n1 passed, 1 failed, 0 skipped"},
		{"an exit after one at times", "TestOK | c | x y | issue 7 | at times\n",
			oneFile(withImports("\"os\"", skipTest, exitInMain)), false,
			"failure: m/a failed outside its tests\n" +
				"failure: KNOWN-RED.txt: TestOK passed, but its package failed\n" +
				"0 passed, 2 failed, 1 skipped"},
		{"another mark", "TestOK | c | x y | issue 7 | sometimes", oneFile(okTest), false,
			"failure: KNOWN-RED.txt:1: \"TestOK | c | x y | issue 7 | sometimes\" is not of the form\n" +
				"0 passed"},
		{"the former form", "TestBad, x y, issue 7", oneFile(bad), false,
			"failure: KNOWN-RED.txt:1: \"TestBad, x y, issue 7\" is not of the form\n0 passed"},
		{"a line twice", "TestBad | go test ./a | x y | issue 7\na.TestBad | go test ./a | x y | issue 7\n",
			oneFile(bad), false,
			"failure: KNOWN-RED.txt:2: a.TestBad is listed twice\n0 passed"},
		{"no issue", "TestBad | c | x y\n", oneFile(bad), false,
			"failure: KNOWN-RED.txt:1: \"TestBad | c | x y\" is not of the form\n" +
				"0 passed, 1 failed, 0 skipped"},
		{"no command or nothing seen", "TestBad | c | issue 7\n", oneFile(bad), false,
			"failure: KNOWN-RED.txt:1: \"TestBad | c | issue 7\" is not of the form\n" +
				"0 passed, 1 failed, 0 skipped"},
		{"an empty line", "TestBad | go test ./a | x y | issue 7\n\nTestSkip | go test ./a | x y | issue 7",
			oneFile(bad + skipTest), false,
			"failure: KNOWN-RED.txt:2: \"\" is not of the form\n0 passed"},
		{"a pattern", "Test.* | go test ./a | x y | issue 7", oneFile(bad), false,
			"failure: KNOWN-RED.txt:1: Test.* is not a test name\n0 passed"},
		{"one name in two packages", "TestBad | go test ./a | x y | issue 7", twoPackages, false,
			"failure: KNOWN-RED.txt:1: TestBad is in several packages\n0 passed"},
		{"the same test of another package", "a.TestBad | go test ./a | x y | issue 7", twoPackages, false,
			"FAIL\tm/b\nfailure: m/b: TestBad failed\n1 passed, 1 failed, 0 skipped"},
		{"another case of a listed one's test", "TestDeep/bad | go test ./a | x y | issue 7",
			oneFile(okTest + deepTestTwoFailures), false,
			"failure: m/a: TestDeep failed\n1 passed, 1 failed, 0 skipped"},
		{"a build that fails", "TestBad | go test ./a | x y | issue 7",
			map[string]string{"a/a_test.go": bad,
				"b/b.go": "package b\nvar x int = y\n", "b/b_test.go": otherPackageBadTest[:27]}, false,
			"undefined: y\nfailure: m/b failed outside its tests\n1 passed, 1 failed, 0 skipped"},
		{"vet", "",
			oneFile(withImports("\"fmt\"", "func TestVet(*testing.T) { fmt.Printf(\"%d\", \"x\") }\n")), false,
			"failure: m/a failed outside its tests\n0 passed, 1 failed, 0 skipped"},
		{"a panic", "TestBad | go test ./a | x y | issue 7", oneFile(bad + panicTest), false,
			"panic: boom\nfailure: m/a: TestPanic failed\n1 passed, 1 failed, 0 skipped"},
		{"an exit in a test", "TestBad | go test ./a | x y | issue 7",
			oneFile(withImports("\"os\"", badTest, exitTest)), false,
			"=== RUN   TestExit\nfailure: m/a failed outside its tests\n1 passed, 1 failed, 0 skipped"},
		{"a listed exit", "TestExit | go test ./a | x y | issue 7",
			oneFile(withImports("\"os\"", exitTest)), false,
			"known failure: TestExit\n1 passed, 0 failed, 0 skipped"},
		{"an exit after the tests", "TestBad | go test ./a | x y | issue 7",
			oneFile(withImports("\"os\"", badTest, exitInMain)), false,
			"failure: m/a failed outside its tests\n1 passed, 1 failed, 0 skipped"},
		{"a race outside the tests", "TestBad | go test ./a | x y | issue 7",
			oneFile(withImports("\"time\"", badTest, raceInMain)), true,
			"DATA RACE\nfailure: m/a failed outside its tests\n1 passed, 1 failed, 0 skipped"},
		{"no test", "", map[string]string{"a/a.go": "package a\n"}, false,
			"failure: no test ran\n0 passed, 1 failed, 0 skipped"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			files := maps.Clone(c.files) // cases share them
			files["go.mod"] = "module m\n\ngo 1.26\n"
			files["KNOWN-RED.txt"] = c.known
			for name, text := range files {
				name = filepath.Join(dir, name)
				if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var out strings.Builder
			r := runner{dir: dir, race: c.race, out: &out, errs: &out}
			failures := r.run("KNOWN-RED.txt", []string{"./..."})
			if wantSuccess := strings.Contains(c.want, " 0 failed"); wantSuccess != (failures == 0) {
				t.Errorf("got %d failures, want success: %v", failures, wantSuccess)
			}
			rest := out.String()
			for want := range strings.Lines(c.want) {
				var ok bool
				if _, rest, ok = strings.Cut(rest, strings.TrimSuffix(want, "\n")); !ok {
					t.Fatalf("%q is missing or out of order in the output:\n%s", want, out.String())
				}
			}
			if _, rest, _ = strings.Cut(rest, "\n"); rest != "" {
				t.Errorf("the output goes on after the expected last line: %q", rest)
			}
		})
	}
}

// TestMissingList checks that a list that does not exist is empty.
func TestMissingList(t *testing.T) {
	known, err := load(filepath.Join(t.TempDir(), "none"), nil)
	if known != nil || err != nil {
		t.Errorf("got %v and error %v, want an empty list", known, err)
	}
}
