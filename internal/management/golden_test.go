package management

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"merlinpick/balancer"
)

var record = flag.Bool("golden.record", false, "write golden files that do not exist yet")

// TestEndpointTextsMatchGoldenFiles checks the whole text of the metrics and of the zones, since operators'
// tools parse it.
func TestEndpointTextsMatchGoldenFiles(t *testing.T) {
	p := &fakeProxy{metrics: Metrics{
		Classes: map[string]RequestCounts{"look": {1, 2, 3}, "buy": {4, 5, 6}}, InFlight: 7, Forwarded: 8, ListedServers: 9, EjectedServers: 10,
		ReloadsApplied: 11, ReloadsRejected: 12, Rollout: &Rollout{13, 14, 15 * time.Second, 16, 17},
		EndpointList: &EndpointList{Age: 18 * time.Millisecond, Stale: true, Failures: 19, Calls: map[string]int64{"ok": 20, "error": 21},
			Registry: &RegistryClient{22, 23}},
		Cluster: &Cluster{true, 24, 25, true, 26, 27, 28 * time.Millisecond, 29, 30, 31, 32, 33, 34, 35, 36, 37,
			map[string]int64{"label": 38, "kind": 39}},
		RuleViolations: map[string]int64{"rule_b": 40, "rule_a": 41}, Events: map[string]int64{"refused.no-time": 42, "closed.idle": 43},
	}}
	for phase := balancer.ZoneHealthy; phase <= balancer.ZoneDrained; phase++ {
		p.metrics.Zones = append(p.metrics.Zones, Zone{"zone " + string(rune('a'+phase)), phase, float64(phase) / 5, int(phase),
			time.Duration(phase) * time.Second, "reason = \"" + string(rune('0'+phase)) + "\""})
	}
	for name, path := range map[string]string{"metrics.txt": "/v1/metrics", "zones.txt": "/v1/zones"} {
		status, text := call(t, startServer(t, p), request("GET "+path, ""))
		file := filepath.Join("testdata", name)
		if _, err := os.Stat(file); os.IsNotExist(err) && *record {
			if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(file)
		if err != nil || status != 200 || text != string(want) {
			t.Errorf("%s: status %d, %v\ngot\n%s\nwant\n%s", path, status, err, text, want)
		}
	}
}
