package logic

import (
	"fmt"
	"strings"
)

// What a Balancer tells on-call staff of, as values: their words are the owner's to choose and String's to suggest.

// Event is a change that on-call staff should see.
type Event interface{ fmt.Stringer }

// ZoneChanged tells that a zone changed its standing.
type ZoneChanged struct {
	Home  int       // the zone that sees it so
	State ZoneState // after the change
	From  Standing
}

// SharesHeld tells that traffic inside the shares of tenants is held back.
type SharesHeld struct {
	Stage  int
	Share  float64 // multiple of its share that a tenant may pass
	Calls  int     // out now
	Failed float64 // part of calls that fail
	Spill  float64 // weight of servers in other zones
}

// DampedChanged tells which servers are damped now.
type DampedChanged struct {
	Servers []string
	Share   float64 // what each of them gets of its share
}

func (e ZoneChanged) String() string {
	return fmt.Sprintf("zone %d as seen from zone %d: %v, before %v; gets %.2f of its fair part; %.0f%% of "+
		"%.0f calls %v, %d of %d copies of this zone call it bad; change %d",
		e.State.Zone, e.Home, e.State.Standing, e.From, e.State.Share, 100*e.State.Bad, e.State.Calls, e.State.Cause,
		e.State.SayBad, e.State.Say, e.State.Epoch)
}

func (e SharesHeld) String() string {
	return fmt.Sprintf("tier %d: calls are slow or fail; tenants held to %.2f of their shares, %d calls out, "+
		"%.0f%% of calls fail, other zones weigh %.2f", e.Stage, e.Share, e.Calls, 100*e.Failed, e.Spill)
}

func (e DampedChanged) String() string {
	if len(e.Servers) == 0 {
		return "no server is damped any more"
	}
	return fmt.Sprintf("%d servers swing between bad and well and get a steady %.2f of their share: %.200s",
		len(e.Servers), e.Share, strings.Join(e.Servers, " "))
}
