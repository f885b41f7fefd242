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

// TestReadSection checks the values of a section, and that its name overrides that of the proxy.
func TestReadSection(t *testing.T) {
	for _, c := range []struct{ more, name, want string }{{"", "n4", "n4"}, {`,"name":"n5"`, "n4", "n5"}} {
		cfg, _, err := parseSection(
			[]byte(`{"label":"x","bind":"127.0.0.1:9","seeds":["127.0.0.1:8"]`+c.more+`}`), c.name)
		if err != nil {
			t.Fatal(err)
		}
		if cfg.Name != c.want || cfg.Label != "x" || cfg.Bind != "127.0.0.1:9" ||
			!slices.Equal(cfg.Seeds, []string{"127.0.0.1:8"}) {
			t.Errorf("the section is parsed as %+v", cfg)
		}
	}
}

// TestSectionDisablesFeatures checks that flap damping and weight tuning can each be disabled separately.
func TestSectionDisablesFeatures(t *testing.T) {
	for section, want := range map[string][2]bool{`{"label":"x"}`: {false, false}, `{"label":"x","damping":false}`: {true, false},
		`{"label":"x","damping":true,"tuning":false}`: {false, true}} {
		c, _, err := load(t, "n", section, "", ReadConfig)
		if err != nil {
			t.Fatal(err)
		}
		if s := c.Proxy.Site.Balancer; s.DisableFlapDamping != want[0] || s.DisableWeightTuning != want[1] {
			t.Errorf("%s: flap damping disabled %t, weight tuning disabled %t", section, s.DisableFlapDamping,
				s.DisableWeightTuning)
		}
	}
}

// load loads a complete configuration with the given name and "fleet" section. env is the value of LB_NAME.
func load(t *testing.T, name, section, env string, reader config.ClusterReader) (*config.Config, string, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, configText, name, section), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := config.Load(func(key string) string { return map[string]string{"LB_CONFIG": path, "LB_NAME": env}[key] }, reader)
	return c, path, err
}

// TestSectionErrorsAreConfigErrors checks that each error names the file, the key, the problem and a remedy,
// and that a name from the configuration or the environment is enough.
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
		var configError *config.Error
		if !errors.As(err, &configError) || configError.File != path || configError.Key != c.key ||
			!strings.Contains(configError.Problem, c.problem) ||
			configError.Remedy == "" || strings.Contains(err.Error(), "\n") {
			t.Errorf("section %s: got error %v", c.section, err)
		}
	}
	for _, c := range []struct{ name, env, section string }{{"n", "", `{"label":"x"}`}, {"", "m", `{"label":"x"}`}} {
		got, _, err := load(t, c.name, c.section, c.env, ReadConfig)
		if err != nil || got.Proxy.Cluster == nil || got.Proxy.Cluster.Descriptors == 0 {
			t.Errorf("%+v: loaded %+v, error %v", c, got, err)
		}
	}
}

// FuzzRead checks that any section is either parsed to a valid configuration or rejected with a remedy.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"label":"x","bind":"127.0.0.1:9","seeds":["127.0.0.1:8"]}`))
	f.Fuzz(func(t *testing.T, section []byte) {
		c, _, err := parseSection(section, "n")
		var configError *config.Error
		if err == nil && c.Check() != nil || errors.As(err, &configError) && configError.Remedy == "" {
			t.Errorf("parsed %+v, error %v", c, err)
		}
	})
}
