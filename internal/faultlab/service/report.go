package service

import (
	"strings"
	"time"

	"merlinpick/internal/faultlab/linear"
	"merlinpick/internal/faultlab/process"
)

// Report holds the observations of the registry in one run.
type Report struct {
	History        linear.CheckResult
	Delays         []time.Duration // from each change's confirmation to its receipt by each proxy; sorted
	MissingServers int             // most listed servers that were missing in one read
	RefusedStarts  int             // starts that members refused because of a damaged directory
	CrashedMembers []string        // members that had crashed at the end
}

// End kills all members and returns the report of the run.
func (s *Service) End() (Report, error) {
	var r Report
	var procs []*process.Process
	for _, member := range s.members {
		member.mu.Lock()
		if member.process != nil {
			if member.process.Crashed() {
				r.CrashedMembers = append(r.CrashedMembers, member.Name)
			}
			procs = append(procs, member.process)
		}
		member.mu.Unlock()
	}
	err := process.KillAll(procs)
	for _, c := range s.registrars {
		c.Close()
	}
	s.mu.Lock()
	r.RefusedStarts = s.refusedStarts
	s.mu.Unlock()
	r.History = s.history.Check(checkTimeout)
	r.Delays = s.delays.sortedDelays()
	s.registrations.mu.Lock()
	r.MissingServers = s.registrations.missing
	s.registrations.mu.Unlock()
	return r, err
}

// Violation describes which rules of the registry were broken; empty if none was.
func (r Report) Violation() string {
	var out []string
	if len(r.History.Violations) > 0 {
		out = append(out, "the registry's history is not linearizable for "+
			strings.Join(r.History.Violations, ", "))
	}
	if len(r.History.Undecided) > 0 {
		out = append(out, "the linearizability check timed out for "+strings.Join(r.History.Undecided, ", "))
	}
	if len(r.CrashedMembers) > 0 {
		out = append(out, "registry members crashed: "+strings.Join(r.CrashedMembers, ", "))
	}
	return strings.Join(out, "; ")
}
