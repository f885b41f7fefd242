package raftnode

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"merlinpick/internal/registry/state"
)

// The JSON responses about a member are byte for byte those of earlier versions.
func TestMemberAnswersMatchGolden(t *testing.T) {
	left := int64(1234)
	record := state.Record{Instance: "i1", LeaseMs: 5000, Endpoint: state.Endpoint{Name: "n1", Address: "10.0.0.1:80", Zone: "a",
		Type: "web", Cell: 2, Status: state.StatusServing, Weight: 0.5, StartedAtMs: 1_700_000_000_000}}
	var text bytes.Buffer
	out := json.NewEncoder(&text)
	for _, v := range []any{
		ReadIndex{}, ReadIndex{Epoch: "5f0e", Version: 2, Commit: 3, Configs: 4},
		[]EndpointStatus{{Record: record}, {Record: record, LeaseLeftMs: &left}},
		Status{}, WaitingStatus("r1"),
		Status{Name: "r1", Role: "leader", Leader: "r1", Term: 2, Epoch: "5f0e", Version: 3, Endpoints: 4, AgeMs: 5, Serving: true,
			Abstains: true, Empty: true, SupportsConfigs: true, HeldLeases: 6, HeldZones: 7, ExpiredLeases: 8, Configurations: 9},
	} {
		if err := out.Encode(v); err != nil {
			t.Fatal(err)
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
