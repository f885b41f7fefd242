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
	gossipEvery = 100 * ms
	gossipTo    = 3       // others, each time
	gossipTimes = 4       // so many times the decimal logarithm of the proxies, rounded up, is each entry sent
	fullEvery   = 5 * sec // full exchange with one other
	packetBytes = 1400
	packetHolds = 36      // entries, where none is encoded
	noticeDown  = 4 * sec // until a proxy that has ended, or cannot be reached, counts as gone
	noticeUp    = 500 * ms
	aloneAfter  = 3 * sec // without a word of anybody
)

// gossip is what the proxies' talk has in common.
type gossip struct {
	rnd    *rand.Rand
	near   []bool // by from and to: zones that reach each other, over others too, as SWIM has found out
	times  int    // that each entry is sent
	book   book
	moved  int64 // when a proxy last began, ended, was stopped or continued
	living []int // by zone: proxies that run, while none has moved for noticeDown; else nil
}

func (g *gossip) begin(w *world) {
	g.rnd = source(w.cfg.Seed, chanceGossip)
	g.times = gossipTimes * int(math.Ceil(math.Log10(float64(w.cfg.Proxies+1))))
	g.near = w.net.reach()
	g.book.begin()
}

// reach has the proxies find out, in a while, which zones reach which.
func (g *gossip) reach(w *world) {
	w.after(noticeDown, evGossip, 0, func() { g.near = w.net.reach() })
}

// reach tells which zones reach each other now, over any way there and back.
func (n *network) reach() []bool {
	z := n.zones
	r := make([]bool, z*z)
	for i := range r {
		r[i] = n.talk[i] == 0
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
func (g *gossip) knows(w *world, p, o *proxy) bool {
	if !g.near[p.zone*w.cfg.Zones+o.zone] {
		return false
	}
	if !o.up || o.stopped {
		return w.now-o.downAt < noticeDown
	}
	return o.since == 0 || w.now-o.since >= noticeUp
}

// stir tells that a proxy has begun, ended, been stopped or continued.
func (g *gossip) stir(w *world) { g.moved, g.living = w.now, nil }

// count tells how many proxies one takes for living, itself included, and of them in its zone.
func (g *gossip) count(w *world, p *proxy) (living, near int) {
	zones := w.cfg.Zones
	if g.living == nil && w.now-g.moved >= noticeDown {
		g.living = make([]int, zones)
		for _, o := range w.proxies {
			g.living[o.zone] += int(partOf(o.up && !o.stopped))
		}
	}
	if g.living == nil { // how long ago each moved counts
		for _, o := range w.proxies {
			if o == p || g.knows(w, p, o) {
				living++
				near += int(partOf(o.zone == p.zone))
			}
		}
		return living, near
	}
	living, near = 1, 1
	for z, n := range g.living {
		switch {
		case !g.near[p.zone*zones+z]:
		case z == p.zone:
			living, near = living+n-1, near+n-1
		default:
			living += n
		}
	}
	return living, near
}

// key is what an entry takes the place of another by.
type key struct {
	kind     state.Kind
	subject  string
	observer string
}

// telling is an entry that is being spread.
type telling struct {
	entry state.Entry
	times int
	stale bool // a later one has taken its place
}

// spread holds what a proxy has to tell, by how often it was told: what was told least goes first, of that the latest.
type spread struct {
	byTimes [][]*telling
	stale   []int // of each of these: how many are
	latest  map[key]*telling
}

func newSpread(times int) spread {
	return spread{make([][]*telling, times), make([]int, times), map[key]*telling{}}
}

func (s *spread) add(entries []state.Entry) {
	for _, e := range entries {
		k := key{e.Kind, e.Subject, e.Observer}
		if old := s.latest[k]; old != nil {
			s.overtake(old)
		}
		t := &telling{entry: e}
		s.latest[k] = t
		s.byTimes[0] = append(s.byTimes[0], t)
	}
}

// overtake leaves a telling where it is, so that its line is not searched, but clears a line of which most are stale: in
// a large fleet a line's beginning is never reached.
func (s *spread) overtake(t *telling) {
	t.stale = true
	i := t.times
	if s.stale[i]++; s.stale[i] > 64 && 2*s.stale[i] > len(s.byTimes[i]) {
		s.byTimes[i] = slices.DeleteFunc(s.byTimes[i], func(t *telling) bool { return t.stale })
		s.stale[i] = 0
	}
}

// take gives up to most entries, each counted as told once more.
func (s *spread) take(most int) (out []state.Entry) {
	taken := make([]*telling, 0, most)
	out = make([]state.Entry, 0, most)
	for i, line := range s.byTimes {
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
		s.byTimes[i] = line[:n]
	}
	for _, t := range taken {
		if t.times++; t.times < len(s.byTimes) {
			s.byTimes[t.times] = append(s.byTimes[t.times], t)
		} else {
			delete(s.latest, key{t.entry.Kind, t.entry.Subject, t.entry.Observer})
		}
	}
	return out
}

// packet is what goes from proxy to proxy: entries with their ages, or the same encoded.
type packet struct {
	entries []state.Entry
	ages    []int64
	bytes   [][]byte
}

func (p *proxy) pack(entries []state.Entry, most int) packet {
	now := p.clock()
	if p.w.cfg.Encoded {
		return packet{bytes: state.Encode(now, entries, most)}
	}
	k := packet{entries: entries, ages: make([]int64, len(entries))}
	for i := range entries {
		k.ages[i] = now - entries[i].ObservedAt
	}
	return k
}

// unpack has the times on the reader's clock.
func (p *proxy) unpack(k packet) []state.Entry {
	now := p.clock()
	var out []state.Entry
	for _, b := range k.bytes {
		entries, _, err := state.Decode(now, b)
		if err != nil {
			p.w.check.fault(ruleEnds, "a packet of a proxy's is not read by another: %v", err)
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
	w := p.w
	for range gossipTo {
		o := p.peer()
		if o == nil {
			break
		}
		if entries := p.fleet.spread.take(packetHolds); len(entries) > 0 || w.now-p.fleet.probed >= sec {
			p.fleet.probed = w.now // a probe, beside what is to be told, shows that this one lives
			p.talk(o, p.pack(entries, packetBytes))
		}
	}
	w.after(p.lasts(gossipEvery), evGossip, p.id, func() { p.deliver(life, func() { p.gossip(life) }) })
}

// full exchanges all with one other, over a connection.
func (p *proxy) full(life int) {
	w := p.w
	if o := p.peer(); o != nil && w.net.spoken(p.zone, o.zone) && w.net.spoken(o.zone, p.zone) && o.up && !o.stopped {
		there, back := w.net.delay(p.zone, o.zone), w.net.delay(o.zone, p.zone)
		mine, other := p.pack(p.fleet.view.Entries(p.clock()), 32<<10), o.life
		w.after(2*there+back, evPacket, o.id, func() {
			o.deliver(other, func() {
				theirs := o.pack(o.fleet.view.Entries(o.clock()), 32<<10)
				o.hear(mine)
				w.after(back, evPacket, p.id, func() { p.deliver(life, func() { p.hear(theirs) }) })
			})
		})
	}
	w.after(p.lasts(fullEvery), evGossip, p.id, func() { p.deliver(life, func() { p.full(life) }) })
}

// peer draws another that this one takes for living; nil where a few draws find none.
func (p *proxy) peer() *proxy {
	for range 20 {
		o := p.w.proxies[p.w.gossip.rnd.IntN(len(p.w.proxies))]
		if o != p && p.w.gossip.knows(p.w, p, o) {
			return o
		}
	}
	return nil
}

// talk sends a packet, which may be lost. One that is stopped has it wait in its socket, up to a bound.
func (p *proxy) talk(o *proxy, k packet) {
	w := p.w
	w.res.Packets++
	for _, b := range k.bytes {
		w.res.Bytes += len(b)
	}
	delay, ok := w.net.hear(p.zone, o.zone, w.gossip.rnd)
	if !ok || !o.up {
		return
	}
	life := o.life
	w.after(delay, evPacket, o.id, func() {
		if o.stopped {
			if o.waits++; o.waits > inboxMost {
				return
			}
		}
		o.deliver(life, func() { o.hear(k) })
	})
}
