package service

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// Targets are the members that a fault names: "leader" is the one that leads now, a follower another; no name is all.
func (s *Service) Targets(names []string) (out []*Member) {
	for _, m := range s.members {
		if len(names) == 0 || slices.Contains(names, m.Name) {
			out = append(out, m)
			continue
		}
		leads := func() bool {
			st, err := s.status(m)
			return err == nil && st.Role == "leader"
		}
		if slices.Contains(names, "leader") && leads() || slices.Contains(names, "follower") && len(out) == 0 && !leads() {
			out = append(out, m)
		}
	}
	return out
}

// Kill kills members in one instant, and starts each again after a time, unless another fault keeps it down.
func (s *Service) Kill(ms []*Member, back func() bool) error {
	for _, m := range ms {
		m.mu.Lock()
		m.dead++
		err := m.proc.Signal(syscall.SIGKILL)
		m.mu.Unlock()
		if err != nil {
			return err
		}
	}
	for _, m := range ms {
		m.mu.Lock()
		proc := m.proc
		m.mu.Unlock()
		<-proc.Ended()
	}
	if !back() {
		return nil
	}
	for _, m := range ms {
		if err := s.again(m); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) again(m *Member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead--; m.dead > 0 {
		return nil
	}
	return s.start(m)
}

// Stop has members stand still for a time.
func (s *Service) Stop(ms []*Member, hold func()) error {
	for _, m := range ms {
		m.mu.Lock()
		m.stops++
		err := m.proc.Signal(syscall.SIGSTOP)
		m.mu.Unlock()
		if err != nil {
			return err
		}
	}
	hold()
	for _, m := range ms {
		m.mu.Lock()
		m.stops--
		var err error
		if m.stops == 0 {
			err = m.proc.Signal(syscall.SIGCONT)
		}
		m.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// Damage kills members, cuts one file of each directory off at a random byte, and starts them again after a time. One
// that refuses its directory is started with an empty one, as its word says.
func (s *Service) Damage(ms []*Member, back func() bool) error {
	return s.Kill(ms, func() bool {
		for _, m := range ms {
			path, at, err := s.cut(m)
			s.log.Info("a file was cut off", "file", path, "at", at, "error", err)
		}
		if !back() {
			return false
		}
		for _, m := range ms {
			go s.mend(m)
		}
		return true
	})
}

func (s *Service) cut(m *Member) (path string, at int64, err error) {
	var files []string
	err = filepath.WalkDir(m.dir, func(path string, d os.DirEntry, err error) error {
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
	x := s.rng.Float64()
	s.mu.Unlock()
	info, err := os.Stat(path)
	if err != nil {
		return path, 0, err
	}
	at = int64(x * float64(info.Size()))
	return path, at, os.Truncate(path, at)
}

// mend waits for a member's word on its damaged directory.
func (s *Service) mend(m *Member) {
	for end := time.Now().Add(rejectDelay); time.Now().Before(end); time.Sleep(readyPoll) {
		m.mu.Lock()
		proc, dead := m.proc, m.dead
		m.mu.Unlock()
		if dead > 0 || !proc.Crashed() {
			continue
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		s.mu.Lock()
		s.rejected++
		s.mu.Unlock()
		if err := os.Rename(m.dir, fmt.Sprintf("%s.damaged-%d", m.dir, time.Now().UnixNano())); err != nil {
			s.log.Error("a damaged directory stays", "member", m.Name, "error", err)
			return
		}
		if err := s.start(m); err != nil {
			s.log.Error("a member does not start again", "member", m.Name, "error", err)
		}
		return
	}
}

// Names are members' names.
func Names(ms []*Member) (names []string) {
	for _, m := range ms {
		names = append(names, m.Name)
	}
	return names
}
