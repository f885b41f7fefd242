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

// entryVersion orders the entries of one key.
type entryVersion struct {
	incarnation int64
	seq         uint64
}

// testNode is one proxy: its store, its own clock, the observations that it published last, and the entries
// that its store was found to hold.
type testNode struct {
	*Store
	clockOffset  int64 // of the node's clock from the simulation's, microseconds
	observations []Observation
	known        map[publishedKey]entryVersion
	// no longer held; this version and older ones must not come back
	gone map[publishedKey]entryVersion
}

// packetInTransit is a packet with the entries encoded in it.
type packetInTransit struct {
	data    []byte
	entries []Entry // ObservedAt on the simulation's clock
	sentAt  int64
}

// simulation is a cluster of nodes, and the network between them.
type simulation struct {
	*rapid.T
	now      int64
	nodes    []*testNode
	packets  []packetInTransit // all packets ever sent; any of them may be delivered, even again, at any time
	lossless bool              // no packet is lost
}

// start starts or restarts node i with an empty store. start is the start of its process in milliseconds.
func (sim *simulation) start(i int, start int64) {
	sim.nodes[i] = &testNode{Store: New(Identity{fmt.Sprint("p", i), fmt.Sprint("z", i%2), start}, Limits{}),
		clockOffset: rapid.Int64Range(0, 1e12).Draw(sim.T, "clock"), known: map[publishedKey]entryVersion{},
		gone: map[publishedKey]entryVersion{}}
}

// send sends entries to all other nodes. Unless the simulation is lossless, some packets are lost.
func (sim *simulation) send(from *testNode, entries []Entry) {
	at := sim.now + from.clockOffset
	for _, data := range Encode(at, entries, MinPacketBytes) {
		packet := packetInTransit{data: data, sentAt: sim.now}
		packet.entries = slices.Clone(entries)
		for i := range packet.entries {
			packet.entries[i].ObservedAt -= from.clockOffset
		}
		sim.packets = append(sim.packets, packet)
		for _, to := range sim.nodes {
			if to != from && (sim.lossless || rapid.IntRange(0, 2).Draw(sim.T, "lost") > 0) {
				sim.deliver(to, packet)
			}
		}
	}
}

// deliver delivers a packet, and checks that each entry's age grew by its time in transit or by up to one
// millisecond more.
func (sim *simulation) deliver(to *testNode, packet packetInTransit) {
	entries, skipped, err := Decode(sim.now+to.clockOffset, packet.data)
	if err != nil || skipped != (Skipped{}) {
		sim.Fatalf("decoding a packet of this version: skipped %+v, error %v", skipped, err)
	}
	for _, e := range entries {
		i := slices.IndexFunc(packet.entries, func(s Entry) bool {
			return s.Observer == e.Observer && s.Incarnation == e.Incarnation && s.Seq == e.Seq && s.Kind == e.Kind &&
				s.Subject == e.Subject
		})
		if younger := e.ObservedAt - to.clockOffset -
			packet.entries[i].ObservedAt - (sim.now - packet.sentAt); younger > 0 || younger <= -millisecond {
			sim.Fatalf("received entry %+v is %d us younger than the entry sent: %+v", e, younger,
				packet.entries[i])
		}
	}
	if changed := to.Merge(sim.now+to.clockOffset, entries); len(changed) > 0 {
		sim.send(to, changed)
	}
}

// publish publishes a random set of observations of a node.
func (sim *simulation) publish(n *testNode) {
	n.observations = nil
	for _, kind := range []Kind{ServerUnhealthy, ZoneHealthy, ServerFlap, ServerLoad} {
		for subject := range 3 {
			if rapid.Bool().Draw(sim.T, "published") {
				n.observations = append(n.observations, Observation{kind, fmt.Sprint("s", subject), int64(subject), Body{
					Fault:       rapid.Uint8Range(0, 2).Draw(sim.T, "cause"),
					BadFraction: rapid.Float64Range(0, 1).Draw(sim.T, "bad")}})
			}
		}
	}
	sim.send(n, n.Store.Publish(sim.now+n.clockOffset, n.observations))
}

// check checks that a node holds no expired entry, no entry that was removed before, and no entry that is
// older than one it held before.
func (sim *simulation) check(n *testNode) {
	current := map[publishedKey]entryVersion{}
	for _, e := range n.PeerEntries(sim.now + n.clockOffset) {
		key, version := publishedKey{entryKey{e.Kind, e.Subject}, e.Observer},
			entryVersion{e.Incarnation, e.Seq}
		if e.ExpiresAt() <= sim.now+n.clockOffset || e.Withdrawn || e.Observer == n.identity.Name {
			sim.Fatalf("PeerEntries returns %+v at %d, which is expired, withdrawn or the proxy's own", e,
				sim.now+n.clockOffset)
		}
		if previous := n.known[key]; version.less(previous) {
			sim.Fatalf("%+v is older than version %+v of the entry that was returned before", e, previous)
		}
		if gone, wasRemoved := n.gone[key]; wasRemoved && !gone.less(version) {
			sim.Fatalf("%+v came back after it was removed", e)
		}
		current[key] = version
	}
	for key, version := range n.known {
		if _, still := current[key]; !still {
			n.gone[key] = version
		}
	}
	maps.Copy(n.known, current)
}

// less reports whether version a is older than b.
func (a entryVersion) less(b entryVersion) bool {
	return cmp.Or(cmp.Compare(a.incarnation, b.incarnation), cmp.Compare(a.seq, b.seq)) < 0
}

// TestStoresConverge simulates proxies with different clocks that publish, restart (also with an earlier
// start time), suspend and resume, while packets are lost, duplicated, reordered and delayed by up to the
// entire run. Expired and withdrawn entries must never come back. After packets arrive again and full
// exchanges have taken place, each proxy must hold exactly what every other proxy publishes, and all must
// hold the same overrides.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{T: t, nodes: make([]*testNode, rapid.IntRange(2, 4).Draw(t, "nodes"))}
		for i := range sim.nodes {
			sim.start(i, 1000)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node")
			n := sim.nodes[i]
			server := rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "server")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				sim.publish(n)
			case 3, 4:
				if len(sim.packets) > 0 {
					sim.deliver(n, rapid.SampledFrom(sim.packets).Draw(t, "late"))
				}
			case 5, 6:
				sim.now += rapid.SampledFrom([]int64{1, 400 * millisecond, second, 4 * second,
					21 * second}).Draw(t, "wait")
			case 7:
				sim.send(n, n.Store.Entries(sim.now+n.clockOffset))
			case 8:
				setOverride, suspend := n.Store.Resume, rapid.Bool().Draw(t, "suspend")
				if suspend {
					setOverride = n.Store.Suspend
				}
				entries, err := setOverride(sim.now+n.clockOffset, server)
				if err != nil || n.SuspendedServers(sim.now + n.clockOffset)[server] != suspend {
					t.Fatal(suspend, err, n.OverrideRecords(sim.now+n.clockOffset))
				}
				sim.send(n, entries)
			case 9:
				records := n.OverrideRecords(sim.now + n.clockOffset)
				sim.start(i, rapid.Int64Range(900, 1100).Draw(t, "start"))
				if sim.nodes[i].RestoreOverrides(sim.now+sim.nodes[i].clockOffset, records) != 0 {
					t.Fatal("RestoreOverrides rejected records of the previous process")
				}
			}
			for _, n := range sim.nodes {
				sim.check(n)
			}
		}
		sim.lossless = true
		for _, n := range sim.nodes {
			sim.publish(n)
		}
		for range 4 { // until all entries of previous incarnations have expired
			sim.now += 21 * second
			for _, n := range sim.nodes {
				sim.send(n, n.Store.Publish(sim.now+n.clockOffset, n.observations))
				sim.send(n, n.Store.Entries(sim.now+n.clockOffset))
				sim.check(n)
			}
		}
		for _, publisher := range sim.nodes {
			want := publisher.admit(publisher.observations)
			for _, n := range sim.nodes {
				if !maps.Equal(n.SuspendedServers(sim.now+n.clockOffset),
					publisher.SuspendedServers(sim.now+publisher.clockOffset)) {
					t.Fatalf("two nodes hold different overrides: %v and %v",
						n.SuspendedServers(sim.now+n.clockOffset),
						publisher.SuspendedServers(sim.now+publisher.clockOffset))
				}
				var got []Observation
				for _, e := range n.PeerEntries(sim.now + n.clockOffset) {
					if e.Observer == publisher.identity.Name {
						got = append(got, Observation{e.Kind, e.Subject, e.SubjectStartMs, e.Body})
					}
				}
				if n != publisher && !slices.Equal(got, want) {
					t.Fatalf("%s holds these entries of %s:\n%v\nbut these are published:\n%v",
						n.identity.Name, publisher.identity.Name, got, want)
				}
			}
		}
	})
}
