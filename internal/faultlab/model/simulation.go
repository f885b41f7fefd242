package model

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math/rand/v2"
)

// kind names what an event is, for the run's log.
type eventKind uint8

const (
	evArrival eventKind = iota
	evGiveUp
	evAttempt // reaches its nodo
	evWork    // of a nodo is done
	evOutcome // reaches its proxy
	evTimeout
	evTimer
	evList
	evTick
	evGossip
	evPacket
	evFault
	evSend // below: actions of proxies, no events
	evRefuse
	evFail
	evNews
)

// event is something that happens at a time; of two at one time the one that was planned first comes first.
type event struct {
	time    int64
	number  uint64
	kind    eventKind
	subject int32
	run     func()
}

func (e *event) before(o *event) bool {
	return e.time < o.time || e.time == o.time && e.number < o.number
}

// agenda is a binary heap of events. container/heap would box each one.
type agenda []event

func (a *agenda) push(e event) {
	h := append(*a, e)
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !h[i].before(&h[up]) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
	*a = h
}

func (a *agenda) pop() event {
	h := *a
	first, last := h[0], len(h)-1
	h[0] = h[last]
	h[last] = event{}
	h = h[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h); c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	*a = h
	return first
}

// world is one run under way.
type simulation struct {
	cfg             *Config
	now             int64
	agenda          agenda
	scheduledEvents uint64
	log             hash.Hash64
	logLine         [25]byte

	proxies       []*proxy
	servers       []*server
	network       network
	clients       clients
	gossip        gossipNetwork
	check         checker
	result        Result
	touchedServer *server // by this event

	zoneNumbers map[string]int // by name
}

// source is a source of chance for one concern, so that one more fault does not change the arrivals.
func source(seed, concern uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, concern)) }

const (
	chanceClients = iota + 1
	chanceLinks
	chanceNodos
	chanceClocks
	chanceGossip
	chanceFaults
	chanceProxies // and one more for each start of each proxy
)

// after plans an event.
func (w *simulation) after(delay int64, k eventKind, who int, do func()) {
	w.scheduledEvents++
	w.agenda.push(event{w.now + max(delay, 0), w.scheduledEvents, k, int32(who), do})
}

// note adds a line to the log, of which only the sum is kept.
func (w *simulation) record(k eventKind, who int, what int64) {
	w.logLine[0] = byte(k)
	binary.LittleEndian.PutUint64(w.logLine[1:], uint64(w.now))
	binary.LittleEndian.PutUint64(w.logLine[9:], uint64(who))
	binary.LittleEndian.PutUint64(w.logLine[17:], uint64(what))
	w.log.Write(w.logLine[:]) // never fails
}

// Run plays a configuration to its end. A broken check is in the result and ends nothing.
func Run(c Config) (*Result, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	sim := &simulation{cfg: &c, log: fnv.New64a(), zoneNumbers: zoneNumbers(c.Zones)}
	sim.network = newNetwork(&c)
	sim.result.begin(&c)
	chance := source(c.Seed, chanceNodos)
	for i := range c.Servers {
		sim.servers = append(sim.servers, newServer(sim, i, chance))
	}
	clocks := source(c.Seed, chanceClocks)
	for i := range c.Proxies {
		sim.proxies = append(sim.proxies, newProxy(sim, i, clocks))
	}
	sim.check.begin(sim)
	sim.gossip.begin(sim)
	for _, p := range sim.proxies {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	sim.clients.begin(sim)
	for i := range c.Faults {
		sim.schedule(&c.Faults[i])
	}
	for len(sim.agenda) > 0 && sim.agenda[0].time <= c.Duration {
		e := sim.agenda.pop()
		sim.now = e.time
		sim.record(e.kind, int(e.subject), 0)
		e.run()
		sim.result.Events++
		sim.check.afterEvent(sim)
	}
	sim.result.end(sim)
	return &sim.result, nil
}
