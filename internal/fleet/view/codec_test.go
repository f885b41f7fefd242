package view

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

func TestPackets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := entries(4).Draw(t, "in")
		for i := range in {
			in[i].Observer += string(bytes.Repeat([]byte("x"), rapid.IntRange(0, 120).Draw(t, "long")))
			in[i].Made -= rapid.Int64Range(0, milli-1).Draw(t, "within a millisecond")
			if e := &in[i]; e.Kind != Hand {
				e.Start = rapid.SampledFrom([]int64{0, e.Incarnation, 7, mostStamp}).Draw(t, "start")
				e.Body.Value = rapid.Float64Range(0, mostNumber).Draw(t, "value")
			}
		}
		most := rapid.IntRange(LeastPacket, 4*LeastPacket).Draw(t, "most")
		packets := Encode(at, in, most)
		for _, p := range packets {
			if len(p) > most {
				t.Fatalf("%d bytes of %d", len(p), most)
			}
		}
		got, skipped, err := DecodeAll(at, bytes.Join(packets, nil))
		if err != nil || skipped != (Skipped{}) {
			t.Fatal(skipped, err)
		}
		want := slices.DeleteFunc(slices.Clone(in), func(e Entry) bool {
			return e.End() != math.MaxInt64 && at-age(at, &e)*milli+e.Life <= at
		})
		for i := range want {
			want[i].Made = at - age(at, &want[i])*milli
		}
		if !slices.Equal(got, want) {
			t.Fatalf("sent\n%v\nand got\n%v", want, got)
		}
	})
}

type fields map[int]any

// What a newer or a broken program may send, beside one good entry.
func TestOddPackets(t *testing.T) {
	good := fields{1: ServerBad, 2: 1, 3: "s"}
	packet := func(version int, entries ...any) fields {
		return fields{1: version, 2: []any{fields{1: "o", 3: 5, 4: append(entries, good)}}}
	}
	for name, c := range map[string]struct {
		data any
		want Skipped
	}{
		"plain":              {packet(1), Skipped{}},
		"newer":              {packet(9), Skipped{Newer: 1}},
		"unknown kind":       {packet(1, fields{1: 200, 2: "not a number", 99: fields{1: 2}}), Skipped{Kinds: 1}},
		"kind over a byte":   {packet(1, fields{1: 1 << 40, 2: 1, 3: "s"}), Skipped{Kinds: 1}},
		"field in entry":     {packet(1, fields{1: ServerWell, 2: 1, 3: "s", 99: []any{"x", nil, 1.5}}), Skipped{Fields: 1}},
		"named field":        {packet(1, map[any]any{1: ServerWell, 2: 1, 3: "s", "new": 1}), Skipped{Fields: 1}},
		"field in group":     {fields{1: 1, 2: []any{fields{1: "o", 3: 5, 4: []any{good}, 99: true}}}, Skipped{Fields: 1}},
		"field in packet":    {fields{1: 1, 2: []any{fields{1: "o", 3: 5, 4: []any{good}}}, 99: "x"}, Skipped{Fields: 1}},
		"entry of no map":    {packet(1, 7), Skipped{Bad: 1}},
		"empty entry":        {packet(1, fields{}), Skipped{Kinds: 1}},
		"age under 0":        {packet(1, fields{1: ServerBad, 2: 1, 3: "s", 4: -1}), Skipped{Bad: 1}},
		"age over all":       {packet(1, fields{1: ServerBad, 2: 1, 3: "s", 4: int64(1) << 62}), Skipped{Bad: 1}},
		"life over all":      {packet(1, fields{1: ServerBad, 2: 1, 3: "s", 5: int64(1) << 62}), Skipped{Bad: 1}},
		"start over all":     {packet(1, fields{1: ServerBad, 2: 1, 3: "s", 7: int64(1) << 62}), Skipped{Bad: 1}},
		"a text for a count": {packet(1, fields{1: ServerBad, 2: "1", 3: "s"}), Skipped{Bad: 1}},
		"group of no map":    {fields{1: 1, 2: []any{3, fields{1: "o", 3: 5, 4: []any{good}}}}, Skipped{Bad: 1}},
	} {
		data, err := cbor.Marshal(c.data)
		if err != nil {
			t.Fatal(err)
		}
		got, skipped, err := Decode(at, data)
		news := New(Self{Name: "self"}, Limits{}).Merge(at, got)
		if err != nil || skipped != c.want || len(news) == 0 || news[len(news)-1].Subject != "s" ||
			news[len(news)-1].Incarnation != 5 {
			t.Errorf("%s: %v, %+v, %v", name, got, skipped, err)
		}
	}
	data, _ := cbor.Marshal(packet(1))
	long, _ := cbor.Marshal(fields{1: 1, 99: make([]byte, MostPacket)})
	deep := bytes.Repeat([]byte{0x81}, 1000)
	for name, data := range map[string][]byte{
		"nothing": {}, "cut": data[:len(data)-1], "more": append(slices.Clone(data), 0), "no version": {0xa0},
		"no map": {0x01}, "long": long, "deep": append(deep, 0x80),
		"a claim of 2^32 groups": {0xa2, 1, 1, 2, 0x9a, 0xff, 0xff, 0xff, 0xff}, "no end": {0xbf, 1, 1, 0xff}, "tag": {0xc1, 0xa0},
	} {
		var bad *PacketError
		if got, _, err := Decode(at, data); !errors.As(err, &bad) || bad.Size != len(data) || got != nil {
			t.Errorf("%s: %v %v", name, got, err)
		}
	}
	var bad *PacketError
	if got, _, err := DecodeAll(at, append(slices.Clone(data), 0xff)); len(got) != 1 || !errors.As(err, &bad) {
		t.Errorf("%v %v", got, err)
	}
	if _, _, err := DecodeAll(at, make([]byte, MostSequence+1)); !errors.As(err, &bad) {
		t.Error(err)
	}
}

func seeds(f *testing.F) {
	v := New(Self{Name: "p", Zone: "z", Start: 1e12}, Limits{})
	v.Say(at, []Item{{ServerBad, "s", 2e12, Body{1, "", 10, 0.5, 0}}, {Kind: ZoneBad, Subject: "z", Body: Body{Of: "y"}}})
	v.Suspend(at, "s")
	for _, data := range Encode(at, v.All(at), LeastPacket) {
		f.Add(data)
	}
	odd, _ := cbor.Marshal(fields{1: 2, 2: []any{fields{1: "o", 3: 5, 9: 9, 4: []any{fields{1: 99}, fields{1: 1, 2: 1, 3: "s", 99: 9}, 3}}}})
	f.Add(odd)
}

// Any bytes give bounded entries, and those that a view takes in go out as they are.
func FuzzDecode(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		got, skipped, err := Decode(at, data)
		if (err != nil && got != nil) || len(got) > MostPacket/8 || skipped.Bad+skipped.Kinds > MostPacket {
			t.Fatal(len(got), skipped, err)
		}
		again, skipped, err := DecodeAll(at, bytes.Join(Encode(at, got, MostPacket), nil))
		if err != nil || skipped != (Skipped{}) {
			t.Fatal(skipped, err)
		}
		got = slices.DeleteFunc(got, func(e Entry) bool { return !e.valid(at, MostPacket) || e.End() <= at })
		if !slices.Equal(again, got) {
			t.Fatalf("%v\n%v", got, again)
		}
	})
}

// Two packets of any bytes leave a view within its bounds, and the same in either order.
func FuzzMerge(f *testing.F) {
	v := New(Self{Name: "p", Start: 1}, Limits{})
	items := func(n int) (items []Item) {
		for i := range n {
			items = append(items, Item{Kind: ServerBad, Subject: fmt.Sprint(i)})
		}
		return items
	}
	for n := 1; n < 4; n++ {
		f.Add(Encode(at, v.Say(at, items(n)), 1500)[0], Encode(at, v.All(at), 1500)[0])
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		one, two := New(Self{Name: "self", Start: 5}, Limits{}), New(Self{Name: "self", Start: 5}, Limits{})
		first, _, _ := Decode(at, a)
		second, _, _ := Decode(at, b)
		one.Merge(at, first)
		one.Merge(at, second)
		two.Merge(at, second)
		two.Merge(at, first)
		c := one.Counts()
		if c.Entries > 20_000 || c.Own > 512 || c.Observers > 1024 || c.Suspended+c.Resumed > 4096 {
			t.Fatalf("%+v", c)
		}
		if x, y := one.Known(at), two.Known(at); c.Over+c.Crowded+two.Counts().Over+two.Counts().Crowded == 0 && !slices.Equal(x, y) {
			t.Fatalf("%v\n%v", x, y)
		}
	})
}
