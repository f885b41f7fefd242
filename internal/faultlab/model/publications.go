package model

import "merlinpick/internal/cluster/state"

// publicationLog records when each entry was published, in virtual time. The ages of entries are checked
// against it.
type publicationLog struct {
	publishedAt map[publicationKey]int64
	lastSweep   int64
}

// publicationKey identifies one publication of an entry.
type publicationKey struct {
	observer    string
	incarnation int64
	seq         uint64
}

const publicationRetention = 150 * sec // twice the longest TTL, plus a pause

func (l *publicationLog) begin() { l.publishedAt = map[publicationKey]int64{} }

// recordPublished records entries that a proxy publishes now.
func (l *publicationLog) recordPublished(p *proxy, entries []state.Entry) {
	sim := p.sim
	for i := range entries {
		e := &entries[i]
		l.publishedAt[publicationKey{e.Observer, e.Incarnation, e.Seq}] = sim.now - (p.clock() - e.ObservedAt)
		sim.record(evEntry, p.id, int64(e.Seq))
	}
	if sim.now-l.lastSweep > publicationRetention {
		l.lastSweep = sim.now
		for key, at := range l.publishedAt {
			if sim.now-at > publicationRetention {
				delete(l.publishedAt, key)
			}
		}
	}
}

// recordReceived records the propagation time of entries that changed a proxy's store.
func (l *publicationLog) recordReceived(p *proxy, changed []state.Entry) {
	for i := range changed {
		e := &changed[i]
		if at, ok := l.publishedAt[publicationKey{e.Observer, e.Incarnation, e.Seq}]; ok {
			if e.Kind == state.ServerLoad {
				p.sim.result.LoadPropagation.add(p.sim.now - at)
			} else {
				p.sim.result.HealthPropagation.add(p.sim.now - at)
			}
		}
		p.sim.record(evEntry, p.id, int64(e.Seq))
	}
}

// age returns the true age of an entry in microseconds; -1 if it is not known.
func (l *publicationLog) age(now int64, e *state.Entry) int64 {
	at, ok := l.publishedAt[publicationKey{e.Observer, e.Incarnation, e.Seq}]
	if !ok {
		return -1
	}
	return now - at
}
