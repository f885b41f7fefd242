package plan

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"merlinpick/internal/faultlab/experiment"
)

// drawExperiment draws a random experiment.
func drawExperiment(t *rapid.T) *experiment.Experiment {
	exp := &experiment.Experiment{Seconds: rapid.Float64Range(1, 20).Draw(t, "seconds"),
		Clients: experiment.Clients{AttemptFraction: []float64{0.4, 0.6}}}
	for i := range rapid.IntRange(1, 3).Draw(t, "zones") {
		exp.Zones = append(exp.Zones, experiment.Zone{Name: string(rune('a' + i)),
			Proxies: rapid.IntRange(1, 12).Draw(t, "proxies"), Traffic: 1,
			Servers: []experiment.ServerGroup{{Count: rapid.IntRange(1, 9).Draw(t, "nodos")}}})
	}
	for _, repeat := range []string{"idempotent", "deduplicated", "at_most_once"} {
		exp.Classes = append(exp.Classes, experiment.Class{Name: repeat, Share: 1, RetryClass: repeat, DeadlineMs: 100,
			WorkMs: []float64{1, 5}, RequestBytes: []int{1, 900}})
	}
	exp.Load.Rate = [][]float64{{0, rapid.Float64Range(0, 200).Draw(t, "from")}, {1, rapid.Float64Range(1, 200).Draw(t, "to")}}
	exp.Load.EvenlySpaced = rapid.Bool().Draw(t, "even")
	exp.Faults = []experiment.Fault{{Kind: "kill", Share: rapid.Float64Range(0.1, 1).Draw(t, "share"), At: 0.5, Spread: 2},
		{Kind: "nodo_slow", Zone: "a", Share: 0.5, At: 0.7}}
	return exp
}

// The same experiment and seed give the same plan, and another seed gives another plan. One more fault does
// not change the rest of the plan.
func TestSameSeedDrawsSamePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		exp, seed := drawExperiment(t), rapid.Uint64().Draw(t, "seed")
		digest := func(exp *experiment.Experiment, seed uint64) string {
			text, err := Draw(exp, seed).Digest()
			if err != nil {
				t.Fatal(err)
			}
			return text
		}
		if a, b := digest(exp, seed), digest(exp, seed); a != b {
			t.Fatalf("the same seed gives plans with the digests %s and %s", a, b)
		}
		p := Draw(exp, seed)
		if len(p.Arrivals) > 5 && digest(exp, seed) == digest(exp, seed+1) {
			t.Fatal("another seed gives the same plan")
		}
		more := *exp
		more.Faults = append(slices.Clone(exp.Faults), experiment.Fault{Kind: "restart", Share: 0.5})
		q := Draw(&more, seed)
		if !slices.Equal(p.Arrivals, q.Arrivals) || !slices.EqualFunc(p.Faults, q.Faults[:len(p.Faults)], func(a, b PlannedFault) bool {
			return slices.Equal(a.Targets, b.Targets)
		}) {
			t.Fatal("one more fault changes the arrivals or the targets of other faults")
		}
		for i, arrival := range p.Arrivals {
			if i > 0 && arrival.At < p.Arrivals[i-1].At || arrival.At >= experiment.Seconds(exp.Seconds) {
				t.Fatalf("arrival %d at %v is before the previous one or after the end of the run", i,
					arrival.At)
			}
		}
	})
}

// A fault has as many different targets as its zone, share or names give, and none in other zones.
func TestTargets(t *testing.T) {
	exp := &experiment.Experiment{Seconds: 10, Zones: []experiment.Zone{{Name: "a", Proxies: 10}, {Name: "b", Proxies: 10}}}
	for _, test := range []struct {
		fault experiment.Fault
		want  int
	}{
		{experiment.Fault{Kind: "kill", Zone: "a", Share: 0.7}, 7},
		{experiment.Fault{Kind: "kill", Share: 0.7}, 14},
		{experiment.Fault{Kind: "kill", Zone: "b"}, 10},
		{experiment.Fault{Kind: "kill", Zone: "b", Share: 0.01}, 1},
		{experiment.Fault{Kind: "kill", Proxies: []string{"b-p2", "a-p1"}}, 2},
	} {
		exp.Faults = []experiment.Fault{test.fault}
		targets := Draw(exp, 1).Faults[0].Targets
		seen := map[string]bool{}
		for _, target := range targets {
			seen[target.Name] = true
			if z := test.fault.Zone; z != "" && target.Name[:1] != z {
				t.Errorf("%+v: got target %s in another zone", test.fault, target.Name)
			}
		}
		if len(seen) != test.want || len(targets) != test.want {
			t.Errorf("%+v: got targets %v, want %d different ones", test.fault, targets, test.want)
		}
	}
}

// The targets of a fault of hollow servers are all servers of a service, a share of all, or the given number
// from a zone.
func TestHollowTargets(t *testing.T) {
	exp := &experiment.Experiment{Seconds: 10, Zones: []experiment.Zone{{Name: "n"}, {Name: "s"}}}
	exp.Hollow = experiment.Hollow{Servers: 24, ZonesPerRegion: 3, Services: 8}
	zone := map[string]string{}
	for _, n := range exp.HollowServers() {
		zone[n.Name] = n.Zone
	}
	for _, test := range []struct {
		fault experiment.Fault
		want  int
	}{
		{experiment.Fault{Service: 2}, 3},
		{experiment.Fault{Share: 0.5, Spread: 4}, 12},
		{experiment.Fault{Zone: "s-b"}, 4},
		{experiment.Fault{Zone: "s-b", Count: 3}, 3},
		{experiment.Fault{Count: 100}, 24},
	} {
		test.fault.Kind = "hollow_replace"
		planned := drawFault(exp, test.fault, 1, newSource(1, "fault", 0))
		if len(planned.Targets) != test.want {
			t.Errorf("%+v: got %d targets, want %d", test.fault, len(planned.Targets), test.want)
		}
		for _, target := range planned.Targets {
			if z := zone[target.Name]; z == "" || test.fault.Zone != "" && z != test.fault.Zone {
				t.Errorf("%+v: got target %q in zone %q", test.fault, target.Name, z)
			}
		}
	}
}
