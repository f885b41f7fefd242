package queue

import (
	"fmt"
	"testing"

	"merlinpick/internal/cluster/state"
)

const maxPacketBytes = 1400

// Each entry is sent the given number of times, with its age at that time, and not after its expiry.
func TestEntriesAreSentTheirNumberOfTimes(t *testing.T) {
	made := func(n int) (out []state.Entry) {
		for i := range n {
			out = append(out, state.Entry{Kind: state.ServerFlap, Subject: fmt.Sprint("s", i), Observer: "a", Incarnation: 1,
				Seq: uint64(i + 1), ObservedAt: 1000, TTL: state.ServerFlap.TTL()})
		}
		return out
	}
	q := New(func() int { return 3 })
	entries := made(100)
	q.Add(entries)
	q.Add(entries) // replaces the same entries
	sent := map[string]int{}
	now := int64(1000)
	for p := q.NextPacket(now, maxPacketBytes); p != nil; p = q.NextPacket(now, maxPacketBytes) {
		if now += 5000; len(p) > maxPacketBytes {
			t.Fatalf("a packet of %d bytes", len(p))
		}
		in, _, err := state.Decode(now, p)
		for _, e := range in {
			if sent[e.Subject]++; e.ObservedAt > 1000+5000 || err != nil {
				t.Fatalf("at %d: made at %d: %v", now, e.ObservedAt, err)
			}
		}
	}
	if len(sent) != 100 {
		t.Errorf("%d were sent", len(sent))
	}
	for s, n := range sent {
		if n != 3 {
			t.Errorf("%s was sent %d times", s, n)
		}
	}
	q.Add(entries)
	p := q.NextPacket(entries[0].ExpiresAt(), maxPacketBytes)
	if n, _, _ := q.Counts(); p != nil || n != 0 {
		t.Errorf("%d expired entries wait, %d bytes were sent", n, len(p))
	}
	q.Add(made(MaxEntries + 100))
	if n, _, dropped := q.Counts(); n != MaxEntries || dropped != 100 {
		t.Errorf("%d wait, %d were dropped", n, dropped)
	}
}

// Fault reports go before health reports, also where these fill the datagrams; health reports still go in the end.
func TestUrgentEntriesGoFirst(t *testing.T) {
	q := New(func() int { return 4 })
	made := func(kind state.Kind, n int) {
		for i := range n {
			q.Add([]state.Entry{{Kind: kind, Subject: fmt.Sprint(kind, i), Observer: "a", Incarnation: 1, Seq: uint64(i + 1),
				ObservedAt: 1000, TTL: kind.TTL()}})
		}
	}
	made(state.ServerUnhealthy, 3)
	made(state.ZoneHealthy, 500)
	bad := 0
	for n := 1; n <= 8; n++ {
		in, _, _ := state.Decode(1000, q.NextPacket(1000, maxPacketBytes))
		well := 0
		for _, e := range in {
			if e.Kind == state.ZoneHealthy {
				well++
			} else if n == 1 {
				bad++
			}
		}
		if well == 0 {
			t.Errorf("no health report in packet %d", n)
		}
	}
	if bad != 3 {
		t.Errorf("%d of three fault reports went at once", bad)
	}
}

// A full queue of a large cluster: each packet takes what fits, and as many entries are added.
func BenchmarkNextPacketOfFullQueue(b *testing.B) {
	q := New(func() int { return TransmitCount(1300) })
	entries := make([]state.Entry, 1<<16)
	for i := range entries {
		entries[i] = state.Entry{Kind: state.ServerLoad, Subject: fmt.Sprintf("nodo-%04d", i%2600),
			Observer: fmt.Sprintf("proxy-%04d", i%1300), ObserverZone: "z1", Incarnation: 1_790_000_000_000, Seq: uint64(i + 1),
			SubjectStartMs: 1_790_000_000_000, ObservedAt: 1000, TTL: state.ServerLoad.TTL(), Body: state.Body{Calls: 100, Value: 1500}}
	}
	q.Add(entries[:MaxEntries])
	b.ReportAllocs()
	for i := 0; b.Loop(); i = (i + 32) % len(entries) {
		if q.NextPacket(1000, maxPacketBytes) == nil {
			b.Fatal("nothing to send")
		}
		q.Add(entries[i : i+32])
	}
}
