package hollow_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
	"merlinpick/internal/faultlab/result"
)

// TestUnappliedConfigurationsAreDetected checks that the metrics of configurations tell hollow proxies that
// apply a configuration from those that only receive it.
func TestUnappliedConfigurationsAreDetected(t *testing.T) {
	for _, test := range []struct {
		name    string
		sound   bool
		never   float64
		inForce bool
	}{{"sound", true, 0, true}, {"not applied", false, 3, false}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fault := hollow.NoFault
			if !test.sound {
				fault = hollow.SkipsApply
			}
			list, _, _ := hollow.StartRegistry(t)
			c := hollow.TestConfig(list, 3, 0)
			for i := range c.Proxies {
				c.Proxies[i].Service = "s1"
			}
			p := hollow.StartSeeded(t, c, fault)
			hollow.Eventually(t, "all proxies to be ready", func() bool { return p.NotReadyReason() == "" })
			p.ResetMetrics()
			start := time.Now()
			settings := strings.NewReplacer(`"my_zone":0,"ordinal":0,`, "", `"try_limit":3`, `"try_limit":3,"dial_timeout_us":1,"idle_close_us":1`).
				Replace(hollow.TestSettings)
			req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/config/s1?from=0", list), strings.NewReader(`{"settings":`+settings+`}`))
			if err != nil {
				t.Fatal(err)
			}
			write := result.ConfigWrite{Service: "s1", RequestedAt: time.Now().UnixNano()}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			var answer struct{ Version int64 }
			if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil ||
				resp.StatusCode != http.StatusOK {
				t.Fatal(resp.Status, err)
			}
			write.Status, write.Version, write.ConfirmedAt =
				resp.StatusCode, answer.Version, time.Now().UnixNano()
			hollow.Eventually(t, "all proxies to receive the configuration", func() bool {
				for _, x := range p.Metrics(true).Proxies {
					if x.Config.Version != answer.Version {
						return false
					}
				}
				return true
			})
			e := &experiment.Experiment{Seconds: 30, Phases: []experiment.Phase{{Name: "all", From: 0, To: 20}}}
			control := &result.Control{Hollow: []hollow.Metrics{p.Metrics(true)},
				ConfigWrites: []result.ConfigWrite{write}}
			f := control.Metrics(e, start)
			_, late := f["control.all.config_in_force_last_ms"]
			if f["control.all.config_changes"] != 1 || f["control.all.config_never"] != test.never ||
				late != test.inForce {
				t.Errorf("%v changes, %v never in force, some in force %v; want 1, %v, %v", f["control.all.config_changes"],
					f["control.all.config_never"], late, test.never, test.inForce)
			}
		})
	}
}
