package config

import (
	"errors"
	"strings"
	"testing"
)

const threeMembers = `name = "r1"
[[member]]
name = "r1"
raft = "127.0.0.1:1"
list = "127.0.0.1:2"
[[member]]
name = "r2"
raft = "127.0.0.1:3"
list = "127.0.0.1:4"
[[member]]
name = "r3"
raft = "127.0.0.1:5"
list = "127.0.0.1:6"
`

// All faults of a file are reported at once, with file and key.
func TestParseReportsAllFaults(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"whole": {threeMembers, nil},
		"empty": {"", nil},
		"unknown": {"nmae = 1\nlease.prat = 2\n",
			[]string{"f: nmae: unknown key", "f: lease.prat: unknown key"}},
		"no TOML": {"name = \n", []string{"f:1:"}},
		"not a member": {strings.Replace(threeMembers, `name = "r1"`, `name = "r9"`, 1),
			[]string{`f: name: "r9" is not among the members`}},
		"twice": {strings.Replace(threeMembers, `"r3"`, `"r2"`, 1), []string{"f: member[3].name"}},
		"even": {threeMembers + "[[member]]\nname = \"r4\"\nraft = \"127.0.0.1:7\"\nlist = \"127.0.0.1:8\"\n",
			[]string{"f: member: there are 4"}},
		"out of range": {"election_ms = 50\nstale_ms = 100\nwatchers = 0\nlisten = \"x\"\n[lease]\npart = 2.0\npace = 0.0\n",
			[]string{"f: election_ms: at least 100", "f: stale_ms: 100: at least", "f: watchers:", "f: listen:", "f: lease.part:", "f: lease.pace:"}},
	} {
		_, err := Parse("f", c.text)
		if len(c.want) == 0 && err != nil {
			t.Errorf("%s: %v", name, err)
		}
		for _, want := range c.want {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: got %v, want %q", name, err, want)
			}
		}
		if err != nil && strings.Count(err.Error(), "\n")+1 != len(c.want) {
			t.Errorf("%s: got\n%v\nwant %d faults", name, err, len(c.want))
		}
	}
}

// Errors in keys and syntax errors have their own types.
func TestParseErrorsAreTyped(t *testing.T) {
	var fault *Error
	if _, err := Parse("f", "nmae = 1\n"); !errors.As(err, &fault) || fault.File != "f" || fault.Key != "nmae" {
		t.Errorf("unknown key: got %+v, want an *Error with file f and key nmae", fault)
	}
	var syntax *SyntaxError
	if _, err := Parse("f", "name = \"r1\"\n= 1\n"); !errors.As(err, &syntax) || syntax.File != "f" || syntax.Line != 2 {
		t.Errorf("invalid TOML: got %+v, want a *SyntaxError with file f and line 2", syntax)
	}
}
