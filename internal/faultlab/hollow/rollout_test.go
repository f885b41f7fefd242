package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestConfigurationsAreApplied checks that all hollow proxies that follow a configuration apply a change of
// it under its version while calls continue, and that each of them rejects an invalid change and keeps the
// one in force.
func TestConfigurationsAreApplied(t *testing.T) {
	list, _, _ := startRegistry(t)
	c := config(list, 3, 2)
	for i := range c.Proxies {
		c.Proxies[i].Service = "s"
	}
	p, _ := start(t, c, noFault)
	waitFor(t, "all proxies to be ready", func() bool { return p.notReadyReason() == "" })
	p.ResetMetrics()
	put := func(after int64, class string, zone string) int64 {
		t.Helper()
		body := strings.NewReplacer(`"my_zone":0,"ordinal":0,`, "", `"name":"c"`, fmt.Sprintf(`"name":%q`, class), `"a-a"`, fmt.Sprintf("%q", zone),
			`"try_limit":3`, `"try_limit":3,"dial_timeout_us":1,"idle_close_us":1`).Replace(testSettings)
		req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/config/s?from=%d", list, after), strings.NewReader(`{"settings":`+body+`}`))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		var out struct{ Version int64 }
		if err := errors.Join(err, json.Unmarshal(text, &out)); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("PUT /config/s was answered with %s %s (%v)", resp.Status, text, err)
		}
		return out.Version
	}
	waitForAll := func(what string, is func(*ConfigMetrics) bool) {
		t.Helper()
		waitFor(t, what, func() bool {
			for _, x := range p.Metrics(true).Proxies {
				if !is(x.Config) {
					return false
				}
			}
			return true
		})
	}
	lastVersion := func(f *ConfigMetrics) int64 {
		if len(f.Versions) == 0 {
			return 0
		}
		return f.Versions[len(f.Versions)-1].Version
	}
	first := put(0, "d", "a-a")
	waitForAll("all proxies to apply the first configuration",
		func(f *ConfigMetrics) bool { return lastVersion(f) == first })
	second := put(first, "e", "b-b") // invalid: it lacks the proxies' zone
	waitForAll("all proxies to reject the second configuration", func(f *ConfigMetrics) bool {
		return f.RejectedVersion == second && lastVersion(f) == first
	})
	third := put(second, "f", "a-a")
	waitForAll("all proxies to apply the third configuration", func(f *ConfigMetrics) bool {
		return f.RejectedVersion == 0 && lastVersion(f) == third && len(f.Versions) == 2
	})
	before := p.Metrics(false).Proxies[0].Calls.Sent
	waitFor(t, "further calls", func() bool { return p.Metrics(false).Proxies[0].Calls.Sent > before })
	if p.ResetMetrics(); len(p.Metrics(true).Proxies[0].Config.Versions) != 1 {
		t.Error("after ResetMetrics the metrics still hold other versions than the last one")
	}
}
