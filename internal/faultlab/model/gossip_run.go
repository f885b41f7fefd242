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

// GossipConfig configures a run of a cluster's gossip alone, for sizes at which a run with balancers takes
// too long. It uses the program's store, queue and packets, with random observations. Members run in parallel
// in steps of the virtual clock, and packets arrive in a later step, so equal configurations give equal
// results. All members are live, all clocks are exact, and memberlist's own packets are not counted.
type GossipConfig struct {
	Seed        uint64
	Duration    int64 // microseconds
	Size        int   // members
	Zones       int
	LoadReports int     // servers whose load, which changes all the time, each member publishes
	Loss        float64 // fraction of the datagrams that are lost
}

// GossipResult is the result of a run, with the bytes of all members over the entire run.
type GossipResult struct {
	Datagrams, Bytes     int64
	ExchangeBytes        int64
	HealthAges, LoadAges durations                 // true ages of peers' entries, once a second
	Entries, EntryBytes  [state.Override + 1]int64 // by kind, in the sampled datagrams
	EntriesHeld          durations                 // counts of peers' entries that a member holds
	MembersKnown         durations                 // counts of members of which it holds any entry
	DroppedAtLimit       uint64                    // entries that stores dropped at their limits
	Dropped              int64                     // entries that queues dropped
	lock                 sync.Mutex
}

const (
	stepInterval         = 5 * ms
	exchangeScaleMembers = 32  // with more members memberlist lengthens the interval
	sizeSampleInterval   = 64  // one in so many datagrams is sampled
	ageSampleMembers     = 200 // about so many members record ages each second
	changeInterval       = sec // of a member's load reports, as in the balancer
	maxExchangeBytes     = 1 << 20
)

// member is one member of the cluster.
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
	publishedAt   []int64 // by Seq, from 1
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
	wantsReply bool // the receiver has to send its entries too
	data       [][]byte
}

type gossipRun struct {
	config           GossipConfig
	now              int64
	members          []*member
	failingServer    int // it fails from a fifth of the run to three fifths
	result           GossipResult
	exchangeInterval int64 // between a member's full exchanges
}

// exchangeInterval returns the time between a member's full exchanges, as memberlist scales it.
func exchangeInterval(n int) int64 {
	if n <= exchangeScaleMembers {
		return fullExchangeInterval
	}
	return fullExchangeInterval * int64(math.Ceil(math.Log2(float64(n))-math.Log2(exchangeScaleMembers))+1)
}

// RunGossip simulates a configuration to its end.
func RunGossip(config GossipConfig) *GossipResult {
	run := &gossipRun{config: config, exchangeInterval: exchangeInterval(config.Size)}
	r := &run.result
	for _, d := range []*durations{&r.HealthAges, &r.LoadAges, &r.EntriesHeld, &r.MembersKnown} {
		*d = newDurations()
	}
	for i := range config.Size {
		m := &member{run: run, id: i, zone: i * config.Zones / config.Size,
			random: source(config.Seed, streamProxies+uint64(i))}
		identity := state.Identity{Name: memberName(i), Zone: zoneName(m.zone), StartedAtMs: epoch / ms}
		m.store = state.New(identity, state.Limits{})
		m.queue = queue.New(func() int { return queue.TransmitCount(config.Size) })
		m.nextPublish, m.nextGossip = m.random.Int64N(loopInterval), m.random.Int64N(gossipInterval)
		m.nextExchange = m.random.Int64N(run.exchangeInterval)
		m.nextChange = m.random.Int64N(changeInterval)
		run.members = append(run.members, m)
	}
	for lastSample := int64(0); run.now < config.Duration; run.now += stepInterval {
		run.inParallel(func(m *member) { m.step() })
		for _, m := range run.members {
			for _, message := range m.out {
				run.members[message.to].inbox = append(run.members[message.to].inbox, message)
			}
			m.out = m.out[:0]
		}
		if run.now/sec != lastSample {
			lastSample = run.now / sec
			run.inParallel(func(m *member) { m.sampleAges(lastSample) })
		}
	}
	for _, m := range run.members {
		r.Datagrams += m.sent
		r.Bytes += m.bytes
		r.ExchangeBytes += m.exchangeBytes
		for k := range m.entries {
			run.result.Entries[k] += m.entries[k]
			run.result.EntryBytes[k] += m.sizes[k]
		}
		_, _, dropped := m.queue.Counts()
		run.result.Dropped += dropped
		run.result.DroppedAtLimit += m.store.Counts().DroppedAtLimit
	}
	return &run.result
}

func memberName(i int) string { return fmt.Sprintf("proxy-%04d", i) }

// inParallel calls a function once for each member, on all cores.
func (run *gossipRun) inParallel(do func(*member)) {
	const chunk = 8
	var next atomic.Int64
	var wait sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for {
				from := int(next.Add(chunk)) - chunk
				if from >= len(run.members) {
					return
				}
				for _, m := range run.members[from:min(from+chunk, len(run.members))] {
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
		published := m.store.Publish(epoch+now, m.observe(now))
		for range published {
			m.publishedAt = append(m.publishedAt, now)
		}
		m.queue.Add(published)
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

// receive merges the messages that are due, in the order of their arrival.
func (m *member) receive(now int64) {
	var due []message
	m.inbox = slices.DeleteFunc(m.inbox, func(received message) bool {
		if received.at <= now {
			due = append(due, received)
		}
		return received.at <= now
	})
	slices.SortStableFunc(due, func(a, b message) int { return int(a.at - b.at) })
	for i := range due {
		received := &due[i]
		if received.wantsReply {
			m.exchange(now, received.from, false)
		}
		for _, data := range received.data {
			entries, _, err := state.Decode(epoch+now, data)
			if err != nil {
				panic(err) // impossible: a member encoded it
			}
			m.queue.Add(m.store.Merge(epoch+now, entries))
		}
	}
}

// observe returns the member's observations: all zones are healthy, some servers have a load, and one server
// fails.
func (m *member) observe(now int64) []state.Observation {
	c := &m.run.config
	if now < m.nextChange {
		return m.observations
	}
	m.nextChange = now + changeInterval
	m.observations = m.observations[:0]
	for z := range c.Zones {
		m.observations = append(m.observations, state.Observation{Kind: state.ZoneHealthy, Subject: zoneName(z),
			Body: state.Body{Calls: 50 + 50*m.random.Float64()}})
	}
	servers := 2 * c.Size
	for i := range c.LoadReports {
		n := (2*m.id + i) % servers
		name := "nodo-" + strconv.Itoa(10000 + n)[1:]
		m.observations = append(m.observations, state.Observation{Kind: state.ServerLoad, Subject: name,
			SubjectStartMs: epoch/ms - 1000, Body: state.Body{Calls: 10 + 10*m.random.Float64(), Value: 50_000 + 20_000*m.random.Float64()}})
		if n == m.run.failingServer && now > c.Duration/5 && now < c.Duration*3/5 {
			m.observations = append(m.observations, state.Observation{Kind: state.ServerUnhealthy, Subject: name,
				SubjectStartMs: epoch/ms - 1000, Body: state.Body{Fault: 1, Calls: 20, BadFraction: 0.8 + 0.2*m.random.Float64()}})
		}
	}
	return m.observations
}

func (m *member) randomPeer() int {
	peer := m.random.IntN(m.run.config.Size - 1)
	if peer >= m.id {
		peer++
	}
	return peer
}

// sendDatagram sends one datagram to a random member.
func (m *member) sendDatagram(now int64) {
	data := m.queue.NextPacket(epoch+now, maxPacketBytes)
	if data == nil {
		return
	}
	m.bytes += int64(len(data))
	if m.sent++; m.sent%sizeSampleInterval == 0 {
		entries, _, _ := state.Decode(epoch+now, data)
		for i := range entries {
			one, _ := state.Pack(epoch+now, entries[i:i+1], maxPacketBytes)
			m.entries[entries[i].Kind]++
			m.sizes[entries[i].Kind] += int64(len(one))
		}
	}
	to, lost := m.randomPeer(), m.random.Float64() < m.run.config.Loss
	if !lost {
		m.out = append(m.out, message{at: now + m.delay(to), from: m.id, to: to, data: [][]byte{data}})
	}
}

// exchange sends all entries to a member over a connection, up to maxExchangeBytes.
func (m *member) exchange(now int64, to int, wantsReply bool) {
	data, size := state.Encode(epoch+now, m.store.Entries(epoch+now), state.MaxPacketBytes), 0
	for i, packet := range data {
		if size += len(packet); size > maxExchangeBytes {
			data = data[:i]
			break
		}
		m.exchangeBytes += int64(len(packet))
	}
	m.out = append(m.out, message{at: now + 2*m.delay(to), from: m.id, to: to, wantsReply: wantsReply,
		data: data})
}

// delay returns the one-way delay to a member, with jitter.
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

// sampleAges records the true ages of the entries that the member holds.
func (m *member) sampleAges(second int64) {
	c := &m.run.config
	if every := max(1, c.Size/ageSampleMembers); (int64(m.id)+second)%int64(every) != 0 || second < 5 {
		return
	}
	entries := m.store.PeerEntries(epoch + m.run.now)
	observers, lastObserver := 0, ""
	result := &m.run.result
	result.lock.Lock()
	defer result.lock.Unlock()
	for i := range entries {
		e := &entries[i]
		if e.Observer != lastObserver {
			observers, lastObserver = observers+1, e.Observer
		}
		observer, _ := strconv.Atoi(e.Observer[len("proxy-"):])
		age := m.run.now - m.run.members[observer].publishedAt[e.Seq-1]
		if e.Kind == state.ServerLoad {
			result.LoadAges.add(age)
		} else {
			result.HealthAges.add(age)
		}
	}
	result.EntriesHeld.add(int64(len(entries)))
	result.MembersKnown.add(int64(observers))
}
