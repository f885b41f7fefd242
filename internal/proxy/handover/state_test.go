package handover

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"merlinpick/balancer"
)

// TestHandoverStateUsesSuccessorsClock checks that the times in an inherited retry budget are as long ago on
// the successor's clock as on the predecessor's, even if the wall clock was set between their starts.
func TestHandoverStateUsesSuccessorsClock(t *testing.T) {
	const now = int64(50e6)
	before := State{Now: now + 3600e6}
	before.RetryBudget.Requests = []int64{before.Now - 2e6, before.Now - 1e6}
	before.RetryBudget.Retries = []int64{before.Now - 1e6}
	got := before.RetryBudgetAt(now)
	if got.Requests[0] != now-2e6 || got.Requests[1] != now-1e6 || got.Retries[0] != now-1e6 {
		t.Errorf("got %+v, want times 2 s and 1 s ago", got)
	}
	old := State{} // from a version that does not send its clock
	old.RetryBudget.Requests = []int64{7}
	if got := old.RetryBudgetAt(now); got.Requests[0] != 7 {
		t.Errorf("without the predecessor's clock: got %+v, want the times unchanged", got)
	}
}

// TestHandoverLineIsGolden compares the encoded state with the golden file, and decodes the lines of earlier
// versions, since the two processes of a handover may be of different versions.
func TestHandoverLineIsGolden(t *testing.T) {
	told := State{RetryBudget: RetryBudgetUsage{Requests: []int64{1_000_000, 2_000_000}, Retries: []int64{1_500_000}},
		KnownServers: []string{"node-1", "node-2"}, Now: 3_000_000}
	line, err := json.Marshal(told)
	if err != nil {
		t.Fatal(err)
	}
	golden, err := os.ReadFile(filepath.Join("testdata", "handover.json"))
	if err != nil {
		t.Fatal(err)
	}
	if got := string(line) + "\n"; got != string(golden) {
		t.Errorf("got\n%s\nwant\n%s", got, golden)
	}

	for _, c := range []struct {
		file string
		now  int64
		want balancer.RetryBudgetUsage
	}{
		{"handover.json", 13_000_000, balancer.RetryBudgetUsage{Requests: []int64{11_000_000, 12_000_000}, Retries: []int64{11_500_000}}},
		{"handover-without-now.json", 13_000_000, balancer.RetryBudgetUsage{Requests: []int64{1_000_000, 2_000_000}, Retries: []int64{1_500_000}}},
	} {
		text, err := os.ReadFile(filepath.Join("testdata", c.file))
		if err != nil {
			t.Fatal(err)
		}
		var read State
		if err := json.Unmarshal(text, &read); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(read.KnownServers, told.KnownServers) {
			t.Errorf("%s: got the known servers %v, want %v", c.file, read.KnownServers, told.KnownServers)
		}
		if got := read.RetryBudgetAt(c.now); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.file, got, c.want)
		}
	}
}
