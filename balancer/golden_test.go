package balancer

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
)

// goldenActions is the hash of the actions of random sequences. A Balancer without peer reports decides as it did before
// there were any: whoever changes this says in the commit which decision of one replica changed, and why.
const goldenActions = "66995dfd5b58266d"

func TestSingleReplicaDecidesAsBefore(t *testing.T) {
	sum := sha256.New()
	for seed := range uint64(8) {
		lines, _ := play(t, seed, 4000, false)
		for _, l := range lines {
			fmt.Fprintln(sum, l)
		}
	}
	if got := fmt.Sprintf("%x", sum.Sum(nil)[:8]); got != goldenActions {
		t.Errorf("the actions hash to %s, not %s", got, goldenActions)
	}
}

// goldenFleet is the same of a fleet that runs through unequal, failing, flapping, saturated and warming servers, a lost
// zone, a drained one, a handover and other settings: what its replicas send, log and report, to the last digit, by the
// values of typed events and actions, so that the names of these may change. A change that only moves, renames or
// shortens code leaves it as it is.
const goldenFleet = "43d63b61c8c030ef"

func TestFleetDecidesAsBefore(t *testing.T) {
	if got := fleetHash(t, func(*Balancer) {}); got != goldenFleet {
		t.Errorf("the fleet hashes to %s, not %s", got, goldenFleet)
	}
}

// Each of these changes of one replica's state moves the hash of the fleet.
func TestFleetHashNoticesChangedDecisions(t *testing.T) {
	for name, change := range map[string]func(*Balancer){
		"weight of other zones": func(b *Balancer) { b.spillover.weight = 0.4 },
		"share of tenants":      func(b *Balancer) { b.quotas.multiple = 0.5 },
		"slowness of a server":  func(b *Balancer) { b.members.byID["s3"].latency.slowness *= 1.05 },
		"count of the tier":     func(b *Balancer) { b.admission.tier.max = 1 },
		"part of a zone":        func(b *Balancer) { b.locality.zones[1].WeightFraction = 0.9 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := fleetHash(t, change); got == goldenFleet {
				t.Error("the hash is as without the change")
			}
		})
	}
}

// reportValues, zoneValues and eventValues are fields as plain numbers and texts.
func reportValues(n Report) []any {
	return []any{int(n.Kind), int(n.Fault), n.Observer, n.ObserverZone, n.Server, n.StartTime, n.SubjectZone, n.Calls, n.BadFraction, n.Value, n.LastObserved}
}

func zoneValues(s ZoneState) []any {
	return []any{s.Zone, int(s.Phase), s.WeightFraction, s.Transitions, s.ChangedAt, int(s.Fault), s.Calls, s.BadFraction, s.ReportingReplicas, s.UnhealthyVotes}
}

func eventValues(e Event) []any {
	switch e := e.(type) {
	case ZonePhaseChanged:
		return append(zoneValues(e.State), "zone", e.ObserverZone, int(e.Previous))
	case TenantsThrottled:
		return []any{"shares", e.Tier, e.QuotaMultiple, e.InFlight, e.FailureRate, e.SpilloverWeight}
	case DampedServersChanged:
		return []any{"damped", e.Servers, e.WeightFraction}
	}
	panic(fmt.Sprintf("an event of the unknown type %T", e))
}

// fleetHash is the hash of all that the fleet does; change is made to one of its Balancers after 5 s.
func fleetHash(t *testing.T, change func(*Balancer)) string {
	t.Helper()
	sum := sha256.New()
	w := newWorld(t, 3, 4, 6, 20, true)
	w.outcome = func(c *replica, s Server) (Status, int64) {
		at := (w.now - start) / second
		var i int
		fmt.Sscanf(s.ID, "s%d", &i)
		switch status, took := w.answer(c, s); {
		case i == 0 && at/5%2 == 1:
			return StatusError, 5_000
		case i == 5 && at/7%2 == 1:
			return StatusTimedOut, 1_600_000
		case i == 7 && w.rnd.IntN(3) == 0:
			return StatusRejected, 2_000
		case s.Zone == 1 && at >= 30 && at < 36:
			return StatusConnectFailed, 1_000
		case s.Zone == 2 && at >= 50 && at < 53:
			return status, 9 * took
		case i%4 == 2:
			return status, 2 * took
		default:
			return status, took
		}
	}
	w.delivers = func(_, _ *replica) bool { return w.rnd.IntN(5) > 0 }
	w.alterReports = func(c *replica, reports []Report) []Report {
		for _, n := range reports {
			fmt.Fprintln(sum, c.name, reportValues(n))
		}
		return reports
	}
	for _, c := range w.replicas {
		c.b.settings.OverloadMultiple, c.b.settings.OverloadWindow = 2, 2*second
		c.b.settings.Tenants = []Tenant{{Name: "a", Share: 1, Quota: 240}}
		c.b.quotas.tenants = make([]tenantQuota, 1)
		c.b.applySettings()
	}
	for at := second; at <= 100*second; at += second {
		w.run(at)
		if at == 5*second {
			change(w.replicas[0].b)
		}
		s := &w.servers[4] // its lease ends now and then
		if s.State = ServerReady; at/second%12 == 3 {
			s.State = ServerRemoved
		}
		cold := &w.servers[int(at/second)%len(w.servers)]
		if at/second%9 == 0 {
			cold.StartTime = w.now
		}
		for i, c := range w.replicas {
			c.isolated = i == 1 && at > 20*second && at < 40*second
			c.b.UpdateEndpoints(w.now, c, UpdateDelta, []Server{*s, *cold})
			switch at {
			case 60 * second:
				c.b.SetDrainedZones(w.now, c, map[int]bool{0: i%3 > 0})
			case 70 * second:
				c.b.SetDrainedZones(w.now, c, nil)
			case 75 * second:
				c.b.ExportRetryBudget(w.now)
			case 80 * second:
				c.b.HandleOtherProcessExit(w.now)
			case 85 * second:
				other := *c.b.settings
				other.RetryBudgetWindow, other.RetryBudgetMin, other.RetryBudgetRatio = 15*second, 2, 0.05
				other.Classes = slices.Clone(other.Classes)
				other.Classes[2].LatencyObjective /= 2
				if _, err := c.b.Reconfigure(w.now, other, nil); err != nil {
					t.Fatal(err)
				}
			case 90 * second:
				c.b.SetSuspendedServers(map[string]bool{"s8": true})
			case 93 * second:
				c.b.SetSuspendedServers(nil)
			}
			listed, avoided := c.b.ServerCounts()
			fmt.Fprintln(sum, listed, avoided, c.b.EjectedServers())
			for _, z := range c.b.ZoneStates(w.now) {
				fmt.Fprintln(sum, zoneValues(z))
			}
			for _, d := range c.b.DampedServers(w.now) {
				fmt.Fprintln(sum, d.Server, d.Penalty, d.DampedSince)
			}
		}
	}
	for _, c := range w.replicas {
		fmt.Fprintln(sum, c.succeeded, c.failed)
		for _, s := range c.sends {
			fmt.Fprintln(sum, s.at, s.server, s.zone, int(s.idempotency))
		}
		for _, e := range c.events {
			fmt.Fprintln(sum, e.at, eventValues(e.event))
		}
	}
	return fmt.Sprintf("%x", sum.Sum(nil)[:8])
}
