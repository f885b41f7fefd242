package run

import (
	"errors"
	"strings"
	"testing"

	"merlinpick/experiments"
	"merlinpick/internal/faultlab/experiment"
)

// An experiment that needs more of a resource than the machine has is rejected, with the needed and the
// available amount. A machine with 24 GB has enough for the built-in sizes, except for the gossip of 1300
// proxies.
func TestCheckCapacity(t *testing.T) {
	read := func(name string) *experiment.Experiment {
		text, err := experiments.Files.ReadFile(name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		exp, err := experiment.Parse(name, string(text), experiments.Files.ReadFile)
		if err != nil {
			t.Fatal(err)
		}
		return exp
	}
	large := machine{memory: 20 << 30, files: 20000, cores: 8}
	for _, test := range []struct {
		name         string
		file         string
		m            machine
		change       func(*experiment.Experiment)
		wantResource string // part of the resource's name; empty if there is enough
	}{
		{"30", "scale-30", large, nil, ""},
		{"1300", "scale-1300", large, nil, ""},
		{"none hollow", "wide", machine{}, nil, ""},
		{"little memory", "scale-1300", machine{memory: 1 << 30, files: 20000, cores: 8}, nil, "MB of memory"},
		{"few descriptors", "scale-1300", machine{memory: 20 << 30, files: 1024, cores: 8}, nil, "descriptors"},
		{"a fleet of 300", "scale-fleet-300", large, nil, ""},
		{"a fleet of 1300", "scale-fleet-1300", large, nil, "cores"},
		{"over half", "scale-1300", large, func(exp *experiment.Experiment) { exp.Hollow.Proxies, exp.Hollow.Servers = 5000, 5000 }, "MB of memory"},
		{"many processes", "scale-30", large, func(exp *experiment.Experiment) { exp.Zones[0].Proxies = 290 }, "processes"},
	} {
		exp := read(test.file)
		if test.change != nil {
			test.change(exp)
		}
		err := checkCapacity(exp, test.m)
		var missing *CapacityError
		switch {
		case test.wantResource == "" && err != nil:
			t.Errorf("%s: %v", test.name, err)
		case test.wantResource != "" && (!errors.As(err, &missing) ||
			!strings.Contains(missing.Resource, test.wantResource) ||
			missing.Needed <= missing.Available || missing.Remedy == ""):
			t.Errorf("%s: got error %v, want one for too few %s", test.name, err, test.wantResource)
		}
	}
}
