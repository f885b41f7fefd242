package state

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const at = 100 * second // the time of the tests that need but one

// entries draws valid entries of few keys, so that they meet: with copies of other ages, incarnations, withdrawals,
// hands, and twins that tell different things under one number.
func entries(names int) *rapid.Generator[[]Entry] {
	name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("n", rapid.IntRange(1, names).Draw(t, "name")) })
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
		e := Entry{
			Kind: rapid.SampledFrom([]Kind{ServerUnhealthy, ServerFlap, Override}).Draw(t, "kind"), Subject: name.Draw(t, "subject"),
			Withdrawn: rapid.IntRange(0, 3).Draw(t, "gone") == 0, Observer: name.Draw(t, "observer"),
			ObserverZone: "z", Seq: rapid.Uint64Range(1, 4).Draw(t, "seq"),
			Body: Body{Fault: rapid.Uint8Range(0, 1).Draw(t, "cause")},
		}
		if e.Kind != Override {
			e.SubjectStartMs = rapid.Int64Range(0, 2).Draw(t, "start")
			e.Incarnation = rapid.Int64Range(1, 2).Draw(t, "incarnation")
		}
		if e.Kind != Override || e.Withdrawn {
			e.TTL = rapid.Int64Range(1, e.Kind.TTL()/millisecond).Draw(t, "life") * millisecond
		}
		e.ObservedAt = at - rapid.Int64Range(0, max(e.TTL, second)/millisecond).Draw(t, "age")*millisecond
		return e
	}), 0, 40)
}

func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := entries(2).Draw(t, "in")
		one, two := New(Identity{Name: "a"}, Limits{}), New(Identity{Name: "b"}, Limits{})
		for _, e := range in {
			one.Merge(at, []Entry{e})
		}
		want := one.Entries(at)
		cut := rapid.IntRange(0, len(in)).Draw(t, "cut")
		two.Merge(at, in[cut:])
		for range 2 {
			three := New(Identity{Name: "c"}, Limits{})
			three.Merge(at, rapid.Permutation(in[:cut]).Draw(t, "order"))
			two.Merge(at, rapid.Permutation(three.Entries(at)).Draw(t, "relayed"))
			if got := two.Entries(at); !slices.Equal(got, want) {
				t.Fatalf("in another order, by relay, doubled:\n%v\n%v", got, want)
			}
		}
		if news := two.Merge(at, want); len(news) != 0 {
			t.Fatalf("known, and news: %v", news)
		}
	})
}

// Under a flood nothing passes its bound, own entries stay, all is counted, and in the end all is given back.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lim := Limits{Entries: 12, EntriesPerObserver: 5, Observers: 4, Overrides: 3}
		v := New(Identity{Name: "self", StartedAtMs: 1}, lim)
		var said []Observation
		merged := uint64(0)
		now := int64(at)
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "say") {
				said = nil
				for i := range rapid.IntRange(0, 9).Draw(t, "items") {
					said = append(said, Observation{Kind: ServerFlap, Subject: fmt.Sprint(i * rapid.IntRange(1, 3).Draw(t, "of"))})
				}
				v.Publish(now, said)
			}
			in := entries(8).Draw(t, "in")
			for i := range in {
				in[i].ObservedAt += now - at
			}
			v.Merge(now, in)
			merged += uint64(len(in))
			now += rapid.Int64Range(0, 2*second).Draw(t, "wait")
			c := v.Counts()
			sum, own := 0, 0
			for _, o := range v.peers {
				sum += len(o.entries)
				if len(o.entries) > lim.EntriesPerObserver {
					t.Fatalf("%d entries of one observer", len(o.entries))
				}
			}
			if c.Entries > lim.Entries || c.Own > lim.EntriesPerObserver || c.Observers > lim.Observers || sum != c.Entries ||
				c.Suspended+c.Resumed > lim.Overrides {
				t.Fatalf("%d entries held, %+v", sum, c)
			}
			if n := c.Accepted + c.Duplicates + c.ExpiredOnArrival + c.Superseded + c.SelfConflicts + c.Invalid + c.DroppedAtLimit; n != merged {
				t.Fatalf("%d of %d counted: %+v", n, merged, c)
			}
			for _, e := range v.own.entries {
				if !e.Withdrawn {
					own++
				}
			}
			if want := len(v.admit(said)); own != want {
				t.Fatalf("%d own entries of %d", own, want)
			}
		}
		v.Publish(now, nil)
		now += observerRetention + 2*60*second
		v.PeerEntries(now)
		v.Publish(now, nil)
		if c := v.Counts(); c.Own+c.Entries+c.Observers != 0 {
			t.Fatalf("kept: %+v", c)
		}
	})
}

func tell(kind Kind, subject string, seq uint64, made, life int64) Entry {
	return Entry{Kind: kind, Subject: subject, Observer: "o", Incarnation: 1, Seq: seq, ObservedAt: made, TTL: life}
}

func TestEnds(t *testing.T) {
	v := New(Identity{Name: "self"}, Limits{})
	for _, made := range []int64{at - 1, at - 2, at - 1} { // the oldest copy counts
		v.Merge(at, []Entry{tell(ServerUnhealthy, "s", 1, made, second)})
	}
	if n := len(v.PeerEntries(at + second - 3)); n != 1 {
		t.Error("ended before its time")
	}
	if n := len(v.PeerEntries(at + second - 2)); n != 0 {
		t.Error("known after its end")
	}
	// A withdrawal that ended, and is forgotten, ends nothing else that was told before it.
	gone := tell(ServerFlap, "s", 9, at, 30*second)
	gone.Withdrawn = true
	v.Merge(at, []Entry{gone})
	v.PeerEntries(at + 31*second)
	if news := v.Merge(at+31*second, []Entry{tell(ServerFlap, "r", 8, at-1, 60*second)}); len(news) != 1 {
		t.Error("taken for ended")
	}
}

// Of a crowd the entry nearest its end goes, be it the one that comes.
func TestCrowd(t *testing.T) {
	v := New(Identity{Name: "self"}, Limits{})
	most := rulesByKind[ZoneUnhealthy].maxPerObserver
	for i := range most {
		v.Merge(at, []Entry{tell(ZoneUnhealthy, fmt.Sprint("z", i), uint64(i+2), at, 3*second)})
	}
	v.Merge(at, []Entry{tell(ZoneUnhealthy, "first", 1, at-1, 3*second), tell(ZoneUnhealthy, "last", uint64(most+2), at, 3*second)})
	known := v.PeerEntries(at)
	for i := range known {
		if known[i].Subject == "z0" || known[i].Subject == "first" {
			t.Error(known[i])
		}
	}
	if c := v.Counts(); len(known) != most || c.Evicted != 1 || c.DroppedAtLimit != 1 {
		t.Errorf("%d known, %+v", len(known), c)
	}
}

func TestNotValid(t *testing.T) {
	good := Entry{Kind: ServerUnhealthy, Subject: "s", Observer: "o", Incarnation: 1, Seq: 1, ObservedAt: at, TTL: 3 * second}
	long := string(make([]byte, 129))
	for name, spoil := range map[string]func(*Entry){
		"kind 0": func(e *Entry) { e.Kind = 0 }, "kind unknown": func(e *Entry) { e.Kind = kindCount },
		"age under 0": func(e *Entry) { e.ObservedAt++ }, "age without end": func(e *Entry) { e.ObservedAt = math.MinInt64 },
		"life over the kind's": func(e *Entry) { e.TTL++ }, "no life": func(e *Entry) { e.TTL = 0 },
		"no subject": func(e *Entry) { e.Subject = "" }, "long subject": func(e *Entry) { e.Subject = long },
		"no observer": func(e *Entry) { e.Observer = "" }, "long zone": func(e *Entry) { e.ObserverZone = long },
		"long of": func(e *Entry) { e.Body.SubjectZone = long }, "no text": func(e *Entry) { e.Subject = "\xff" },
		"bad over 1": func(e *Entry) { e.Body.BadFraction = 1.1 }, "NaN": func(e *Entry) { e.Body.Calls = math.NaN() },
		"infinite": func(e *Entry) { e.Body.Value = math.Inf(1) }, "under 0": func(e *Entry) { e.Body.Calls = -1 },
		"seq 0": func(e *Entry) { e.Seq = 0 }, "start": func(e *Entry) { e.SubjectStartMs = -1 },
		"incarnation": func(e *Entry) { e.Incarnation = maxStamp + 1 },
		"hand with life": func(e *Entry) {
			*e = Entry{Kind: Override, Subject: "s", Observer: "o", Seq: 1, ObservedAt: at, TTL: 1}
		},
	} {
		e := good
		spoil(&e)
		v := New(Identity{Name: "self"}, Limits{})
		if news := v.Merge(at, []Entry{e, good}); len(news) != 1 || v.Counts().Invalid != 1 {
			t.Errorf("%s: %v %+v", name, news, v.Counts())
		}
	}
}

// What is still true is told again at half its life, numbers that moved within the kind's pace, all else at once.
func TestWhenToSay(t *testing.T) {
	v := New(Identity{Name: "self"}, Limits{})
	it := Observation{Kind: ServerUnhealthy, Subject: "s", Body: Body{Fault: 1, BadFraction: 0.5}}
	say := func(now int64, items ...Observation) int { return len(v.Publish(now, items)) }
	near, moved, other, load := it, it, it, Observation{Kind: ServerLoad, Subject: "s"}
	near.Body.BadFraction, moved.Body.BadFraction, other.Body.Fault = 0.50001, 0.7, 2
	for i, step := range []struct {
		now   int64
		items []Observation
		told  int
	}{
		{0, []Observation{it}, 1}, {1500 * millisecond, []Observation{it}, 0}, {1501 * millisecond, []Observation{it}, 1}, // renewed
		{1800 * millisecond, []Observation{moved}, 0}, {1801 * millisecond, []Observation{near}, 0}, {1801 * millisecond, []Observation{moved}, 1}, // numbers, at their pace
		{1802 * millisecond, []Observation{other}, 1}, {1803 * millisecond, []Observation{other, load, load}, 1},
		{1804 * millisecond, nil, 2}, {1805 * millisecond, nil, 0}, {1806 * millisecond, []Observation{other}, 1}, // withdrawn, and said again
	} {
		if n := say(step.now, step.items...); n != step.told {
			t.Errorf("step %d: %d told, not %d", i, n, step.told)
		}
	}
	if c := v.Counts(); c.Advertised != 5 || c.Renewed != 1 || c.Withdrawn != 2 || c.Omitted != 1 {
		t.Errorf("%+v", c)
	}
}

func TestHandIsBounded(t *testing.T) {
	v := New(Identity{Name: "self"}, Limits{Overrides: 2})
	for i, nodo := range []string{"a", "b", "c"} { // each resumption makes room for the next
		v.Suspend(int64(i), nodo)
		v.Resume(int64(i), nodo)
	}
	if c := v.Counts(); c.Resumed != 2 || c.Evicted != 1 {
		t.Fatalf("%+v", c)
	}
	if entries, err := v.Resume(3, "never"); entries != nil || err != nil {
		t.Fatal(entries, err)
	}
	v.Suspend(4, "d")
	v.Suspend(4, "e")
	before := v.OverrideRecords(5)
	var full *LimitError
	if _, err := v.Suspend(5, "f"); !errors.As(err, &full) || full.Subject != "f" || !slices.Equal(v.OverrideRecords(5), before) {
		t.Fatalf("%v %v", err, v.OverrideRecords(5))
	}
	var name *NameError
	if _, err := v.Suspend(5, ""); !errors.As(err, &name) {
		t.Fatal(err)
	}
	v.Resume(6, "d")
	again := New(Identity{Name: "self"}, Limits{})
	if n := again.RestoreOverrides(0, append(v.OverrideRecords(6), OverrideRecord{"x", true, 9, "y", 1 << 62}, OverrideRecord{Subject: "z"})); n != 2 {
		t.Fatalf("%d refused", n)
	}
	if hand := again.SuspendedServers(0); len(hand) != 1 || !hand["e"] || again.overrideVersion != v.overrideVersion {
		t.Fatal(hand, again.overrideVersion)
	}
	again.OverrideRecords(resumptionTTL)
	if c := again.Counts(); c.Suspended != 1 || c.Resumed != 0 {
		t.Fatalf("a day later %+v", c)
	}
}

// A proxy that starts anew drives out what a former life of it told, and is heard, though its clock was set back and
// all of the former life has ended.
func TestRestarted(t *testing.T) {
	say := []Observation{{Kind: ServerFlap, Subject: "s"}, {Kind: ServerUnhealthy, Subject: "s"}}
	for _, start := range []int64{1, 9} {
		old, other, again := New(Identity{Name: "p", StartedAtMs: 5}, Limits{}), New(Identity{Name: "o"}, Limits{}), New(Identity{Name: "p", StartedAtMs: start}, Limits{})
		other.Merge(at, old.Publish(at, say))
		other.Merge(at, again.Merge(at, other.Entries(at)))
		if known, c := other.PeerEntries(at), again.Counts(); len(known) != 0 || c.SelfConflicts != 2 || c.Own != 1 {
			t.Errorf("start %d: %v %+v", start, known, c)
		}
		again = New(Identity{Name: "p", StartedAtMs: start + 1}, Limits{})
		now := at + 2*60*int64(second)
		other.PeerEntries(now)
		other.Merge(now, again.Merge(now, other.Merge(now, again.Publish(now, say))))
		if known := other.PeerEntries(now); len(known) != 2 {
			t.Errorf("start %d, later: %v", start, known)
		}
	}
}

// Two that live under one name outbid each other once a second, not without end.
func TestTwins(t *testing.T) {
	a, b := New(Identity{Name: "p", StartedAtMs: 5}, Limits{}), New(Identity{Name: "p", StartedAtMs: 5}, Limits{})
	told := a.Publish(at, []Observation{{Kind: ServerFlap, Subject: "s"}})
	for turn := 0; len(told) > 0; turn++ {
		if told = b.Merge(at, told); turn == 10 {
			t.Fatal("without end")
		}
		a, b = b, a
	}
}
