package watch

import (
	"bytes"
	"os"
	"testing"

	"merlinpick/internal/registry/state"
)

// The published list and changes are byte for byte those of earlier versions.
func TestPublishedFormMatchesGolden(t *testing.T) {
	src := &source{state.New()}
	hub := New(src)
	var text bytes.Buffer
	text.Write(hub.Snapshot())
	apply := func(c state.Command) {
		if r := src.Apply(c); r.Code != state.ResultDone {
			t.Fatal(r)
		}
	}
	apply(state.Command{Kind: state.CommandBegin, Epoch: "5f0e", FirstVersion: 1 << 40})
	text.Write(hub.Snapshot())
	for _, name := range []string{"n1", "n2", "n3"} {
		apply(state.Command{Kind: state.CommandRegister, Record: &state.Record{Instance: "i1", LeaseMs: 5000, Endpoint: state.Endpoint{
			Name: name, Address: "10.0.0.1:80", Zone: "a<&>", Type: "web", Cell: 2, Status: state.StatusServing, Weight: 0.5,
			StartedAtMs: 1_700_000_000_000}}})
	}
	apply(state.Command{Kind: state.CommandDrain, Refs: []state.InstanceRef{{Name: "n2", Instance: "i1"}}})
	apply(state.Command{Kind: state.CommandDeregister, Refs: []state.InstanceRef{{Name: "n3", Instance: "i1"}}})
	text.Write(hub.Snapshot())
	for back := range int64(8) {
		text.Write(hub.ChangesSince(src.State.Version() - back))
	}
	text.Write(hub.ChangesSince(src.State.Version() + 1))

	const path = "testdata/published.golden"
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text.Bytes(), want) {
		t.Errorf("got\n%s\nnot\n%s", text.Bytes(), want)
	}
}
