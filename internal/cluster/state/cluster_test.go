package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A told is one telling: what may never come back once it is gone.
type told struct {
	entryKey
	observer string
}

type number2 struct {
	incarnation int64
	seq         uint64
}

// A node is one proxy: its view, on a clock of its own, what it said last, and what it was seen to know.
type node struct {
	*Store
	clock int64 // ahead of the world's
	said  []Observation
	known map[told]number2
	gone  map[told]number2 // no longer known: none up to it may be again
}

type flight struct {
	data []byte
	sent []Entry // Made on the world's clock
	at   int64
}

type world struct {
	*rapid.T
	now   int64
	nodes []*node
	air   []flight // all that was ever sent: any of it may come, or come again, at any time
	sure  bool     // nothing is lost
}

func (w *world) start(i int, start int64) {
	w.nodes[i] = &node{Store: New(Identity{fmt.Sprint("p", i), fmt.Sprint("z", i%2), start}, Limits{}),
		clock: rapid.Int64Range(0, 1e12).Draw(w.T, "clock"), known: map[told]number2{}, gone: map[told]number2{}}
}

func (w *world) spread(from *node, entries []Entry) {
	at := w.now + from.clock
	for _, data := range Encode(at, entries, MinPacketBytes) {
		f := flight{data: data, at: w.now}
		f.sent = slices.Clone(entries)
		for i := range f.sent {
			f.sent[i].ObservedAt -= from.clock
		}
		w.air = append(w.air, f)
		for _, to := range w.nodes {
			if to != from && (w.sure || rapid.IntRange(0, 2).Draw(w.T, "lost") > 0) {
				w.deliver(to, f)
			}
		}
	}
}

// deliver brings a packet, and holds each entry to the age it had and the time under way, at most a millisecond more.
func (w *world) deliver(to *node, f flight) {
	entries, skipped, err := Decode(w.now+to.clock, f.data)
	if err != nil || skipped != (Skipped{}) {
		w.Fatalf("own packet: %+v %v", skipped, err)
	}
	for _, e := range entries {
		i := slices.IndexFunc(f.sent, func(s Entry) bool {
			return s.Observer == e.Observer && s.Incarnation == e.Incarnation && s.Seq == e.Seq && s.Kind == e.Kind &&
				s.Subject == e.Subject
		})
		if younger := e.ObservedAt - to.clock - f.sent[i].ObservedAt - (w.now - f.at); younger > 0 || younger <= -millisecond {
			w.Fatalf("%+v came %d us younger than sent %+v", e, younger, f.sent[i])
		}
	}
	if news := to.Merge(w.now+to.clock, entries); len(news) > 0 {
		w.spread(to, news)
	}
}

func (w *world) say(n *node) {
	n.said = nil
	for _, kind := range []Kind{ServerUnhealthy, ZoneHealthy, ServerFlap, ServerLoad} {
		for subject := range 3 {
			if rapid.Bool().Draw(w.T, "said") {
				n.said = append(n.said, Observation{kind, fmt.Sprint("s", subject), int64(subject), Body{
					Fault: rapid.Uint8Range(0, 2).Draw(w.T, "cause"), BadFraction: rapid.Float64Range(0, 1).Draw(w.T, "bad")}})
			}
		}
	}
	w.spread(n, n.Store.Publish(w.now+n.clock, n.said))
}

// check holds what a node knows to what it has known: nothing ended, nothing that was gone, nothing superseded.
func (w *world) check(n *node) {
	knows := map[told]number2{}
	for _, e := range n.PeerEntries(w.now + n.clock) {
		k, nr := told{entryKey{e.Kind, e.Subject}, e.Observer}, number2{e.Incarnation, e.Seq}
		if e.ExpiresAt() <= w.now+n.clock || e.Withdrawn || e.Observer == n.identity.Name {
			w.Fatalf("known: %+v at %d", e, w.now+n.clock)
		}
		if before := n.known[k]; nr.less(before) {
			w.Fatalf("%+v after %+v", e, before)
		}
		if gone, was := n.gone[k]; was && !gone.less(nr) {
			w.Fatalf("%+v is back", e)
		}
		knows[k] = nr
	}
	for k, nr := range n.known {
		if _, still := knows[k]; !still {
			n.gone[k] = nr
		}
	}
	maps.Copy(n.known, knows)
}

func (a number2) less(b number2) bool {
	return cmp.Or(cmp.Compare(a.incarnation, b.incarnation), cmp.Compare(a.seq, b.seq)) < 0
}

// Proxies with clocks of their own say, restart, even with a start before the former, suspend and resume, while packets
// are lost, doubled, late by up to the whole run and out of order. What ended or was withdrawn never comes back. Once
// packets come and all was exchanged, each knows of each other exactly what that one says, and the same by hand.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{T: t, nodes: make([]*node, rapid.IntRange(2, 4).Draw(t, "nodes"))}
		for i := range w.nodes {
			w.start(i, 1000)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			n := w.nodes[i]
			nodo := rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "nodo")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				w.say(n)
			case 3, 4:
				if len(w.air) > 0 {
					w.deliver(n, rapid.SampledFrom(w.air).Draw(t, "late"))
				}
			case 5, 6:
				w.now += rapid.SampledFrom([]int64{1, 400 * millisecond, second, 4 * second, 21 * second}).Draw(t, "wait")
			case 7:
				w.spread(n, n.Store.Entries(w.now+n.clock))
			case 8:
				act, suspend := n.Store.Resume, rapid.Bool().Draw(t, "suspend")
				if suspend {
					act = n.Store.Suspend
				}
				entries, err := act(w.now+n.clock, nodo)
				if err != nil || n.SuspendedServers(w.now + n.clock)[nodo] != suspend {
					t.Fatal(suspend, err, n.OverrideRecords(w.now+n.clock))
				}
				w.spread(n, entries)
			case 9:
				hands := n.OverrideRecords(w.now + n.clock)
				w.start(i, rapid.Int64Range(900, 1100).Draw(t, "start"))
				if w.nodes[i].RestoreOverrides(w.now+w.nodes[i].clock, hands) != 0 {
					t.Fatal("not all restored")
				}
			}
			for _, n := range w.nodes {
				w.check(n)
			}
		}
		w.sure = true
		for _, n := range w.nodes {
			w.say(n)
		}
		for range 4 { // until all of former lives has ended
			w.now += 21 * second
			for _, n := range w.nodes {
				w.spread(n, n.Store.Publish(w.now+n.clock, n.said))
				w.spread(n, n.Store.Entries(w.now+n.clock))
				w.check(n)
			}
		}
		for _, of := range w.nodes {
			want := of.admit(of.said)
			for _, n := range w.nodes {
				if !maps.Equal(n.SuspendedServers(w.now+n.clock), of.SuspendedServers(w.now+of.clock)) {
					t.Fatalf("by hand: %v and %v", n.SuspendedServers(w.now+n.clock), of.SuspendedServers(w.now+of.clock))
				}
				var got []Observation
				for _, e := range n.PeerEntries(w.now + n.clock) {
					if e.Observer == of.identity.Name {
						got = append(got, Observation{e.Kind, e.Subject, e.SubjectStartMs, e.Body})
					}
				}
				if n != of && !slices.Equal(got, want) {
					t.Fatalf("%s knows of %s\n%v\nand that says\n%v", n.identity.Name, of.identity.Name, got, want)
				}
			}
		}
	})
}
