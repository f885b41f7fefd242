package rollout

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// Reports expire. A full table accepts reports of known proxies, and drops expired reports to make room.
func TestReportLimits(t *testing.T) {
	var table Table
	at := time.Now()
	for i := range MaxReports {
		if !table.Record("a", ProxyReport{Name: fmt.Sprint("p", i)}, at.Add(time.Duration(i%2)*time.Second)) {
			t.Fatalf("a table with %d reports rejected another one", i)
		}
	}
	if table.Record("b", ProxyReport{Name: "more"}, at.Add(time.Second)) {
		t.Error("a full table accepted a report of another proxy")
	}
	if !table.Record("a", ProxyReport{Name: "p1", AppliedVersion: 7}, at.Add(2*time.Second)) {
		t.Error("a full table rejected a report of a known proxy")
	}
	if !table.Record("b", ProxyReport{Name: "more"}, at.Add(ReportTTL)) || table.Len() != MaxReports/2+1 {
		t.Errorf("expired reports were not dropped: %d are kept", table.Len())
	}
	late := at.Add(ReportTTL + time.Second)
	if got := table.Reports("a", late); !reflect.DeepEqual(got, []ProxyReport{{Name: "p1", AppliedVersion: 7, AgeMs: (ReportTTL - time.Second).Milliseconds()}}) {
		t.Errorf("got %+.200v", got)
	}
	if table.Reports("a", late.Add(ReportTTL)); table.Len() != 0 || len(table.reports) != 0 {
		t.Errorf("%d reports of %d services are left", table.Len(), len(table.reports))
	}
}

// Of a proxy's reports to several members the newest counts, not the one with the highest version: a
// restarted proxy may have applied a lower one.
func TestNewestReportCounts(t *testing.T) {
	got := MergeReports([]ProxyReport{{Name: "a", AppliedVersion: 9, AgeMs: 40}, {Name: "b", AppliedVersion: 1, AgeMs: 5}},
		[]ProxyReport{{Name: "a", AppliedVersion: 3, AgeMs: 10, RejectedVersion: 4, RejectReason: "x"}}, nil, []ProxyReport{{Name: "a", AppliedVersion: 5, AgeMs: 30}})
	want := []ProxyReport{{Name: "a", AppliedVersion: 3, AgeMs: 10, RejectedVersion: 4, RejectReason: "x"}, {Name: "b", AppliedVersion: 1, AgeMs: 5}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("merged reports are %+v, not the newest of each proxy", got)
	}
}
