// Package queue holds what a member of a fleet passes on, in the order in which it goes out.
package queue

import (
	"cmp"
	"math"
	"sync"

	"github.com/google/btree"

	"merlinpick/internal/cluster/state"
)

const (
	MaxEntries = 1024 // entries that wait to be passed on
	eachTime   = 64   // that are looked at for one datagram: more than fit
	degree     = 32   // of the tree
)

// Queue holds the entries that are to be passed on, each a number of times that grows with the logarithm of the fleet.
// Memberlist's own queue holds bytes; here an entry is encoded as it is sent, so that its age is right however long
// it waited, and one that has ended or was overtaken meanwhile is not sent.
//
// Datagrams go out 30 times a second and more, so what waits is kept in order: sorting it anew for each took six
// times as long at the bound (BenchmarkFull).
type Queue struct {
	times func() int // that each is sent

	mu      sync.Mutex
	waiting map[key]*queued
	order   *btree.BTreeG[*queued] // the same, by who goes first
	turn    uint64
	dropped int64
	sent    int64
}

type key struct {
	kind              state.Kind
	subject, observer string
}

type queued struct {
	entry state.Entry
	sent  int
	turn  uint64
}

// New makes an empty queue of entries that are sent so many times each.
func New(times func() int) *Queue {
	return &Queue{times: times, waiting: map[key]*queued{},
		order: btree.NewG(degree, func(a, b *queued) bool { return first(a, b) < 0 })}
}

func keyOf(e *state.Entry) key {
	if e.Kind == state.Override { // one register a subject, whoever acted
		return key{e.Kind, e.Subject, ""}
	}
	return key{e.Kind, e.Subject, e.Observer}
}

// ahead is how often an entry of a less urgent kind has to wait for one that was sent already: in a large fleet what all
// find well would fill the datagrams by itself.
const ahead = 3

// urgency is 0 for what people asked for, 1 for what is bad or changed, 2 for what is well, 3 for summaries.
var urgency = [...]int{state.ServerUnhealthy: 1, state.ZoneUnhealthy: 1, state.ServerFlap: 1, state.ServerHealthy: 2, state.ZoneHealthy: 2,
	state.ServerLoad: 3, state.Override: 0}

// first orders by who goes first: the least sent, with the urgent ahead, and of these the newest.
func first(a, b *queued) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.turn, a.turn))
}

func (q *queued) rank() int { return q.sent + ahead*urgency[q.entry.Kind] }

// Add puts entries in, in the place of what was told of the same before. Over the bound the one goes that was sent most.
func (q *Queue) Add(entries []state.Entry) {
	if len(entries) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range entries {
		k := keyOf(&entries[i])
		if old := q.waiting[k]; old != nil {
			q.order.Delete(old)
		}
		q.turn++
		x := &queued{entry: entries[i], turn: q.turn}
		q.waiting[k] = x
		q.order.ReplaceOrInsert(x)
	}
	for len(q.waiting) > MaxEntries {
		if last, ok := q.order.DeleteMax(); ok {
			delete(q.waiting, keyOf(&last.entry))
			q.dropped++
		}
	}
}

// Take gives one packet of at most so many bytes, of the entries whose turn it is; nil if there are none. What has ended
// goes unsent as its turn comes.
func (q *Queue) NextPacket(now int64, most int) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 || most < state.MinPacketBytes {
		return nil
	}
	var ended []*queued
	ready := make([]*queued, 0, eachTime)
	entries := make([]state.Entry, 0, eachTime)
	q.order.Ascend(func(x *queued) bool {
		if x.entry.ExpiresAt() <= now {
			ended = append(ended, x)
		} else {
			ready, entries = append(ready, x), append(entries, x.entry)
		}
		return len(ready) < eachTime
	})
	for _, x := range ended {
		q.drop(x)
	}
	packet, held := state.Pack(now, entries, most)
	times := q.times()
	for _, i := range held {
		x := ready[i]
		q.order.Delete(x)
		if x.sent++; x.sent >= times {
			delete(q.waiting, keyOf(&x.entry))
		} else {
			q.order.ReplaceOrInsert(x)
		}
	}
	q.sent += int64(len(held))
	return packet
}

func (q *Queue) drop(x *queued) {
	q.order.Delete(x)
	delete(q.waiting, keyOf(&x.entry))
}

// Counts tells how many entries wait, were sent, and went unsent for the bound.
func (q *Queue) Counts() (waiting int, sent, dropped int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting), q.sent, q.dropped
}

// Retransmits is how often an entry is sent for each digit of the number of members.
const Retransmits = 4

// Transmits is how often an entry is passed on by each member of a fleet of n. Each sending goes to another member, so
// that 4*log10(n+1) of them by all who hold it leave out less than one in a thousand, at 30 % of packets lost too.
func TransmitCount(n int) int { return Retransmits * int(math.Ceil(math.Log10(float64(n+1)))) }
