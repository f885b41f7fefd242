package state

import (
	"bytes"
	"fmt"
	"testing"
)

// entriesOfProxies returns the entries that proxies publish, each about some of 200 servers.
func entriesOfProxies(proxies, each int) (all []Entry) {
	for p := range proxies {
		store := New(Identity{fmt.Sprintf("proxy-%03d", p), fmt.Sprint("zone", p%3), 1_790_000_000_000 + int64(p)}, Limits{})
		var observations []Observation
		for i := range each {
			observations = append(observations, Observation{ServerUnhealthy,
				fmt.Sprintf("nodo-%03d", (p+7*i)%200), 1_790_000_100_000,
				Body{Fault: 1, Calls: float64(10 + i), BadFraction: 0.7}})
		}
		all = append(all, store.Publish(0, observations)...)
	}
	return all
}

// reportPerEntry reports the time per entry of a benchmark whose iterations process n entries.
func reportPerEntry(b *testing.B, n int) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/entry")
}

// BenchmarkMerge measures merging entries that are known, renewed or new.
func BenchmarkMerge(b *testing.B) {
	in := entriesOfProxies(100, 10)
	for _, variant := range []string{"known", "renewed", "new"} {
		b.Run(variant, func(b *testing.B) {
			store := New(Identity{Name: "self"}, Limits{})
			store.Merge(0, in)
			b.ReportAllocs()
			for b.Loop() {
				if variant == "new" {
					store = New(Identity{Name: "self"}, Limits{})
				}
				if variant == "renewed" {
					for i := range in {
						in[i].Seq += 1000
					}
				}
				store.Merge(0, in)
			}
			reportPerEntry(b, len(in))
		})
	}
}

// BenchmarkMergeAtLimits measures merging new entries, for each of which another one is evicted.
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
	reportPerEntry(b, len(in))
}

// BenchmarkPeerEntries3000 measures PeerEntries with 3,000 entries.
func BenchmarkPeerEntries3000(b *testing.B) {
	store := New(Identity{Name: "self"}, Limits{})
	store.Merge(0, entriesOfProxies(300, 10))
	b.ReportAllocs()
	for b.Loop() {
		if len(store.PeerEntries(1)) != 3000 {
			b.Fatal("PeerEntries does not return all 3,000 entries")
		}
	}
}

// BenchmarkPublish200 measures publishing 200 unchanged observations.
func BenchmarkPublish200(b *testing.B) {
	store := New(Identity{Name: "self"}, Limits{})
	var observations []Observation
	for i := range 200 {
		observations = append(observations, Observation{ServerLoad, fmt.Sprintf("nodo-%03d", i), 1,
			Body{Value: 1}})
	}
	b.ReportAllocs()
	for b.Loop() {
		store.Publish(1, observations)
	}
}

// BenchmarkEncode measures encoding 1,000 entries into packets of 1,400 bytes and of the maximum size.
func BenchmarkEncode(b *testing.B) {
	in := entriesOfProxies(100, 10)
	for _, maxBytes := range []int{1400, MaxPacketBytes} {
		b.Run(fmt.Sprint(maxBytes), func(b *testing.B) {
			var packets [][]byte
			b.ReportAllocs()
			for b.Loop() {
				packets = Encode(1, in, maxBytes)
			}
			reportPerEntry(b, len(in))
			b.ReportMetric(float64(len(bytes.Join(packets, nil)))/float64(len(in)), "B/entry")
		})
	}
}

// BenchmarkDecode measures decoding 1,000 entries.
func BenchmarkDecode(b *testing.B) {
	in := entriesOfProxies(100, 10)
	data := bytes.Join(Encode(1, in, 1400), nil)
	b.ReportAllocs()
	for b.Loop() {
		if out, _, err := DecodeAll(1, data); err != nil || len(out) != len(in) {
			b.Fatal(len(out), err)
		}
	}
	reportPerEntry(b, len(in))
}
