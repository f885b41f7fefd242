package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"merlinpick/experiments"
	"merlinpick/internal/faultlab/report"
	"merlinpick/internal/faultlab/result"
)

// TestMain runs the tests or, with the first argument as-faultlab, the program with the other arguments.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "as-faultlab" {
		os.Exit(runProgram(os.Args[2:]))
	}
	os.Exit(m.Run())
}

// faultlab returns a command of the program, which is not started yet, and its output.
func faultlab(args ...string) (cmd *exec.Cmd, out *bytes.Buffer) {
	cmd = exec.Command(os.Args[0], append([]string{"as-faultlab"}, args...)...)
	out = &bytes.Buffer{}
	cmd.Stdout, cmd.Stderr = out, out
	return cmd, out
}

// exitCode returns the exit status of a command that has ended with err.
func exitCode(t *testing.T, cmd *exec.Cmd, err error) int {
	t.Helper()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode()
}

// buildProgram builds a program under test into a directory and returns its path.
func buildProgram(t *testing.T, dir, name string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if out, err := exec.Command("go", "build", "-o", path, "merlinpick/cmd/"+name).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// Small runs of the current programs keep all rules, write their files and return the right exit status.
func TestSmallRuns(t *testing.T) {
	bin := t.TempDir()
	program, roster := buildProgram(t, bin, "merlinpick-proxy"), buildProgram(t, bin, "merlinpick-registry")
	buildProgram(t, bin, "merlinpick-cluster-proxy")
	lab := filepath.Join(bin, "merlinpick-faultlab")
	if text, err := os.ReadFile(os.Args[0]); err != nil || os.WriteFile(lab, text, 0o700) != nil {
		t.Fatal("failed to copy this program: ", err)
	}
	t.Run("side by side", func(t *testing.T) {
		t.Run("a hollow proxy fails", func(t *testing.T) {
			t.Parallel()
			script := filepath.Join(t.TempDir(), "fails")
			text := "#!/bin/sh\necho '{\"process\":\"h\",\"name\":\"hp2\",\"cause\":\"as seeded\"}' > \"${1%.json}.failed\"\nexit 1\n"
			if err := os.WriteFile(script, []byte(text), 0o700); err != nil {
				t.Fatal(err)
			}
			cmd, out := faultlab("run", "testdata/scale.toml", "--proxy", program, "--roster", roster, "--out", t.TempDir(),
				"--hollow", script)
			err := cmd.Run()
			if code := exitCode(t, cmd, err); code != exitUnable || !strings.Contains(out.String(), "hollow hp2 (process h) failed: as seeded") {
				t.Errorf("exit %d, want %d, and the proxy's name and cause\n%s", code, exitUnable, out)
			}
		})
		for _, name := range []string{"calm", "kill-wave", "registry", "scale"} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				dir := t.TempDir()
				cmd, out := faultlab("run", "testdata/"+name+".toml", "--proxy", program, "--roster", roster, "--out", dir,
					"--tries", "3", "--hollow", os.Args[0]+" as-faultlab hollow")
				err := cmd.Run()
				if code := exitCode(t, cmd, err); code == exitUnable && strings.Contains(out.String(), "\nvoid: ") {
					t.Skip("the machine was too busy for a verdict, four times:\n", out)
				} else if code != exitHeld {
					t.Fatalf("exit %d\n%s", code, out)
				}
				for _, file := range []string{result.FileName, report.FileName} {
					if info, err := os.Stat(filepath.Join(dir, file)); err != nil || info.Size() < 1000 {
						t.Errorf("%s: %v", file, err)
					}
				}
				r, err := result.Read(dir)
				if err != nil {
					t.Fatal(err)
				}
				if r.Metrics["requests"].Min < 100 || len(r.Expected) < 8 {
					t.Errorf("got %v requests and %d expectations, want more", r.Metrics["requests"],
						len(r.Expected))
				}
				cmd, out = faultlab("compare", dir, dir)
				if err := cmd.Run(); err != nil || !strings.Contains(out.String(), "same") {
					t.Errorf("a comparison of a run with itself does not report the same: %v\n%s", err, out)
				}
			})
		}
		t.Run("not held", func(t *testing.T) {
			t.Parallel()
			file := writeFile(t, "title = \"t\"\nseconds = 3\nwarmup = 0\n[lab]\nlate_ms = 900\nstall_ms = 3000\n"+smallCluster+
				"[[expect]]\nfigure = \"in_time\"\nmax = 0.1\n")
			cmd, out := faultlab("run", file, "--proxy", program, "--out", t.TempDir(), "--tries", "3")
			err := cmd.Run()
			if code := exitCode(t, cmd, err); code != exitFailed && !strings.Contains(out.String(), "\nvoid: ") {
				t.Errorf("exit %d, want %d\n%s", code, exitFailed, out)
			} else if code == exitFailed && !strings.Contains(out.String(), "wanted at most 0.1") {
				t.Errorf("the output does not name the expectation that did not hold:\n%s", out)
			}
		})
		t.Run("both", func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			cmd, out := faultlab("run", writeFile(t, "title = \"t\"\nseconds = 2\nwarmup = 0\n[lab]\nlate_ms = 900\nstall_ms = 3000\n"+smallCluster),
				"--both", "--repeat", "2", "--out", dir)
			cmd.Path = lab // looks for the proxies in its own directory
			if err := cmd.Run(); err != nil && !strings.Contains(out.String(), "\nvoid: ") {
				t.Fatalf("%v\n%s", err, out)
			}
			var seeds [2][]uint64
			var versions [2]string
			for i, name := range []string{"off", "on"} {
				r, err := result.Read(filepath.Join(dir, name))
				if err != nil {
					t.Fatal(err)
				}
				versions[i] = r.Version
				for _, p := range r.Plays {
					seeds[i] = append(seeds[i], p.Seed)
				}
			}
			if !slices.Equal(slices.Compact(seeds[0]), slices.Compact(seeds[1])) || len(seeds[0]) < 2 || !strings.Contains(out.String(), "A: the fleet off; B: on\n") {
				t.Errorf("got seeds %v with the fleet off and %v with it on, want the same\n%s", seeds[0],
					seeds[1], out)
			}
			if versions[0] == versions[1] {
				t.Error("the same program played both the fleet off and on")
			}
		})
		t.Run("interrupted", func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			cmd, out := faultlab("run", writeFile(t, "title = \"t\"\nseconds = 600\n"+smallCluster), "--proxy", program, "--out", dir)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
				if _, err := os.Stat(filepath.Join(dir, "logs", "z-p1.log")); err == nil || time.Now().After(end) {
					break
				}
			}
			time.Sleep(2 * time.Second)
			if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
				t.Fatal(err)
			}
			err := cmd.Wait()
			r, readErr := result.Read(dir)
			if code := exitCode(t, cmd, err); code != exitUnable || readErr != nil || !strings.Contains(r.Partial, "interrupted") {
				t.Errorf("exit %d, result: %v\n%s", code, readErr, out)
			}
		})
	})
}

// smallCluster is the part of an experiment file with a cluster of one proxy and two servers, and its load.
const smallCluster = `[[zone]]
name = "z"
proxies = 1
traffic = 1
[[zone.nodos]]
count = 2
speed = 1
slots = 4
queue = 10
[[class]]
name = "c"
share = 1
work_ms = [5, 10]
aim_ms = 500
give_up_ms = 1000
worth = 1
repeat = "idempotent"
[load]
rate = [[0, 30]]
`

// writeFile writes an experiment file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Each command returns the right exit status and says what is wrong, and all built-in experiments are valid.
func TestCalls(t *testing.T) {
	bad := writeFile(t, "title = \"t\"\nseconds = -1\n[[fault]]\nkind = \"x\"\n"+smallCluster)
	for _, test := range []struct {
		args       []string
		code       int
		wantOutput []string // parts of the output
	}{
		{[]string{"check", bad}, exitUnable,
			[]string{":2: seconds: must be greater than 0", ":4: fault[1].kind: \"x\" is not one of"}},
		{[]string{"run", bad}, exitUnable, []string{":2: seconds"}},
		{[]string{"run", "none.toml"}, exitUnable, []string{"no such file"}},
		{[]string{"run", writeFile(t, smallCluster), "--proxy", "/none", "--out", t.TempDir()}, exitUnable, []string{"/none"}},
		{[]string{"rn"}, exitUnable, []string{"unexpected argument rn"}},
		{[]string{"compare", t.TempDir(), t.TempDir()}, exitUnable, []string{"result.json"}},
		{[]string{"list"}, exitHeld, []string{"kill-wave", "zone-loss", "one-way-cut", "list-down", "rolling-upgrade", "soak-short"}},
		{[]string{"check", "kill-wave"}, exitHeld, []string{"13 proxies"}},
	} {
		cmd, out := faultlab(test.args...)
		err := cmd.Run()
		if code := exitCode(t, cmd, err); code != test.code {
			t.Errorf("%v: exit %d, want %d\n%s", test.args, code, test.code, out)
		}
		for _, want := range test.wantOutput {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%v: the output does not contain %q:\n%s", test.args, want, out)
			}
		}
	}
	files, err := experiments.Files.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if cmd, out := faultlab("check", f.Name()); cmd.Run() != nil {
			t.Errorf("%s: %s", f.Name(), out)
		}
	}
}
