// Package process runs the programs under test: real processes with a directory each, that the lab can kill, stop, take
// the power from, and fill the disk of. No rights are needed beyond those of a user over its own processes.
//
// A process never outlives the lab, however that ends: the kernel kills it when the thread that started it does, which
// is why one thread, the starter's, starts them all.
package process

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Starter starts processes from one thread.
type Starter struct {
	starts chan func()
	done   chan struct{}
}

// NewStarter begins the thread.
func NewStarter() *Starter {
	s := &Starter{starts: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with this goroutine
		defer close(s.done)
		for f := range s.starts {
			f()
		}
	}()
	return s
}

// Close ends the thread, and with it whatever it started that still runs.
func (s *Starter) Close() {
	close(s.starts)
	<-s.done
}

// Spec is a program to run.
type Spec struct {
	Name    string
	Command []string
	Dir     string   // its working directory
	Env     []string // all of it
	Log     string   // file that gets what it prints, after what is there
}

// Process is one process.
type Process struct {
	Name    string
	command *exec.Cmd
	log     *slog.Logger
	ended   chan struct{}

	mu           sync.Mutex
	err          error
	endRequested bool // it was told to end
	usage        Usage
}

// Usage is what a process used.
type Usage struct {
	CPU        time.Duration
	PeakMemory int64 // peak of its resident memory, bytes
}

// Start starts a program.
func (s *Starter) Start(spec Spec, log *slog.Logger) (*Process, error) {
	out, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", spec.Name, err)
	}
	cmd := exec.Command(spec.Command[0], spec.Command[1:]...)
	cmd.Dir, cmd.Env = spec.Dir, spec.Env
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	// By a pipe: the limit that stands for a full disk must not silence the log.
	pipe, err := cmd.StderrPipe()
	if err != nil {
		out.Close()
		return nil, fmt.Errorf("start %s: %w", spec.Name, err)
	}
	cmd.Stdout = nil
	p := &Process{Name: spec.Name, command: cmd, log: log, ended: make(chan struct{})}
	started := make(chan error, 1)
	s.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		out.Close()
		return nil, fmt.Errorf("start %s: %w", spec.Name, err)
	}
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		defer out.Close()
		_, _ = io.Copy(out, pipe)
	}()
	go func() {
		<-copied // Wait closes the pipe
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		// Its peak of memory comes from a look before its end: what the kernel keeps counts the lab's own, from the
		// moment between fork and exec.
		p.usage.CPU = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		p.mu.Unlock()
		close(p.ended)
	}()
	return p, nil
}

// PID is the process's id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err is how it ended: nil for 0.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Crashed tells whether it has ended without having been told to.
func (p *Process) Crashed() bool {
	select {
	case <-p.ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return !p.endRequested
	default:
		return false
	}
}

// Usage is what it has used so far, or used: as of the last look, for the memory of one that ended by itself.
func (p *Process) Usage() Usage {
	p.sampleUsage()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage
}

// look notes what it uses while it lives.
func (p *Process) sampleUsage() {
	u := Usage{PeakMemory: PeakMemory(p.PID())}
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID())); err == nil {
		_, rest, _ := strings.Cut(string(stat), ") ")
		if f := strings.Fields(rest); len(f) > 12 {
			user, _ := strconv.ParseInt(f[11], 10, 64)
			system, _ := strconv.ParseInt(f[12], 10, 64)
			u.CPU = time.Duration(user+system) * (time.Second / 100)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage = Usage{max(p.usage.CPU, u.CPU), max(p.usage.PeakMemory, u.PeakMemory)}
}

// PeakMemory is the peak of a living process's resident memory, in bytes; 0 if it cannot be told.
func PeakMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// Signal sends a signal. SIGTERM and SIGKILL tell it to end.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	ends := sig == syscall.SIGTERM || sig == syscall.SIGKILL
	p.endRequested = p.endRequested || ends
	p.mu.Unlock()
	if ends {
		p.sampleUsage()
	}
	err := p.command.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill ends it outright and waits for that.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return fmt.Errorf("kill %s: %w", p.Name, err)
	}
	<-p.ended
	return nil
}

// KillAll kills processes in one instant: all are signalled before any is waited for.
func KillAll(ps []*Process) error {
	var errs []error
	for _, p := range ps {
		errs = append(errs, p.Signal(syscall.SIGKILL))
	}
	for _, p := range ps {
		<-p.ended
	}
	return errors.Join(errs...)
}

// End asks it to end, and kills it after patience. Clean tells whether it ended by itself with 0.
func (p *Process) Terminate(patience time.Duration) (clean bool, err error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return false, fmt.Errorf("end %s: %w", p.Name, err)
	}
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case <-p.ended:
		return p.Err() == nil, nil
	case <-t.C:
		return false, p.Kill()
	}
}

// DiskFull has every byte that the process writes to a file fail, or succeed again. The kernel's limit on a file's size
// stands for the disk: the error is EFBIG where a disk gives ENOSPC, and making or renaming an empty file still works,
// as it mostly does on a full disk. The limit is the soft one, which needs no right to be put back.
func (p *Process) SetDiskFull(full bool) error {
	var limit syscall.Rlimit
	if err := prlimit(p.PID(), nil, &limit); err != nil {
		return fmt.Errorf("disk of %s: %w", p.Name, err)
	}
	if limit.Cur = limit.Max; full {
		limit.Cur = 0
	}
	if err := prlimit(p.PID(), &limit, nil); err != nil {
		return fmt.Errorf("disk of %s: %w", p.Name, err)
	}
	return nil
}

func prlimit(pid int, set, get *syscall.Rlimit) error {
	const fsize = syscall.RLIMIT_FSIZE
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), fsize, uintptr(unsafe.Pointer(set)),
		uintptr(unsafe.Pointer(get)), 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

const lockFile = "lab.pid"

// Alive tells whether a process of that id lives, whoever's it is.
func Alive(pid int) bool { return pid > 0 && !errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) }

// Hold marks a directory as this process's, unless a process that lives has marked it. The mark of one that was killed
// is taken over.
func Lock(dir string) error {
	path := filepath.Join(dir, lockFile)
	if text, err := os.ReadFile(path); err == nil {
		pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err == nil && pid != os.Getpid() && Alive(pid) {
			return fmt.Errorf("%s is in use by the run of process %d; give another --out", dir, pid)
		}
	}
	if err := os.WriteFile(path, []byte(strconv.Itoa(os.Getpid())+"\n"), 0o644); err != nil {
		return fmt.Errorf("mark the directory: %w", err)
	}
	return nil
}

// Release takes the mark away.
func Unlock(dir string) { _ = os.Remove(filepath.Join(dir, lockFile)) }

// Memory is a living process's resident memory now, in bytes; 0 if it cannot be told.
func ResidentMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(text))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
