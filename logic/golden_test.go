package logic

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
)

// goldenActions is what the actions of random sequences hash to. A Balancer that hears of no other decides as it did
// before there were any: whoever changes this says in the commit which decision of one copy changed, and why.
const goldenActions = "66995dfd5b58266d"

func TestOneThatHearsOfNoOthersDecidesAsBefore(t *testing.T) {
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

// goldenFleet is the same of a fleet that is played through unequal, failing, flapping, full and cold servers, a lost
// zone, a drained one, a handover and other settings: what its copies send, say in their logs and tell each other, to
// the last digit. A change that only moves or shortens code leaves it as it is.
const goldenFleet = "56d48bcd274c1a7a"

func TestFleetDecidesAsBefore(t *testing.T) {
	sum := sha256.New()
	w := laid(t, 3, 4, 6, 20, true)
	w.fate = func(c *copyOf, s Server) (Status, int64) {
		at := (w.now - start) / second
		var i int
		fmt.Sscanf(s.ID, "s%d", &i)
		switch status, took := w.well(c, s); {
		case i == 0 && at/5%2 == 1:
			return Error, 5_000
		case i == 5 && at/7%2 == 1:
			return TimedOut, 1_600_000
		case i == 7 && w.rnd.IntN(3) == 0:
			return FullUp, 2_000
		case s.Zone == 1 && at >= 30 && at < 36:
			return ConnectFailed, 1_000
		case s.Zone == 2 && at >= 50 && at < 53:
			return status, 9 * took
		case i%4 == 2:
			return status, 2 * took
		default:
			return status, took
		}
	}
	w.hear = func(_, _ *copyOf) bool { return w.rnd.IntN(5) > 0 }
	w.lie = func(c *copyOf, tells []Notice) []Notice {
		for _, n := range tells {
			fmt.Fprintf(sum, "%s %v\n", c.name, n)
		}
		return tells
	}
	for _, c := range w.copies {
		c.b.s.TipMultiple, c.b.s.FallSpan = 2, 2*second
		c.b.s.Tenants = []Tenant{{Name: "a", Portion: 1, Quota: 240}}
		c.b.tenants = make([]originRule, 1)
		c.b.derive()
	}
	for at := second; at <= 100*second; at += second {
		w.run(at)
		s := &w.servers[4] // its lease ends now and then
		if s.State = Ready; at/second%12 == 3 {
			s.State = Gone
		}
		cold := &w.servers[int(at/second)%len(w.servers)]
		if at/second%9 == 0 {
			cold.Launched = w.now
		}
		for i, c := range w.copies {
			c.deaf = i == 1 && at > 20*second && at < 40*second
			c.b.List(w.now, c, Delta, []Server{*s, *cold})
			switch at {
			case 60 * second:
				c.b.Drain(w.now, c, map[int]bool{0: i%3 > 0})
			case 70 * second:
				c.b.Drain(w.now, c, nil)
			case 75 * second:
				c.b.HandOver(w.now)
			case 80 * second:
				c.b.Alone(w.now)
			case 85 * second:
				other := *c.b.s
				other.BudgetSpan, other.BudgetFree, other.BudgetShare = 15*second, 2, 0.05
				other.Classes = slices.Clone(other.Classes)
				other.Classes[2].Aim /= 2
				if _, err := c.b.Reconfigure(w.now, other, nil); err != nil {
					t.Fatal(err)
				}
			case 90 * second:
				c.b.Ban(map[string]bool{"s8": true})
			case 93 * second:
				c.b.Ban(nil)
			}
			listed, avoided := c.b.Servers()
			fmt.Fprintf(sum, "%d %d %v %v %v\n", listed, avoided, c.b.ZoneStates(w.now), c.b.Damped(w.now), c.b.Condemned())
		}
	}
	for _, c := range w.copies {
		fmt.Fprintln(sum, c.sends, c.done, c.lost, c.lines)
	}
	if got := fmt.Sprintf("%x", sum.Sum(nil)[:8]); got != goldenFleet {
		t.Errorf("the fleet hashes to %s, not %s", got, goldenFleet)
	}
}
