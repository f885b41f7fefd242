package service

import (
	"strings"
	"time"

	"merlinpick/internal/faultlab/linear"
	"merlinpick/internal/faultlab/process"
)

// Report holds the observations of the service in a play.
type Report struct {
	History        linear.CheckResult
	Delays         []time.Duration // from a change's confirmation until a proxy received it, for each proxy that did; sorted
	MissingServers int             // live servers missing in a read, maximum
	RefusedStarts  int             // of members, for a damaged directory
	CrashedMembers []string        // members that had crashed at the end
}

// End kills all members and reports on the play.
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
	r.RefusedStarts = s.rejected
	s.mu.Unlock()
	r.History = s.history.Check(checkTimeout)
	r.Delays = s.delays.sorted()
	s.servers.mu.Lock()
	r.MissingServers = s.servers.missing
	s.servers.mu.Unlock()
	return r, err
}

// Violation says which rule of the list service was broken; empty if none was.
func (r Report) Violation() string {
	var out []string
	if len(r.History.Violations) > 0 {
		out = append(out, "no order of the calls explains what was read of "+strings.Join(r.History.Violations, ", "))
	}
	if len(r.History.Undecided) > 0 {
		out = append(out, "the search for an order took too long for "+strings.Join(r.History.Undecided, ", "))
	}
	if len(r.CrashedMembers) > 0 {
		out = append(out, "members ended by themselves: "+strings.Join(r.CrashedMembers, ", "))
	}
	return strings.Join(out, "; ")
}
