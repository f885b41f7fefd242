package service

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// Members returns the members that a fault names. "leader" is the current leader, "follower" is one member
// that does not lead; without names it returns all members.
func (s *Service) Members(names []string) (out []*Member) {
	for _, member := range s.members {
		if len(names) == 0 || slices.Contains(names, member.Name) {
			out = append(out, member)
			continue
		}
		leads := func() bool {
			st, err := s.status(member)
			return err == nil && st.Role == "leader"
		}
		if slices.Contains(names, "leader") && leads() || slices.Contains(names, "follower") && len(out) == 0 && !leads() {
			out = append(out, member)
		}
	}
	return out
}

// Kill kills members at the same time and calls shouldRestart. If that returns true, it starts each member
// again, unless another fault keeps it down.
func (s *Service) Kill(members []*Member, shouldRestart func() bool) error {
	for _, member := range members {
		member.mu.Lock()
		member.downFaults++
		err := member.process.Signal(syscall.SIGKILL)
		member.mu.Unlock()
		if err != nil {
			return err
		}
	}
	for _, member := range members {
		member.mu.Lock()
		proc := member.process
		member.mu.Unlock()
		<-proc.Ended()
	}
	if !shouldRestart() {
		return nil
	}
	for _, member := range members {
		if err := s.restart(member); err != nil {
			return err
		}
	}
	return nil
}

// restart ends one fault that keeps a member down, and starts the member if that was the last.
func (s *Service) restart(member *Member) error {
	member.mu.Lock()
	defer member.mu.Unlock()
	if member.downFaults--; member.downFaults > 0 {
		return nil
	}
	return s.start(member)
}

// Suspend suspends the members' processes with SIGSTOP until wait returns.
func (s *Service) Suspend(members []*Member, wait func()) error {
	for _, member := range members {
		member.mu.Lock()
		member.suspendFaults++
		err := member.process.Signal(syscall.SIGSTOP)
		member.mu.Unlock()
		if err != nil {
			return err
		}
	}
	wait()
	for _, member := range members {
		member.mu.Lock()
		member.suspendFaults--
		var err error
		if member.suspendFaults == 0 {
			err = member.process.Signal(syscall.SIGCONT)
		}
		member.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// Damage kills members, truncates one file of each member's directory at a random byte and calls
// shouldRestart. If that returns true, it starts the members again. A member that refuses its damaged
// directory is then started with an empty one, which is the remedy that its error message names.
func (s *Service) Damage(members []*Member, shouldRestart func() bool) error {
	return s.Kill(members, func() bool {
		for _, member := range members {
			path, size, err := s.truncateFile(member)
			s.log.Info("file truncated", "file", path, "bytes", size, "error", err)
		}
		if !shouldRestart() {
			return false
		}
		for _, member := range members {
			go s.replaceDamaged(member)
		}
		return true
	})
}

// truncateFile truncates a random file of a member's directory at a random byte, and returns its path and new
// size in bytes.
func (s *Service) truncateFile(member *Member) (path string, size int64, err error) {
	var files []string
	err = filepath.WalkDir(member.dir, func(path string, d os.DirEntry, err error) error {
		if err == nil && d.Type().IsRegular() {
			files = append(files, path)
		}
		return err
	})
	if err != nil || len(files) == 0 {
		return "", 0, err
	}
	s.mu.Lock()
	path = files[s.rng.IntN(len(files))]
	fraction := s.rng.Float64()
	s.mu.Unlock()
	info, err := os.Stat(path)
	if err != nil {
		return path, 0, err
	}
	size = int64(fraction * float64(info.Size()))
	return path, size, os.Truncate(path, size)
}

// replaceDamaged waits up to refusalTimeout for a member to refuse its damaged directory. If it does, the
// directory is moved aside and the member is started with an empty one.
func (s *Service) replaceDamaged(member *Member) {
	for end := time.Now().Add(refusalTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		member.mu.Lock()
		proc, downFaults := member.process, member.downFaults
		member.mu.Unlock()
		if downFaults > 0 || !proc.Crashed() {
			continue
		}
		member.mu.Lock()
		defer member.mu.Unlock()
		s.mu.Lock()
		s.refusedStarts++
		s.mu.Unlock()
		if err := os.Rename(member.dir, fmt.Sprintf("%s.damaged-%d", member.dir, time.Now().UnixNano())); err != nil {
			s.log.Error("damaged directory of member could not be moved", "member", member.Name, "error", err)
			return
		}
		if err := s.start(member); err != nil {
			s.log.Error("member could not be restarted", "member", member.Name, "error", err)
		}
		return
	}
}

// MemberNames returns the names of members.
func MemberNames(members []*Member) (names []string) {
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}
