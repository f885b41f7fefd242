package fanout

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fernlanding/internal/roster/state"
)

// source is a state without a member round it.
type source struct{ *state.State }

func (s *source) Version() (string, int64) { return s.Line(), s.Index() }

func (s *source) Whole() (string, int64, []state.Entry) {
	var out []state.Entry
	for _, r := range s.Records() {
		out = append(out, r.Entry)
	}
	return s.Line(), s.Index(), out
}

func (s *source) Changes(from int64) (string, int64, []state.Change, bool) {
	c, ok := s.State.Changes(from)
	return s.Line(), s.Index(), c, ok
}

// follower is a caller that knows what it was told and nothing else.
type follower struct {
	line  string
	index int64
	list  map[string]state.Entry
}

func (f *follower) take(t *rapid.T, body []byte) {
	var a struct {
		Index     int64
		Line      string
		Snapshot  bool
		Endpoints []state.Entry
	}
	if err := json.Unmarshal(body, &a); err != nil {
		t.Fatalf("%s: %v", body, err)
	}
	if a.Index < f.index {
		t.Fatalf("version %d of line %q after %d of %q", a.Index, a.Line, f.index, f.line)
	}
	if !a.Snapshot && a.Line != f.line {
		t.Fatalf("changes of line %q to one that is on %q", a.Line, f.line)
	}
	if a.Snapshot {
		f.list = map[string]state.Entry{}
	}
	for _, e := range a.Endpoints {
		if e.Status == state.Deleted {
			if a.Snapshot {
				t.Fatalf("a whole list with %+v", e)
			}
			delete(f.list, e.Name)
			continue
		}
		f.list[e.Name] = e
	}
	f.line, f.index = a.Line, a.Index
}

// Whatever happens to the list, a caller that follows by the protocol has what a plain map has, and its versions rise:
// over repeats, restores into another line, and members that know no changes since they loaded a snapshot.
func TestFollowersHaveTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src := &source{state.New()}
		src.Apply(state.Command{Kind: state.Begin, Line: "line0", Base: state.Base(time.Unix(1000, 0), 0)})
		hub := New(src)
		model := map[string]state.Entry{}
		instances := map[string]string{}
		var saved []state.Image
		lines, starts := 0, int64(0)
		followers := []*follower{{list: map[string]state.Entry{}}, {list: map[string]state.Entry{}}, {list: map[string]state.Entry{}}}
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		ref := func(t *rapid.T) []state.Ref {
			n := names.Draw(t, "name")
			return []state.Ref{{Name: n, Instance: instances[n]}}
		}
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				starts++
				n := names.Draw(t, "name")
				r := state.Record{Entry: state.Entry{Name: n, Address: "127.0.0.1:1", Zone: "z", Status: state.Serving, Weight: 1,
					Since: starts}, Instance: fmt.Sprint(starts), LeaseMs: 1000}
				c := state.Command{Kind: state.Register, Record: &r}
				src.Apply(c)
				if rapid.Bool().Draw(t, "again") && src.Apply(c).Changed {
					t.Fatal("a repeat made a version")
				}
				model[n], instances[n] = r.Entry, r.Instance
			},
			"drain": func(t *rapid.T) {
				r := ref(t)
				src.Apply(state.Command{Kind: state.Drain, Refs: r})
				if e, ok := model[r[0].Name]; ok {
					e.Status = state.Draining
					model[r[0].Name] = e
				}
			},
			"go": func(t *rapid.T) {
				r := ref(t)
				src.Apply(state.Command{Kind: rapid.SampledFrom([]string{state.Deregister, state.Expire}).Draw(t, "kind"), Refs: r})
				delete(model, r[0].Name)
			},
			"save": func(t *rapid.T) { saved = append(saved, src.Image()) },
			"load": func(t *rapid.T) { // a member starts again, or is sent a snapshot: it keeps no changes
				if err := src.Load(src.Image()); err != nil {
					t.Fatal(err)
				}
			},
			"restore": func(t *rapid.T) {
				if len(saved) == 0 {
					t.Skip()
				}
				i := rapid.SampledFrom(saved).Draw(t, "image")
				lines++
				i.Line, i.Index = fmt.Sprint("line", lines), state.Base(time.Unix(1000, 0), src.Index())
				if err := src.Load(i); err != nil {
					t.Fatal(err)
				}
				clear(model)
				for _, r := range i.Records {
					model[r.Name], instances[r.Name] = r.Entry, r.Instance
				}
			},
			"follow": func(t *rapid.T) {
				f := rapid.SampledFrom(followers).Draw(t, "follower")
				if f.line == "" || f.line != src.Line() { // as the API decides it
					f.take(t, hub.Whole())
				} else {
					f.take(t, hub.Since(f.index))
				}
				if !maps.Equal(f.list, model) {
					t.Fatalf("told %v, and it is %v", f.list, model)
				}
			},
			"": func(t *rapid.T) {
				_, _, all := src.Whole()
				if len(all) != len(model) {
					t.Fatalf("the list is %v, the model %v", all, model)
				}
			},
		})
	})
}

// Callers at one version share one answer, however many they are.
func TestOneEncodingForAll(t *testing.T) {
	src := &source{state.New()}
	src.Apply(state.Command{Kind: state.Begin, Line: "l", Base: 100})
	hub := New(src)
	r := state.Record{Entry: state.Entry{Name: "n", Address: "127.0.0.1:1", Status: state.Serving, Weight: 1}, Instance: "i", LeaseMs: 1000}
	src.Apply(state.Command{Kind: state.Register, Record: &r})
	first := hub.Since(100)
	for range 1000 {
		if b := hub.Since(100); &b[0] != &first[0] {
			t.Fatal("another answer to the same question")
		}
	}
	if n := hub.Encoded(); n != 1 {
		t.Errorf("%d encodings", n)
	}
}
