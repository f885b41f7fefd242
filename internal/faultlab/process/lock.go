package process

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// lockFile is the name of the file that holds the id of the process that uses a directory.
const lockFile = "lab.pid"

// InUseError reports a directory that is used by the run of another process.
type InUseError struct {
	Dir string
	PID int // of the other process
}

// Error names the directory, the process and the remedy.
func (e *InUseError) Error() string {
	return fmt.Sprintf("directory %s is in use by the run of process %d; choose another with --out",
		e.Dir, e.PID)
}

// Alive reports whether a process with that id exists, whatever its user.
func Alive(pid int) bool { return pid > 0 && !errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) }

// Lock writes a lock file that marks a directory as used by this process. It returns an *InUseError if a
// running process holds the lock. The lock of a process that has ended is replaced.
func Lock(dir string) error {
	path := filepath.Join(dir, lockFile)
	if text, err := os.ReadFile(path); err == nil {
		pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err == nil && pid != os.Getpid() && Alive(pid) {
			return &InUseError{Dir: dir, PID: pid}
		}
	}
	if err := os.WriteFile(path, []byte(strconv.Itoa(os.Getpid())+"\n"), 0o644); err != nil {
		return fmt.Errorf("lock directory %s: %w", dir, err)
	}
	return nil
}

// Unlock removes the lock file of a directory.
func Unlock(dir string) { _ = os.Remove(filepath.Join(dir, lockFile)) }
