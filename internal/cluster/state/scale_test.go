package state

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
)

// entriesOfCluster returns the entries that one member receives from a cluster: each other member publishes
// the load of some servers (summaries) and the health of all zones. Sequence numbers start at seq.
func entriesOfCluster(members, summaries, zones int, seq uint64) (all []Entry) {
	for p := range members {
		e := Entry{Observer: fmt.Sprintf("proxy-%04d", p), ObserverZone: fmt.Sprint("z", p%zones), Incarnation: 1_790_000_000_000, ObservedAt: second}
		for z := range zones {
			e.Seq, e.Kind, e.Subject, e.TTL, e.Body = seq+uint64(z), ZoneHealthy, fmt.Sprint("z", z), ZoneHealthy.TTL(), Body{Calls: 100}
			all = append(all, e)
		}
		for i := range summaries {
			e.Seq, e.Kind, e.Subject = seq+uint64(zones+i), ServerLoad, fmt.Sprintf("nodo-%04d", (2*p+i)%(2*members))
			e.SubjectStartMs, e.TTL, e.Body = 1_790_000_000_000, ServerLoad.TTL(), Body{Calls: 10, Value: 50_000}
			all = append(all, e)
		}
	}
	// gossip has no order
	rand.New(rand.NewPCG(1, seq)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// BenchmarkMembers measures the cost of a store by the number of members, the load reports that each
// publishes, and the zones: memory per member, the time for a datagram of renewed entries (Decode and Merge),
// and the time for one round (Publish and PeerEntries).
func BenchmarkMembers(b *testing.B) {
	for _, members := range []int{30, 100, 300, 1300} {
		for _, size := range []struct{ summaries, zones int }{{1, 3}, {1, 9}, {10, 9}} {
			name := fmt.Sprintf("members=%d/summaries=%d/zones=%d", members, size.summaries, size.zones)
			limits := Limits{Observers: 4096} // the default is 1,024
			fullStore := func() *Store {
				store := New(Identity{Name: "self", Zone: "z0"}, limits)
				store.Merge(second, entriesOfCluster(members, size.summaries, size.zones, 1))
				return store
			}
			b.Run("bytes/"+name, func(b *testing.B) {
				heapBytes := 0.0
				for b.Loop() {
					var before, after runtime.MemStats
					runtime.GC()
					runtime.ReadMemStats(&before)
					store := fullStore()
					runtime.GC()
					runtime.ReadMemStats(&after)
					heapBytes = float64(after.HeapAlloc) - float64(before.HeapAlloc)
					runtime.KeepAlive(store)
				}
				b.ReportMetric(heapBytes/float64(members), "B/member")
			})
			b.Run("datagram/"+name, func(b *testing.B) {
				store := fullStore()
				var packets [][]byte
				seq := uint64(1)
				for i := 0; b.Loop(); i++ {
					if i%max(1, len(packets)) == 0 {
						b.StopTimer()
						seq += 1000
						packets = Encode(second, entriesOfCluster(members, size.summaries, size.zones, seq),
							1400)
						b.StartTimer()
					}
					in, _, err := Decode(second, packets[i%len(packets)])
					if err != nil {
						b.Fatal(err)
					}
					store.Merge(second, in)
				}
			})
			b.Run("turn/"+name, func(b *testing.B) {
				store := fullStore()
				var observations []Observation
				for z := range size.zones {
					observations = append(observations, Observation{Kind: ZoneHealthy,
						Subject: fmt.Sprint("z", z)})
				}
				for b.Loop() {
					store.Publish(second, observations)
					if len(store.PeerEntries(second)) == 0 {
						b.Fatal("PeerEntries returns no entries")
					}
				}
			})
		}
	}
}

// TestOlderCopyMovesSweepForward checks that an older copy of an entry makes it expire earlier, and that the
// sweep removes it at that time and not when the younger copy would have expired.
func TestOlderCopyMovesSweepForward(t *testing.T) {
	store := New(Identity{Name: "self"}, Limits{})
	e := Entry{Kind: ServerUnhealthy, Subject: "s", Observer: "a", Incarnation: 1, Seq: 1, ObservedAt: 2 * second, TTL: ServerUnhealthy.TTL()}
	store.Merge(2*second, []Entry{e})
	store.PeerEntries(2 * second)
	e.ObservedAt = second
	store.Merge(2*second, []Entry{e})
	for _, at := range []struct {
		now     int64
		entries int
	}{{4*second - 1, 1}, {4 * second, 0}} {
		store.PeerEntries(at.now)
		if n := store.Counts().Entries; n != at.entries {
			t.Errorf("at %d: %d entries, want %d", at.now, n, at.entries)
		}
	}
}

// TestPackReturnsFirstPacketOfEncode checks that Pack returns the first packet of Encode and the indices of
// the entries in it.
func TestPackReturnsFirstPacketOfEncode(t *testing.T) {
	all := entriesOfCluster(40, 2, 3, 1)
	all[3].Subject, all[7].TTL = "", 0 // invalid
	for from := 0; from < len(all); from += 5 {
		want := Encode(second, all[from:], 1400)[0]
		got, packed := Pack(second, all[from:], 1400)
		in, _, err := Decode(second, got)
		if !bytes.Equal(got, want) || err != nil || len(in) != len(packed) {
			t.Fatalf("from entry %d: Pack returns %d bytes, %d entries; Encode returns %d bytes; error %v",
				from, len(got), len(packed), len(want), err)
		}
		for i, at := range packed {
			if e := all[from+at]; in[i].Observer != e.Observer || in[i].Seq != e.Seq {
				t.Errorf("from entry %d: the packet has %+v where the index says %+v", from, in[i], e)
			}
		}
	}
	if data, packed := Pack(second, nil, 1400); data != nil || packed != nil {
		t.Error("Pack returns a packet without entries")
	}
}
