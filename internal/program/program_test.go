package program

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"merlinpick/balancer"
	"merlinpick/internal/config"
	"merlinpick/internal/proxy"
)

// validConfig is a configuration file with an unknown key, which is ignored.
const validConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":4,"snapshot":true,"endpoints":[]},` +
	`"later":1,"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,` +
	`"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":8,"name":"look","objective_us":4,` +
	`"repeat":"idempotent","worth":1}],"siblings":1}}`

// TestSIGHUPReloadsConfiguration checks that SIGHUP applies the configuration file completely or not at all,
// and that each reload is counted.
func TestSIGHUPReloadsConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string { return map[string]string{"LB_CONFIG": path}[name] }
	hangups := make(chan os.Signal)
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	file, err := config.Load(env, nil)
	if err != nil {
		t.Fatal(err)
	}
	p := fakeProxy{applied: make(chan proxy.Config, 1), reloaded: make(chan bool, 1)}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r := &reloader{proxy: p, file: file, active: file, env: env, log: slog.New(slog.DiscardHandler)}
		r.run(ctx, hangups, nil)
	}()
	twoClasses := strings.Replace(validConfig, `"profiles":[`,
		`"profiles":[{"give_up_us":8,"name":"buy","objective_us":4,`+`"repeat":"at_most_once","worth":1},`, 1)
	for _, c := range []struct {
		name, text string
		classes    int // 0: rejected
	}{
		{"empty", "", 0},
		{"truncated", validConfig[:len(validConfig)/2], 0},
		{"not JSON", "{", 0},
		{"the same", validConfig, 1},
		{"one more class", twoClasses, 2},
		{"a deadline of 0", strings.Replace(twoClasses, `"give_up_us":8`, `"give_up_us":0`, 1), 0},
		{"a negative deadline", strings.Replace(twoClasses, `"give_up_us":8`, `"give_up_us":-5`, 1), 0},
		{"no attempts", strings.Replace(twoClasses, `"try_limit":3`, `"try_limit":0`, 1), 0},
		{"without limits",
			strings.Replace(twoClasses, `"limits":{"cores":1.0,"memory_mb":192,"sockets":512},`, ``, 1), 0},
		{"without worth", strings.Replace(twoClasses, `,"worth":1`, ``, 1), 0},
		{"without the name of a class", strings.Replace(twoClasses, `"name":"buy",`, ``, 1), 0},
		{"without an endpoint list",
			strings.Replace(twoClasses, `"known":{"index":4,"snapshot":true,"endpoints":[]},`, ``, 1), 2},
		{"no classes", strings.Replace(validConfig, `"profiles":[{`, `"profiles":[],"former":[{`, 1), 0},
		{"discovery elsewhere", strings.Replace(validConfig, "127.0.0.1:1", "127.0.0.1:2", 1), 1},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		hangups <- syscall.SIGHUP
		if got := <-p.reloaded; got != (c.classes > 0) {
			t.Errorf("%s: applied is %v, want %v", c.name, got, c.classes > 0)
		}
		select {
		case cfg := <-p.applied:
			if len(cfg.Site.Classes) != c.classes {
				t.Errorf("%s: got the classes %v, want %d of them", c.name, cfg.Site.Classes, c.classes)
			}
		default:
			if c.classes > 0 {
				t.Errorf("%s: no configuration was applied", c.name)
			}
		}
	}
	stop()
	<-done
}

// fakeProxy passes each applied configuration to loaded, and the result of each reload to reloaded.
type fakeProxy struct {
	applied  chan proxy.Config
	reloaded chan bool
}

func (p fakeProxy) Reload(cfg proxy.Config) error {
	_, err := balancer.New(cfg.Site.Balancer, 1) // validates the settings as the balancer does
	if err == nil {
		p.applied <- cfg
	}
	return err
}

func (p fakeProxy) RecordReload(applied bool) { p.reloaded <- applied }
