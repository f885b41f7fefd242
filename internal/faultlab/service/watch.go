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

// Standing is how a member stands, by its own metrics and the kernel's.
type Standing struct {
	PID      int // of the process that it is now
	CPU      time.Duration
	Memory   int64 // resident now, bytes
	Up       bool  // it answered; the rest is told
	Leads    bool
	Watches  float64 // held
	Rejected float64 // calls answered 503, of this process
	Overdue  float64 // leases that are over and held
}

// Standing asks a member for its metrics.
func (s *Service) Standing(m *Member) (out Standing) {
	m.mu.Lock()
	proc := m.proc
	m.mu.Unlock()
	if proc == nil {
		return out
	}
	out.PID, out.CPU, out.Memory = proc.PID(), proc.Usage().CPU, process.ResidentMemory(proc.PID())
	ctx, cancel := context.WithTimeout(context.Background(), callWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.cfg.Own(m.n, metricsPort)+"/metrics", nil)
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
			out.Up, out.Leads = true, v == 1
		case "roster_watches":
			out.Watches = v
		case "roster_calls_turned_total":
			out.Rejected = v
		case "roster_leases_overdue":
			out.Overdue = v
		}
	}
	return out
}
