package model

import "merlinpick/internal/cluster/state"

// book knows, in virtual time, when each entry was told: what views believe of their ages is held against it.
type book struct {
	at    map[mark]int64
	swept int64
}

// mark names one telling.
type mark struct {
	observer    string
	incarnation int64
	seq         uint64
}

const bookKeeps = 150 * sec // the longest life of an entry twice, and a stop

func (b *book) begin() { b.at = map[mark]int64{} }

// told notes what a proxy has just said.
func (b *book) told(p *proxy, entries []state.Entry) {
	w := p.w
	for i := range entries {
		e := &entries[i]
		b.at[mark{e.Observer, e.Incarnation, e.Seq}] = w.now - (p.clock() - e.ObservedAt)
		w.note(evNews, p.id, int64(e.Seq))
	}
	if w.now-b.swept > bookKeeps {
		b.swept = w.now
		for m, at := range b.at {
			if w.now-at > bookKeeps {
				delete(b.at, m)
			}
		}
	}
}

// came notes how long what was news to a proxy has been under way.
func (b *book) came(p *proxy, news []state.Entry) {
	for i := range news {
		e := &news[i]
		if at, ok := b.at[mark{e.Observer, e.Incarnation, e.Seq}]; ok {
			if e.Kind == state.ServerLoad {
				p.w.res.LoadsBy.add(p.w.now - at)
			} else {
				p.w.res.Spread.add(p.w.now - at)
			}
		}
		p.w.note(evNews, p.id, int64(e.Seq))
	}
}

// age is the true age of an entry; -1 where it is not known.
func (b *book) age(now int64, e *state.Entry) int64 {
	at, ok := b.at[mark{e.Observer, e.Incarnation, e.Seq}]
	if !ok {
		return -1
	}
	return now - at
}
