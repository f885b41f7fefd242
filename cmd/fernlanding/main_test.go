package main

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"fernlanding/internal/proxy"
	"fernlanding/logic"
)

const good = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":4,"snapshot":true,"endpoints":[]},` +
	`"later":1,"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,` +
	`"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":8,"name":"look","objective_us":4,` +
	`"repeat":"idempotent","worth":1}],"siblings":1}}`

func loadText(t *testing.T, text string, env map[string]string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, _, err := load(func(name string) string {
		if name == "LB_CONFIG" {
			return path
		}
		return env[name]
	})
	return cfg.Listen, err
}

func TestTheConfigurationIsRead(t *testing.T) {
	if listen, err := loadText(t, good, nil); err != nil || listen != "127.0.0.1:0" {
		t.Errorf("got %q, %v", listen, err)
	}
	bare := strings.Replace(good, `"listen":"127.0.0.1:0",`, "", 1)
	if listen, err := loadText(t, bare, map[string]string{"LB_LISTEN": "127.0.0.1:9"}); err != nil || listen != "127.0.0.1:9" {
		t.Errorf("got %q, %v", listen, err)
	}
}

func TestABadConfigurationIsOneLine(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{good, ``, "unexpected end"},
		{`"listen":"127.0.0.1:0",`, ``, "listen or discovery"},
		{`"seed"`, `"discovery_members":["127.0.0.1:1","here"],"seed"`, "discovery_members[1]"},
		{`"seed"`, `"discovery_state":"/tmp/x","seed"`, "discovery_state: needs discovery_members"},
		{`8c1f30d27a5be964`, `sesame`, "seed"},
		{`"sockets":512`, `"sockets":-1`, "limits"},
		{`"endpoints":[]`, `"endpoints":[{}]`, "known"},
		{`"name":"look",`, ``, "profiles[0].name"},
		{`"settings"`, `"setting"`, "settings is missing"},
		{`"automatic"`, `"never"`, "membership_mode"},
	} {
		_, err := loadText(t, strings.Replace(good, c.old, c.new, 1), nil)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: got %v", c.new, c.old, err)
		}
	}
	if _, _, err := load(func(string) string { return "" }); err == nil {
		t.Error("no LB_CONFIG is no error")
	}
}

// SIGHUP puts a whole configuration in force, or nothing of it; each is counted.
func TestSIGHUPReadsTheConfigurationAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string { return map[string]string{"LB_CONFIG": path}[name] }
	hup := make(chan os.Signal)
	p := fakeProxy{loaded: make(chan proxy.Config, 1), reloaded: make(chan bool, 1)}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reload(ctx, hup, p, []byte(good), env, slog.New(slog.DiscardHandler))
	}()
	more := strings.Replace(good, `"profiles":[`, `"profiles":[{"give_up_us":8,"name":"buy","objective_us":4,`+
		`"repeat":"at_most_once","worth":1},`, 1)
	for _, c := range []struct {
		name, text string
		classes    int // 0: turned down
	}{
		{"empty", "", 0},
		{"cut off", good[:len(good)/2], 0},
		{"no JSON", "{", 0},
		{"the same", good, 1},
		{"a class more", more, 2},
		{"a deadline of 0", strings.Replace(more, `"give_up_us":8`, `"give_up_us":0`, 1), 0},
		{"a negative deadline", strings.Replace(more, `"give_up_us":8`, `"give_up_us":-5`, 1), 0},
		{"no attempts", strings.Replace(more, `"try_limit":3`, `"try_limit":0`, 1), 0},
		{"short of limits", strings.Replace(more, `"limits":{"cores":1.0,"memory_mb":192,"sockets":512},`, ``, 1), 0},
		{"short of worth", strings.Replace(more, `,"worth":1`, ``, 1), 0},
		{"short of a class's name", strings.Replace(more, `"name":"buy",`, ``, 1), 0},
		{"short of the list", strings.Replace(more, `"known":{"index":4,"snapshot":true,"endpoints":[]},`, ``, 1), 2},
		{"no classes", strings.Replace(good, `"profiles":[{`, `"profiles":[],"former":[{`, 1), 0},
		{"discovery elsewhere", strings.Replace(good, "127.0.0.1:1", "127.0.0.1:2", 1), 1},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		hup <- syscall.SIGHUP
		if got := <-p.reloaded; got != (c.classes > 0) {
			t.Errorf("%s: taken %v", c.name, got)
		}
		select {
		case cfg := <-p.loaded:
			if len(cfg.Site.Classes) != c.classes {
				t.Errorf("%s: classes %v", c.name, cfg.Site.Classes)
			}
		default:
			if c.classes > 0 {
				t.Errorf("%s: nothing was put in force", c.name)
			}
		}
	}
	stop()
	<-ended
}

// fakeProxy notes what a reload does.
type fakeProxy struct {
	loaded   chan proxy.Config
	reloaded chan bool
}

func (p fakeProxy) Reload(cfg proxy.Config) error {
	_, err := logic.New(cfg.Site.Logic, 1) // as the module would judge them
	if err == nil {
		p.loaded <- cfg
	}
	return err
}

func (p fakeProxy) Reloaded(taken bool) { p.reloaded <- taken }

func TestTheManagementAddressIsReadAndMayBeLeftOut(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	for _, c := range []struct{ key, env, want string }{
		{"", "", ""}, {"", "127.0.0.1:8", "127.0.0.1:8"}, {`"mgmt":"127.0.0.1:7",`, "127.0.0.1:8", "127.0.0.1:7"},
	} {
		if err := os.WriteFile(path, []byte("{"+c.key+good[1:]), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, lim, err := load(func(name string) string {
			return map[string]string{"LB_CONFIG": path, "LB_MGMT": c.env}[name]
		})
		if err != nil || lim.mgmt != c.want || cfg.Watched != (c.want != "") {
			t.Errorf("%+v: got %q, watched %v, %v", c, lim.mgmt, cfg.Watched, err)
		}
	}
}
