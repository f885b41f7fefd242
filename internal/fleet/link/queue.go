package link

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"fernlanding/internal/fleet/view"
)

const (
	queueMost = 1024 // entries that wait to be passed on
	eachTime  = 64   // that are looked at for one datagram: more than fit
)

// queue holds the entries that are to be passed on, each a number of times that grows with the logarithm of the fleet.
// Memberlist's own queue holds bytes; here an entry is encoded as it is sent, so that its age is right however long
// it waited, and one that has ended or was overtaken meanwhile is not sent.
type queue struct {
	times func() int // that each is sent

	mu      sync.Mutex
	waiting map[key]*queued
	turn    uint64
	dropped int64
	sent    int64
}

type key struct {
	kind              view.Kind
	subject, observer string
}

type queued struct {
	entry view.Entry
	sent  int
	turn  uint64
}

func newQueue(times func() int) *queue { return &queue{times: times, waiting: map[key]*queued{}} }

func keyOf(e *view.Entry) key {
	if e.Kind == view.Hand { // one register a subject, whoever acted
		return key{e.Kind, e.Subject, ""}
	}
	return key{e.Kind, e.Subject, e.Observer}
}

// ahead is how often an entry of a less urgent kind has to wait for one that was sent already: in a large fleet what all
// find well would fill the datagrams by itself.
const ahead = 3

// urgency is 0 for what people asked for, 1 for what is bad or changed, 2 for what is well, 3 for summaries.
var urgency = [...]int{view.ServerBad: 1, view.ZoneBad: 1, view.ServerFlap: 1, view.ServerWell: 2, view.ZoneWell: 2,
	view.ServerLoad: 3, view.Hand: 0}

// first orders by who goes first: the least sent, with the urgent ahead, and of these the newest.
func first(a, b *queued) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.turn, a.turn))
}

func (q *queued) rank() int { return q.sent + ahead*urgency[q.entry.Kind] }

// add puts entries in, in the place of what was told of the same before. Over the bound the one goes that was sent most.
func (q *queue) add(entries []view.Entry) {
	if len(entries) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range entries {
		q.turn++
		q.waiting[keyOf(&entries[i])] = &queued{entry: entries[i], turn: q.turn}
	}
	if over := len(q.waiting) - queueMost; over > 0 {
		all := q.sorted()
		for _, x := range all[len(all)-over:] {
			delete(q.waiting, keyOf(&x.entry))
		}
		q.dropped += int64(over)
	}
}

func (q *queue) sorted() []*queued {
	all := make([]*queued, 0, len(q.waiting))
	for _, x := range q.waiting {
		all = append(all, x)
	}
	slices.SortFunc(all, first)
	return all
}

// take gives one packet of at most so many bytes, of the entries whose turn it is; nil if there are none.
func (q *queue) take(now int64, most int) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 || most < view.LeastPacket {
		return nil
	}
	times := q.times()
	var ready []view.Entry
	for _, x := range q.sorted() {
		switch {
		case x.entry.End() <= now:
			delete(q.waiting, keyOf(&x.entry))
		case len(ready) < eachTime:
			ready = append(ready, x.entry)
		}
	}
	packets := view.Encode(now, ready, most)
	if len(packets) == 0 {
		return nil
	}
	in, _, _ := view.Decode(now, packets[0]) // which of them it holds
	for i := range in {
		k := keyOf(&in[i])
		if x := q.waiting[k]; x != nil {
			if x.sent++; x.sent >= times {
				delete(q.waiting, k)
			}
		}
	}
	q.sent += int64(len(in))
	return packets[0]
}

// counts tells how many entries wait, were sent, and went unsent for the bound.
func (q *queue) counts() (waiting int, sent, dropped int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting), q.sent, q.dropped
}

// transmits is how often an entry is passed on by each member of a fleet of n. Each sending goes to another member, so
// that 4*log10(n+1) of them by all who hold it leave out less than one in a thousand, at 30 % of packets lost too.
func transmits(n int) int { return retransmits * int(math.Ceil(math.Log10(float64(n+1)))) }
