package fanout

import (
	"bytes"
	"os"
	"testing"

	"fernlanding/internal/roster/state"
)

// The published list and changes are byte for byte what earlier versions sent.
func TestPublishedFormIsAsBefore(t *testing.T) {
	src := &source{state.New()}
	hub := New(src)
	var text bytes.Buffer
	text.Write(hub.Whole())
	apply := func(c state.Command) {
		if r := src.Apply(c); r.End != state.Done {
			t.Fatal(r)
		}
	}
	apply(state.Command{Kind: state.Begin, Line: "5f0e", Base: 1 << 40})
	text.Write(hub.Whole())
	for _, name := range []string{"n1", "n2", "n3"} {
		apply(state.Command{Kind: state.Register, Record: &state.Record{Instance: "i1", LeaseMs: 5000, Entry: state.Entry{
			Name: name, Address: "10.0.0.1:80", Zone: "a<&>", Type: "web", Group: 2, Status: state.Serving, Weight: 0.5,
			Since: 1_700_000_000_000}}})
	}
	apply(state.Command{Kind: state.Drain, Refs: []state.Ref{{Name: "n2", Instance: "i1"}}})
	apply(state.Command{Kind: state.Deregister, Refs: []state.Ref{{Name: "n3", Instance: "i1"}}})
	text.Write(hub.Whole())
	for back := range int64(8) {
		text.Write(hub.Since(src.Index() - back))
	}
	text.Write(hub.Since(src.Index() + 1))

	const path = "testdata/published.golden"
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text.Bytes(), want) {
		t.Errorf("got\n%s\nnot\n%s", text.Bytes(), want)
	}
}
