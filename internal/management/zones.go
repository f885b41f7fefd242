package management

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/override"
)

// Zone is how a zone stands as seen from the proxy's own.
type Zone struct {
	Name           string
	Phase          balancer.ZonePhase
	WeightFraction float64       // the part of its fair weight that it gets, 0 to 1
	Transitions    int           // how often its standing changed
	Since          time.Duration // the last change; the start, if there was none
	Reason         string        // why it stands so; may be empty
}

// figure is the name in the form that calls have in their path, and that no "=" ends early.
func (z *Zone) figure() string { return strings.ReplaceAll(url.PathEscape(z.Name), "=", "%3D") }

// states are the words and numbers by which callers know standings: a word's place is its number.
var phaseNames = [...]string{balancer.ZoneHealthy: "well", balancer.ZoneSaturated: "pressed", balancer.ZoneEvacuating: "leaving", balancer.ZoneEvacuated: "away",
	balancer.ZoneRecovering: "returning", balancer.ZoneDrained: "drained"}

func (z *Zone) encode(b *bytes.Buffer) {
	fmt.Fprintf(b, "app.zone_state.%[1]s=%[2]d\napp.zone_share.%[1]s=%.2[3]f\napp.zone_epoch.%[1]s=%[4]d\n", z.figure(),
		int(z.Phase), z.WeightFraction, z.Transitions)
}

func (s *Server) zones(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	var b bytes.Buffer
	for _, z := range s.proxy.Zones() {
		fmt.Fprintf(&b, "name=%s state=%v share=%.2f epoch=%d since_ms=%d reason=%q\n", z.figure(), phaseNames[z.Phase], z.WeightFraction, z.Transitions,
			z.Since.Milliseconds(), z.Reason)
	}
	_, _ = w.Write(b.Bytes())
}

// zone answers a call on one zone.
func (s *Server) zone(verb string, do func(string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("name")
		err := do(name)
		var unknown *override.UnknownZoneError
		var last *override.LastZoneError
		switch {
		case errors.As(err, &unknown):
			s.log.Warn("management call", "call", verb, "zone", name, "error", err)
			http.Error(w, err.Error(), http.StatusNotFound)
		case errors.As(err, &last):
			s.log.Warn("management call", "call", verb, "zone", name, "error", err)
			http.Error(w, err.Error(), http.StatusConflict)
		case err != nil:
			s.log.Error("management call", "call", verb, "zone", name, "error", err)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			s.log.Info("management call", "call", verb, "zone", name)
			_, _ = io.WriteString(w, "ok\n")
		}
	}
}
