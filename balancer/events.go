package balancer

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
)

// What a Balancer reports to on-call staff.

// Event is a change that on-call staff should see.
type Event interface {
	// Message is a short text, the same for all events of a type.
	Message() string
	// Attributes are the event's values; zoneName gives the name of a zone's number.
	Attributes(zoneName func(zone int) string) []slog.Attr
	// String is the message with its attributes, for hosts whose log has lines of text alone. Zones are numbers there.
	fmt.Stringer
}

// ZonePhaseChanged is a zone's change of phase.
type ZonePhaseChanged struct {
	ObserverZone int       // the zone whose replicas see it so
	State        ZoneState // after the change
	Previous     ZonePhase
}

// TenantsThrottled is logged while traffic within the shares of tenants is rejected, as calls are slow or fail.
type TenantsThrottled struct {
	Tier            int
	QuotaMultiple   float64 // of its share that each tenant may have admitted, below 1
	InFlight        int     // attempts
	FailureRate     float64 // running fraction of attempts that fail, 0 to 1
	SpilloverWeight float64 // of servers in other zones, 0 to 1
}

// DampedServersChanged is a change of the set of damped servers.
type DampedServersChanged struct {
	Servers        []string // IDs
	WeightFraction float64  // of its weight that each of them gets
}

// DampedServer is a server that flaps and gets a steady, small weight.
type DampedServer struct {
	Server      string  // ID
	Penalty     float64 // of its flaps, now
	DampedSince int64   // µs on the clock of events
}

// maxLoggedIDs is the length, in bytes, to which a list of server IDs is cut.
const maxLoggedIDs = 200

// Message implements Event.
func (e ZonePhaseChanged) Message() string { return "zone phase changed" }

// Attributes implements Event.
func (e ZonePhaseChanged) Attributes(zoneName func(zone int) string) []slog.Attr {
	state := &e.State
	return []slog.Attr{slog.String("zone", zoneName(state.Zone)), slog.String("observer_zone", zoneName(e.ObserverZone)),
		slog.String("phase", state.Phase.String()), slog.String("previous", e.Previous.String()),
		slog.String("weight", fmt.Sprintf("%.2f", state.WeightFraction)), slog.String("fault", state.Fault.String()),
		slog.String("bad", fmt.Sprintf("%.2f", state.BadFraction)), slog.String("calls", fmt.Sprintf("%.0f", state.Calls)),
		slog.Int("unhealthy_votes", state.UnhealthyVotes), slog.Int("replicas", state.ReportingReplicas),
		slog.Int("transitions", state.Transitions)}
}

// String implements Event.
func (e ZonePhaseChanged) String() string { return eventText(e) }

// Message implements Event.
func (e TenantsThrottled) Message() string { return "tenants throttled" }

// Attributes implements Event.
func (e TenantsThrottled) Attributes(func(zone int) string) []slog.Attr {
	return []slog.Attr{slog.Int("tier", e.Tier), slog.String("quota_multiple", fmt.Sprintf("%.2f", e.QuotaMultiple)),
		slog.Int("in_flight", e.InFlight), slog.String("failure_rate", fmt.Sprintf("%.2f", e.FailureRate)),
		slog.String("spillover_weight", fmt.Sprintf("%.2f", e.SpilloverWeight))}
}

// String implements Event.
func (e TenantsThrottled) String() string { return eventText(e) }

// Message implements Event.
func (e DampedServersChanged) Message() string { return "damped servers changed" }

// Attributes implements Event.
func (e DampedServersChanged) Attributes(func(zone int) string) []slog.Attr {
	return []slog.Attr{slog.Int("count", len(e.Servers)), slog.String("weight", fmt.Sprintf("%.2f", e.WeightFraction)),
		slog.String("endpoints", fmt.Sprintf("%.*s", maxLoggedIDs, strings.Join(e.Servers, " ")))}
}

// String implements Event.
func (e DampedServersChanged) String() string { return eventText(e) }

// eventText is an event's message and its attributes as key=value.
func eventText(e Event) string {
	var b strings.Builder
	b.WriteString(e.Message())
	for _, attr := range e.Attributes(strconv.Itoa) {
		value := attr.Value.String()
		if strings.Contains(value, " ") || value == "" {
			value = fmt.Sprintf("%q", value)
		}
		fmt.Fprintf(&b, " %s=%s", attr.Key, value)
	}
	return b.String()
}

// String is the phase's name in log lines.
func (p ZonePhase) String() string {
	names := []string{"healthy", "saturated", "evacuating", "evacuated", "recovering", "drained"}
	if p < 0 || int(p) >= len(names) {
		return fmt.Sprintf("phase %d", int(p))
	}
	return names[p]
}

// String is the fault's name in log lines.
func (f Fault) String() string {
	names := []string{"none", "errors", "unresponsive", "slow", "saturated"}
	if f < 0 || int(f) >= len(names) {
		return fmt.Sprintf("fault %d", int(f))
	}
	return names[f]
}
