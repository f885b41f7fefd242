package model

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math/rand/v2"
)

// eventKind is the kind of an event in the run's log.
type eventKind uint8

const (
	evArrival eventKind = iota
	evClientTimeout
	evAttempt // arrives at its server
	evWork    // of a server is done
	evOutcome // arrives at its proxy
	evTimeout
	evTimer
	evList
	evTick
	evGossip
	evPacket
	evFault
	evSend // from here on: actions of proxies
	evReject
	evFail
	evEntry // of shared state, published or received
)

// event is a call at a time. Events at the same time run in the order in which they were scheduled.
type event struct {
	time    int64
	number  uint64
	kind    eventKind
	subject int32 // number of the proxy, server, arrival or kind of fault
	run     func()
}

func (e *event) before(o *event) bool {
	return e.time < o.time || e.time == o.time && e.number < o.number
}

// eventQueue is a binary heap of events. container/heap would allocate memory for each event.
type eventQueue []event

func (a *eventQueue) push(e event) {
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

func (a *eventQueue) pop() event {
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

// simulation is the state of a run.
type simulation struct {
	cfg             *Config
	now             int64
	events          eventQueue
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
	touchedServer *server // the server that the current event changed; nil: none

	zoneNumbers map[string]int // by name
}

// source returns one of the random streams of a seed. Each concern has its own stream, so that, for example,
// other faults do not change the arrivals.
func source(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// The random streams of a run.
const (
	streamClients = iota + 1
	streamLinks
	streamServers
	streamClocks
	streamGossip
	streamFaults
	streamProxies // the first of those of the proxies: one for each start of each
)

// after schedules an event after a delay in microseconds.
func (sim *simulation) after(delay int64, kind eventKind, subject int, run func()) {
	sim.scheduledEvents++
	sim.events.push(event{sim.now + max(delay, 0), sim.scheduledEvents, kind, int32(subject), run})
}

// record adds an event to the run's hash.
func (sim *simulation) record(kind eventKind, subject int, value int64) {
	sim.logLine[0] = byte(kind)
	binary.LittleEndian.PutUint64(sim.logLine[1:], uint64(sim.now))
	binary.LittleEndian.PutUint64(sim.logLine[9:], uint64(subject))
	binary.LittleEndian.PutUint64(sim.logLine[17:], uint64(value))
	sim.log.Write(sim.logLine[:]) // a hash never fails
}

// Run simulates a configuration to its end. Violations are in the result and do not end the run. The error is
// a *ConfigError or an error of balancer.New.
func Run(c Config) (*Result, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	sim := &simulation{cfg: &c, log: fnv.New64a(), zoneNumbers: zoneNumbers(c.Zones)}
	sim.network = newNetwork(&c)
	sim.result.begin(&c)
	chance := source(c.Seed, streamServers)
	for i := range c.Servers {
		sim.servers = append(sim.servers, newServer(sim, i, chance))
	}
	clocks := source(c.Seed, streamClocks)
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
	for len(sim.events) > 0 && sim.events[0].time <= c.Duration {
		e := sim.events.pop()
		sim.now = e.time
		sim.record(e.kind, int(e.subject), 0)
		e.run()
		sim.result.Events++
		sim.check.afterEvent(sim)
	}
	sim.result.end(sim)
	return &sim.result, nil
}
