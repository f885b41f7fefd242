// Package queue orders the entries that a cluster member gossips: which go into the next datagram, and how often each is
// sent. It never changes an entry and opens no socket.
package queue

import (
	"cmp"
	"math"
	"sync"

	"github.com/google/btree"

	"merlinpick/internal/cluster/state"
)

const (
	// MaxEntries is how many entries may wait.
	MaxEntries = 1024
	// RetransmitMultiplier is how often an entry is sent per digit of the number of members.
	RetransmitMultiplier = 4

	maxPerPacket = 64 // entries considered for one datagram: more than fit
	btreeDegree  = 32
)

// TransmitCount returns how often a member gossips an entry in a cluster of that size. Each transmission goes to another
// member, so that 4*log10(members+1) by all who hold the entry miss fewer than one member in a thousand, at 30 % packet
// loss too.
func TransmitCount(members int) int {
	return RetransmitMultiplier * int(math.Ceil(math.Log10(float64(members+1))))
}

// Queue holds the entries that wait to be gossiped. Unlike memberlist's own queue it holds entries and not bytes: they
// are encoded when they are sent, so that their ages are right however long they waited, and expired or replaced ones are
// not sent. Entries are kept sorted, as datagrams go out some 30 times a second. It is safe for concurrent use.
type Queue struct {
	transmitCount func() int // transmissions of each entry

	mu      sync.Mutex
	byKey   map[entryKey]*queuedEntry
	ordered *btree.BTreeG[*queuedEntry] // the same, by compareOrder
	added   uint64                      // entries ever added
	dropped int64
	sent    int64
}

type entryKey struct {
	kind              state.Kind
	subject, observer string
}

type queuedEntry struct {
	entry         state.Entry
	transmissions int
	sequence      uint64 // grows with each entry that is added
}

// New returns an empty queue. It asks transmitCount, with each packet, how often an entry is to be sent.
func New(transmitCount func() int) *Queue {
	return &Queue{transmitCount: transmitCount, byKey: map[entryKey]*queuedEntry{},
		ordered: btree.NewG(btreeDegree, func(a, b *queuedEntry) bool { return compareOrder(a, b) < 0 })}
}

func keyOf(e *state.Entry) entryKey {
	if e.Kind == state.Override { // one register per server, whoever set it
		return entryKey{e.Kind, e.Subject, ""}
	}
	return entryKey{e.Kind, e.Subject, e.Observer}
}

// priorityStep is how many transmissions a kind of one priority is ahead of the next. Without it, health reports that
// all members send all the time would fill the datagrams of a large cluster.
const priorityStep = 3

// priorities order the kinds: operators' overrides, faults and changes, health, load; 0 goes first.
var priorities = [...]int{
	state.Override:        0,
	state.ServerUnhealthy: 1,
	state.ZoneUnhealthy:   1,
	state.ServerFlap:      1,
	state.ServerHealthy:   2,
	state.ZoneHealthy:     2,
	state.ServerLoad:      3,
}

// compareOrder orders entries by who goes first: the fewest transmissions, adjusted by priority; of these the newest.
func compareOrder(a, b *queuedEntry) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.sequence, a.sequence))
}

func (q *queuedEntry) rank() int { return q.transmissions + priorityStep*priorities[q.entry.Kind] }

// Add adds entries; each replaces one of the same key. At MaxEntries the last in order are dropped.
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

// NextPacket returns one packet of at most maxBytes with the entries that go first, nil if there are none. Expired
// entries that are reached are removed.
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

// Counts returns how many entries wait, and how many transmissions and drops for lack of room there were so far.
func (q *Queue) Counts() (waiting int, sent, dropped int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.byKey), q.sent, q.dropped
}
