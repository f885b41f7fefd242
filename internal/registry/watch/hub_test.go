package watch

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"merlinpick/internal/registry/state"
)

// source implements Source on a state without a raft node.
type source struct{ *state.State }

func (s *source) Version() (string, int64) { return s.Epoch(), s.State.Version() }

func (s *source) Snapshot() (string, int64, []state.Endpoint) {
	var out []state.Endpoint
	for _, r := range s.Records() {
		out = append(out, r.Endpoint)
	}
	return s.Epoch(), s.State.Version(), out
}

func (s *source) Changes(from int64) (string, int64, []state.Change, bool) {
	c, ok := s.State.Changes(from)
	return s.Epoch(), s.State.Version(), c, ok
}

// follower is a client that knows only what the responses contain.
type follower struct {
	epoch     string
	version   int64
	endpoints map[string]state.Endpoint
}

func (f *follower) apply(t *rapid.T, body []byte) {
	var a struct {
		Index     int64
		Line      string
		Snapshot  bool
		Endpoints []state.Endpoint
	}
	if err := json.Unmarshal(body, &a); err != nil {
		t.Fatalf("%s: %v", body, err)
	}
	if a.Index < f.version {
		t.Fatalf("version %d of epoch %q after %d of %q", a.Index, a.Line, f.version, f.epoch)
	}
	if !a.Snapshot && a.Line != f.epoch {
		t.Fatalf("changes of epoch %q to a client of epoch %q", a.Line, f.epoch)
	}
	if a.Snapshot {
		f.endpoints = map[string]state.Endpoint{}
	}
	for _, e := range a.Endpoints {
		if e.Status == state.StatusDeleted {
			if a.Snapshot {
				t.Fatalf("a whole list with %+v", e)
			}
			delete(f.endpoints, e.Name)
			continue
		}
		f.endpoints[e.Name] = e
	}
	f.epoch, f.version = a.Line, a.Index
}

// A client that follows the protocol has the same list as a model, a plain map, and its versions never
// decrease: across repeated commands, restores as another epoch, and members that retain no changes after
// they loaded a snapshot.
func TestFollowersMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src := &source{state.New()}
		src.Apply(state.Command{Kind: state.CommandBegin, Epoch: "line0", FirstVersion: state.FirstVersion(time.Unix(1000, 0), 0)})
		hub := New(src)
		model := map[string]state.Endpoint{}
		instances := map[string]string{}
		var saved []state.Snapshot
		epochs, starts := 0, int64(0)
		followers := []*follower{{endpoints: map[string]state.Endpoint{}}, {endpoints: map[string]state.Endpoint{}}, {endpoints: map[string]state.Endpoint{}}}
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		ref := func(t *rapid.T) []state.InstanceRef {
			n := names.Draw(t, "name")
			return []state.InstanceRef{{Name: n, Instance: instances[n]}}
		}
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				starts++
				n := names.Draw(t, "name")
				r := state.Record{Endpoint: state.Endpoint{Name: n, Address: "127.0.0.1:1", Zone: "z", Status: state.StatusServing, Weight: 1,
					StartedAtMs: starts}, Instance: fmt.Sprint(starts), LeaseMs: 1000}
				c := state.Command{Kind: state.CommandRegister, Record: &r}
				src.Apply(c)
				if rapid.Bool().Draw(t, "again") && src.Apply(c).Changed {
					t.Fatal("a repeated registration created a version")
				}
				model[n], instances[n] = r.Endpoint, r.Instance
			},
			"drain": func(t *rapid.T) {
				r := ref(t)
				src.Apply(state.Command{Kind: state.CommandDrain, Refs: r})
				if e, ok := model[r[0].Name]; ok {
					e.Status = state.StatusDraining
					model[r[0].Name] = e
				}
			},
			"go": func(t *rapid.T) {
				r := ref(t)
				src.Apply(state.Command{Kind: rapid.SampledFrom([]state.CommandKind{state.CommandDeregister, state.CommandExpire}).Draw(t, "kind"), Refs: r})
				delete(model, r[0].Name)
			},
			"save": func(t *rapid.T) { saved = append(saved, src.State.Snapshot()) },
			"load": func(t *rapid.T) { // a member restarts, or loads a snapshot: it retains no changes
				if err := src.Load(src.State.Snapshot()); err != nil {
					t.Fatal(err)
				}
			},
			"restore": func(t *rapid.T) {
				if len(saved) == 0 {
					t.Skip()
				}
				i := rapid.SampledFrom(saved).Draw(t, "snapshot")
				epochs++
				i.Epoch, i.Version = fmt.Sprint("line", epochs),
					state.FirstVersion(time.Unix(1000, 0), src.State.Version())
				if err := src.Load(i); err != nil {
					t.Fatal(err)
				}
				clear(model)
				for _, r := range i.Records {
					model[r.Name], instances[r.Name] = r.Endpoint, r.Instance
				}
			},
			"follow": func(t *rapid.T) {
				f := rapid.SampledFrom(followers).Draw(t, "follower")
				if f.epoch == "" || f.epoch != src.Epoch() { // as the API decides it
					f.apply(t, hub.Snapshot())
				} else {
					f.apply(t, hub.ChangesSince(f.version))
				}
				if !maps.Equal(f.endpoints, model) {
					t.Fatalf("the client has %v, want %v", f.endpoints, model)
				}
			},
			"": func(t *rapid.T) {
				_, _, all := src.Snapshot()
				if len(all) != len(model) {
					t.Fatalf("the list is %v, the model %v", all, model)
				}
			},
		})
	})
}

// All clients at one version share one encoded response.
func TestOneEncodingPerVersion(t *testing.T) {
	src := &source{state.New()}
	src.Apply(state.Command{Kind: state.CommandBegin, Epoch: "l", FirstVersion: 100})
	hub := New(src)
	r := state.Record{Endpoint: state.Endpoint{Name: "n", Address: "127.0.0.1:1", Status: state.StatusServing, Weight: 1}, Instance: "i", LeaseMs: 1000}
	src.Apply(state.Command{Kind: state.CommandRegister, Record: &r})
	first := hub.ChangesSince(100)
	for range 1000 {
		if b := hub.ChangesSince(100); &b[0] != &first[0] {
			t.Fatal("ChangesSince encoded the response for the same version again")
		}
	}
	if n := hub.Encoded(); n != 1 {
		t.Errorf("%d encodings", n)
	}
}
