package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestRingHoldsListedServers checks after random lists and suspensions that the ring holds the listed servers
// in ring order, and that the ready servers are those of the ring, beginning at this replica's start.
func TestRingHoldsListedServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := testSettings()
		set.ReplicaIndex = rapid.IntRange(0, 5).Draw(t, "replica index")
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			var ids []string
			for range rapid.IntRange(0, 12).Draw(t, "entries") {
				ids = append(ids, fmt.Sprint("s", rapid.IntRange(0, 20).Draw(t, "server")))
			}
			if rapid.IntRange(0, 4).Draw(t, "suspend") == 0 {
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
			sorted := slices.SortedFunc(slices.Values(b.members.all), ringOrder)
			if !slices.Equal(b.members.ring, sorted) {
				t.Fatalf("the ring (%d servers) differs from the listed servers (%d) in ring order",
					len(b.members.ring), len(b.members.all))
			}
			ready := slices.DeleteFunc(sorted, func(s *server) bool { return s.State != ServerReady || b.members.suspended[s.ID] })
			_, from := math.Modf(float64(set.ReplicaIndex) * goldenRatioStep)
			if first := int(from * float64(len(ready))); !slices.Equal(b.members.ready, slices.Concat(ready[first:], ready[:first])) {
				t.Fatalf("the ready servers (%d) differ from the ready ones of the ring (%d)",
					len(b.members.ready), len(ready))
			}
		}
	})
}
