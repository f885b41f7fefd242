package management

import (
	"bytes"
	"fmt"
	"net/url"
	"strings"
	"time"

	"merlinpick/balancer"
)

// Zone is the state of a zone as this proxy sees it from its own zone.
type Zone struct {
	Name           string
	Phase          balancer.ZonePhase
	WeightFraction float64       // fraction of the zone's normal weight, 0 to 1
	Transitions    int           // number of phase changes so far
	Since          time.Duration // time since the last phase change, or since the start
	Reason         string        // reason for the phase; may be empty
}

// phaseNames are the exported names of the phases. The index of a name is the exported number of its phase.
var phaseNames = [...]string{
	balancer.ZoneHealthy:    "well",
	balancer.ZoneSaturated:  "pressed",
	balancer.ZoneEvacuating: "leaving",
	balancer.ZoneEvacuated:  "away",
	balancer.ZoneRecovering: "returning",
	balancer.ZoneDrained:    "drained",
}

// metricName returns the zone's name, escaped as in the URL path of calls. "=" is escaped as well, since it
// ends the name of a metric.
func (z *Zone) metricName() string { return strings.ReplaceAll(url.PathEscape(z.Name), "=", "%3D") }

// encode writes the metrics of the zone.
func (z *Zone) encode(b *bytes.Buffer) {
	fmt.Fprintf(b, "app.zone_state.%[1]s=%[2]d\napp.zone_share.%[1]s=%.2[3]f\napp.zone_epoch.%[1]s=%[4]d\n",
		z.metricName(), int(z.Phase), z.WeightFraction, z.Transitions)
}
