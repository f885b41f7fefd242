package raftnode

import (
	"encoding/json"
	"testing"

	"merlinpick/internal/registry/state"
)

// A member whose list is current and that lacks a put of a configuration is not current: puts make no version of the list.
func TestAProofIsOfConfigurationsToo(t *testing.T) {
	begun := func(puts ...string) *state.State {
		s := state.New()
		s.Apply(state.Command{Kind: state.CommandBegin, Epoch: "l", FirstVersion: 100})
		for _, service := range puts {
			was, _ := s.Configuration(service)
			if r := s.Apply(state.Command{Kind: state.CommandConfigure, Service: service, After: was.Version, Document: json.RawMessage(`{}`)}); r.Code != state.ResultDone {
				t.Fatal(r)
			}
		}
		return s
	}
	leader := begun("a", "b", "a")
	p := ReadIndex{Epoch: leader.Epoch(), Version: leader.Version(), Configs: leader.ConfigRevision()}
	for _, c := range []struct {
		puts  []string
		holds bool
	}{{nil, false}, {[]string{"a"}, false}, {[]string{"a", "b"}, false}, {[]string{"a", "b", "a"}, true}, {[]string{"a", "b", "a", "b"}, true}} {
		if s := begun(c.puts...); p.coveredBy(s) != c.holds {
			t.Errorf("after %v: %v", c.puts, !c.holds)
		}
	}
	if !(ReadIndex{Epoch: "l", Version: 100}).coveredBy(begun()) || (ReadIndex{Epoch: "m", Version: 100}).coveredBy(begun()) || (ReadIndex{Epoch: "l", Version: 101}).coveredBy(begun()) {
		t.Error("the list's part of a proof")
	}
}
