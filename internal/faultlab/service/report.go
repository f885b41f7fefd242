package service

import (
	"strings"
	"time"

	"merlinpick/internal/faultlab/linear"
	"merlinpick/internal/faultlab/process"
)

// Report is what a play leaves of the service.
type Report struct {
	History linear.CheckResult
	Delays  []time.Duration // from a change's being confirmed to its being told, for each proxy that was told
	Lacks   int             // living servers that a read lacked, at most
	Refused int             // starts that a member refused for its directory
	Ended   []string        // members that had ended by themselves at the end
}

// End kills all members and tells what came of them.
func (s *Service) End() (Report, error) {
	var r Report
	var procs []*process.Process
	for _, m := range s.members {
		m.mu.Lock()
		if m.proc != nil {
			if m.proc.Crashed() {
				r.Ended = append(r.Ended, m.Name)
			}
			procs = append(procs, m.proc)
		}
		m.mu.Unlock()
	}
	err := process.KillAll(procs)
	for _, c := range s.near {
		c.Close()
	}
	s.mu.Lock()
	r.Refused = s.rejected
	s.mu.Unlock()
	r.History = s.history.Check(checkWait)
	r.Delays = s.delays.sum()
	s.servers.mu.Lock()
	r.Lacks = s.servers.lacks
	s.servers.mu.Unlock()
	return r, err
}

// Wrong words what is wrong with a report.
func (r Report) Wrong() string {
	var out []string
	if len(r.History.Violations) > 0 {
		out = append(out, "no order of the calls explains what was read of "+strings.Join(r.History.Violations, ", "))
	}
	if len(r.History.Undecided) > 0 {
		out = append(out, "the search for an order took too long for "+strings.Join(r.History.Undecided, ", "))
	}
	if len(r.Ended) > 0 {
		out = append(out, "members ended by themselves: "+strings.Join(r.Ended, ", "))
	}
	return strings.Join(out, "; ")
}
