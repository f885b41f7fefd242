package queue

import (
	"fmt"
	"testing"

	"merlinpick/internal/cluster/state"
)

const maxPacketBytes = 1400

// TestEntriesAreSentTheirNumberOfTimes checks that each entry is sent as often as requested, with its age at
// that time, and not after its expiry, and that a full queue drops entries.
func TestEntriesAreSentTheirNumberOfTimes(t *testing.T) {
	newEntries := func(n int) (out []state.Entry) {
		for i := range n {
			out = append(out, state.Entry{Kind: state.ServerFlap, Subject: fmt.Sprint("s", i), Observer: "a", Incarnation: 1,
				Seq: uint64(i + 1), ObservedAt: 1000, TTL: state.ServerFlap.TTL()})
		}
		return out
	}
	q := New(func() int { return 3 })
	entries := newEntries(100)
	q.Add(entries)
	q.Add(entries) // replaces the same entries
	sent := map[string]int{}
	now := int64(1000)
	for p := q.NextPacket(now, maxPacketBytes); p != nil; p = q.NextPacket(now, maxPacketBytes) {
		if now += 5000; len(p) > maxPacketBytes {
			t.Fatalf("a packet has %d bytes, over the limit", len(p))
		}
		in, _, err := state.Decode(now, p)
		for _, e := range in {
			if sent[e.Subject]++; e.ObservedAt > 1000+5000 || err != nil {
				t.Fatalf("a packet of time %d has an entry observed at %d, want at most 6000; error %v", now,
					e.ObservedAt, err)
			}
		}
	}
	if len(sent) != 100 {
		t.Errorf("%d of 100 entries were sent", len(sent))
	}
	for s, n := range sent {
		if n != 3 {
			t.Errorf("%s was sent %d times, want 3", s, n)
		}
	}
	q.Add(entries)
	p := q.NextPacket(entries[0].ExpiresAt(), maxPacketBytes)
	if n, _, _ := q.Counts(); p != nil || n != 0 {
		t.Errorf("%d expired entries are waiting, %d bytes were sent", n, len(p))
	}
	q.Add(newEntries(MaxEntries + 100))
	if n, _, dropped := q.Counts(); n != MaxEntries || dropped != 100 {
		t.Errorf("%d entries wait and %d were dropped after adding 100 too many", n, dropped)
	}
}

// TestUrgentEntriesGoFirst checks that fault reports are sent before health reports, even if these fill the
// datagrams, and that each datagram still has health reports.
func TestUrgentEntriesGoFirst(t *testing.T) {
	q := New(func() int { return 4 })
	addEntries := func(kind state.Kind, n int) {
		for i := range n {
			q.Add([]state.Entry{{Kind: kind, Subject: fmt.Sprint(kind, i), Observer: "a", Incarnation: 1, Seq: uint64(i + 1),
				ObservedAt: 1000, TTL: kind.TTL()}})
		}
	}
	addEntries(state.ServerUnhealthy, 3)
	addEntries(state.ZoneHealthy, 500)
	unhealthy := 0
	for n := 1; n <= 8; n++ {
		in, _, _ := state.Decode(1000, q.NextPacket(1000, maxPacketBytes))
		healthy := 0
		for _, e := range in {
			if e.Kind == state.ZoneHealthy {
				healthy++
			} else if n == 1 {
				unhealthy++
			}
		}
		if healthy == 0 {
			t.Errorf("no health report in packet %d", n)
		}
	}
	if unhealthy != 3 {
		t.Errorf("%d of 3 fault reports are in the first packet", unhealthy)
	}
}

// BenchmarkNextPacketOfFullQueue measures NextPacket for the full queue of a large cluster. After each packet
// about as many entries are added as it holds.
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
