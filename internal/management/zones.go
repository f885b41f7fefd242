package management

import (
	"bytes"
	"fmt"
	"net/url"
	"strings"
	"time"

	"merlinpick/balancer"
)

// Zone is the state of a zone as seen from the proxy's own.
type Zone struct {
	Name           string
	Phase          balancer.ZonePhase
	WeightFraction float64       // of its normal weight, 0 to 1
	Transitions    int           // changes of phase so far
	Since          time.Duration // the last change, or the start
	Reason         string        // for the phase; may be empty
}

// phaseNames are the names and numbers of phases that callers read: a name's index is its number.
var phaseNames = [...]string{
	balancer.ZoneHealthy:    "well",
	balancer.ZoneSaturated:  "pressed",
	balancer.ZoneEvacuating: "leaving",
	balancer.ZoneEvacuated:  "away",
	balancer.ZoneRecovering: "returning",
	balancer.ZoneDrained:    "drained",
}

// metricName returns the zone's name as it is escaped in the path of calls, without "=", which ends a figure's name.
func (z *Zone) metricName() string { return strings.ReplaceAll(url.PathEscape(z.Name), "=", "%3D") }

func (z *Zone) encode(b *bytes.Buffer) {
	fmt.Fprintf(b, "app.zone_state.%[1]s=%[2]d\napp.zone_share.%[1]s=%.2[3]f\napp.zone_epoch.%[1]s=%[4]d\n",
		z.metricName(), int(z.Phase), z.WeightFraction, z.Transitions)
}
