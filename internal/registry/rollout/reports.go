// Package rollout keeps the reports that one member has received about the configurations that proxies have
// applied. Each proxy sends its report with every watch. Reports are not replicated: a proxy that moves to
// another member reports there, and its report at this member expires.
package rollout

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// MaxReports is the maximum number of reports of all services together; a report takes about 500 bytes.
	MaxReports = 10_000
	// MaxNameBytes and MaxReasonBytes bound the length of a report's texts.
	MaxNameBytes   = 100
	MaxReasonBytes = 200
	// ReportTTL is the time for which a report is kept if the proxy sends no newer one.
	ReportTTL = 10 * time.Minute

	sweepInterval = time.Minute
)

// ProxyReport is a proxy's report on a service's configuration.
type ProxyReport struct {
	Name            string `json:"name"`              // name of the proxy
	AppliedVersion  int64  `json:"in_force"`          // 0: only the settings of its own file
	RejectedVersion int64  `json:"refused,omitempty"` // newer than AppliedVersion; 0: none
	RejectReason    string `json:"why,omitempty"`     // the key at fault and the problem
	AgeMs           int64  `json:"age_ms"`            // time since the report in ms
}

// timedReport is a report with the time of its arrival.
type timedReport struct {
	ProxyReport
	receivedAt time.Time
}

// Table keeps the newest report of each proxy. Its zero value is empty. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	reports   map[string]map[string]timedReport // by service and proxy
	count     int
	lastSweep time.Time
}

// Record stores a report in place of the proxy's previous one. It returns false if the table is full.
func (t *Table) Record(service string, report ProxyReport, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastSweep) >= sweepInterval {
		t.sweep(now)
	}
	_, known := t.reports[service][report.Name]
	if !known {
		if t.count >= MaxReports {
			t.sweep(now)
		}
		if t.count >= MaxReports {
			return false
		}
		t.count++
	}
	if t.reports == nil {
		t.reports = map[string]map[string]timedReport{}
	}
	if t.reports[service] == nil {
		t.reports[service] = map[string]timedReport{}
	}
	t.reports[service][report.Name] = timedReport{report, now}
	return true
}

// sweep drops the reports that have reached ReportTTL.
func (t *Table) sweep(now time.Time) {
	t.lastSweep = now
	for service, reports := range t.reports {
		for name, report := range reports {
			if now.Sub(report.receivedAt) >= ReportTTL {
				delete(reports, name)
				t.count--
			}
		}
		if len(reports) == 0 {
			delete(t.reports, service)
		}
	}
}

// Len returns the number of reports.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// Reports returns the reports on a service's configuration, ordered by the proxies' names.
func (t *Table) Reports(service string, now time.Time) []ProxyReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	out := make([]ProxyReport, 0, len(t.reports[service]))
	for _, report := range t.reports[service] {
		report.AgeMs = now.Sub(report.receivedAt).Milliseconds()
		out = append(out, report.ProxyReport)
	}
	slices.SortFunc(out, compareNames)
	return out
}

// MergeReports returns the newest report of each proxy among those of several members, ordered by the
// proxies' names.
func MergeReports(memberReports ...[]ProxyReport) []ProxyReport {
	newest := map[string]ProxyReport{}
	for _, reports := range memberReports {
		for _, report := range reports {
			if other, ok := newest[report.Name]; !ok || report.AgeMs < other.AgeMs {
				newest[report.Name] = report
			}
		}
	}
	return slices.SortedFunc(maps.Values(newest), compareNames)
}

func compareNames(a, b ProxyReport) int { return cmp.Compare(a.Name, b.Name) }
