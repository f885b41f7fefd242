package model

import (
	"math"
	"math/rand/v2"
	"slices"

	"merlinpick/internal/cluster/state"
)

// How entries spread. It follows memberlist: each proxy sends what it has to tell to a few others so many times, and
// exchanges all with one other now and then. Who lives is not gossiped here but known after a time, as SWIM has it.
const (
	gossipInterval       = 100 * ms
	gossipFanout         = 3       // others, each time
	transmitMultiplier   = 4       // so many times the decimal logarithm of the proxies, rounded up, is each entry sent
	fullExchangeInterval = 5 * sec // full exchange with one other
	maxPacketBytes       = 1400
	maxPacketEntries     = 36      // entries, where none is encoded
	deathDetection       = 4 * sec // until a proxy that has ended, or cannot be reached, counts as gone
	joinDetection        = 500 * ms
	isolationTimeout     = 3 * sec // without a word of anybody
)

// gossip is what the proxies' talk has in common.
type gossipNetwork struct {
	random              *rand.Rand
	reachable           []bool // by from and to: zones that reach each other, over others too, as SWIM has found out
	transmitCount       int    // that each entry is sent
	publications        publicationLog
	membershipChangedAt int64 // when a proxy last began, ended, was stopped or continued
	liveByZone          []int // by zone: proxies that run, while none has moved for noticeDown; else nil
}

func (g *gossipNetwork) begin(sim *simulation) {
	g.random = source(sim.cfg.Seed, chanceGossip)
	g.transmitCount = transmitMultiplier * int(math.Ceil(math.Log10(float64(sim.cfg.Proxies+1))))
	g.reachable = sim.network.reach()
	g.publications.begin()
}

// reach has the proxies find out, in a while, which zones reach which.
func (g *gossipNetwork) updateReachable(sim *simulation) {
	sim.after(deathDetection, evGossip, 0, func() { g.reachable = sim.network.reach() })
}

// reach tells which zones reach each other now, over any way there and back.
func (n *network) reach() []bool {
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

// knows tells whether a proxy takes another for living.
func (g *gossipNetwork) isLive(sim *simulation, p, o *proxy) bool {
	if !g.reachable[p.zone*sim.cfg.Zones+o.zone] {
		return false
	}
	if !o.up || o.stopped {
		return sim.now-o.downAt < deathDetection
	}
	return o.startedAt == 0 || sim.now-o.startedAt >= joinDetection
}

// stir tells that a proxy has begun, ended, been stopped or continued.
func (g *gossipNetwork) membershipChanged(sim *simulation) {
	g.membershipChangedAt, g.liveByZone = sim.now, nil
}

// count tells how many proxies one takes for living, itself included, and of them in its zone.
func (g *gossipNetwork) count(sim *simulation, p *proxy) (living, near int) {
	zones := sim.cfg.Zones
	if g.liveByZone == nil && sim.now-g.membershipChangedAt >= deathDetection {
		g.liveByZone = make([]int, zones)
		for _, o := range sim.proxies {
			g.liveByZone[o.zone] += int(indicator(o.up && !o.stopped))
		}
	}
	if g.liveByZone == nil { // how long ago each moved counts
		for _, o := range sim.proxies {
			if o == p || g.isLive(sim, p, o) {
				living++
				near += int(indicator(o.zone == p.zone))
			}
		}
		return living, near
	}
	living, near = 1, 1
	for z, n := range g.liveByZone {
		switch {
		case !g.reachable[p.zone*zones+z]:
		case z == p.zone:
			living, near = living+n-1, near+n-1
		default:
			living += n
		}
	}
	return living, near
}

// key is what an entry takes the place of another by.
type entryKey struct {
	kind     state.Kind
	subject  string
	observer string
}

// telling is an entry that is being spread.
type queuedEntry struct {
	entry         state.Entry
	transmissions int
	stale         bool // a later one has taken its place
}

// spread holds what a proxy has to tell, by how often it was told: what was told least goes first, of that the latest.
type transmitQueue struct {
	byTransmissions [][]*queuedEntry
	stale           []int // of each of these: how many are
	latest          map[entryKey]*queuedEntry
}

func newTransmitQueue(times int) transmitQueue {
	return transmitQueue{make([][]*queuedEntry, times), make([]int, times), map[entryKey]*queuedEntry{}}
}

func (s *transmitQueue) add(entries []state.Entry) {
	for _, e := range entries {
		k := entryKey{e.Kind, e.Subject, e.Observer}
		if old := s.latest[k]; old != nil {
			s.markStale(old)
		}
		t := &queuedEntry{entry: e}
		s.latest[k] = t
		s.byTransmissions[0] = append(s.byTransmissions[0], t)
	}
}

// overtake leaves a telling where it is, so that its line is not searched, but clears a line of which most are stale: in
// a large fleet a line's beginning is never reached.
func (s *transmitQueue) markStale(t *queuedEntry) {
	t.stale = true
	i := t.transmissions
	if s.stale[i]++; s.stale[i] > 64 && 2*s.stale[i] > len(s.byTransmissions[i]) {
		s.byTransmissions[i] = slices.DeleteFunc(s.byTransmissions[i], func(t *queuedEntry) bool { return t.stale })
		s.stale[i] = 0
	}
}

// take gives up to most entries, each counted as told once more.
func (s *transmitQueue) take(most int) (out []state.Entry) {
	taken := make([]*queuedEntry, 0, most)
	out = make([]state.Entry, 0, most)
	for i, line := range s.byTransmissions {
		n := len(line)
		for n > 0 && len(out) < most {
			n--
			if t := line[n]; !t.stale {
				out, taken = append(out, t.entry), append(taken, t)
			} else {
				s.stale[i]--
			}
		}
		clear(line[n:])
		s.byTransmissions[i] = line[:n]
	}
	for _, t := range taken {
		if t.transmissions++; t.transmissions < len(s.byTransmissions) {
			s.byTransmissions[t.transmissions] = append(s.byTransmissions[t.transmissions], t)
		} else {
			delete(s.latest, entryKey{t.entry.Kind, t.entry.Subject, t.entry.Observer})
		}
	}
	return out
}

// packet is what goes from proxy to proxy: entries with their ages, or the same encoded.
type gossipPacket struct {
	entries []state.Entry
	ages    []int64
	encoded [][]byte
}

func (p *proxy) pack(entries []state.Entry, most int) gossipPacket {
	now := p.clock()
	if p.sim.cfg.Encoded {
		return gossipPacket{encoded: state.Encode(now, entries, most)}
	}
	k := gossipPacket{entries: entries, ages: make([]int64, len(entries))}
	for i := range entries {
		k.ages[i] = now - entries[i].ObservedAt
	}
	return k
}

// unpack has the times on the reader's clock.
func (p *proxy) unpack(k gossipPacket) []state.Entry {
	now := p.clock()
	var out []state.Entry
	for _, b := range k.encoded {
		entries, _, err := state.Decode(now, b)
		if err != nil {
			p.sim.check.violated(ruleExpiry, "a packet of a proxy's is not read by another: %v", err)
		}
		out = append(out, entries...)
	}
	for i := range k.entries { // the packet is this reader's alone
		k.entries[i].ObservedAt = now - k.ages[i]
	}
	if out == nil {
		return k.entries
	}
	return out
}

// gossip is one round of a proxy's.
func (p *proxy) gossip(life int) {
	sim := p.sim
	for range gossipFanout {
		o := p.randomPeer()
		if o == nil {
			break
		}
		if entries := p.cluster.outbound.take(maxPacketEntries); len(entries) > 0 || sim.now-p.cluster.lastProbe >= sec {
			p.cluster.lastProbe = sim.now // a probe, beside what is to be told, shows that this one lives
			p.sendPacket(o, p.pack(entries, maxPacketBytes))
		}
	}
	sim.after(p.realDuration(gossipInterval), evGossip, p.id, func() { p.deliver(life, func() { p.gossip(life) }) })
}

// full exchanges all with one other, over a connection.
func (p *proxy) fullExchange(life int) {
	sim := p.sim
	if o := p.randomPeer(); o != nil && sim.network.passesGossip(p.zone, o.zone) && sim.network.passesGossip(o.zone, p.zone) && o.up && !o.stopped {
		there, back := sim.network.delay(p.zone, o.zone), sim.network.delay(o.zone, p.zone)
		mine, other := p.pack(p.cluster.store.Entries(p.clock()), 32<<10), o.incarnation
		sim.after(2*there+back, evPacket, o.id, func() {
			o.deliver(other, func() {
				theirs := o.pack(o.cluster.store.Entries(o.clock()), 32<<10)
				o.receive(mine)
				sim.after(back, evPacket, p.id, func() { p.deliver(life, func() { p.receive(theirs) }) })
			})
		})
	}
	sim.after(p.realDuration(fullExchangeInterval), evGossip, p.id, func() { p.deliver(life, func() { p.fullExchange(life) }) })
}

// peer draws another that this one takes for living; nil where a few draws find none.
func (p *proxy) randomPeer() *proxy {
	for range 20 {
		o := p.sim.proxies[p.sim.gossip.random.IntN(len(p.sim.proxies))]
		if o != p && p.sim.gossip.isLive(p.sim, p, o) {
			return o
		}
	}
	return nil
}

// talk sends a packet, which may be lost. One that is stopped has it wait in its socket, up to a bound.
func (p *proxy) sendPacket(o *proxy, k gossipPacket) {
	sim := p.sim
	sim.result.Packets++
	for _, b := range k.encoded {
		sim.result.Bytes += len(b)
	}
	delay, ok := sim.network.gossipDelivery(p.zone, o.zone, sim.gossip.random)
	if !ok || !o.up {
		return
	}
	life := o.incarnation
	sim.after(delay, evPacket, o.id, func() {
		if o.stopped {
			if o.inboxGossip++; o.inboxGossip > maxInboxGossip {
				return
			}
		}
		o.deliver(life, func() { o.receive(k) })
	})
}
