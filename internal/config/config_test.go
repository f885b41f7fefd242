package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validConfig is a valid configuration with an unknown key, which is ignored.
const validConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":4,"snapshot":true,"endpoints":[]},` +
	`"later":1,"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,` +
	`"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":8,"name":"look","objective_us":4,` +
	`"repeat":"idempotent","worth":1}],"siblings":1}}`

// environment writes text to a configuration file. It returns an environment in which LB_CONFIG names the file and
// the other variables have the values in variables.
func environment(t *testing.T, text string, variables map[string]string) func(string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return func(name string) string {
		if name == "LB_CONFIG" {
			return path
		}
		return variables[name]
	}
}

// TestLoad checks from where each value of the configuration is taken: the file or an environment variable.
func TestLoad(t *testing.T) {
	env := map[string]string{"LB_LISTEN": "127.0.0.1:9", "LB_DISCOVERY": "127.0.0.1:6", "LB_MGMT": "127.0.0.1:8"}
	for _, c := range []struct {
		old, new                string
		env                     map[string]string
		listen, discovery, mgmt string
	}{
		{"", "", nil, "127.0.0.1:0", "127.0.0.1:1", ""},
		{"", "", env, "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:8"},
		{`"listen":"127.0.0.1:0","discovery":"127.0.0.1:1",`, "", env, "127.0.0.1:9", "127.0.0.1:6", "127.0.0.1:8"},
		{"{", `{"mgmt":"127.0.0.1:7",`, env, "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:7"},
	} {
		got, err := Load(environment(t, strings.Replace(validConfig, c.old, c.new, 1), c.env), nil)
		if err != nil {
			t.Fatalf("%+v: %v", c, err)
		}
		if p := got.Proxy; p.Listen != c.listen || p.Discovery.Address != c.discovery || got.ManagementAddress != c.mgmt ||
			p.Managed != (c.mgmt != "") || p.MaxDescriptors != 512 || got.MemoryMB != 192 || p.InitialList.Version != 4 || p.Cluster != nil {
			t.Errorf("%+v: got %+v", c, got)
		}
	}
}

// TestErrorsNameFileKeyProblemAndRemedy checks that the error about an invalid configuration names the file,
// the key, the problem and a remedy in one line.
func TestErrorsNameFileKeyProblemAndRemedy(t *testing.T) {
	for _, c := range []struct{ old, new, key, problem string }{
		{validConfig, ``, "", "unexpected end"},
		{`"listen":"127.0.0.1:0",`, ``, "listen", "missing"},
		{`"discovery":"127.0.0.1:1",`, ``, "discovery", "missing"},
		{`"seed"`, `"discovery_members":["127.0.0.1:1","here"],"seed"`, "discovery_members[1]", "missing port"},
		{`"seed"`, `"discovery_state":"/tmp/x","seed"`, "discovery_state", "needs discovery_members"},
		{`8c1f30d27a5be964`, `sesame`, "seed", "sesame"},
		{`"sockets":512`, `"sockets":-1`, "limits.sockets", "negative"},
		{`"sockets":512`, `"sockets":"many"`, "limits.sockets", "JSON string"},
		{`"seed"`, `"config_service":"tarifas","seed"`, "config_service", "needs discovery_members"},
		{`"seed"`, `"config_service":"a b","discovery_members":["127.0.0.1:1"],"seed"`, "config_service", "without spaces"},
		{`"name":"n3",`, `"config_service":"tarifas","discovery_members":["127.0.0.1:1"],`, "name", "tell proxies apart"},
		{`"n3"`, `"` + strings.Repeat("n", 101) + `","config_service":"tarifas","discovery_members":["127.0.0.1:1"]`, "name", "101 bytes"},
		{`"endpoints":[]`, `"endpoints":[{}]`, "known", "endpoints[0]"},
		{`"name":"look",`, ``, "settings.profiles[0].name", "missing"},
		{`"worth":1`, `"worth":"all"`, "settings.profiles.worth", "JSON string"},
		{`"settings"`, `"setting"`, "settings", "missing"},
		{`"automatic"`, `"never"`, "settings.membership_mode", `"never"`},
		{`"later"`, `"fleet":{"label":"x"},"later"`, "fleet", "built without"},
	} {
		env := environment(t, strings.Replace(validConfig, c.old, c.new, 1), nil)
		_, err := Load(env, nil)
		var configErr *Error
		if !errors.As(err, &configErr) || configErr.File != env("LB_CONFIG") || configErr.Key != c.key ||
			!strings.Contains(configErr.Problem, c.problem) || configErr.Remedy == "" ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%q in place of %q: got error %v, want key %q and a problem with %q",
				c.new, c.old, err, c.key, c.problem)
		}
	}
	for _, path := range []string{"", filepath.Join(t.TempDir(), "none")} {
		var configErr *Error
		if _, err := Load(func(string) string { return path }, nil); !errors.As(err, &configErr) ||
			configErr.File != path || configErr.Remedy == "" {
			t.Errorf("with LB_CONFIG=%q: got error %v", path, err)
		}
	}
}

// TestReloadRejectsMissingKeys checks that a reload rejects a file that lacks a key of the previous one,
// since it may be truncated. Values may change, and the initial endpoint list may be absent.
func TestReloadRejectsMissingKeys(t *testing.T) {
	previous, err := Load(environment(t, validConfig, nil), nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, key string }{
		{`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},`, ``, "limits"},
		{`,"worth":1`, ``, "settings.profiles[0].worth"},
		{`"later":1,`, ``, "later"},
		{`"known":{"index":4,"snapshot":true,"endpoints":[]},`, ``, ""},
		{`"try_limit":3`, `"try_limit":4`, ""},
	} {
		next, err := Reload(environment(t, strings.Replace(validConfig, c.old, c.new, 1), nil), previous)
		var configErr *Error
		if c.key == "" && (err != nil || next == nil) || c.key != "" &&
			(!errors.As(err, &configErr) || configErr.Key != c.key || configErr.File == "") {
			t.Errorf("%q in place of %q: got error %v, want key %q", c.new, c.old, err, c.key)
		}
	}
}

// FuzzParse checks that any text is either decoded or rejected with an *Error that has a remedy.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte(`{"listen":"a:1","discovery":"a:2","seed":"1","settings":null,"fleet":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := parse(text, func(string) string { return "" }, nil)
		var configErr *Error
		switch {
		case err == nil && (c == nil || c.Proxy.Cluster != nil):
			t.Errorf("decoded as %+v without an error, want no cluster", c)
		case err != nil && (!errors.As(err, &configErr) || c != nil || configErr.Problem == "" ||
			configErr.Remedy == ""):
			t.Errorf("got %+v and error %v, want an *Error with a problem and a remedy", c, err)
		}
	})
}
