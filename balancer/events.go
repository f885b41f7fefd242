package balancer

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
)

// Events that a Balancer logs for the on-call staff.

// Event is a change that on-call staff should see.
type Event interface {
	// Message returns a short text, the same for all events of a type.
	Message() string
	// Attributes returns the event's values; zoneName returns the name of the zone with a number.
	Attributes(zoneName func(zone int) string) []slog.Attr
	// String returns the message with its attributes, for hosts that log plain lines of text. Zones are
	// written as numbers.
	fmt.Stringer
}

// ZonePhaseChanged is logged when a zone changes its phase.
type ZonePhaseChanged struct {
	ObserverZone int       // zone of the replica that logs the event
	State        ZoneState // after the change
	Previous     ZonePhase
}

// TenantsThrottled is logged while slow or failing calls cause requests to be rejected that are within the
// shares of their tenants.
type TenantsThrottled struct {
	Tier            int
	QuotaMultiple   float64 // multiple of its share that each tenant may have admitted; below 1
	InFlight        int     // attempts in flight
	FailureRate     float64 // running fraction of attempts that fail, 0 to 1
	SpilloverWeight float64 // weight of servers in other zones, 0 to 1
}

// DampedServersChanged is logged when the set of damped servers changes.
type DampedServersChanged struct {
	Servers        []string // IDs
	WeightFraction float64  // fraction of its weight that each of them gets, 0 to 1
}

// DampedServer is a server that flaps and therefore gets a small, constant weight.
type DampedServer struct {
	Server      string  // ID
	Penalty     float64 // current penalty for its flaps
	DampedSince int64   // µs on the event clock
}

// maxLoggedIDs is the length, in characters, to which a logged list of server IDs is cut.
const maxLoggedIDs = 200

// Message returns the text of the log line.
func (e ZonePhaseChanged) Message() string { return "zone phase changed" }

// Attributes returns the new and the previous phase of the zone and the observations behind the change.
func (e ZonePhaseChanged) Attributes(zoneName func(zone int) string) []slog.Attr {
	state := &e.State
	return []slog.Attr{slog.String("zone", zoneName(state.Zone)),
		slog.String("observer_zone", zoneName(e.ObserverZone)),
		slog.String("phase", state.Phase.String()), slog.String("previous", e.Previous.String()),
		slog.String("weight", fmt.Sprintf("%.2f", state.WeightFraction)),
		slog.String("fault", state.Fault.String()),
		slog.String("bad", fmt.Sprintf("%.2f", state.BadFraction)),
		slog.String("calls", fmt.Sprintf("%.0f", state.Calls)),
		slog.Int("unhealthy_votes", state.UnhealthyVotes), slog.Int("replicas", state.ReportingReplicas),
		slog.Int("transitions", state.Transitions)}
}

// String returns the message with its attributes as key=value.
func (e ZonePhaseChanged) String() string { return eventText(e) }

// Message returns the text of the log line.
func (e TenantsThrottled) Message() string { return "tenants throttled" }

// Attributes returns the fields of the event; it names no zones.
func (e TenantsThrottled) Attributes(func(zone int) string) []slog.Attr {
	return []slog.Attr{slog.Int("tier", e.Tier),
		slog.String("quota_multiple", fmt.Sprintf("%.2f", e.QuotaMultiple)),
		slog.Int("in_flight", e.InFlight), slog.String("failure_rate", fmt.Sprintf("%.2f", e.FailureRate)),
		slog.String("spillover_weight", fmt.Sprintf("%.2f", e.SpilloverWeight))}
}

// String returns the message with its attributes as key=value.
func (e TenantsThrottled) String() string { return eventText(e) }

// Message returns the text of the log line.
func (e DampedServersChanged) Message() string { return "damped servers changed" }

// Attributes returns the number, the weight and the IDs of the damped servers.
func (e DampedServersChanged) Attributes(func(zone int) string) []slog.Attr {
	return []slog.Attr{slog.Int("count", len(e.Servers)),
		slog.String("weight", fmt.Sprintf("%.2f", e.WeightFraction)),
		slog.String("endpoints", fmt.Sprintf("%.*s", maxLoggedIDs, strings.Join(e.Servers, " ")))}
}

// String returns the message with its attributes as key=value.
func (e DampedServersChanged) String() string { return eventText(e) }

// eventText returns an event's message followed by its attributes as key=value.
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

// String returns the phase's name in log lines.
func (p ZonePhase) String() string {
	names := []string{"healthy", "saturated", "evacuating", "evacuated", "recovering", "drained"}
	if p < 0 || int(p) >= len(names) {
		return fmt.Sprintf("phase %d", int(p))
	}
	return names[p]
}

// String returns the fault's name in log lines.
func (f Fault) String() string {
	names := []string{"none", "errors", "unresponsive", "slow", "saturated"}
	if f < 0 || int(f) >= len(names) {
		return fmt.Sprintf("fault %d", int(f))
	}
	return names[f]
}
