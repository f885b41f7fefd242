package process

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The test binary is also the program under test: "append" appends lines to a file and prints the result of each write, "lab"
// starts a process of its own and waits.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "append" {
		for i := 0; ; i++ {
			f, err := os.OpenFile(os.Args[2], os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			if err == nil {
				_, err = fmt.Fprintln(f, i)
				f.Close()
			}
			fmt.Fprintf(os.Stderr, "%v\n", err)
			time.Sleep(time.Millisecond)
		}
	}
	if len(os.Args) == 3 && os.Args[1] == "wait" { // without output: a broken pipe would end it too
		time.Sleep(time.Minute)
	}
	if len(os.Args) == 3 && os.Args[1] == "lab" {
		p, err := NewStarter().Start(Spec{Name: "inner", Command: []string{os.Args[0], "wait", os.Args[2]}, Log: os.Args[2] + ".log"})
		if err != nil {
			os.Exit(1)
		}
		fmt.Fprintln(os.Stderr, p.PID())
		select {}
	}
	os.Exit(m.Run())
}

const waitTimeout = 20 * time.Second

// waitUntil waits for a condition and fails the test with its name if it does not come.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no sign within the timeout of ", what)
		}
	}
}

func size(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return -1
	}
	return info.Size()
}

func start(t *testing.T, s *Starter, verb, file string) (*Process, string) {
	t.Helper()
	log := file + "." + verb + ".log"
	p, err := s.Start(Spec{Name: verb, Command: []string{os.Args[0], verb, file}, Env: os.Environ(), Log: log})
	if err != nil {
		t.Fatal(err)
	}
	return p, log
}

func TestDiskFullStopAndKill(t *testing.T) {
	s := NewStarter()
	defer s.Close()
	file := filepath.Join(t.TempDir(), "f")
	p, log := start(t, s, "append", file)
	waitUntil(t, "a first line", func() bool { return size(file) > 0 })

	if err := p.SetDiskFull(true); err != nil {
		t.Fatal(err)
	}
	logged := func() string { text, _ := os.ReadFile(log); return string(text) }
	waitUntil(t, "a write that fails, in the log", func() bool { return strings.Contains(logged(), "file too large") })
	full := size(file)
	if err := p.SetDiskFull(false); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "room again", func() bool { return size(file) > full })

	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "a stop", func() bool {
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		return strings.Contains(string(stat), ") T ")
	})
	stopped := size(file)
	time.Sleep(20 * time.Millisecond)
	if size(file) != stopped {
		t.Error("it writes while it is stopped")
	}
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "it to go on", func() bool { return size(file) > stopped })

	if u := p.Usage(); u.PeakMemory < 1<<20 {
		t.Errorf("it uses %+v", u)
	}
	if err := p.Kill(); err != nil {
		t.Fatal(err)
	}
	if p.Crashed() {
		t.Error("killed by the lab is no crash")
	}
}

// A process that ends by itself has crashed. Processes end with the lab, even if the lab is killed.
func TestCrashesAndLifetime(t *testing.T) {
	s := NewStarter()
	defer s.Close()
	file := filepath.Join(t.TempDir(), "f")
	crash, _ := start(t, s, "append", file)
	if err := syscall.Kill(crash.PID(), syscall.SIGKILL); err != nil { // by another than the lab
		t.Fatal(err)
	}
	<-crash.Ended()
	if !crash.Crashed() {
		t.Error("an end without a request is a crash")
	}
	lab, log := start(t, s, "lab", file)
	inner := 0
	waitUntil(t, "a process of the lab's", func() bool {
		text, _ := os.ReadFile(log)
		_, err := fmt.Sscan(string(text), &inner)
		return err == nil
	})
	if err := lab.Kill(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the process to end with its lab", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", inner))
		return err != nil || strings.Contains(string(stat), ") Z ")
	})
}

// A directory has one run at a time; the mark of a killed run is replaced.
func TestLock(t *testing.T) {
	dir := t.TempDir()
	for _, test := range []struct {
		mark string
		free bool
	}{
		{"", true}, {"1\n", false}, {"99999999\n", true}, {"no number\n", true},
	} {
		if test.mark != "" {
			if err := os.WriteFile(filepath.Join(dir, lockFile), []byte(test.mark), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if err := Lock(dir); (err == nil) != test.free {
			t.Errorf("a directory marked %q: %v", test.mark, err)
		}
		Unlock(dir)
	}
}
