package run

import (
	"errors"
	"strings"
	"testing"

	"merlinpick/experiments"
	"merlinpick/internal/faultlab/experiment"
)

// A size that a machine can't bear is refused with the need and what there is; the sizes that come with the
// lab are borne by a machine of 24 GB.
func TestCheckCapacity(t *testing.T) {
	open := func(name string) *experiment.Experiment {
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
		name string
		of   string
		m    machine
		but  func(*experiment.Experiment)
		what string
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
		exp := open(test.of)
		if test.but != nil {
			test.but(exp)
		}
		err := checkCapacity(exp, test.m)
		var need *NeedError
		switch {
		case test.what == "" && err != nil:
			t.Errorf("%s: %v", test.name, err)
		case test.what != "" && (!errors.As(err, &need) || !strings.Contains(need.What, test.what) || need.Need <= need.Has || need.Remedy == ""):
			t.Errorf("%s: %v, want a need of %s", test.name, err, test.what)
		}
	}
}
