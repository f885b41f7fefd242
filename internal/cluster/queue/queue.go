// Package queue schedules the entries that a cluster member gossips: which go into the next datagram, and how
// often each is sent. It never changes an entry and opens no sockets.
package queue

import (
	"cmp"
	"math"
	"sync"

	"github.com/google/btree"

	"merlinpick/internal/cluster/state"
)

const (
	// MaxEntries is the maximum number of waiting entries.
	MaxEntries = 1024
	// RetransmitMultiplier times the rounded-up log10(members+1) is how often an entry is sent.
	RetransmitMultiplier = 4

	maxPerPacket = 64 // entries considered for one datagram, more than fit into it
	btreeDegree  = 32
)

// TransmitCount returns how often a member gossips an entry in a cluster of the given size. Each transmission
// goes to another member. With 4*log10(members+1) transmissions by every member that holds the entry, fewer
// than one member in a thousand misses it, even at 30 % packet loss.
func TransmitCount(members int) int {
	return RetransmitMultiplier * int(math.Ceil(math.Log10(float64(members+1))))
}

// Queue holds the entries that wait to be gossiped. Unlike memberlist's own queue it holds entries instead of
// encoded bytes. Entries are encoded when they are sent, so that their ages are right however long they
// waited, and expired or replaced ones are not sent. They are kept sorted, because about 30 datagrams are
// sent per second. A Queue is safe for concurrent use.
type Queue struct {
	transmitCount func() int // returns the number of transmissions of each entry

	mu      sync.Mutex
	byKey   map[entryKey]*queuedEntry
	ordered *btree.BTreeG[*queuedEntry] // the same entries, sorted by compareOrder
	added   uint64                      // number of entries ever added
	dropped int64                       // entries dropped because the queue was full
	sent    int64                       // transmissions
}

// entryKey identifies the entries that replace each other.
type entryKey struct {
	kind              state.Kind
	subject, observer string
}

// queuedEntry is a waiting entry.
type queuedEntry struct {
	entry         state.Entry
	transmissions int    // so far
	sequence      uint64 // position in the order of all added entries
}

// New returns an empty queue. It calls transmitCount for each packet to learn how often entries must be sent.
func New(transmitCount func() int) *Queue {
	return &Queue{transmitCount: transmitCount, byKey: map[entryKey]*queuedEntry{},
		ordered: btree.NewG(btreeDegree, func(a, b *queuedEntry) bool { return compareOrder(a, b) < 0 })}
}

func keyOf(e *state.Entry) entryKey {
	if e.Kind == state.Override { // one override per server, whoever set it
		return entryKey{e.Kind, e.Subject, ""}
	}
	return entryKey{e.Kind, e.Subject, e.Observer}
}

// priorityStep is how many more times a kind of one priority is sent before the next priority gets its turn.
// Without it, health reports, which all members send all the time, would fill the datagrams of a large
// cluster.
const priorityStep = 3

// priorities holds the priority of each kind; 0 is sent first.
var priorities = [...]int{
	state.Override:        0,
	state.ServerUnhealthy: 1,
	state.ZoneUnhealthy:   1,
	state.ServerFlap:      1,
	state.ServerHealthy:   2,
	state.ZoneHealthy:     2,
	state.ServerLoad:      3,
}

// compareOrder orders entries by which is sent first: the one with the lowest rank, and of equal ranks the
// newest.
func compareOrder(a, b *queuedEntry) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.sequence, a.sequence))
}

// rank returns the number of transmissions so far, adjusted by priority. The lowest rank is sent first.
func (q *queuedEntry) rank() int { return q.transmissions + priorityStep*priorities[q.entry.Kind] }

// Add adds entries. Each replaces the waiting entry with the same key. Beyond MaxEntries the last in order
// are dropped.
func (q *Queue) Add(entries []state.Entry) {
	if len(entries) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range entries {
		key := keyOf(&entries[i])
		if replaced := q.byKey[key]; replaced != nil {
			q.ordered.Delete(replaced)
		}
		q.added++
		queued := &queuedEntry{entry: entries[i], sequence: q.added}
		q.byKey[key] = queued
		q.ordered.ReplaceOrInsert(queued)
	}
	for len(q.byKey) > MaxEntries {
		if last, ok := q.ordered.DeleteMax(); ok {
			delete(q.byKey, keyOf(&last.entry))
			q.dropped++
		}
	}
}

// NextPacket returns one packet of at most maxBytes with the first entries in order, or nil if there are
// none. It removes the expired entries that it comes across. now is in microseconds.
func (q *Queue) NextPacket(now int64, maxBytes int) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.byKey) == 0 || maxBytes < state.MinPacketBytes {
		return nil
	}
	var expired []*queuedEntry
	candidates := make([]*queuedEntry, 0, maxPerPacket)
	entries := make([]state.Entry, 0, maxPerPacket)
	q.ordered.Ascend(func(queued *queuedEntry) bool {
		if queued.entry.ExpiresAt() <= now {
			expired = append(expired, queued)
		} else {
			candidates, entries = append(candidates, queued), append(entries, queued.entry)
		}
		return len(candidates) < maxPerPacket
	})
	for _, queued := range expired {
		q.remove(queued)
	}
	packet, packed := state.Pack(now, entries, maxBytes)
	transmitCount := q.transmitCount()
	for _, i := range packed {
		queued := candidates[i]
		q.ordered.Delete(queued)
		if queued.transmissions++; queued.transmissions >= transmitCount {
			delete(q.byKey, keyOf(&queued.entry))
		} else {
			q.ordered.ReplaceOrInsert(queued)
		}
	}
	q.sent += int64(len(packed))
	return packet
}

func (q *Queue) remove(queued *queuedEntry) {
	q.ordered.Delete(queued)
	delete(q.byKey, keyOf(&queued.entry))
}

// Counts returns how many entries wait, how many transmissions there were so far, and how many entries were
// dropped because the queue was full.
func (q *Queue) Counts() (waiting int, sent, dropped int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.byKey), q.sent, q.dropped
}
