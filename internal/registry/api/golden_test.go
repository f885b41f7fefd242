package api

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"merlinpick/internal/registry/rollout"
)

// The JSON responses are byte for byte those of earlier versions.
func TestAnswersMatchGolden(t *testing.T) {
	report := rollout.ProxyReport{Name: "p1", AppliedVersion: 3, RejectedVersion: 4,
		RejectReason: "limits: no", AgeMs: 5}
	var text bytes.Buffer
	out := json.NewEncoder(&text)
	for _, v := range []any{
		Accepted{}, Accepted{Version: 2, Status: "SERVING", LeaseMs: 5000},
		Restored{Epoch: "5f0e", Version: 2, Endpoints: 3},
		ErrorBody{Error: "no"}, ErrorBody{Error: "no", Code: "ended"},
		ConfigErrorBody{}, ConfigErrorBody{ErrorBody: ErrorBody{Error: "no", Code: "conflict"}, Key: "limits", Remedy: "look", Version: 7},
		ServiceConfig{}, ServiceConfig{Service: "shop", Epoch: "5f0e", Version: 7, Previous: 6, Document: json.RawMessage(`{"a":1}`)},
		[]rollout.ProxyReport{{}, report},
		ProxyStatus{State: StateRejected, ProxyReport: report},
		ConfigStatus{}, ConfigStatus{Service: "shop", Epoch: "5f0e", Version: 7, Partial: true, Silent: []string{"r2"},
			Counts: map[string]int{StateApplied: 1, StateBehind: 2, StateRejected: 3, StateUnknown: 4}, Lowest: 5, Highest: 6,
			Proxies: []ProxyStatus{{State: StateBehind, ProxyReport: report}}},
	} {
		if err := out.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	for _, reports := range [][]rollout.ProxyReport{nil,
		{{Name: "a", AppliedVersion: 7}, {Name: "b", AppliedVersion: 6, RejectedVersion: 7},
			{Name: "c", AppliedVersion: 5},
			{Name: "d", AppliedVersion: 7, AgeMs: 15_000}}} {
		for _, all := range []bool{false, true} {
			st := ConfigStatus{Version: 7}
			st.fill(reports, all)
			if err := out.Encode(st); err != nil {
				t.Fatal(err)
			}
		}
	}
	const path = "testdata/answers.golden"
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text.Bytes(), want) {
		t.Errorf("got\n%s\nnot\n%s", text.Bytes(), want)
	}
}
