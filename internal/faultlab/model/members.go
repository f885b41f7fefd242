package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"merlinpick/internal/cluster/queue"
	"merlinpick/internal/cluster/state"
)

// Members plays the gossip of a whole fleet and nothing else, for sizes that a run with Balancers does not end at: the
// product's view, queue and packets, with what each tells drawn from a plan. Members run side by side on all cores, in
// steps of the virtual clock; what one sends comes to another in a later step. So the same Members give the same result.
// Who lives is known, and nobody's clock is off; memberlist's own packets are not counted.
type Members struct {
	Seed      uint64
	Span      int64
	Count     int
	Zones     int
	Summaries int     // nodos that each tells the load of, all of which move all the time
	Loss      float64 // part of the datagrams
}

// MembersResult is what they came to. Bytes are of all members and the whole run.
type MembersResult struct {
	Datagrams, Bytes int64
	Exchanged        int64                     // bytes of full exchanges
	Verdicts, Loads  ages                      // true ages of what members know of others, once a second
	Entries, Sizes   [state.Override + 1]int64 // by kind, and their bytes in the datagrams looked at
	Known            ages                      // entries of others that a member knows, as counts
	Heard            ages                      // members of which it knows anything, as counts
	Over             uint64                    // entries for which there was no room in a view
	Dropped          int64                     // entries that went unsent for the bound of a queue
	lock             sync.Mutex
}

const (
	stepEvery    = 5 * ms
	exchangeFew  = 32 // members; above, memberlist has its exchanges rarer
	lookSizes    = 64 // each so many datagrams one is looked at in full
	lookAges     = 200
	moveEvery    = sec // what a member tells of loads, as logic has it
	exchangeMost = 1 << 20
)

// member is one of them.
type member struct {
	f        *members
	id       int
	zone     int
	rnd      *rand.Rand
	view     *state.Store
	queue    *queue.Queue
	items    []state.Observation
	moveAt   int64
	sayAt    int64
	gossipAt int64
	fullAt   int64
	made     []int64 // by Seq, from 1: when it was told
	inbox    []message
	out      []message
	sent     int64
	bytes    int64
	full     int64
	entries  [state.Override + 1]int64
	sizes    [state.Override + 1]int64
}

// message is a datagram, or one side of a full exchange.
type message struct {
	at       int64
	from, to int
	answer   bool // is wanted
	data     [][]byte
}

type members struct {
	c    Members
	now  int64
	all  []*member
	bad  int // the nodo that fails, from a fifth of the run to three fifths
	res  MembersResult
	each int64 // between a member's full exchanges
}

// exchangeEach is the time between a member's full exchanges, as memberlist scales it.
func exchangeEach(n int) int64 {
	if n <= exchangeFew {
		return fullEvery
	}
	return fullEvery * int64(math.Ceil(math.Log2(float64(n))-math.Log2(exchangeFew))+1)
}

// PlayMembers plays them to the end.
func PlayMembers(c Members) *MembersResult {
	f := &members{c: c, each: exchangeEach(c.Count)}
	for _, a := range []*ages{&f.res.Verdicts, &f.res.Loads, &f.res.Known, &f.res.Heard} {
		*a = newAges()
	}
	for i := range c.Count {
		m := &member{f: f, id: i, zone: i * c.Zones / c.Count, rnd: source(c.Seed, chanceProxies+uint64(i))}
		m.view = state.New(state.Identity{Name: memberName(i), Zone: zoneName(m.zone), StartedAtMs: epoch / ms}, state.Limits{})
		m.queue = queue.New(func() int { return queue.TransmitCount(c.Count) })
		m.sayAt, m.gossipAt, m.fullAt = m.rnd.Int64N(tickEvery), m.rnd.Int64N(gossipEvery), m.rnd.Int64N(f.each)
		m.moveAt = m.rnd.Int64N(moveEvery)
		f.all = append(f.all, m)
	}
	for looked := int64(0); f.now < c.Span; f.now += stepEvery {
		f.abreast(func(m *member) { m.step() })
		for _, m := range f.all {
			for _, k := range m.out {
				f.all[k.to].inbox = append(f.all[k.to].inbox, k)
			}
			m.out = m.out[:0]
		}
		if f.now/sec != looked {
			looked = f.now / sec
			f.abreast(func(m *member) { m.look(looked) })
		}
	}
	for _, m := range f.all {
		f.res.Datagrams, f.res.Bytes, f.res.Exchanged = f.res.Datagrams+m.sent, f.res.Bytes+m.bytes, f.res.Exchanged+m.full
		for k := range m.entries {
			f.res.Entries[k] += m.entries[k]
			f.res.Sizes[k] += m.sizes[k]
		}
		_, _, dropped := m.queue.Counts()
		f.res.Dropped += dropped
		f.res.Over += m.view.Counts().DroppedAtLimit
	}
	return &f.res
}

func memberName(i int) string { return fmt.Sprintf("proxy-%04d", i) }

// abreast has each member do something once, side by side.
func (f *members) abreast(do func(*member)) {
	const chunk = 8
	var next atomic.Int64
	var wait sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for {
				from := int(next.Add(chunk)) - chunk
				if from >= len(f.all) {
					return
				}
				for _, m := range f.all[from:min(from+chunk, len(f.all))] {
					do(m)
				}
			}
		})
	}
	wait.Wait()
}

func (m *member) step() {
	now := m.f.now
	m.hear(now)
	if now >= m.sayAt {
		m.sayAt += tickEvery
		told := m.view.Publish(epoch+now, m.plan(now))
		for range told {
			m.made = append(m.made, now)
		}
		m.queue.Add(told)
	}
	if now >= m.gossipAt {
		m.gossipAt += gossipEvery
		for range gossipTo {
			m.tell(now)
		}
	}
	if now >= m.fullAt {
		m.fullAt += m.f.each
		m.exchange(now, m.other(), true)
	}
}

// hear takes in what has come, in the order in which it came.
func (m *member) hear(now int64) {
	var due []message
	m.inbox = slices.DeleteFunc(m.inbox, func(k message) bool {
		if k.at <= now {
			due = append(due, k)
		}
		return k.at <= now
	})
	slices.SortStableFunc(due, func(a, b message) int { return int(a.at - b.at) })
	for i := range due {
		k := &due[i]
		if k.answer {
			m.exchange(now, k.from, false)
		}
		for _, data := range k.data {
			in, _, err := state.Decode(epoch+now, data)
			if err != nil {
				panic(err) // a member's own packet
			}
			m.queue.Add(m.view.Merge(epoch+now, in))
		}
	}
}

// plan is what it says: that zones are well, the loads of its nodos, and that one of them fails.
func (m *member) plan(now int64) []state.Observation {
	c := &m.f.c
	if now < m.moveAt {
		return m.items
	}
	m.moveAt = now + moveEvery
	m.items = m.items[:0]
	for z := range c.Zones {
		m.items = append(m.items, state.Observation{Kind: state.ZoneHealthy, Subject: zoneName(z), Body: state.Body{Calls: 50 + 50*m.rnd.Float64()}})
	}
	nodos := 2 * c.Count
	for i := range c.Summaries {
		n := (2*m.id + i) % nodos
		name := "nodo-" + strconv.Itoa(10000 + n)[1:]
		m.items = append(m.items, state.Observation{Kind: state.ServerLoad, Subject: name, SubjectStartMs: epoch/ms - 1000,
			Body: state.Body{Calls: 10 + 10*m.rnd.Float64(), Value: 50_000 + 20_000*m.rnd.Float64()}})
		if n == m.f.bad && now > c.Span/5 && now < c.Span*3/5 {
			m.items = append(m.items, state.Observation{Kind: state.ServerUnhealthy, Subject: name, SubjectStartMs: epoch/ms - 1000,
				Body: state.Body{Fault: 1, Calls: 20, BadFraction: 0.8 + 0.2*m.rnd.Float64()}})
		}
	}
	return m.items
}

func (m *member) other() int {
	o := m.rnd.IntN(m.f.c.Count - 1)
	if o >= m.id {
		o++
	}
	return o
}

// tell sends one datagram.
func (m *member) tell(now int64) {
	data := m.queue.NextPacket(epoch+now, packetBytes)
	if data == nil {
		return
	}
	m.bytes += int64(len(data))
	if m.sent++; m.sent%lookSizes == 0 {
		in, _, _ := state.Decode(epoch+now, data)
		for i := range in {
			one, _ := state.Pack(epoch+now, in[i:i+1], packetBytes)
			m.entries[in[i].Kind]++
			m.sizes[in[i].Kind] += int64(len(one))
		}
	}
	to, lost := m.other(), m.rnd.Float64() < m.f.c.Loss
	if !lost {
		m.out = append(m.out, message{at: now + m.delay(to), from: m.id, to: to, data: [][]byte{data}})
	}
}

// exchange sends all, over a connection.
func (m *member) exchange(now int64, to int, answer bool) {
	data, size := state.Encode(epoch+now, m.view.Entries(epoch+now), state.MaxPacketBytes), 0
	for i, p := range data {
		if size += len(p); size > exchangeMost {
			data = data[:i]
			break
		}
		m.full += int64(len(p))
	}
	m.out = append(m.out, message{at: now + 2*m.delay(to), from: m.id, to: to, answer: answer, data: data})
}

func (m *member) delay(to int) int64 {
	d, z := int64(delayZone), m.f.all[to].zone
	half := m.f.c.Zones / 2
	switch {
	case m.f.c.Zones >= 6 && (z < half) != (m.zone < half):
		d = delayFar
	case z != m.zone:
		d = delayRegion
	}
	return d + int64(m.rnd.Float64()*jitter*float64(d))
}

// look counts how old what it knows is.
func (m *member) look(second int64) {
	c := &m.f.c
	if every := max(1, c.Count/lookAges); (int64(m.id)+second)%int64(every) != 0 || second < 5 {
		return
	}
	known := m.view.PeerEntries(epoch + m.f.now)
	heard, last := 0, ""
	res := &m.f.res
	res.lock.Lock()
	defer res.lock.Unlock()
	for i := range known {
		e := &known[i]
		if e.Observer != last {
			heard, last = heard+1, e.Observer
		}
		of, _ := strconv.Atoi(e.Observer[len("proxy-"):])
		age := m.f.now - m.f.all[of].made[e.Seq-1]
		if e.Kind == state.ServerLoad {
			res.Loads.add(age)
		} else {
			res.Verdicts.add(age)
		}
	}
	res.Known.add(int64(len(known)))
	res.Heard.add(int64(heard))
}
