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
type GossipConfig struct {
	Seed        uint64
	Duration    int64
	Size        int
	Zones       int
	LoadReports int     // nodos that each tells the load of, all of which move all the time
	Loss        float64 // part of the datagrams
}

// MembersResult is what they came to. Bytes are of all members and the whole run.
type GossipResult struct {
	Datagrams, Bytes     int64
	ExchangeBytes        int64                     // bytes of full exchanges
	HealthAges, LoadAges durations                 // true ages of what members know of others, once a second
	Entries, EntryBytes  [state.Override + 1]int64 // by kind, and their bytes in the datagrams looked at
	EntriesHeld          durations                 // entries of others that a member knows, as counts
	MembersKnown         durations                 // members of which it knows anything, as counts
	DroppedAtLimit       uint64                    // entries for which there was no room in a view
	Dropped              int64                     // entries that went unsent for the bound of a queue
	lock                 sync.Mutex
}

const (
	stepInterval         = 5 * ms
	exchangeScaleMembers = 32 // members; above, memberlist has its exchanges rarer
	sizeSampleInterval   = 64 // each so many datagrams one is looked at in full
	ageSampleMembers     = 200
	changeInterval       = sec // what a member tells of loads, as logic has it
	maxExchangeBytes     = 1 << 20
)

// member is one of them.
type member struct {
	run           *gossipRun
	id            int
	zone          int
	random        *rand.Rand
	store         *state.Store
	queue         *queue.Queue
	observations  []state.Observation
	nextChange    int64
	nextPublish   int64
	nextGossip    int64
	nextExchange  int64
	publishedAt   []int64 // by Seq, from 1: when it was told
	inbox         []message
	out           []message
	sent          int64
	bytes         int64
	exchangeBytes int64
	entries       [state.Override + 1]int64
	sizes         [state.Override + 1]int64
}

// message is a datagram, or one side of a full exchange.
type message struct {
	at         int64
	from, to   int
	wantsReply bool // is wanted
	data       [][]byte
}

type gossipRun struct {
	config           GossipConfig
	now              int64
	members          []*member
	failingServer    int // the nodo that fails, from a fifth of the run to three fifths
	result           GossipResult
	exchangeInterval int64 // between a member's full exchanges
}

// exchangeEach is the time between a member's full exchanges, as memberlist scales it.
func exchangeInterval(n int) int64 {
	if n <= exchangeScaleMembers {
		return fullExchangeInterval
	}
	return fullExchangeInterval * int64(math.Ceil(math.Log2(float64(n))-math.Log2(exchangeScaleMembers))+1)
}

// PlayMembers plays them to the end.
func PlayGossip(c GossipConfig) *GossipResult {
	f := &gossipRun{config: c, exchangeInterval: exchangeInterval(c.Size)}
	for _, a := range []*durations{&f.result.HealthAges, &f.result.LoadAges, &f.result.EntriesHeld, &f.result.MembersKnown} {
		*a = newDurations()
	}
	for i := range c.Size {
		m := &member{run: f, id: i, zone: i * c.Zones / c.Size, random: source(c.Seed, chanceProxies+uint64(i))}
		m.store = state.New(state.Identity{Name: memberName(i), Zone: zoneName(m.zone), StartedAtMs: epoch / ms}, state.Limits{})
		m.queue = queue.New(func() int { return queue.TransmitCount(c.Size) })
		m.nextPublish, m.nextGossip, m.nextExchange = m.random.Int64N(loopInterval), m.random.Int64N(gossipInterval), m.random.Int64N(f.exchangeInterval)
		m.nextChange = m.random.Int64N(changeInterval)
		f.members = append(f.members, m)
	}
	for looked := int64(0); f.now < c.Duration; f.now += stepInterval {
		f.inParallel(func(m *member) { m.step() })
		for _, m := range f.members {
			for _, k := range m.out {
				f.members[k.to].inbox = append(f.members[k.to].inbox, k)
			}
			m.out = m.out[:0]
		}
		if f.now/sec != looked {
			looked = f.now / sec
			f.inParallel(func(m *member) { m.sampleAges(looked) })
		}
	}
	for _, m := range f.members {
		f.result.Datagrams, f.result.Bytes, f.result.ExchangeBytes = f.result.Datagrams+m.sent, f.result.Bytes+m.bytes, f.result.ExchangeBytes+m.exchangeBytes
		for k := range m.entries {
			f.result.Entries[k] += m.entries[k]
			f.result.EntryBytes[k] += m.sizes[k]
		}
		_, _, dropped := m.queue.Counts()
		f.result.Dropped += dropped
		f.result.DroppedAtLimit += m.store.Counts().DroppedAtLimit
	}
	return &f.result
}

func memberName(i int) string { return fmt.Sprintf("proxy-%04d", i) }

// abreast has each member do something once, side by side.
func (f *gossipRun) inParallel(do func(*member)) {
	const chunk = 8
	var next atomic.Int64
	var wait sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for {
				from := int(next.Add(chunk)) - chunk
				if from >= len(f.members) {
					return
				}
				for _, m := range f.members[from:min(from+chunk, len(f.members))] {
					do(m)
				}
			}
		})
	}
	wait.Wait()
}

func (m *member) step() {
	now := m.run.now
	m.receive(now)
	if now >= m.nextPublish {
		m.nextPublish += loopInterval
		told := m.store.Publish(epoch+now, m.observe(now))
		for range told {
			m.publishedAt = append(m.publishedAt, now)
		}
		m.queue.Add(told)
	}
	if now >= m.nextGossip {
		m.nextGossip += gossipInterval
		for range gossipFanout {
			m.sendDatagram(now)
		}
	}
	if now >= m.nextExchange {
		m.nextExchange += m.run.exchangeInterval
		m.exchange(now, m.randomPeer(), true)
	}
}

// hear takes in what has come, in the order in which it came.
func (m *member) receive(now int64) {
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
		if k.wantsReply {
			m.exchange(now, k.from, false)
		}
		for _, data := range k.data {
			in, _, err := state.Decode(epoch+now, data)
			if err != nil {
				panic(err) // a member's own packet
			}
			m.queue.Add(m.store.Merge(epoch+now, in))
		}
	}
}

// plan is what it says: that zones are well, the loads of its nodos, and that one of them fails.
func (m *member) observe(now int64) []state.Observation {
	c := &m.run.config
	if now < m.nextChange {
		return m.observations
	}
	m.nextChange = now + changeInterval
	m.observations = m.observations[:0]
	for z := range c.Zones {
		m.observations = append(m.observations, state.Observation{Kind: state.ZoneHealthy, Subject: zoneName(z), Body: state.Body{Calls: 50 + 50*m.random.Float64()}})
	}
	nodos := 2 * c.Size
	for i := range c.LoadReports {
		n := (2*m.id + i) % nodos
		name := "nodo-" + strconv.Itoa(10000 + n)[1:]
		m.observations = append(m.observations, state.Observation{Kind: state.ServerLoad, Subject: name, SubjectStartMs: epoch/ms - 1000,
			Body: state.Body{Calls: 10 + 10*m.random.Float64(), Value: 50_000 + 20_000*m.random.Float64()}})
		if n == m.run.failingServer && now > c.Duration/5 && now < c.Duration*3/5 {
			m.observations = append(m.observations, state.Observation{Kind: state.ServerUnhealthy, Subject: name, SubjectStartMs: epoch/ms - 1000,
				Body: state.Body{Fault: 1, Calls: 20, BadFraction: 0.8 + 0.2*m.random.Float64()}})
		}
	}
	return m.observations
}

func (m *member) randomPeer() int {
	o := m.random.IntN(m.run.config.Size - 1)
	if o >= m.id {
		o++
	}
	return o
}

// tell sends one datagram.
func (m *member) sendDatagram(now int64) {
	data := m.queue.NextPacket(epoch+now, maxPacketBytes)
	if data == nil {
		return
	}
	m.bytes += int64(len(data))
	if m.sent++; m.sent%sizeSampleInterval == 0 {
		in, _, _ := state.Decode(epoch+now, data)
		for i := range in {
			one, _ := state.Pack(epoch+now, in[i:i+1], maxPacketBytes)
			m.entries[in[i].Kind]++
			m.sizes[in[i].Kind] += int64(len(one))
		}
	}
	to, lost := m.randomPeer(), m.random.Float64() < m.run.config.Loss
	if !lost {
		m.out = append(m.out, message{at: now + m.delay(to), from: m.id, to: to, data: [][]byte{data}})
	}
}

// exchange sends all, over a connection.
func (m *member) exchange(now int64, to int, answer bool) {
	data, size := state.Encode(epoch+now, m.store.Entries(epoch+now), state.MaxPacketBytes), 0
	for i, p := range data {
		if size += len(p); size > maxExchangeBytes {
			data = data[:i]
			break
		}
		m.exchangeBytes += int64(len(p))
	}
	m.out = append(m.out, message{at: now + 2*m.delay(to), from: m.id, to: to, wantsReply: answer, data: data})
}

func (m *member) delay(to int) int64 {
	d, z := int64(delayZone), m.run.members[to].zone
	half := m.run.config.Zones / 2
	switch {
	case m.run.config.Zones >= 6 && (z < half) != (m.zone < half):
		d = delayFar
	case z != m.zone:
		d = delayRegion
	}
	return d + int64(m.random.Float64()*jitter*float64(d))
}

// look counts how old what it knows is.
func (m *member) sampleAges(second int64) {
	c := &m.run.config
	if every := max(1, c.Size/ageSampleMembers); (int64(m.id)+second)%int64(every) != 0 || second < 5 {
		return
	}
	known := m.store.PeerEntries(epoch + m.run.now)
	heard, last := 0, ""
	res := &m.run.result
	res.lock.Lock()
	defer res.lock.Unlock()
	for i := range known {
		e := &known[i]
		if e.Observer != last {
			heard, last = heard+1, e.Observer
		}
		of, _ := strconv.Atoi(e.Observer[len("proxy-"):])
		age := m.run.now - m.run.members[of].publishedAt[e.Seq-1]
		if e.Kind == state.ServerLoad {
			res.LoadAges.add(age)
		} else {
			res.HealthAges.add(age)
		}
	}
	res.EntriesHeld.add(int64(len(known)))
	res.MembersKnown.add(int64(heard))
}
