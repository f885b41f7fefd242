package api

import (
	"context"
	"net/http"
	"sync"
	"time"

	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/rollout"
)

const (
	reportsTimeout = time.Second // until the other members have sent their reports
	maxReplyBytes  = 8 << 20     // size of one member's response

	// staleReportAge is the age of a report at which the proxy's state becomes unknown: proxies report with
	// every watch, at least every rollout.LongPollTimeout.
	staleReportAge = 15 * time.Second
)

// The states of a proxy in a ConfigStatus.
const (
	StateApplied  = "in_force" // has applied the newest version
	StateBehind   = "behind"   // has applied another version, or only its own file
	StateRejected = "refused"  // has rejected the newest version; RejectReason names the key
	StateUnknown  = "unknown"  // has not reported for 15 s
)

// ProxyStatus is the state and the last report of one proxy in a ConfigStatus.
type ProxyStatus struct {
	State string `json:"state"`
	rollout.ProxyReport
}

// ConfigStatus tells which proxies have applied a configuration, according to their reports to all members.
type ConfigStatus struct {
	Service string         `json:"service"`
	Epoch   string         `json:"line"`
	Version int64          `json:"version"`
	Partial bool           `json:"partial"` // members did not answer: reports may be missing or old
	Silent  []string       `json:"silent"`  // names of the members that did not answer
	Counts  map[string]int `json:"counts"`  // number of proxies by state
	Lowest  int64          `json:"lowest"`  // lowest applied version among proxies whose state is known
	Highest int64          `json:"highest"` // highest such version
	Proxies []ProxyStatus  `json:"proxies"` // all, or those without the newest version; ordered by name
}

// readReport reads a proxy's report from a watch's query; an empty name means that the watch has none. If the
// query is invalid, it responds with 400 and returns false.
func readReport(w http.ResponseWriter, r *http.Request) (report rollout.ProxyReport, ok bool) {
	query := r.URL.Query()
	if report.Name = query.Get("name"); report.Name == "" {
		return report, true
	}
	if len(report.Name) > rollout.MaxNameBytes {
		writeError(w, http.StatusBadRequest, "name: at most %d bytes", rollout.MaxNameBytes)
		return report, false
	}
	if report.AppliedVersion, ok = queryNumber(w, r, "in_force", "a version is"); !ok {
		return report, false
	}
	if report.RejectedVersion, ok = queryNumber(w, r, "refused", "a version is"); !ok {
		return report, false
	}
	reason := query.Get("why")
	report.RejectReason = reason[:min(len(reason), rollout.MaxReasonBytes)]
	return report, true
}

// localReports handles GET /v1/inforce/SERVICE: it responds with the reports that proxies sent to this
// member.
func (s *Server) localReports(w http.ResponseWriter, r *http.Request, _ *raftnode.Node) {
	if service, ok := readService(w, r); ok {
		writeJSON(w, http.StatusOK, s.reports.Reports(service, time.Now()))
	}
}

// configStatus handles GET /config/SERVICE/status.
func (s *Server) configStatus(w http.ResponseWriter, r *http.Request, node *raftnode.Node) {
	service, ok := readService(w, r)
	if !ok {
		return
	}
	if !node.Serving() {
		s.rejectRetryable(w, raftnode.ErrStale)
		return
	}
	reports, silent := s.collectReports(r.Context(), node, service)
	epoch, c, _ := node.Configuration(service) // after the reports, so that none of them has a newer version
	status := ConfigStatus{Service: service, Epoch: epoch, Version: c.Version, Partial: len(silent) > 0, Silent: silent}
	status.fill(rollout.MergeReports(reports...), r.URL.Query().Get("all") == "1")
	writeJSON(w, http.StatusOK, status)
}

// collectReports returns all members' reports, and the names of the members that did not answer.
func (s *Server) collectReports(ctx context.Context, node *raftnode.Node,
	service string) (reports [][]rollout.ProxyReport, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, reportsTimeout)
	defer cancel()
	peers := node.Peers()
	reports, silent = make([][]rollout.ProxyReport, len(peers)+1), []string{}
	reports[len(peers)] = s.reports.Reports(service, time.Now())
	errs := make([]error, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { errs[i] = node.CallPeer(ctx, p, "/v1/inforce/"+service, maxReplyBytes, &reports[i]) })
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			reports[i] = nil
			silent = append(silent, peers[i].Name)
		}
	}
	return reports, silent
}

// fill counts the proxies by state and lists all of them, or only those that have not applied the newest
// version.
func (c *ConfigStatus) fill(reports []rollout.ProxyReport, all bool) {
	c.Counts, c.Proxies = map[string]int{StateApplied: 0, StateBehind: 0, StateRejected: 0, StateUnknown: 0}, []ProxyStatus{}
	first := true
	for _, report := range reports {
		proxy := ProxyStatus{c.stateOf(report), report}
		c.Counts[proxy.State]++
		if proxy.State != StateUnknown {
			if first || report.AppliedVersion < c.Lowest {
				c.Lowest = report.AppliedVersion
			}
			c.Highest, first = max(c.Highest, report.AppliedVersion), false
		}
		if all || proxy.State != StateApplied {
			c.Proxies = append(c.Proxies, proxy)
		}
	}
}

func (c *ConfigStatus) stateOf(report rollout.ProxyReport) string {
	switch {
	case report.AgeMs >= staleReportAge.Milliseconds():
		return StateUnknown
	case report.AppliedVersion == c.Version:
		return StateApplied
	case report.RejectedVersion != 0 && report.RejectedVersion == c.Version:
		return StateRejected
	}
	return StateBehind
}
