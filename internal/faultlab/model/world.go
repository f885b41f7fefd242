package model

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math/rand/v2"
)

// kind names what an event is, for the run's log.
type kind uint8

const (
	evArrival kind = iota
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
	at   int64
	n    uint64
	kind kind
	who  int32
	do   func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.n < o.n }

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
type world struct {
	cfg     *Config
	now     int64
	agenda  agenda
	planned uint64
	log     hash.Hash64
	line    [25]byte

	proxies []*proxy
	nodos   []*nodo
	net     network
	clients clients
	gossip  gossip
	check   checker
	res     Result
	touched *nodo // by this event

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
func (w *world) after(delay int64, k kind, who int, do func()) {
	w.planned++
	w.agenda.push(event{w.now + max(delay, 0), w.planned, k, int32(who), do})
}

// note adds a line to the log, of which only the sum is kept.
func (w *world) note(k kind, who int, what int64) {
	w.line[0] = byte(k)
	binary.LittleEndian.PutUint64(w.line[1:], uint64(w.now))
	binary.LittleEndian.PutUint64(w.line[9:], uint64(who))
	binary.LittleEndian.PutUint64(w.line[17:], uint64(what))
	w.log.Write(w.line[:]) // never fails
}

// Run plays a configuration to its end. A broken check is in the result and ends nothing.
func Run(c Config) (*Result, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	w := &world{cfg: &c, log: fnv.New64a(), zoneNumbers: zoneNumbers(c.Zones)}
	w.net = newNetwork(&c)
	w.res.begin(&c)
	chance := source(c.Seed, chanceNodos)
	for i := range c.Nodos {
		w.nodos = append(w.nodos, newNodo(w, i, chance))
	}
	clocks := source(c.Seed, chanceClocks)
	for i := range c.Proxies {
		w.proxies = append(w.proxies, newProxy(w, i, clocks))
	}
	w.check.begin(w)
	w.gossip.begin(w)
	for _, p := range w.proxies {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	w.clients.begin(w)
	for i := range c.Faults {
		w.plan(&c.Faults[i])
	}
	for len(w.agenda) > 0 && w.agenda[0].at <= c.Span {
		e := w.agenda.pop()
		w.now = e.at
		w.note(e.kind, int(e.who), 0)
		e.do()
		w.res.Events++
		w.check.after(w)
	}
	w.res.end(w)
	return &w.res, nil
}
