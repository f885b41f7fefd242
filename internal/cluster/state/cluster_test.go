package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// publishedKey identifies the entries of one observer, kind and subject.
type publishedKey struct {
	entryKey
	observer string
}

type entryVersion struct {
	incarnation int64
	seq         uint64
}

// testNode is one proxy: its store with a clock of its own, what it published last, and what it was seen to
// hold.
type testNode struct {
	*Store
	clockOffset  int64 // ahead of the simulation's
	observations []Observation
	known        map[publishedKey]entryVersion
	gone         map[publishedKey]entryVersion // no longer held: this version and older ones must not come back
}

type packetInTransit struct {
	data    []byte
	entries []Entry // ObservedAt on the simulation's clock
	sentAt  int64
}

type simulation struct {
	*rapid.T
	now      int64
	nodes    []*testNode
	packets  []packetInTransit // all ever sent: any may be delivered, or delivered again, at any time
	lossless bool              // no packet is lost
}

func (w *simulation) start(i int, start int64) {
	w.nodes[i] = &testNode{Store: New(Identity{fmt.Sprint("p", i), fmt.Sprint("z", i%2), start}, Limits{}),
		clockOffset: rapid.Int64Range(0, 1e12).Draw(w.T, "clock"), known: map[publishedKey]entryVersion{}, gone: map[publishedKey]entryVersion{}}
}

func (w *simulation) send(from *testNode, entries []Entry) {
	at := w.now + from.clockOffset
	for _, data := range Encode(at, entries, MinPacketBytes) {
		f := packetInTransit{data: data, sentAt: w.now}
		f.entries = slices.Clone(entries)
		for i := range f.entries {
			f.entries[i].ObservedAt -= from.clockOffset
		}
		w.packets = append(w.packets, f)
		for _, to := range w.nodes {
			if to != from && (w.lossless || rapid.IntRange(0, 2).Draw(w.T, "lost") > 0) {
				w.deliver(to, f)
			}
		}
	}
}

// deliver delivers a packet, and checks that each entry aged by no less than its time in transit and a
// millisecond more at most.
func (w *simulation) deliver(to *testNode, f packetInTransit) {
	entries, skipped, err := Decode(w.now+to.clockOffset, f.data)
	if err != nil || skipped != (Skipped{}) {
		w.Fatalf("own packet: %+v %v", skipped, err)
	}
	for _, e := range entries {
		i := slices.IndexFunc(f.entries, func(s Entry) bool {
			return s.Observer == e.Observer && s.Incarnation == e.Incarnation && s.Seq == e.Seq && s.Kind == e.Kind &&
				s.Subject == e.Subject
		})
		if younger := e.ObservedAt - to.clockOffset - f.entries[i].ObservedAt - (w.now - f.sentAt); younger > 0 || younger <= -millisecond {
			w.Fatalf("%+v arrived %d us younger than sent %+v", e, younger, f.entries[i])
		}
	}
	if changed := to.Merge(w.now+to.clockOffset, entries); len(changed) > 0 {
		w.send(to, changed)
	}
}

func (w *simulation) publish(n *testNode) {
	n.observations = nil
	for _, kind := range []Kind{ServerUnhealthy, ZoneHealthy, ServerFlap, ServerLoad} {
		for subject := range 3 {
			if rapid.Bool().Draw(w.T, "published") {
				n.observations = append(n.observations, Observation{kind, fmt.Sprint("s", subject), int64(subject), Body{
					Fault: rapid.Uint8Range(0, 2).Draw(w.T, "cause"), BadFraction: rapid.Float64Range(0, 1).Draw(w.T, "bad")}})
			}
		}
	}
	w.send(n, n.Store.Publish(w.now+n.clockOffset, n.observations))
}

// check checks that a node holds no expired entry, none that was gone and none that is older than one it
// held.
func (w *simulation) check(n *testNode) {
	knows := map[publishedKey]entryVersion{}
	for _, e := range n.PeerEntries(w.now + n.clockOffset) {
		k, nr := publishedKey{entryKey{e.Kind, e.Subject}, e.Observer}, entryVersion{e.Incarnation, e.Seq}
		if e.ExpiresAt() <= w.now+n.clockOffset || e.Withdrawn || e.Observer == n.identity.Name {
			w.Fatalf("known: %+v at %d", e, w.now+n.clockOffset)
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

func (a entryVersion) less(b entryVersion) bool {
	return cmp.Or(cmp.Compare(a.incarnation, b.incarnation), cmp.Compare(a.seq, b.seq)) < 0
}

// Proxies with clocks of their own publish, restart (also with an earlier start), suspend and resume, while
// packets are lost, duplicated, reordered, and late by up to the entire run. Expired and withdrawn entries
// never come back. Once packets arrive and full exchanges were made, each proxy holds exactly what each other
// publishes, and the same overrides.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{T: t, nodes: make([]*testNode, rapid.IntRange(2, 4).Draw(t, "nodes"))}
		for i := range w.nodes {
			w.start(i, 1000)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			n := w.nodes[i]
			server := rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "server")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				w.publish(n)
			case 3, 4:
				if len(w.packets) > 0 {
					w.deliver(n, rapid.SampledFrom(w.packets).Draw(t, "late"))
				}
			case 5, 6:
				w.now += rapid.SampledFrom([]int64{1, 400 * millisecond, second, 4 * second, 21 * second}).Draw(t, "wait")
			case 7:
				w.send(n, n.Store.Entries(w.now+n.clockOffset))
			case 8:
				act, suspend := n.Store.Resume, rapid.Bool().Draw(t, "suspend")
				if suspend {
					act = n.Store.Suspend
				}
				entries, err := act(w.now+n.clockOffset, server)
				if err != nil || n.SuspendedServers(w.now + n.clockOffset)[server] != suspend {
					t.Fatal(suspend, err, n.OverrideRecords(w.now+n.clockOffset))
				}
				w.send(n, entries)
			case 9:
				hands := n.OverrideRecords(w.now + n.clockOffset)
				w.start(i, rapid.Int64Range(900, 1100).Draw(t, "start"))
				if w.nodes[i].RestoreOverrides(w.now+w.nodes[i].clockOffset, hands) != 0 {
					t.Fatal("not all restored")
				}
			}
			for _, n := range w.nodes {
				w.check(n)
			}
		}
		w.lossless = true
		for _, n := range w.nodes {
			w.publish(n)
		}
		for range 4 { // until all entries of previous incarnations have expired
			w.now += 21 * second
			for _, n := range w.nodes {
				w.send(n, n.Store.Publish(w.now+n.clockOffset, n.observations))
				w.send(n, n.Store.Entries(w.now+n.clockOffset))
				w.check(n)
			}
		}
		for _, of := range w.nodes {
			want := of.admit(of.observations)
			for _, n := range w.nodes {
				if !maps.Equal(n.SuspendedServers(w.now+n.clockOffset), of.SuspendedServers(w.now+of.clockOffset)) {
					t.Fatalf("overrides: %v and %v", n.SuspendedServers(w.now+n.clockOffset), of.SuspendedServers(w.now+of.clockOffset))
				}
				var got []Observation
				for _, e := range n.PeerEntries(w.now + n.clockOffset) {
					if e.Observer == of.identity.Name {
						got = append(got, Observation{e.Kind, e.Subject, e.SubjectStartMs, e.Body})
					}
				}
				if n != of && !slices.Equal(got, want) {
					t.Fatalf("%s holds of %s\n%v\nwhich publishes\n%v", n.identity.Name, of.identity.Name, got, want)
				}
			}
		}
	})
}
