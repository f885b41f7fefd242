package cluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"merlinpick/internal/config"
)

const configText = `{"name":%q,"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"contract":{},` +
	`"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,"try_limit":3},"membership_mode":"automatic",` +
	`"profiles":[{"give_up_us":8,"name":"look","objective_us":4,"repeat":"idempotent","worth":1}],"siblings":1},"fleet":%s}`

func TestReadSection(t *testing.T) {
	for _, c := range []struct{ more, name, want string }{{"", "n4", "n4"}, {`,"name":"n5"`, "n4", "n5"}} {
		f, _, err := parseSection([]byte(`{"label":"x","bind":"127.0.0.1:9","seeds":["127.0.0.1:8"]`+c.more+`}`), c.name)
		if err != nil {
			t.Fatal(err)
		}
		if f.Name != c.want || f.Label != "x" || f.Bind != "127.0.0.1:9" || !slices.Equal(f.Seeds, []string{"127.0.0.1:8"}) {
			t.Errorf("%+v", f)
		}
	}
}

// Each feature can be disabled by itself.
func TestSectionDisablesFeatures(t *testing.T) {
	for section, want := range map[string][2]bool{`{"label":"x"}`: {false, false}, `{"label":"x","damping":false}`: {true, false},
		`{"label":"x","damping":true,"tuning":false}`: {false, true}} {
		c, _, err := load(t, "n", section, "", ReadConfig)
		if err != nil {
			t.Fatal(err)
		}
		if s := c.Proxy.Site.Balancer; s.DisableFlapDamping != want[0] || s.DisableWeightTuning != want[1] {
			t.Errorf("%s: undamped %t, untuned %t", section, s.DisableFlapDamping, s.DisableWeightTuning)
		}
	}
}

// load reads a complete configuration with this section.
func load(t *testing.T, name, section, env string, reader config.ClusterReader) (*config.Config, string, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, configText, name, section), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := config.Load(func(key string) string { return map[string]string{"LB_CONFIG": path, "LB_NAME": env}[key] }, reader)
	return c, path, err
}

func TestSectionErrorsAreConfigErrors(t *testing.T) {
	for _, c := range []struct{ name, env, section, key, problem string }{
		{"n", "", `{"bind":7}`, "fleet.bind", "JSON number"},
		{"n", "", `7`, "fleet", "JSON number"},
		{"n", "", `{"bind":"here","label":"x"}`, "fleet.bind", "here"},
		{"n", "", `{"bind":"0.0.0.0:9","label":"x"}`, "fleet.bind", "all interfaces"},
		{"n", "", `{"advertise":"h","label":"x"}`, "fleet.advertise", `"h"`},
		{"n", "", `{"seeds":["127.0.0.1:8","127.0.0.1"],"label":"x"}`, "fleet.seeds", `"127.0.0.1"`},
		{"n", "", `{}`, "fleet.label", "missing"},
		{"", "", `{"label":"x"}`, "fleet.name", "missing"},
	} {
		_, path, err := load(t, c.name, c.section, c.env, ReadConfig)
		var fault *config.Error
		if !errors.As(err, &fault) || fault.File != path || fault.Key != c.key || !strings.Contains(fault.Problem, c.problem) ||
			fault.Remedy == "" || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v", c.section, err)
		}
	}
	for _, c := range []struct{ name, env, section string }{{"n", "", `{"label":"x"}`}, {"", "m", `{"label":"x"}`}} {
		got, _, err := load(t, c.name, c.section, c.env, ReadConfig)
		if err != nil || got.Proxy.Cluster == nil || got.Proxy.Cluster.Descriptors == 0 {
			t.Errorf("%+v: %+v, %v", c, got, err)
		}
	}
}

// Any section is read, or its error names a remedy.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"label":"x","bind":"127.0.0.1:9","seeds":["127.0.0.1:8"]}`))
	f.Fuzz(func(t *testing.T, section []byte) {
		c, _, err := parseSection(section, "n")
		var fault *config.Error
		if err == nil && c.Check() != nil || errors.As(err, &fault) && fault.Remedy == "" {
			t.Errorf("%+v, %v", c, err)
		}
	})
}
