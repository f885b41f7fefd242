// Package process starts, signals and measures the programs under test as real processes of the same user. It
// needs no special privileges, and does not depend on what the programs do.
//
// A process never outlives the lab, even if the lab is killed: the kernel kills it when the thread that
// started it ends. Therefore a single thread, that of the Starter, starts all processes.
package process

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Starter starts processes from a single thread.
type Starter struct {
	starts chan func()
	done   chan struct{}
}

// NewStarter returns a Starter and starts its thread, which Close ends.
func NewStarter() *Starter {
	s := &Starter{starts: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with this goroutine
		defer close(s.done)
		for start := range s.starts {
			start()
		}
	}()
	return s
}

// Close ends the thread and thereby kills every process that still runs.
func (s *Starter) Close() {
	close(s.starts)
	<-s.done
}

// Spec describes a process to start.
type Spec struct {
	Name    string
	Command []string
	Dir     string   // working directory
	Env     []string // the complete environment
	Log     string   // path of the file to which its standard error is appended
}

// Process is a started process. Its methods are safe for concurrent use.
type Process struct {
	Name    string
	command *exec.Cmd
	ended   chan struct{}

	mu           sync.Mutex
	err          error
	endRequested bool // whether Signal has sent SIGTERM or SIGKILL
	usage        Usage
}

// Usage holds the resources that a process has used.
type Usage struct {
	CPU        time.Duration
	PeakMemory int64 // peak resident memory in bytes
}

// Start starts a process and returns once it runs.
func (s *Starter) Start(spec Spec) (*Process, error) {
	out, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open the log of %s: %w", spec.Name, err)
	}
	cmd := exec.Command(spec.Command[0], spec.Command[1:]...)
	cmd.Dir, cmd.Env = spec.Dir, spec.Env
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	// The log is written by the lab through a pipe, so that SetDiskFull does not affect it.
	pipe, err := cmd.StderrPipe()
	if err != nil {
		out.Close()
		return nil, fmt.Errorf("start %s: %w", spec.Name, err)
	}
	cmd.Stdout = nil
	p := &Process{Name: spec.Name, command: cmd, ended: make(chan struct{})}
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
		<-copied // Wait closes the pipe, so the log must be complete before
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		// The peak memory comes from samples before the end: the kernel's value at the end includes the lab's
		// memory between fork and exec.
		p.usage.CPU = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		p.mu.Unlock()
		close(p.ended)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err returns how the process ended: nil for exit status 0, and nil while it runs.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Crashed reports whether the process has ended although Signal sent neither SIGTERM nor SIGKILL.
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

// Usage returns the resources used so far. The memory of a process that has ended is that of the last sample.
func (p *Process) Usage() Usage {
	p.sampleUsage()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage
}

// sampleUsage updates the usage of a running process.
func (p *Process) sampleUsage() {
	u := Usage{PeakMemory: PeakMemory(p.PID())}
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID())); err == nil {
		_, rest, _ := strings.Cut(string(stat), ") ")
		if fields := strings.Fields(rest); len(fields) > 12 {
			user, _ := strconv.ParseInt(fields[11], 10, 64)
			system, _ := strconv.ParseInt(fields[12], 10, 64)
			u.CPU = time.Duration(user+system) * clockTick
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage = Usage{max(p.usage.CPU, u.CPU), max(p.usage.PeakMemory, u.PeakMemory)}
}

// PeakMemory returns the peak of a running process's resident memory, in bytes; 0 if it is unknown.
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

// ResidentMemory returns a running process's current resident memory, in bytes; 0 if it is unknown.
func ResidentMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// Signal sends a signal. After SIGTERM or SIGKILL the end of the process does not count as a crash. It is not
// an error if the process has ended already.
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

// Kill sends SIGKILL and waits for the process to end.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return fmt.Errorf("kill %s: %w", p.Name, err)
	}
	<-p.ended
	return nil
}

// KillAll kills processes at the same time: all are signalled before any is waited for.
func KillAll(processes []*Process) error {
	var errs []error
	for _, p := range processes {
		errs = append(errs, p.Signal(syscall.SIGKILL))
	}
	for _, p := range processes {
		<-p.ended
	}
	return errors.Join(errs...)
}

// Terminate sends SIGTERM, and SIGKILL after a timeout. clean reports whether the process exited with status
// 0 before the timeout.
func (p *Process) Terminate(timeout time.Duration) (clean bool, err error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return false, fmt.Errorf("terminate %s: %w", p.Name, err)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.ended:
		return p.Err() == nil, nil
	case <-timer.C:
		return false, p.Kill()
	}
}

// SetDiskFull makes every write of the process to a file fail, or succeed again, by setting its limit on the
// size of files. The error is EFBIG instead of ENOSPC, and empty files can still be created and renamed, as
// is usually possible on a full disk. It sets the soft limit only, which an unprivileged user may raise
// again.
func (p *Process) SetDiskFull(full bool) error {
	var limit syscall.Rlimit
	if err := prlimit(p.PID(), nil, &limit); err != nil {
		return fmt.Errorf("read the file size limit of %s: %w", p.Name, err)
	}
	if limit.Cur = limit.Max; full {
		limit.Cur = 0
	}
	if err := prlimit(p.PID(), &limit, nil); err != nil {
		return fmt.Errorf("set the file size limit of %s: %w", p.Name, err)
	}
	return nil
}

// prlimit sets or gets the limit on the size of a process's files; set or get may be nil.
func prlimit(pid int, set, get *syscall.Rlimit) error {
	const fileSize = syscall.RLIMIT_FSIZE
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), fileSize, uintptr(unsafe.Pointer(set)),
		uintptr(unsafe.Pointer(get)), 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// clockTick is the unit of CPU times in /proc (1/USER_HZ).
const clockTick = time.Second / 100
