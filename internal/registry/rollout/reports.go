// Package inforce is what a member has heard of proxies' configurations: which version each has in force, or has refused.
// Each proxy says so with every watch, so that this costs no message. It is no part of what members agree on; a proxy
// that moves to another member says it there, and what it said here ages.
package rollout

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// ProxiesMost bounds the words that are kept, over all services: at most some 500 bytes each.
	MaxReports = 10_000
	// NameMost and WhyMost bound a word's parts, in bytes.
	MaxNameBytes   = 100
	MaxReasonBytes = 200
	// Kept is how long a word stands that is not said again.
	ReportTTL = 10 * time.Minute

	sweepInterval = time.Minute
)

// Word is what a proxy said of itself.
type ProxyReport struct {
	Name            string `json:"name"`
	AppliedVersion  int64  `json:"in_force"`          // version; 0: none but its file's
	RejectedVersion int64  `json:"refused,omitempty"` // version that it could not put in force, newer than that
	RejectReason    string `json:"why,omitempty"`     // key and problem
	AgeMs           int64  `json:"age_ms"`            // since it was said
}

type timedReport struct {
	ProxyReport
	receivedAt time.Time
}

// Table is the words. Its zero value has none.
type Table struct {
	mu        sync.Mutex
	reports   map[string]map[string]timedReport // by service and name
	count     int
	lastSweep time.Time
}

// Say notes a word; false: there is no room.
func (t *Table) Record(service string, w ProxyReport, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastSweep) >= sweepInterval {
		t.sweep(now)
	}
	words := t.reports[service]
	_, had := words[w.Name]
	if !had && t.count >= MaxReports {
		if t.sweep(now); t.count >= MaxReports {
			return false
		}
		words = t.reports[service]
	}
	if words == nil {
		if t.reports == nil {
			t.reports = map[string]map[string]timedReport{}
		}
		words = map[string]timedReport{}
		t.reports[service] = words
	}
	if !had {
		t.count++
	}
	words[w.Name] = timedReport{w, now}
	return true
}

// sweep forgets what is old.
func (t *Table) sweep(now time.Time) {
	t.lastSweep = now
	for service, words := range t.reports {
		for name, w := range words {
			if now.Sub(w.receivedAt) >= ReportTTL {
				delete(words, name)
				t.count--
			}
		}
		if len(words) == 0 {
			delete(t.reports, service)
		}
	}
}

// Len is how many words are kept.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// Of is what was said of a service, by name.
func (t *Table) Reports(service string, now time.Time) []ProxyReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	out := make([]ProxyReport, 0, len(t.reports[service]))
	for _, w := range t.reports[service] {
		w.AgeMs = now.Sub(w.receivedAt).Milliseconds()
		out = append(out, w.ProxyReport)
	}
	slices.SortFunc(out, func(a, b ProxyReport) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Merge is the youngest word on each proxy of what several members have heard, by name.
func MergeReports(heard ...[]ProxyReport) []ProxyReport {
	youngest := map[string]ProxyReport{}
	for _, words := range heard {
		for _, w := range words {
			if was, had := youngest[w.Name]; !had || w.AgeMs < was.AgeMs {
				youngest[w.Name] = w
			}
		}
	}
	return slices.SortedFunc(maps.Values(youngest), func(a, b ProxyReport) int { return cmp.Compare(a.Name, b.Name) })
}
