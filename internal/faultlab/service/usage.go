package service

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"merlinpick/internal/faultlab/process"
)

// MemberUsage is the state and resource usage of a member, from its own metrics and from the kernel.
type MemberUsage struct {
	PID           int           // of the current process
	CPU           time.Duration // CPU time of the current process
	Memory        int64         // resident memory in bytes
	Reachable     bool          // whether the member answered; the fields below are zero if not
	IsLeader      bool
	Watches       float64 // watches in flight
	Rejected      float64 // calls that the current process answered with 503
	OverdueLeases float64 // leases that have expired and are not ended yet
}

// MemberUsage returns a member's current usage. Fields that cannot be read are zero.
func (s *Service) MemberUsage(member *Member) (out MemberUsage) {
	member.mu.Lock()
	proc := member.process
	member.mu.Unlock()
	if proc == nil {
		return out
	}
	out.PID, out.CPU, out.Memory = proc.PID(), proc.Usage().CPU, process.ResidentMemory(proc.PID())
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.config.MemberAddress(member.index, metricsPort)+"/metrics", nil)
	if err != nil {
		return out
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case "roster_leads":
			out.Reachable, out.IsLeader = true, v == 1
		case "roster_watches":
			out.Watches = v
		case "roster_calls_turned_total":
			out.Rejected = v
		case "roster_leases_overdue":
			out.OverdueLeases = v
		}
	}
	return out
}
