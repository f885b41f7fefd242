package member

import (
	"encoding/json"
	"testing"

	"fernlanding/internal/roster/state"
)

// A member whose list is current and that lacks a put of a configuration is not current: puts make no version of the list.
func TestAProofIsOfConfigurationsToo(t *testing.T) {
	begun := func(puts ...string) *state.State {
		s := state.New()
		s.Apply(state.Command{Kind: state.Begin, Line: "l", Base: 100})
		for _, service := range puts {
			was, _ := s.Configuration(service)
			if r := s.Apply(state.Command{Kind: state.Configure, Service: service, After: was.Version, Document: json.RawMessage(`{}`)}); r.End != state.Done {
				t.Fatal(r)
			}
		}
		return s
	}
	leader := begun("a", "b", "a")
	p := Proof{Line: leader.Line(), Index: leader.Index(), Configs: leader.ConfigsMark()}
	for _, c := range []struct {
		puts  []string
		holds bool
	}{{nil, false}, {[]string{"a"}, false}, {[]string{"a", "b"}, false}, {[]string{"a", "b", "a"}, true}, {[]string{"a", "b", "a", "b"}, true}} {
		if s := begun(c.puts...); p.holds(s) != c.holds {
			t.Errorf("after %v: %v", c.puts, !c.holds)
		}
	}
	if !(Proof{Line: "l", Index: 100}).holds(begun()) || (Proof{Line: "m", Index: 100}).holds(begun()) || (Proof{Line: "l", Index: 101}).holds(begun()) {
		t.Error("the list's part of a proof")
	}
}
