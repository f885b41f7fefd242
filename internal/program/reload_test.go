package program

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"merlinpick/internal/atomicfile"
	"merlinpick/internal/config"
	"merlinpick/internal/proxy"
)

// configWithService returns validConfig with a zone and a service whose document the proxy follows. dir is
// the cache directory.
func configWithService(dir string) string {
	return strings.NewReplacer(`"seed"`, fmt.Sprintf(`"config_service":"tarifas","discovery_members":["127.0.0.1:1"],"discovery_state":%q,"seed"`, dir),
		`"failure_domains":["a"]`, `"failure_domains":["a","b"],"my_zone":1`).Replace(validConfig)
}

// testDocument returns a document for configWithService with a number of attempts. It lists the zones in
// another order.
func testDocument(attempts int) string {
	settings := strings.TrimSuffix(validConfig[strings.Index(validConfig, `"settings"`):], "}")
	return "{" + strings.NewReplacer(`"try_limit":3`, fmt.Sprint(`"try_limit":`, attempts), `"failure_domains":["a"]`,
		`"failure_domains":["b","a"]`).Replace(settings) + "}"
}

// TestDocumentsAreMergedOverTheFile checks that a document is applied completely or not at all, merged over
// the file that was applied last.
func TestDocumentsAreMergedOverTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string { return map[string]string{"LB_CONFIG": path}[name] }
	text := configWithService("")
	text = strings.Replace(text, `"discovery_state":"",`, "", 1)
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	file, err := config.Load(env, nil)
	if err != nil {
		t.Fatal(err)
	}
	p := fakeProxy{applied: make(chan proxy.Config, 1), reloaded: make(chan bool, 1)}
	hangups, deliveries := make(chan os.Signal), make(chan delivery)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r := &reloader{proxy: p, file: file, active: file, env: env, log: slog.New(slog.DiscardHandler)}
		r.run(ctx, hangups, deliveries)
	}()
	applier := documentApplier{ctx, deliveries}
	for i, c := range []struct {
		document string // received document; empty: the file is reloaded
		file     string // text of the reloaded file
		attempts int    // attempt limit that is active afterwards; 0: the document or file is rejected
		key      string // key that the error names
	}{
		{document: testDocument(5), attempts: 5},
		{document: testDocument(0), key: "settings.limits.try_limit"},
		{document: `{"settings":`, key: ""},
		{document: strings.Replace(testDocument(6), `,"worth":1`, ``, 1), key: "settings.profiles[0].worth"},
		{document: strings.Replace(testDocument(6), `["b","a"]`, `["a"]`, 1), key: "settings.failure_domains"},
		{document: strings.Replace(testDocument(6), `"automatic"`, `"never"`, 1), key: "settings.membership_mode"},
		{file: strings.Replace(text, `"try_limit":3`, `"try_limit":9`, 1), attempts: 5}, // the document takes precedence
		{file: strings.Replace(text, `,"worth":1`, ``, 1)},
		{file: strings.Replace(text, `"config_service":"tarifas",`, ``, 1)}, // needs a restart
		{document: testDocument(7), attempts: 7},
	} {
		var err error
		applied := false
		if c.file != "" {
			write(c.file)
			hangups <- syscall.SIGHUP
			applied = <-p.reloaded
		} else {
			err = applier.Apply(int64(i), []byte(c.document))
			applied = err == nil
		}
		if applied != (c.attempts > 0) {
			t.Errorf("step %d: applied is %v, want %v; error %v", i, applied, c.attempts > 0, err)
		}
		var configErr *config.Error
		if c.file == "" && !applied &&
			(!errors.As(err, &configErr) || configErr.Key != c.key ||
				!strings.HasPrefix(err.Error(), c.key)) {
			t.Errorf("step %d: got error %v, want one about key %q", i, err, c.key)
		}
		select {
		case cfg := <-p.applied:
			settings := cfg.Site.Balancer
			if settings.MaxAttempts != c.attempts || cfg.Site.Zones[settings.Zone] != "b" {
				t.Errorf("step %d: got %d attempts in zone %s, want %d in zone b",
					i, settings.MaxAttempts, cfg.Site.Zones[settings.Zone], c.attempts)
			}
		default:
			if c.attempts > 0 {
				t.Errorf("step %d: no configuration was applied", i)
			}
		}
	}
	stop()
	<-done
	if err := applier.Apply(99, []byte(testDocument(5))); !errors.Is(err, errStopping) {
		t.Errorf("apply after the reloader has ended: got error %v, want %v", err, errStopping)
	}
}

// TestStartAppliesCachedDocument checks that a start applies the cached document without a request to the
// registry, unless it is damaged, of another service, or not valid with the file.
func TestStartAppliesCachedDocument(t *testing.T) {
	for name, c := range map[string]struct {
		cached          string // cached text; empty: no file
		attempts        int
		version         int64
		rejectedVersion int64
	}{
		"none": {"", 3, 0, 0},
		"cached": {`{"service":"tarifas","line":"l","version":7,"document":` + testDocument(5) + `}`,
			5, 7, 0},
		"another service": {`{"service":"other","line":"l","version":7,"document":` + testDocument(5) + `}`, 3, 0, 0},
		"invalid": {`{"service":"tarifas","line":"l","version":7,"document":` + testDocument(-1) + `}`,
			3, 0, 7},
		"without a key": {`{"service":"tarifas","line":"l","version":7,"document":` +
			strings.Replace(testDocument(5), `,"worth":1`, ``, 1) + `}`,
			3, 0, 7},
		"damaged": {"x", 3, 0, 0},
	} {
		dir := t.TempDir()
		if c.cached != "" {
			text := atomicfile.Encode("proxy-config", []byte(c.cached))
			if c.cached == "x" {
				text = text[:len(text)-1]
			}
			if err := os.WriteFile(filepath.Join(dir, "config"), text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		path := filepath.Join(dir, "config.json")
		if err := os.WriteFile(path, []byte(configWithService(dir)), 0o600); err != nil {
			t.Fatal(err)
		}
		env := func(name string) string { return map[string]string{"LB_CONFIG": path}[name] }
		file, err := config.Load(env, nil)
		if err != nil {
			t.Fatal(err)
		}
		client, active, document := startRollout(t.Context(), file, env, nil, slog.New(slog.DiscardHandler))
		metrics := client.Metrics()
		if got := active.Proxy.Site.Balancer.MaxAttempts; got != c.attempts || metrics.Version != c.version ||
			metrics.RejectedVersion != c.rejectedVersion || (document != nil) != (c.version != 0) {
			t.Errorf("%s: got %d attempts and %+v, want %d, version %d and rejected version %d",
				name, got, metrics, c.attempts, c.version, c.rejectedVersion)
		}
	}
}
