package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestNoServerToSendTo(t *testing.T) {
	b, h := mustNew(t, testSettings()), &recorder{}
	ask(b, h, start, "a", 2)
	if h.last() != "refuse a" {
		t.Errorf("with no list: %q", h.last())
	}
	list := fleet(1)
	list[0].State = ServerDraining
	b.UpdateEndpoints(start, h, UpdateSnapshot, list)
	ask(b, h, start, "b", 0)
	if h.last() != "refuse b" {
		t.Errorf("with all draining: %q", h.last())
	}
}

// Many copies that draw from all servers fill every server's connection table.
func TestSubsetsAreSmallAndCoverTheFleet(t *testing.T) {
	const copies, servers = 60, 90
	users := map[string]int{}
	for i := range copies {
		s := testSettings()
		s.Replicas, s.ReplicaIndex = copies, i
		b, h := with(t, s, servers)
		met := map[string]bool{}
		for k := range 400 {
			now := start + int64(k)*50_000 // 20 a second
			ask(b, h, now, fmt.Sprint(k), 0)
			b.HandleOutcome(now, h, Outcome{RequestID: fmt.Sprint(k), Status: StatusOK, Latency: 1000, RequestDone: true})
		}
		for _, s := range h.sends {
			met[s.server] = true
		}
		if len(met) > servers/3 {
			t.Fatalf("copy %d met %d servers", i, len(met))
		}
		for s := range met {
			users[s]++
		}
	}
	if len(users) != servers {
		t.Errorf("%d of %d servers are in some subset", len(users), servers)
	}
}

// Copies with a few calls a second met each of twelve servers once in many seconds, and went on crowding the
// ones that had turned slow.
func TestASparseCopyMeetsItsServersOftenEnough(t *testing.T) {
	b, h := with(t, testSettings(), 60)
	met := map[string]int{}
	for k := range 240 {
		now := start + int64(k)*second/3 // 3 a second
		ask(b, h, now, fmt.Sprint(k), 0)
		b.HandleOutcome(now, h, Outcome{RequestID: fmt.Sprint(k), Status: StatusOK, Latency: 300_000, RequestDone: true})
	}
	for _, s := range h.sends {
		met[s.server]++
	}
	if len(met) > 8 || len(met) < 4 {
		t.Errorf("3 calls a second are spread over %d servers", len(met))
	}
}
func TestWatchIsAskedForAgainAfterAFailure(t *testing.T) {
	s := testSettings()
	s.WatchEndpoints, s.PollInterval = true, 10*second
	b, h := with(t, s, 2)
	if h.watch != 1 {
		t.Fatalf("watched %d times after the first list", h.watch)
	}
	b.UpdateEndpoints(start, h, UpdateFailed, nil)
	if len(h.timer) != 1 {
		t.Fatalf("%d timers after a failure", len(h.timer))
	}
	b.UpdateEndpoints(start, h, UpdateFailed, nil) // the broken subscription and the failed call are told one by one
	if len(h.timer) != 1 {
		t.Errorf("%d timers after the same failure was told twice", len(h.timer))
	}
	b.HandleTimer(start+second, h, h.timer[0])
	b.HandleTimer(start+second, h, h.timer[0])
	if h.watch != 2 {
		t.Errorf("watched %d times after the timer", h.watch)
	}
}
func TestHomeFirstAndSpillUnderPressure(t *testing.T) {
	b, _ := with(t, testSettings(), 8)
	home := b.weigh(start, b.byID["s0"], 0)
	now := start
	feed := func(n int, bad bool) {
		for range n {
			now++
			b.press(now, 0, &attempt{sentAt: now, zone: b.s.Zone}, bad, bad)
		}
	}
	feed(60*feedbackRoundCalls, false)
	if away := b.weigh(start, b.byID["s2"], 0); away > home/10 {
		t.Errorf("a calm home leaves %.3f of the weight to other zones", away/home)
	}
	feed(20*feedbackRoundCalls, true)
	if away := b.weigh(start, b.byID["s2"], 0); away < home/2 {
		t.Errorf("a home in trouble leaves %.3f of the weight to other zones", away/home)
	}
}

// After any lists and bans the ring holds the listed servers in order, and new calls go to the ready ones of it, from
// this copy's place on.
func TestRingHoldsWhatIsListed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := testSettings()
		set.ReplicaIndex = rapid.IntRange(0, 5).Draw(t, "ordinal")
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			var ids []string
			for range rapid.IntRange(0, 12).Draw(t, "entries") {
				ids = append(ids, fmt.Sprint("s", rapid.IntRange(0, 20).Draw(t, "server")))
			}
			if rapid.IntRange(0, 4).Draw(t, "ban") == 0 {
				out := map[string]bool{}
				for _, id := range ids {
					out[id] = true
				}
				b.SetSuspendedServers(out)
			} else {
				var entries []Server
				for _, id := range ids {
					entries = append(entries, Server{ID: id, State: rapid.SampledFrom([]ServerState{ServerRemoved, ServerReady, ServerReady, ServerDraining}).Draw(t, "state")})
				}
				b.UpdateEndpoints(start, &recorder{}, rapid.SampledFrom([]UpdateKind{UpdateDelta, UpdateSnapshot, UpdateCached}).Draw(t, "kind"), entries)
			}
			sorted := slices.SortedFunc(slices.Values(b.all), onRing)
			if !slices.Equal(b.ring, sorted) {
				t.Fatalf("the ring holds %d servers, or in another order than the %d listed", len(b.ring), len(b.all))
			}
			ready := slices.DeleteFunc(sorted, func(s *server) bool { return s.State != ServerReady || b.banned[s.ID] })
			_, from := math.Modf(float64(set.ReplicaIndex) * goldenRatioStep)
			if first := int(from * float64(len(ready))); !slices.Equal(b.ready, slices.Concat(ready[first:], ready[:first])) {
				t.Fatalf("%d servers are ready, or in another order than %d", len(b.ready), len(ready))
			}
		}
	})
}
