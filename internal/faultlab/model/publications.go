package model

import "merlinpick/internal/cluster/state"

// book knows, in virtual time, when each entry was told: what views believe of their ages is held against it.
type publicationLog struct {
	publishedAt map[publicationKey]int64
	lastSweep   int64
}

// mark names one telling.
type publicationKey struct {
	observer    string
	incarnation int64
	seq         uint64
}

const publicationRetention = 150 * sec // the longest life of an entry twice, and a stop

func (b *publicationLog) begin() { b.publishedAt = map[publicationKey]int64{} }

// told notes what a proxy has just said.
func (b *publicationLog) recordPublished(p *proxy, entries []state.Entry) {
	sim := p.sim
	for i := range entries {
		e := &entries[i]
		b.publishedAt[publicationKey{e.Observer, e.Incarnation, e.Seq}] = sim.now - (p.clock() - e.ObservedAt)
		sim.record(evNews, p.id, int64(e.Seq))
	}
	if sim.now-b.lastSweep > publicationRetention {
		b.lastSweep = sim.now
		for m, at := range b.publishedAt {
			if sim.now-at > publicationRetention {
				delete(b.publishedAt, m)
			}
		}
	}
}

// came notes how long what was news to a proxy has been under way.
func (b *publicationLog) recordReceived(p *proxy, news []state.Entry) {
	for i := range news {
		e := &news[i]
		if at, ok := b.publishedAt[publicationKey{e.Observer, e.Incarnation, e.Seq}]; ok {
			if e.Kind == state.ServerLoad {
				p.sim.result.LoadPropagation.add(p.sim.now - at)
			} else {
				p.sim.result.HealthPropagation.add(p.sim.now - at)
			}
		}
		p.sim.record(evNews, p.id, int64(e.Seq))
	}
}

// age is the true age of an entry; -1 where it is not known.
func (b *publicationLog) age(now int64, e *state.Entry) int64 {
	at, ok := b.publishedAt[publicationKey{e.Observer, e.Incarnation, e.Seq}]
	if !ok {
		return -1
	}
	return now - at
}
