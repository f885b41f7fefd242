package state

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const testTime = 100 * second // microseconds; for tests that need only one time

// entries draws valid entries with few keys, so that they conflict: copies with other ages, other
// incarnations, withdrawals, overrides, and entries of members with the same name that have one version but
// different content.
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
			e.TTL = rapid.Int64Range(1, e.Kind.TTL()/millisecond).Draw(t, "ttl") * millisecond
		}
		e.ObservedAt = testTime - rapid.Int64Range(0, max(e.TTL, second)/millisecond).Draw(t, "age")*millisecond
		return e
	}), 0, 40)
}

// TestMergeIsCommutativeAndIdempotent checks that stores that received the same entries hold the same,
// whatever the order and the number of deliveries.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := entries(2).Draw(t, "in")
		one, two := New(Identity{Name: "a"}, Limits{}), New(Identity{Name: "b"}, Limits{})
		for _, e := range in {
			one.Merge(testTime, []Entry{e})
		}
		want := one.Entries(testTime)
		cut := rapid.IntRange(0, len(in)).Draw(t, "cut")
		two.Merge(testTime, in[cut:])
		for range 2 {
			three := New(Identity{Name: "c"}, Limits{})
			three.Merge(testTime, rapid.Permutation(in[:cut]).Draw(t, "order"))
			two.Merge(testTime, rapid.Permutation(three.Entries(testTime)).Draw(t, "relayed"))
			if got := two.Entries(testTime); !slices.Equal(got, want) {
				t.Fatalf("delivered in another order, relayed and repeated:\n%v\nwant\n%v",
					got, want)
			}
		}
		if changed := two.Merge(testTime, want); len(changed) != 0 {
			t.Fatalf("merging known entries returns changes: %v", changed)
		}
	})
}

// TestLimitsHold checks that a flood of entries exceeds no limit, that own entries stay, that each entry is
// counted once, and that all entries and observers are removed in the end.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Entries: 12, EntriesPerObserver: 5, Observers: 4, Overrides: 3}
		store := New(Identity{Name: "self", StartedAtMs: 1}, limits)
		var observations []Observation
		merged := uint64(0)
		now := int64(testTime)
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "publish") {
				observations = nil
				for i := range rapid.IntRange(0, 9).Draw(t, "observations") {
					observations = append(observations, Observation{Kind: ServerFlap, Subject: fmt.Sprint(i * rapid.IntRange(1, 3).Draw(t, "of"))})
				}
				store.Publish(now, observations)
			}
			in := entries(8).Draw(t, "in")
			for i := range in {
				in[i].ObservedAt += now - testTime
			}
			store.Merge(now, in)
			merged += uint64(len(in))
			now += rapid.Int64Range(0, 2*second).Draw(t, "wait")
			c := store.Counts()
			sum, own := 0, 0
			for _, o := range store.peers {
				sum += len(o.entries)
				if len(o.entries) > limits.EntriesPerObserver {
					t.Fatalf("the store has %d entries of one observer, over the limit", len(o.entries))
				}
			}
			if c.Entries > limits.Entries || c.Own > limits.EntriesPerObserver ||
				c.Observers > limits.Observers || sum != c.Entries ||
				c.Suspended+c.Resumed > limits.Overrides {
				t.Fatalf("a limit is exceeded, or not all entries are counted: %d entries stored, %+v",
					sum, c)
			}
			if n := c.Accepted + c.Duplicates + c.ExpiredOnArrival + c.Superseded + c.SelfConflicts + c.Invalid + c.DroppedAtLimit; n != merged {
				t.Fatalf("%d of %d merged entries are counted: %+v", n, merged, c)
			}
			for _, e := range store.own.entries {
				if !e.Withdrawn {
					own++
				}
			}
			if want := len(store.admit(observations)); own != want {
				t.Fatalf("%d own entries, want %d", own, want)
			}
		}
		store.Publish(now, nil)
		now += observerRetention + 2*60*second
		store.PeerEntries(now)
		store.Publish(now, nil)
		if c := store.Counts(); c.Own+c.Entries+c.Observers != 0 {
			t.Fatalf("entries or observers are retained too long: %+v", c)
		}
	})
}

// testEntry returns an entry of observer "o" in incarnation 1.
func testEntry(kind Kind, subject string, seq uint64, observedAt, ttl int64) Entry {
	return Entry{Kind: kind, Subject: subject, Observer: "o", Incarnation: 1, Seq: seq, ObservedAt: observedAt, TTL: ttl}
}

// TestEntriesExpire checks when an entry with copies of different ages expires, and that expired entries of
// one key do not make entries of other keys expire.
func TestEntriesExpire(t *testing.T) {
	store := New(Identity{Name: "self"}, Limits{})
	for _, observedAt := range []int64{testTime - 1, testTime - 2, testTime - 1} { // the oldest copy decides
		store.Merge(testTime, []Entry{testEntry(ServerUnhealthy, "s", 1, observedAt, second)})
	}
	if n := len(store.PeerEntries(testTime + second - 3)); n != 1 {
		t.Error("the entry expired too early")
	}
	if n := len(store.PeerEntries(testTime + second - 2)); n != 0 {
		t.Error("the entry is live after its expiry")
	}
	// A withdrawal that expired and was removed does not make older entries of other keys expire.
	gone := testEntry(ServerFlap, "s", 9, testTime, 30*second)
	gone.Withdrawn = true
	store.Merge(testTime, []Entry{gone})
	store.PeerEntries(testTime + 31*second)
	if changed := store.Merge(testTime+31*second, []Entry{testEntry(ServerFlap, "r", 8, testTime-1, 60*second)}); len(changed) != 1 {
		t.Error("an older entry of another key is treated as expired")
	}
}

// TestEvictionOrder checks that the entry nearest its expiry is evicted, even if it is the new one.
func TestEvictionOrder(t *testing.T) {
	store := New(Identity{Name: "self"}, Limits{})
	maxEntries := paramsByKind[ZoneUnhealthy].maxPerObserver
	for i := range maxEntries {
		store.Merge(testTime, []Entry{testEntry(ZoneUnhealthy, fmt.Sprint("z", i), uint64(i+2), testTime, 3*second)})
	}
	store.Merge(testTime, []Entry{testEntry(ZoneUnhealthy, "first", 1, testTime-1, 3*second),
		testEntry(ZoneUnhealthy, "last", uint64(maxEntries+2), testTime, 3*second)})
	known := store.PeerEntries(testTime)
	for i := range known {
		if known[i].Subject == "z0" || known[i].Subject == "first" {
			t.Error(known[i])
		}
	}
	if c := store.Counts(); len(known) != maxEntries || c.Evicted != 1 || c.DroppedAtLimit != 1 {
		t.Errorf("%d entries are live, counts %+v", len(known), c)
	}
}

// TestInvalidEntriesAreRejected checks that each kind of invalid entry is rejected and counted, and that a
// valid one beside it is accepted.
func TestInvalidEntriesAreRejected(t *testing.T) {
	good := Entry{Kind: ServerUnhealthy, Subject: "s", Observer: "o", Incarnation: 1, Seq: 1, ObservedAt: testTime, TTL: 3 * second}
	long := string(make([]byte, 129))
	for name, corrupt := range map[string]func(*Entry){
		"kind 0": func(e *Entry) { e.Kind = 0 }, "kind unknown": func(e *Entry) { e.Kind = kindCount },
		"negative age": func(e *Entry) { e.ObservedAt++ }, "age overflow": func(e *Entry) { e.ObservedAt = math.MinInt64 },
		"TTL over the kind's": func(e *Entry) { e.TTL++ }, "no TTL": func(e *Entry) { e.TTL = 0 },
		"no subject": func(e *Entry) { e.Subject = "" }, "long subject": func(e *Entry) { e.Subject = long },
		"no observer": func(e *Entry) { e.Observer = "" }, "long zone": func(e *Entry) { e.ObserverZone = long },
		"long subject zone": func(e *Entry) { e.Body.SubjectZone = long }, "not UTF-8": func(e *Entry) { e.Subject = "\xff" },
		"bad fraction over 1": func(e *Entry) { e.Body.BadFraction = 1.1 }, "NaN": func(e *Entry) { e.Body.Calls = math.NaN() },
		"infinite": func(e *Entry) { e.Body.Value = math.Inf(1) }, "negative": func(e *Entry) { e.Body.Calls = -1 },
		"seq 0": func(e *Entry) { e.Seq = 0 }, "start": func(e *Entry) { e.SubjectStartMs = -1 },
		"incarnation": func(e *Entry) { e.Incarnation = maxWireInteger + 1 },
		"override with TTL": func(e *Entry) {
			*e = Entry{Kind: Override, Subject: "s", Observer: "o", Seq: 1, ObservedAt: testTime, TTL: 1}
		},
	} {
		e := good
		corrupt(&e)
		store := New(Identity{Name: "self"}, Limits{})
		if changed := store.Merge(testTime, []Entry{e, good}); len(changed) != 1 || store.Counts().Invalid != 1 {
			t.Errorf("%s: accepted %v, counts %+v", name, changed, store.Counts())
		}
	}
}

// TestPublishTiming checks that unchanged observations are published again at half their TTL, changed numbers
// after the update interval, and other changes at once.
func TestPublishTiming(t *testing.T) {
	store := New(Identity{Name: "self"}, Limits{})
	base := Observation{Kind: ServerUnhealthy, Subject: "s", Body: Body{Fault: 1, BadFraction: 0.5}}
	publish := func(now int64, set ...Observation) int { return len(store.Publish(now, set)) }
	roundedSame, changedNumber, otherFault, load :=
		base, base, base, Observation{Kind: ServerLoad, Subject: "s"}
	roundedSame.Body.BadFraction, changedNumber.Body.BadFraction, otherFault.Body.Fault = 0.50001, 0.7, 2
	for i, step := range []struct {
		now          int64
		observations []Observation
		published    int
	}{
		// renewed at half the TTL
		{0, []Observation{base}, 1}, {1500 * millisecond, []Observation{base}, 0},
		{1501 * millisecond, []Observation{base}, 1},
		// changed numbers, published after the update interval
		{1800 * millisecond, []Observation{changedNumber}, 0},
		{1801 * millisecond, []Observation{roundedSame}, 0},
		{1801 * millisecond, []Observation{changedNumber}, 1},
		{1802 * millisecond, []Observation{otherFault}, 1},
		{1803 * millisecond, []Observation{otherFault, load, load}, 1},
		// withdrawn, and published again
		{1804 * millisecond, nil, 2}, {1805 * millisecond, nil, 0},
		{1806 * millisecond, []Observation{otherFault}, 1},
	} {
		if n := publish(step.now, step.observations...); n != step.published {
			t.Errorf("step %d: %d entries published, want %d", i, n, step.published)
		}
	}
	if c := store.Counts(); c.Advertised != 5 || c.Renewed != 1 || c.Withdrawn != 2 || c.Omitted != 1 {
		t.Errorf("unexpected counts of publications: %+v", c)
	}
}

// TestOverridesAreLimited checks that tombstones are evicted at the limit of overrides, that suspensions are
// not, and that stored records are restored or rejected.
func TestOverridesAreLimited(t *testing.T) {
	store := New(Identity{Name: "self"}, Limits{Overrides: 2})
	for i, server := range []string{"a", "b", "c"} { // each tombstone is evicted for the next
		store.Suspend(int64(i), server)
		store.Resume(int64(i), server)
	}
	if c := store.Counts(); c.Resumed != 2 || c.Evicted != 1 {
		t.Fatalf("unexpected counts of tombstones and evictions: %+v", c)
	}
	if entries, err := store.Resume(3, "never"); entries != nil || err != nil {
		t.Fatal(entries, err)
	}
	store.Suspend(4, "d")
	store.Suspend(4, "e")
	before := store.OverrideRecords(5)
	var full *LimitError
	if _, err := store.Suspend(5, "f"); !errors.As(err, &full) || full.Subject != "f" || !slices.Equal(store.OverrideRecords(5), before) {
		t.Fatalf("Suspend at the limit: error %v, records %v", err, store.OverrideRecords(5))
	}
	var name *NameError
	if _, err := store.Suspend(5, ""); !errors.As(err, &name) {
		t.Fatal(err)
	}
	store.Resume(6, "d")
	again := New(Identity{Name: "self"}, Limits{})
	if n := again.RestoreOverrides(0, append(store.OverrideRecords(6), OverrideRecord{"x", true, 9, "y", 1 << 62}, OverrideRecord{Subject: "z"})); n != 2 {
		t.Fatalf("%d records rejected, want 2", n)
	}
	if suspended := again.SuspendedServers(0); len(suspended) != 1 || !suspended["e"] ||
		again.overrideVersion != store.overrideVersion {
		t.Fatal(suspended, again.overrideVersion)
	}
	again.OverrideRecords(resumptionTTL)
	if c := again.Counts(); c.Suspended != 1 || c.Resumed != 0 {
		t.Fatalf("a day later, when the resumption has expired: %+v", c)
	}
}

// TestRestartReplacesPreviousIncarnation checks that the entries of a restarted proxy replace those of its
// previous incarnation, also if its clock was set back and all of its previous entries have expired.
func TestRestartReplacesPreviousIncarnation(t *testing.T) {
	publish := []Observation{{Kind: ServerFlap, Subject: "s"}, {Kind: ServerUnhealthy, Subject: "s"}}
	for _, start := range []int64{1, 9} {
		old, other, again := New(Identity{Name: "p", StartedAtMs: 5}, Limits{}), New(Identity{Name: "o"}, Limits{}), New(Identity{Name: "p", StartedAtMs: start}, Limits{})
		other.Merge(testTime, old.Publish(testTime, publish))
		other.Merge(testTime, again.Merge(testTime, other.Entries(testTime)))
		if known, c := other.PeerEntries(testTime), again.Counts(); len(known) != 0 || c.SelfConflicts != 2 || c.Own != 1 {
			t.Errorf("start %d: the other store holds %v, counts %+v", start, known, c)
		}
		again = New(Identity{Name: "p", StartedAtMs: start + 1}, Limits{})
		now := testTime + 2*60*int64(second)
		other.PeerEntries(now)
		other.Merge(now, again.Merge(now, other.Merge(now, again.Publish(now, publish))))
		if known := other.PeerEntries(now); len(known) != 2 {
			t.Errorf("start %d, after the previous entries expired: the other store holds %v", start, known)
		}
	}
}

// TestNamesakesOutbidAtLimitedRate checks that two members with the same name raise their incarnations at
// most once a second, and not without end.
func TestNamesakesOutbidAtLimitedRate(t *testing.T) {
	a, b := New(Identity{Name: "p", StartedAtMs: 5}, Limits{}), New(Identity{Name: "p", StartedAtMs: 5}, Limits{})
	published := a.Publish(testTime, []Observation{{Kind: ServerFlap, Subject: "s"}})
	for turn := 0; len(published) > 0; turn++ {
		if published = b.Merge(testTime, published); turn == 10 {
			t.Fatal("the members raise their incarnations without end")
		}
		a, b = b, a
	}
}
