package raftnode

import (
	"encoding/json"
	"testing"

	"merlinpick/internal/registry/state"
)

// A member that lacks a write of a configuration is not up to date, although such a write creates no version
// of the list.
func TestReadIndexCoversConfigurations(t *testing.T) {
	stateAfter := func(services ...string) *state.State {
		s := state.New()
		s.Apply(state.Command{Kind: state.CommandBegin, Epoch: "l", FirstVersion: 100})
		for _, service := range services {
			current, _ := s.Configuration(service)
			configure := state.Command{Kind: state.CommandConfigure, Service: service, After: current.Version, Document: json.RawMessage(`{}`)}
			if r := s.Apply(configure); r.Code != state.ResultDone {
				t.Fatal(r)
			}
		}
		return s
	}
	leader := stateAfter("a", "b", "a")
	index := ReadIndex{Epoch: leader.Epoch(), Version: leader.Version(), Configs: leader.ConfigRevision()}
	for _, c := range []struct {
		services []string
		covered  bool
	}{{nil, false}, {[]string{"a"}, false}, {[]string{"a", "b"}, false}, {[]string{"a", "b", "a"}, true}, {[]string{"a", "b", "a", "b"}, true}} {
		if s := stateAfter(c.services...); index.coveredBy(s) != c.covered {
			t.Errorf("after writes of %v: covered is %v", c.services, !c.covered)
		}
	}
	for _, c := range []struct {
		index   ReadIndex
		covered bool
	}{{ReadIndex{Epoch: "l", Version: 100}, true}, {ReadIndex{Epoch: "m", Version: 100}, false}, {ReadIndex{Epoch: "l", Version: 101}, false}} {
		if c.index.coveredBy(stateAfter()) != c.covered {
			t.Errorf("%+v: covered is %v", c.index, !c.covered)
		}
	}
}
