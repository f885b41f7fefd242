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

// TestMain lets the test binary serve as the programs under test: "append" appends lines to a file and prints
// the result of each write, "wait" sleeps, and "lab" starts a "wait" process, prints its id and waits.
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
			t.Fatal("timed out waiting for ", what)
		}
	}
}

// size returns the size of a file in bytes; -1 if it is unknown.
func size(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return -1
	}
	return info.Size()
}

// start starts this test binary as the program verb on a file, and returns the process and the path of its
// log.
func start(t *testing.T, s *Starter, verb, file string) (*Process, string) {
	t.Helper()
	log := file + "." + verb + ".log"
	p, err := s.Start(Spec{Name: verb, Command: []string{os.Args[0], verb, file}, Env: os.Environ(), Log: log})
	if err != nil {
		t.Fatal(err)
	}
	return p, log
}

// TestDiskFullStopAndKill checks that a process meets write errors while its disk is full, writes nothing
// while it is suspended, reports its usage, and is not taken for crashed when the lab kills it.
func TestDiskFullStopAndKill(t *testing.T) {
	s := NewStarter()
	defer s.Close()
	file := filepath.Join(t.TempDir(), "f")
	p, log := start(t, s, "append", file)
	waitUntil(t, "the first line in the file", func() bool { return size(file) > 0 })

	if err := p.SetDiskFull(true); err != nil {
		t.Fatal(err)
	}
	logged := func() string { text, _ := os.ReadFile(log); return string(text) }
	waitUntil(t, "a failed write in the log",
		func() bool { return strings.Contains(logged(), "file too large") })
	full := size(file)
	if err := p.SetDiskFull(false); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "writes to succeed again", func() bool { return size(file) > full })

	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the process to be suspended", func() bool {
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		return strings.Contains(string(stat), ") T ")
	})
	stopped := size(file)
	time.Sleep(20 * time.Millisecond)
	if size(file) != stopped {
		t.Error("the process wrote to the file while it was suspended")
	}
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "writes after SIGCONT", func() bool { return size(file) > stopped })

	if u := p.Usage(); u.PeakMemory < 1<<20 {
		t.Errorf("the process used %+v, want at least 1 MiB of memory", u)
	}
	if err := p.Kill(); err != nil {
		t.Fatal(err)
	}
	if p.Crashed() {
		t.Error("a process that the lab killed counts as crashed")
	}
}

// TestCrashesAndLifetime checks that a process that the lab did not end counts as crashed, and that processes
// end with the lab even if the lab is killed.
func TestCrashesAndLifetime(t *testing.T) {
	s := NewStarter()
	defer s.Close()
	file := filepath.Join(t.TempDir(), "f")
	crash, _ := start(t, s, "append", file)
	if err := syscall.Kill(crash.PID(), syscall.SIGKILL); err != nil { // not by the lab
		t.Fatal(err)
	}
	<-crash.Ended()
	if !crash.Crashed() {
		t.Error("a process that the lab did not end does not count as crashed")
	}
	lab, log := start(t, s, "lab", file)
	inner := 0
	waitUntil(t, "the process that the lab starts", func() bool {
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

// TestLock checks that a directory locked by a running process cannot be locked, and that the lock of an
// ended process and an invalid lock file are replaced.
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
			t.Errorf("Lock with the lock file %q: %v", test.mark, err)
		}
		Unlock(dir)
	}
}
