package state

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// TestEncodeDecodeRoundTrip checks that decoding returns the encoded entries with their ages in full
// milliseconds, and that no packet is longer than requested.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := entries(4).Draw(t, "in")
		for i := range in {
			in[i].Observer += string(bytes.Repeat([]byte("x"), rapid.IntRange(0, 120).Draw(t, "long")))
			in[i].ObservedAt -= rapid.Int64Range(0, millisecond-1).Draw(t, "within a millisecond")
			if e := &in[i]; e.Kind != Override {
				e.SubjectStartMs = rapid.SampledFrom([]int64{0, e.Incarnation, 7,
					maxWireInteger}).Draw(t, "start")
				e.Body.Value = rapid.Float64Range(0, maxBodyNumber).Draw(t, "value")
			}
		}
		maxBytes := rapid.IntRange(MinPacketBytes, 4*MinPacketBytes).Draw(t, "maxBytes")
		packets := Encode(testTime, in, maxBytes)
		for _, p := range packets {
			if len(p) > maxBytes {
				t.Fatalf("a packet has %d bytes, the limit is %d", len(p), maxBytes)
			}
		}
		got, skipped, err := DecodeAll(testTime, bytes.Join(packets, nil))
		if err != nil || skipped != (Skipped{}) {
			t.Fatal(skipped, err)
		}
		want := slices.DeleteFunc(slices.Clone(in), func(e Entry) bool {
			return e.ExpiresAt() != math.MaxInt64 && testTime-ageMs(testTime, &e)*millisecond+e.TTL <= testTime
		})
		for i := range want {
			want[i].ObservedAt = testTime - ageMs(testTime, &want[i])*millisecond
		}
		if !slices.Equal(got, want) {
			t.Fatalf("encoded\n%v\ndecoded\n%v", want, got)
		}
	})
}

// cborMap is a CBOR map with integer keys.
type cborMap map[int]any

// TestDecodeUnknownAndMalformed checks that Decode skips what a newer or a faulty program may send, and
// decodes the valid entry after it. It also checks that a packet that cannot be decoded gives a PacketError.
func TestDecodeUnknownAndMalformed(t *testing.T) {
	good := cborMap{1: ServerUnhealthy, 2: 1, 3: "s"}
	packet := func(version int, entries ...any) cborMap {
		return cborMap{1: version, 2: []any{cborMap{1: "o", 3: 5, 4: append(entries, good)}}}
	}
	for name, c := range map[string]struct {
		data any
		want Skipped
	}{
		"plain":              {packet(1), Skipped{}},
		"newer":              {packet(9), Skipped{NewerVersion: 1}},
		"unknown kind":       {packet(1, cborMap{1: 200, 2: "not a number", 99: cborMap{1: 2}}), Skipped{UnknownKinds: 1}},
		"kind beyond a byte": {packet(1, cborMap{1: 1 << 40, 2: 1, 3: "s"}), Skipped{UnknownKinds: 1}},
		"field in entry":     {packet(1, cborMap{1: ServerHealthy, 2: 1, 3: "s", 99: []any{"x", nil, 1.5}}), Skipped{UnknownFields: 1}},
		"named field":        {packet(1, map[any]any{1: ServerHealthy, 2: 1, 3: "s", "new": 1}), Skipped{UnknownFields: 1}},
		"field in group":     {cborMap{1: 1, 2: []any{cborMap{1: "o", 3: 5, 4: []any{good}, 99: true}}}, Skipped{UnknownFields: 1}},
		"field in packet":    {cborMap{1: 1, 2: []any{cborMap{1: "o", 3: 5, 4: []any{good}}}, 99: "x"}, Skipped{UnknownFields: 1}},
		"entry is not a map": {packet(1, 7), Skipped{Malformed: 1}},
		"empty entry":        {packet(1, cborMap{}), Skipped{UnknownKinds: 1}},
		"negative age":       {packet(1, cborMap{1: ServerUnhealthy, 2: 1, 3: "s", 4: -1}), Skipped{Malformed: 1}},
		"age out of range":   {packet(1, cborMap{1: ServerUnhealthy, 2: 1, 3: "s", 4: int64(1) << 62}), Skipped{Malformed: 1}},
		"TTL out of range":   {packet(1, cborMap{1: ServerUnhealthy, 2: 1, 3: "s", 5: int64(1) << 62}), Skipped{Malformed: 1}},
		"start out of range": {packet(1, cborMap{1: ServerUnhealthy, 2: 1, 3: "s", 7: int64(1) << 62}), Skipped{Malformed: 1}},
		"text for a number":  {packet(1, cborMap{1: ServerUnhealthy, 2: "1", 3: "s"}), Skipped{Malformed: 1}},
		"group is not a map": {cborMap{1: 1, 2: []any{3, cborMap{1: "o", 3: 5, 4: []any{good}}}}, Skipped{Malformed: 1}},
	} {
		data, err := cbor.Marshal(c.data)
		if err != nil {
			t.Fatal(err)
		}
		got, skipped, err := Decode(testTime, data)
		changed := New(Identity{Name: "self"}, Limits{}).Merge(testTime, got)
		if err != nil || skipped != c.want || len(changed) == 0 || changed[len(changed)-1].Subject != "s" ||
			changed[len(changed)-1].Incarnation != 5 {
			t.Errorf("%s: decoded %v, skipped %+v, error %v", name, got, skipped, err)
		}
	}
	data, _ := cbor.Marshal(packet(1))
	long, _ := cbor.Marshal(cborMap{1: 1, 99: make([]byte, MaxPacketBytes)})
	deep := bytes.Repeat([]byte{0x81}, 1000)
	for name, data := range map[string][]byte{
		"empty": {}, "cut": data[:len(data)-1], "trailing byte": append(slices.Clone(data), 0), "no version": {0xa0},
		"not a map": {0x01}, "long": long, "deep": append(deep, 0x80),
		"2^32 groups announced": {0xa2, 1, 1, 2, 0x9a, 0xff, 0xff, 0xff, 0xff}, "indefinite length": {0xbf, 1, 1, 0xff}, "tag": {0xc1, 0xa0},
	} {
		var bad *PacketError
		if got, _, err := Decode(testTime, data); !errors.As(err, &bad) || bad.Size != len(data) || got != nil {
			t.Errorf("%s: decoded %v, error %v", name, got, err)
		}
	}
	var bad *PacketError
	if got, _, err := DecodeAll(testTime, append(slices.Clone(data), 0xff)); len(got) != 1 || !errors.As(err, &bad) {
		t.Errorf("an invalid packet after a valid one: decoded %v, error %v", got, err)
	}
	if _, _, err := DecodeAll(testTime, make([]byte, MaxSequenceBytes+1)); !errors.As(err, &bad) {
		t.Error(err)
	}
}

// seeds adds valid and unknown packets to the corpus.
func seeds(f *testing.F) {
	store := New(Identity{Name: "p", Zone: "z", StartedAtMs: 1e12}, Limits{})
	store.Publish(testTime, []Observation{{ServerUnhealthy, "s", 2e12, Body{1, "", 10, 0.5, 0}}, {Kind: ZoneUnhealthy, Subject: "z", Body: Body{SubjectZone: "y"}}})
	store.Suspend(testTime, "s")
	for _, data := range Encode(testTime, store.Entries(testTime), MinPacketBytes) {
		f.Add(data)
	}
	unknown, _ := cbor.Marshal(cborMap{1: 2, 2: []any{cborMap{1: "o", 3: 5, 9: 9,
		4: []any{cborMap{1: 99}, cborMap{1: 1, 2: 1, 3: "s", 99: 9}, 3}}}})
	f.Add(unknown)
}

// FuzzDecode checks that any bytes give a limited number of entries, and that valid entries keep their values
// when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		got, skipped, err := Decode(testTime, data)
		if (err != nil && got != nil) || len(got) > MaxPacketBytes/8 || skipped.Malformed+skipped.UnknownKinds > MaxPacketBytes {
			t.Fatal(len(got), skipped, err)
		}
		again, skipped, err := DecodeAll(testTime, bytes.Join(Encode(testTime, got, MaxPacketBytes), nil))
		if err != nil || skipped != (Skipped{}) {
			t.Fatal(skipped, err)
		}
		got = slices.DeleteFunc(got, func(e Entry) bool { return !e.valid(testTime, MaxPacketBytes) || e.ExpiresAt() <= testTime })
		if !slices.Equal(again, got) {
			t.Fatalf("decoded\n%v\nencoded and decoded again\n%v", got, again)
		}
	})
}

// FuzzMerge checks that two packets of any bytes leave a store within its limits, and that their order does
// not matter.
func FuzzMerge(f *testing.F) {
	store := New(Identity{Name: "p", StartedAtMs: 1}, Limits{})
	observations := func(n int) (observations []Observation) {
		for i := range n {
			observations = append(observations, Observation{Kind: ServerUnhealthy, Subject: fmt.Sprint(i)})
		}
		return observations
	}
	for n := 1; n < 4; n++ {
		f.Add(Encode(testTime, store.Publish(testTime, observations(n)), 1500)[0],
			Encode(testTime, store.Entries(testTime), 1500)[0])
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		one, two := New(Identity{Name: "self", StartedAtMs: 5}, Limits{}), New(Identity{Name: "self", StartedAtMs: 5}, Limits{})
		first, _, _ := Decode(testTime, a)
		second, _, _ := Decode(testTime, b)
		one.Merge(testTime, first)
		one.Merge(testTime, second)
		two.Merge(testTime, second)
		two.Merge(testTime, first)
		c := one.Counts()
		if c.Entries > 20_000 || c.Own > 512 || c.Observers > 1024 || c.Suspended+c.Resumed > 4096 {
			t.Fatalf("a limit is exceeded: %+v", c)
		}
		if x, y := one.PeerEntries(testTime), two.PeerEntries(testTime); c.DroppedAtLimit+c.Evicted+two.Counts().DroppedAtLimit+two.Counts().Evicted == 0 && !slices.Equal(x, y) {
			t.Fatalf("the stores differ by the order of packets:\n%v\n%v", x, y)
		}
	})
}
