package balancer

import (
	"fmt"
	"strings"
)

// What a Balancer tells on-call staff of, as values: their words are the owner's to choose and String's to suggest.

// Event is a change that on-call staff should see.
type Event interface{ fmt.Stringer }

// ZoneChanged tells that a zone changed its standing.
type ZonePhaseChanged struct {
	ObserverZone int       // the zone that sees it so
	State        ZoneState // after the change
	Previous     ZonePhase
}

// SharesHeld tells that traffic inside the shares of tenants is held back.
type TenantsThrottled struct {
	Tier            int
	QuotaMultiple   float64 // multiple of its share that a tenant may pass
	InFlight        int     // out now
	FailureRate     float64 // part of calls that fail
	SpilloverWeight float64 // weight of servers in other zones
}

// DampedChanged tells which servers are damped now.
type DampedServersChanged struct {
	Servers        []string
	WeightFraction float64 // what each of them gets of its share
}

func (e ZonePhaseChanged) String() string {
	return fmt.Sprintf("zone %d as seen from zone %d: %v, before %v; gets %.2f of its fair part; %.0f%% of "+
		"%.0f calls %v, %d of %d copies of this zone call it bad; change %d",
		e.State.Zone, e.ObserverZone, e.State.Phase, e.Previous, e.State.WeightFraction, 100*e.State.BadFraction, e.State.Calls, e.State.Fault,
		e.State.UnhealthyVotes, e.State.ReportingReplicas, e.State.Transitions)
}

func (e TenantsThrottled) String() string {
	return fmt.Sprintf("tier %d: calls are slow or fail; tenants held to %.2f of their shares, %d calls out, "+
		"%.0f%% of calls fail, other zones weigh %.2f", e.Tier, e.QuotaMultiple, e.InFlight, 100*e.FailureRate, e.SpilloverWeight)
}

func (e DampedServersChanged) String() string {
	if len(e.Servers) == 0 {
		return "no server is damped any more"
	}
	return fmt.Sprintf("%d servers swing between bad and well and get a steady %.2f of their share: %.200s",
		len(e.Servers), e.WeightFraction, strings.Join(e.Servers, " "))
}

// DampedState tells on-call staff and figures of a server whose removals and returns are not acted on.
type DampedServer struct {
	Server      string
	Penalty     float64
	DampedSince int64
}

// String names a standing for log lines and figures, by the words of docs/fleet.md.
func (s ZonePhase) String() string {
	names := []string{"well", "pressed", "leaving", "away", "returning", "drained"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("standing %d", int(s))
	}
	return names[s]
}

// String names a cause for log lines and figures.
func (c Fault) String() string {
	names := []string{"bad", "failing", "silent", "slow", "crowded"}
	if c < 0 || int(c) >= len(names) {
		return fmt.Sprintf("cause %d", int(c))
	}
	return names[c]
}
