package state

import (
	"bytes"
	"fmt"
	"testing"
)

// crowd returns what many proxies publish of some of 200 servers each.
func entriesOfProxies(proxies, each int) (all []Entry) {
	for p := range proxies {
		store := New(Identity{fmt.Sprintf("proxy-%03d", p), fmt.Sprint("zone", p%3), 1_790_000_000_000 + int64(p)}, Limits{})
		var items []Observation
		for i := range each {
			items = append(items, Observation{ServerUnhealthy, fmt.Sprintf("nodo-%03d", (p+7*i)%200), 1_790_000_100_000,
				Body{Fault: 1, Calls: float64(10 + i), BadFraction: 0.7}})
		}
		all = append(all, store.Publish(0, items)...)
	}
	return all
}

func perEntry(b *testing.B, n int) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/entry")
}

func BenchmarkMerge(b *testing.B) {
	in := entriesOfProxies(100, 10)
	for _, of := range []string{"known", "renewed", "new"} {
		b.Run(of, func(b *testing.B) {
			store := New(Identity{Name: "self"}, Limits{})
			store.Merge(0, in)
			b.ReportAllocs()
			for b.Loop() {
				if of == "new" {
					store = New(Identity{Name: "self"}, Limits{})
				}
				if of == "renewed" {
					for i := range in {
						in[i].Seq += 1000
					}
				}
				store.Merge(0, in)
			}
			perEntry(b, len(in))
		})
	}
}

// Each entry is new, and another one is evicted for it.
func BenchmarkMergeAtLimits(b *testing.B) {
	in := entriesOfProxies(300, 10)
	store := New(Identity{Name: "self"}, Limits{Entries: 1500})
	b.ReportAllocs()
	for b.Loop() {
		store.Merge(0, in)
		for i := range in {
			in[i].Incarnation++
		}
	}
	perEntry(b, len(in))
}

func BenchmarkPeerEntries3000(b *testing.B) {
	store := New(Identity{Name: "self"}, Limits{})
	store.Merge(0, entriesOfProxies(300, 10))
	b.ReportAllocs()
	for b.Loop() {
		if len(store.PeerEntries(1)) != 3000 {
			b.Fatal("not all known")
		}
	}
}

func BenchmarkPublish200(b *testing.B) {
	store := New(Identity{Name: "self"}, Limits{})
	var items []Observation
	for i := range 200 {
		items = append(items, Observation{ServerLoad, fmt.Sprintf("nodo-%03d", i), 1, Body{Value: 1}})
	}
	b.ReportAllocs()
	for b.Loop() {
		store.Publish(1, items)
	}
}

func BenchmarkEncode(b *testing.B) {
	in := entriesOfProxies(100, 10)
	for _, most := range []int{1400, MaxPacketBytes} {
		b.Run(fmt.Sprint(most), func(b *testing.B) {
			var packets [][]byte
			b.ReportAllocs()
			for b.Loop() {
				packets = Encode(1, in, most)
			}
			perEntry(b, len(in))
			b.ReportMetric(float64(len(bytes.Join(packets, nil)))/float64(len(in)), "B/entry")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	in := entriesOfProxies(100, 10)
	data := bytes.Join(Encode(1, in, 1400), nil)
	b.ReportAllocs()
	for b.Loop() {
		if out, _, err := DecodeAll(1, data); err != nil || len(out) != len(in) {
			b.Fatal(len(out), err)
		}
	}
	perEntry(b, len(in))
}
