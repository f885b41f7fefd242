package balancer

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
)

// goldenActions is the hash of the actions of random sequences without peer reports. It guards the decisions
// of a single replica, which peer reports must not affect. A commit that changes it has to say which decision
// changed, and why.
const goldenActions = "66995dfd5b58266d"

// TestSingleReplicaDecidesAsBefore checks that a Balancer without peer reports takes the same actions as
// before.
func TestSingleReplicaDecidesAsBefore(t *testing.T) {
	sum := sha256.New()
	for seed := range uint64(8) {
		lines, _ := runSequence(t, seed, 4000, false)
		for _, l := range lines {
			fmt.Fprintln(sum, l)
		}
	}
	if got := fmt.Sprintf("%x", sum.Sum(nil)[:8]); got != goldenActions {
		t.Errorf("the hash of the actions is %s, want %s", got, goldenActions)
	}
}

// goldenFleet is the hash of everything that the replicas of a simulated fleet send, log and report, to the
// last digit. The fleet goes through unequal, failing, flapping, saturated and warming servers, a zone
// outage, a drained zone, a handover and changed settings. The hash covers the values of events and actions
// but not their names, so that renaming or moving code does not change it.
const goldenFleet = "43d63b61c8c030ef"

// TestFleetDecidesAsBefore checks that the replicas of a fleet that exchange reports take the same actions as
// before.
func TestFleetDecidesAsBefore(t *testing.T) {
	if got := fleetHash(t, func(*Balancer) {}); got != goldenFleet {
		t.Errorf("the hash of the fleet's actions and reports is %s, want %s", got, goldenFleet)
	}
}

// TestFleetHashNoticesChangedDecisions checks that the hash depends on the state of the rules: a change of
// any of these values in one replica changes it.
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
				t.Error("the hash is the same as without the change")
			}
		})
	}
}

// reportValues returns the fields of a report as plain numbers and texts, so that names do not go into the
// hash.
func reportValues(n Report) []any {
	return []any{int(n.Kind), int(n.Fault), n.Observer, n.ObserverZone, n.Server, n.StartTime, n.SubjectZone, n.Calls, n.BadFraction, n.Value, n.LastObserved}
}

// zoneValues returns the fields of a zone's state as plain numbers.
func zoneValues(s ZoneState) []any {
	return []any{s.Zone, int(s.Phase), s.WeightFraction, s.Transitions, s.ChangedAt, int(s.Fault), s.Calls, s.BadFraction, s.ReportingReplicas, s.UnhealthyVotes}
}

// eventValues returns the fields of an event as plain numbers and texts. The texts are part of the hash and
// must not change.
func eventValues(e Event) []any {
	switch e := e.(type) {
	case ZonePhaseChanged:
		return append(zoneValues(e.State), "zone", e.ObserverZone, int(e.Previous))
	case TenantsThrottled:
		return []any{"shares", e.Tier, e.QuotaMultiple, e.InFlight, e.FailureRate, e.SpilloverWeight}
	case DampedServersChanged:
		return []any{"damped", e.Servers, e.WeightFraction}
	}
	panic(fmt.Sprintf("event of unknown type %T: add its values to the hash", e))
}

// fleetHash runs the fleet and returns the hash of all that it does; change is applied to one of its
// Balancers after 5 s.
func fleetHash(t *testing.T, change func(*Balancer)) string {
	t.Helper()
	sum := sha256.New()
	w := newFleetSimulation(t, 3, 4, 6, 20, true)
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
		s := &w.servers[4] // removed for 1 s in every 12 s, as when its lease expires
		if s.State = ServerReady; at/second%12 == 3 {
			s.State = ServerRemoved
		}
		restarted := &w.servers[int(at/second)%len(w.servers)]
		if at/second%9 == 0 {
			restarted.StartTime = w.now
		}
		for i, c := range w.replicas {
			c.isolated = i == 1 && at > 20*second && at < 40*second
			c.b.UpdateEndpoints(w.now, c, UpdateDelta, []Server{*s, *restarted})
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
