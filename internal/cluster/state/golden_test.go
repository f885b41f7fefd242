package state

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

var record = flag.Bool("golden.record", false, "write golden files that do not exist yet")

// golden compares data with a golden file. Existing files are never written: later versions must be able to
// read them.
func golden(t *testing.T, name string, data []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if os.IsNotExist(err) && *record {
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
		want = data
	} else if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(data, want) {
		t.Errorf("%s: the bytes differ from the golden file\ngot  %q\nwant %q", name, data, want)
	}
	return want
}

// printEntries writes the values of entries without the names of Go fields, so that renaming a field does not
// change golden files and hashes.
func printEntries(w io.Writer, label string, entries []Entry) {
	fmt.Fprintln(w, label, len(entries))
	for _, e := range entries {
		fmt.Fprintln(w, uint8(e.Kind), e.Withdrawn, e.Subject, e.SubjectStartMs, e.Observer, e.ObserverZone, e.Incarnation, e.Seq, e.ObservedAt, e.TTL,
			e.Body.Fault, e.Body.SubjectZone, e.Body.Calls, e.Body.BadFraction, e.Body.Value)
	}
}

// everyKind returns an entry and a withdrawal of each kind, a suspension, a resumption, and entries with
// extreme values.
func everyKind() []Entry {
	const started = 1_790_000_000_000
	var entries []Entry
	for kind := ServerUnhealthy; kind < Override; kind++ {
		entries = append(entries,
			Entry{Kind: kind, Subject: "server-1", SubjectStartMs: started + 5, Observer: "proxy-a", ObserverZone: "zone-1", Incarnation: started,
				Seq: uint64(kind), ObservedAt: testTime - int64(kind)*millisecond, TTL: kind.TTL(),
				Body: Body{Fault: uint8(kind) % 5, SubjectZone: "zone-2", Calls: 100, BadFraction: 0.25, Value: 1500}},
			Entry{Kind: kind, Withdrawn: true, Subject: "server-2", Observer: "proxy-a", ObserverZone: "zone-1", Incarnation: started,
				Seq: 100 + uint64(kind), ObservedAt: testTime - 1, TTL: second})
	}
	return append(entries,
		Entry{Kind: Override, Subject: "server-1", Observer: "proxy-b", Seq: 7, ObservedAt: testTime - 3600*second},
		Entry{Kind: Override, Withdrawn: true, Subject: "server-3", Observer: "proxy-b", Seq: 8, ObservedAt: testTime - second, TTL: resumptionTTL},
		Entry{Kind: ServerUnhealthy, Subject: "same-start", SubjectStartMs: started, Observer: "proxy-c", Incarnation: started, Seq: 1 << 40,
			ObservedAt: testTime, TTL: ServerUnhealthy.TTL(),
			Body: Body{Fault: 200, Calls: maxBodyNumber, BadFraction: 1, Value: 0.0625}},
		Entry{Kind: ServerLoad, Subject: "earlier-start", SubjectStartMs: 1, Observer: "proxy-c",
			Incarnation: started, Seq: maxWireInteger,
			ObservedAt: testTime - 4*second, TTL: 4500 * millisecond})
}

// TestPacketsMatchGoldenFile checks the bytes of gossip packets with entries of every kind, in packets of
// 1,400 bytes.
func TestPacketsMatchGoldenFile(t *testing.T) {
	data := golden(t, "packets.cbor", bytes.Join(Encode(testTime, everyKind(), 1400), nil))
	checkDecoded(t, data, "packets.txt")
}

// TestFullExchangeMatchesGoldenFile checks the bytes of a full exchange of a store with own entries, entries
// of peers and overrides.
func TestFullExchangeMatchesGoldenFile(t *testing.T) {
	store := New(Identity{Name: "self", Zone: "zone-1", StartedAtMs: 1_790_000_000_123}, Limits{})
	observations := []Observation{{ServerUnhealthy, "s1", 1_790_000_000_000,
		Body{Fault: 1, Calls: 10, BadFraction: 0.5}},
		{ZoneUnhealthy, "zone-2", 0, Body{Fault: 2, SubjectZone: "zone-3", Calls: 20, BadFraction: 0.75}}, {ServerLoad, "s2", 7, Body{Calls: 3, Value: 12345}}}
	store.Publish(testTime-second, observations)
	store.Publish(testTime-second/2, observations[1:])
	store.Merge(testTime, everyKind())
	for i, server := range []string{"s1", "s2", "s3"} {
		if _, err := store.Suspend(testTime, server); err != nil {
			t.Fatal(err)
		}
		if i == 1 {
			if _, err := store.Resume(testTime, server); err != nil {
				t.Fatal(err)
			}
		}
	}
	data := golden(t, "exchange.cbor", bytes.Join(Encode(testTime, store.Entries(testTime), MaxPacketBytes), nil))
	checkDecoded(t, data, "exchange.txt")
}

// checkDecoded decodes packets and compares the entries with a golden file.
func checkDecoded(t *testing.T, data []byte, name string) {
	t.Helper()
	entries, skipped, err := DecodeAll(testTime, data)
	if err != nil || skipped != (Skipped{}) {
		t.Fatalf("%s: decoding skipped %+v, error %v", name, skipped, err)
	}
	var text bytes.Buffer
	printEntries(&text, "entries", entries)
	golden(t, name, text.Bytes())
}

// playStores runs a random sequence of calls with a fixed seed on four stores and returns a hash of all
// results. The labels in the hashed text must stay, as the golden hash depends on them.
func playStores(seed uint64) string {
	random, hash := rand.New(rand.NewPCG(seed, 1)), sha256.New()
	start := func(i int, at int64) *Store {
		return New(Identity{Name: fmt.Sprint("p", i), Zone: fmt.Sprint("z", i%2), StartedAtMs: at}, Limits{Entries: 40, EntriesPerObserver: 12, Observers: 3, Overrides: 4})
	}
	stores := make([]*Store, 4)
	for i := range stores {
		stores[i] = start(i, 1000)
	}
	now := int64(testTime)
	for step := range 4000 {
		i := random.IntN(len(stores))
		store := stores[i]
		name := fmt.Sprint("s", random.IntN(6))
		var out []Entry
		var err error
		switch random.IntN(12) {
		case 0, 1, 2, 3:
			var observations []Observation
			for range 2 + random.IntN(20) {
				observations = append(observations, Observation{Kind(1 + random.IntN(6)),
					fmt.Sprint("s", random.IntN(9)), int64(random.IntN(3)), Body{
						Fault: uint8(random.IntN(3)), Calls: float64(random.IntN(50)),
						BadFraction: random.Float64(), Value: float64(random.IntN(3))}})
			}
			out = store.Publish(now, observations)
		case 4, 5, 6:
			out = store.Entries(now)
		case 7:
			out, err = store.Suspend(now, name)
		case 8:
			out, err = store.Resume(now, name)
		case 9:
			records := store.OverrideRecords(now)
			for _, r := range records {
				fmt.Fprintln(hash, "override", r.Subject, r.Suspended, r.Version, r.Actor, r.AgeMs)
			}
			if random.IntN(4) == 0 {
				stores[i] = start(i, 990+int64(random.IntN(step/50+20)))
				fmt.Fprintln(hash, "restored", stores[i].RestoreOverrides(now, records))
			}
		default:
			now += random.Int64N(600 * millisecond)
		}
		fmt.Fprintln(hash, step, i, now, err != nil)
		printEntries(hash, "out", out)
		for _, packet := range Encode(now, out, MinPacketBytes) {
			for j, to := range stores {
				if j != i && random.IntN(3) > 0 {
					in, skipped, err := Decode(now+random.Int64N(20*millisecond), packet)
					changed := to.Merge(now+20*millisecond, in)
					fmt.Fprintln(hash, "merge", j, skipped.UnknownKinds, skipped.UnknownFields, skipped.Malformed, skipped.NewerVersion, err != nil)
					printEntries(hash, "news", changed)
				}
			}
		}
		printEntries(hash, "known", store.PeerEntries(now))
		suspended := store.SuspendedServers(now)
		for s := range 6 {
			fmt.Fprint(hash, suspended[fmt.Sprint("s", s)], " ")
		}
		c := store.Counts()
		fmt.Fprintln(hash, c.Advertised, c.Renewed, c.Withdrawn, c.Omitted, c.Accepted, c.Duplicates, c.ExpiredOnArrival, c.Superseded, c.SelfConflicts, c.Invalid,
			c.DroppedAtLimit, c.Evicted, c.Expired, c.Own, c.Entries, c.Observers, c.Suspended, c.Resumed)
	}
	return fmt.Sprintf("%x", hash.Sum(nil)[:8])
}

// TestPlayedSequenceMatchesGoldenHash checks everything that stores return in a random sequence of calls, and
// that the hash notices a changed constant.
func TestPlayedSequenceMatchesGoldenHash(t *testing.T) {
	const want = "0003b4fa2114f9a8"
	if got := playStores(1); got != want {
		t.Errorf("the hash of the sequence is %s, want %s", got, want)
	}
	for kind, change := range map[Kind]func(*kindParams){
		ServerUnhealthy: func(p *kindParams) { p.updateInterval -= 150 * millisecond },
		ZoneHealthy:     func(p *kindParams) { p.ttl += 50 * millisecond },
		ServerFlap:      func(p *kindParams) { p.maxPerObserver = 3 },
	} {
		original := paramsByKind[kind]
		change(&paramsByKind[kind])
		if playStores(1) == want {
			t.Errorf("the hash does not change with the parameters of %v", kind)
		}
		paramsByKind[kind] = original
	}
	if slices.Contains([]string{playStores(2), playStores(3)}, want) {
		t.Error("another seed gives the same hash")
	}
}
