package state

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
)

// A fleet as one member sees it: each other member tells of some nodos' loads and of the zones.
func fleetOf(members, summaries, zones int, seq uint64) (all []Entry) {
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
	rand.New(rand.NewPCG(1, seq)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] }) // as gossip mixes them
	return all
}

// BenchmarkMembers gives what a view costs by members, summaries of nodos that each tells, and zones: bytes held for each
// member, the time of a datagram of renewed entries (decoded and merged), and of a turn (Say and Known).
func BenchmarkMembers(b *testing.B) {
	for _, members := range []int{30, 100, 300, 1300} {
		for _, of := range []struct{ summaries, zones int }{{1, 3}, {1, 9}, {10, 9}} {
			name := fmt.Sprintf("members=%d/summaries=%d/zones=%d", members, of.summaries, of.zones)
			limits := Limits{Observers: 4096} // the default has room for 1,024
			full := func() *Store {
				v := New(Identity{Name: "self", Zone: "z0"}, limits)
				v.Merge(second, fleetOf(members, of.summaries, of.zones, 1))
				return v
			}
			b.Run("bytes/"+name, func(b *testing.B) {
				held := 0.0
				for b.Loop() {
					var before, after runtime.MemStats
					runtime.GC()
					runtime.ReadMemStats(&before)
					v := full()
					runtime.GC()
					runtime.ReadMemStats(&after)
					held = float64(after.HeapAlloc) - float64(before.HeapAlloc)
					runtime.KeepAlive(v)
				}
				b.ReportMetric(held/float64(members), "B/member")
			})
			b.Run("datagram/"+name, func(b *testing.B) {
				v := full()
				var packets [][]byte
				seq := uint64(1)
				for i := 0; b.Loop(); i++ {
					if i%max(1, len(packets)) == 0 {
						b.StopTimer()
						seq += 1000
						packets = Encode(second, fleetOf(members, of.summaries, of.zones, seq), 1400)
						b.StartTimer()
					}
					in, _, err := Decode(second, packets[i%len(packets)])
					if err != nil {
						b.Fatal(err)
					}
					v.Merge(second, in)
				}
			})
			b.Run("turn/"+name, func(b *testing.B) {
				v := full()
				var items []Observation
				for z := range of.zones {
					items = append(items, Observation{Kind: ZoneHealthy, Subject: fmt.Sprint("z", z)})
				}
				for b.Loop() {
					v.Publish(second, items)
					if len(v.PeerEntries(second)) == 0 {
						b.Fatal("nothing known")
					}
				}
			})
		}
	}
}

// An older copy of what is held moves its end forward: the sweep has to come for it then, not when the younger one would
// have been forgotten.
func TestOlderCopyIsForgottenInTime(t *testing.T) {
	v := New(Identity{Name: "self"}, Limits{})
	e := Entry{Kind: ServerUnhealthy, Subject: "s", Observer: "a", Incarnation: 1, Seq: 1, ObservedAt: 2 * second, TTL: ServerUnhealthy.TTL()}
	v.Merge(2*second, []Entry{e})
	v.PeerEntries(2 * second)
	e.ObservedAt = second
	v.Merge(2*second, []Entry{e})
	for _, at := range []struct {
		now  int64
		held int
	}{{4*second - 1, 1}, {4 * second, 0}} {
		v.PeerEntries(at.now)
		if n := v.Counts().Entries; n != at.held {
			t.Errorf("at %d: %d entries are held, want %d", at.now, n, at.held)
		}
	}
}

// Pack gives what Encode gives first, and names the entries that are in it.
func TestPackIsTheFirstOfEncode(t *testing.T) {
	all := fleetOf(40, 2, 3, 1)
	all[3].Subject, all[7].TTL = "", 0 // not valid
	for from := 0; from < len(all); from += 5 {
		want := Encode(second, all[from:], 1400)[0]
		got, held := Pack(second, all[from:], 1400)
		in, _, err := Decode(second, got)
		if !bytes.Equal(got, want) || err != nil || len(in) != len(held) {
			t.Fatalf("from %d: %d bytes with %d entries, want %d bytes: %v", from, len(got), len(held), len(want), err)
		}
		for i, at := range held {
			if e := all[from+at]; in[i].Observer != e.Observer || in[i].Seq != e.Seq {
				t.Errorf("from %d: %+v is said to be %+v", from, in[i], e)
			}
		}
	}
	if data, held := Pack(second, nil, 1400); data != nil || held != nil {
		t.Error("a packet of nothing")
	}
}
