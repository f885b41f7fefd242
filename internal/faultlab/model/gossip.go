package model

import (
	"math"
	"math/rand/v2"
	"slices"

	"merlinpick/internal/cluster/state"
)

// Gossip works as in memberlist: each proxy sends each entry a number of times to random peers, and regularly
// makes a full exchange with one peer. Membership is not gossiped here: proxies know of changes after a
// delay, as with SWIM.
const (
	gossipInterval       = 100 * ms
	gossipFanout         = 3 // proxies per round
	transmitMultiplier   = 4 // times the decimal logarithm of the number of proxies, rounded up
	fullExchangeInterval = 5 * sec
	maxPacketBytes       = 1400
	maxPacketEntries     = 36       // if packets are not encoded
	deathDetection       = 4 * sec  // until a proxy that ended or cannot be reached counts as dead
	joinDetection        = 500 * ms // until a proxy that started counts as live
	isolationTimeout     = 3 * sec  // without a packet from any other proxy
)

// gossipNetwork is the state that the gossip of all proxies shares.
type gossipNetwork struct {
	random              *rand.Rand
	reachable           []bool // by from and to: zones that reach each other, as the proxies know it
	transmitCount       int    // of each entry
	publications        publicationLog
	membershipChangedAt int64 // when a proxy last started, ended, was paused or resumed
	liveByZone          []int // running proxies by zone if nothing has changed for deathDetection; else nil
}

func (g *gossipNetwork) begin(sim *simulation) {
	g.random = source(sim.cfg.Seed, streamGossip)
	g.transmitCount = transmitMultiplier * int(math.Ceil(math.Log10(float64(sim.cfg.Proxies+1))))
	g.reachable = sim.network.reachableZones()
	g.publications.begin()
}

// updateReachable lets the proxies detect, after a delay, which zones reach each other.
func (g *gossipNetwork) updateReachable(sim *simulation) {
	sim.after(deathDetection, evGossip, 0, func() { g.reachable = sim.network.reachableZones() })
}

// reachableZones returns which zones reach each other now, in both directions, also through others.
func (n *network) reachableZones() []bool {
	z := n.zones
	r := make([]bool, z*z)
	for i := range r {
		r[i] = n.cutGossip[i] == 0
	}
	for k := range z {
		for i := range z {
			for j := range z {
				r[i*z+j] = r[i*z+j] || r[i*z+k] && r[k*z+j]
			}
		}
	}
	both := make([]bool, z*z)
	for i := range z {
		for j := range z {
			both[i*z+j] = r[i*z+j] && r[j*z+i]
		}
	}
	return both
}

// isLive reports whether a proxy considers another one live.
func (g *gossipNetwork) isLive(sim *simulation, p, peer *proxy) bool {
	if !g.reachable[p.zone*sim.cfg.Zones+peer.zone] {
		return false
	}
	if !peer.up || peer.stopped {
		return sim.now-peer.downAt < deathDetection
	}
	return peer.startedAt == 0 || sim.now-peer.startedAt >= joinDetection
}

// membershipChanged records that a proxy started, ended, was paused or resumed.
func (g *gossipNetwork) membershipChanged(sim *simulation) {
	g.membershipChangedAt, g.liveByZone = sim.now, nil
}

// countLive returns how many proxies one considers live, itself included, and how many of these are in its
// zone.
func (g *gossipNetwork) countLive(sim *simulation, p *proxy) (live, liveInZone int) {
	zones := sim.cfg.Zones
	if g.liveByZone == nil && sim.now-g.membershipChangedAt >= deathDetection {
		g.liveByZone = make([]int, zones)
		for _, peer := range sim.proxies {
			g.liveByZone[peer.zone] += int(indicator(peer.up && !peer.stopped))
		}
	}
	if g.liveByZone == nil { // something changed recently: the detection delays matter
		for _, peer := range sim.proxies {
			if peer == p || g.isLive(sim, p, peer) {
				live++
				liveInZone += int(indicator(peer.zone == p.zone))
			}
		}
		return live, liveInZone
	}
	live, liveInZone = 1, 1
	for z, n := range g.liveByZone {
		switch {
		case !g.reachable[p.zone*zones+z]:
		case z == p.zone:
			live, liveInZone = live+n-1, liveInZone+n-1
		default:
			live += n
		}
	}
	return live, liveInZone
}

// entryKey identifies entries of which a later one replaces an earlier one.
type entryKey struct {
	kind     state.Kind
	subject  string
	observer string
}

// queuedEntry is an entry that is being gossiped.
type queuedEntry struct {
	entry         state.Entry
	transmissions int
	stale         bool // replaced by a later one
}

// transmitQueue holds entries by the number of their transmissions: the entries with the fewest go first, and
// of these the latest.
type transmitQueue struct {
	byTransmissions [][]*queuedEntry
	stale           []int // number of stale entries in each of these
	latest          map[entryKey]*queuedEntry
}

func newTransmitQueue(times int) transmitQueue {
	return transmitQueue{make([][]*queuedEntry, times), make([]int, times), map[entryKey]*queuedEntry{}}
}

func (q *transmitQueue) add(entries []state.Entry) {
	for _, e := range entries {
		k := entryKey{e.Kind, e.Subject, e.Observer}
		if old := q.latest[k]; old != nil {
			q.markStale(old)
		}
		queued := &queuedEntry{entry: e}
		q.latest[k] = queued
		q.byTransmissions[0] = append(q.byTransmissions[0], queued)
	}
}

// markStale leaves an entry in its slice, so that the slice need not be searched, but compacts a slice if
// most of it is stale: in a large cluster take never reaches the start of a slice.
func (q *transmitQueue) markStale(queued *queuedEntry) {
	queued.stale = true
	i := queued.transmissions
	if q.stale[i]++; q.stale[i] > 64 && 2*q.stale[i] > len(q.byTransmissions[i]) {
		q.byTransmissions[i] = slices.DeleteFunc(q.byTransmissions[i], func(queued *queuedEntry) bool {
			return queued.stale
		})
		q.stale[i] = 0
	}
}

// take returns up to maximum entries and counts a transmission of each.
func (q *transmitQueue) take(maximum int) (out []state.Entry) {
	sent := make([]*queuedEntry, 0, maximum)
	out = make([]state.Entry, 0, maximum)
	for i, bucket := range q.byTransmissions {
		n := len(bucket)
		for n > 0 && len(out) < maximum {
			n--
			if queued := bucket[n]; !queued.stale {
				out, sent = append(out, queued.entry), append(sent, queued)
			} else {
				q.stale[i]--
			}
		}
		clear(bucket[n:])
		q.byTransmissions[i] = bucket[:n]
	}
	for _, queued := range sent {
		if queued.transmissions++; queued.transmissions < len(q.byTransmissions) {
			q.byTransmissions[queued.transmissions] = append(q.byTransmissions[queued.transmissions], queued)
		} else {
			delete(q.latest, entryKey{queued.entry.Kind, queued.entry.Subject, queued.entry.Observer})
		}
	}
	return out
}

// gossipPacket holds entries with their ages, or encoded entries.
type gossipPacket struct {
	entries []state.Entry
	ages    []int64
	encoded [][]byte
}

// pack makes a packet of entries. maximum is the size in bytes of each encoded part.
func (p *proxy) pack(entries []state.Entry, maximum int) gossipPacket {
	now := p.clock()
	if p.sim.cfg.Encoded {
		return gossipPacket{encoded: state.Encode(now, entries, maximum)}
	}
	packet := gossipPacket{entries: entries, ages: make([]int64, len(entries))}
	for i := range entries {
		packet.ages[i] = now - entries[i].ObservedAt
	}
	return packet
}

// unpack returns a packet's entries with times on the receiver's clock.
func (p *proxy) unpack(packet gossipPacket) []state.Entry {
	now := p.clock()
	var out []state.Entry
	for _, b := range packet.encoded {
		entries, _, err := state.Decode(now, b)
		if err != nil {
			p.sim.check.violated(ruleExpiry, "a proxy cannot decode a peer's packet: %v", err)
		}
		out = append(out, entries...)
	}
	for i := range packet.entries { // the packet has only one receiver
		packet.entries[i].ObservedAt = now - packet.ages[i]
	}
	if out == nil {
		return packet.entries
	}
	return out
}

// gossip is one gossip round of a proxy.
func (p *proxy) gossip(incarnation int) {
	sim := p.sim
	for range gossipFanout {
		peer := p.randomPeer()
		if peer == nil {
			break
		}
		if entries := p.cluster.outbound.take(maxPacketEntries); len(entries) > 0 || sim.now-p.cluster.lastProbe >= sec {
			p.cluster.lastProbe = sim.now // an empty packet is a probe: it shows that this proxy is live
			p.sendPacket(peer, p.pack(entries, maxPacketBytes))
		}
	}
	p.after(p.realDuration(gossipInterval), evGossip, incarnation, func() { p.gossip(incarnation) })
}

// fullExchange exchanges all entries with a random peer, over a connection.
func (p *proxy) fullExchange(incarnation int) {
	sim := p.sim
	peer := p.randomPeer()
	if peer != nil && peer.up && !peer.stopped &&
		sim.network.passesGossip(p.zone, peer.zone) && sim.network.passesGossip(peer.zone, p.zone) {
		there, back := sim.network.delay(p.zone, peer.zone), sim.network.delay(peer.zone, p.zone)
		mine, other := p.pack(p.cluster.store.Entries(p.clock()), 32<<10), peer.incarnation
		sim.after(2*there+back, evPacket, peer.id, func() {
			peer.deliver(other, func() {
				theirs := peer.pack(peer.cluster.store.Entries(peer.clock()), 32<<10)
				peer.receive(mine)
				p.after(back, evPacket, incarnation, func() { p.receive(theirs) })
			})
		})
	}
	p.after(p.realDuration(fullExchangeInterval), evGossip, incarnation, func() { p.fullExchange(incarnation) })
}

// randomPeer draws a proxy that this one considers live; nil if 20 draws find none.
func (p *proxy) randomPeer() *proxy {
	for range 20 {
		peer := p.sim.proxies[p.sim.gossip.random.IntN(len(p.sim.proxies))]
		if peer != p && p.sim.gossip.isLive(p.sim, p, peer) {
			return peer
		}
	}
	return nil
}

// sendPacket sends a packet, which may be lost. Packets wait in the socket of a paused proxy, up to
// maxInboxGossip.
func (p *proxy) sendPacket(peer *proxy, packet gossipPacket) {
	sim := p.sim
	sim.result.Packets++
	for _, b := range packet.encoded {
		sim.result.Bytes += len(b)
	}
	delay, ok := sim.network.gossipDelivery(p.zone, peer.zone, sim.gossip.random)
	if !ok || !peer.up {
		return
	}
	incarnation := peer.incarnation
	sim.after(delay, evPacket, peer.id, func() {
		if peer.stopped {
			if peer.inboxGossip++; peer.inboxGossip > maxInboxGossip {
				return
			}
		}
		peer.deliver(incarnation, func() { peer.receive(packet) })
	})
}
