// Package state holds the gossip state of one cluster member: the observations of all proxies of the cluster,
// merged by anti-entropy. It is a pure data structure without clock, sockets or goroutines: callers pass in
// the time and send the returned entries. It does not decide how to act on an observation. A Store is not
// safe for concurrent use: one goroutine owns it.
//
// Times are int64 microseconds on the caller's monotonic clock, except that names ending in Ms hold Unix
// milliseconds, or a duration in milliseconds.
//
// # Merging
//
// Each member publishes observations (Publish). For each key of (observer, kind, subject) a Store holds the
// entry with the highest (Incarnation, Seq), and of equal copies the oldest. A new incarnation of an observer
// replaces all entries of the previous one. Entries of a key are totally ordered, so Merge is commutative,
// associative and idempotent, and stores that received the same entries hold the same, whatever the order and
// number of deliveries.
//
// # Expiry
//
// An entry expires at ObservedAt+TTL on its reader's clock. The wire carries its age, rounded up, so a
// relayed copy never appears younger except by its time in transit, for which a reader holds it longer.
// Observations that still hold are renewed at half their TTL; changed numbers are published at most once per
// update interval of the kind.
//
// Expired entries do not come back. The last entry of a key is retained for the kind's full TTL. When it is
// removed, the sequence floor of that observer and kind rises to its Seq. Seq grows with ObservedAt, so an
// entry at or below the floor has expired too. Floors and incarnations are retained for ten minutes after an
// observer's last entry.
//
// # Overrides
//
// Operators' suspensions are stored as one last-writer-wins register per server, ordered by (Lamport version,
// actor) without using a clock. A suspension does not expire. A resumption is a tombstone with a TTL of 24
// hours: a member that was partitioned for longer may bring an older suspension back.
//
// # Limits
//
// All state is bounded (Limits). At a limit the entry nearest its expiry is evicted, from the observer with
// the most entries, so that an observer that floods the cluster evicts its own entries. The entries of this
// proxy are never evicted. Evicted entries come back when their observer renews them.
package state

import "math"

// Identity identifies the proxy that owns a Store.
type Identity struct {
	Name, Zone  string
	StartedAtMs int64 // the first incarnation, Unix milliseconds; must grow with each start of the process
}

// Limits are the limits of a Store. Zero values stand for the defaults.
type Limits struct {
	Entries            int // of all peers together; default 20,000
	EntriesPerObserver int // of one observer, this proxy included; default 512
	Observers          int // that are remembered; default 1,024
	NameBytes          int // in the name of a server, zone or observer; default 128
	Overrides          int // servers with an override; default 4,096
}

func (l Limits) withDefaults() Limits {
	setDefault := func(limit *int, value int) {
		if *limit <= 0 {
			*limit = value
		}
	}
	setDefault(&l.Entries, 20_000)
	setDefault(&l.EntriesPerObserver, 512)
	setDefault(&l.Observers, 1024)
	setDefault(&l.NameBytes, 128)
	setDefault(&l.Overrides, 4096)
	return l
}

// Counts are totals since New, followed by the current sizes. Each entry given to Merge counts once among
// Accepted, Duplicates, ExpiredOnArrival, Superseded, SelfConflicts, Invalid and DroppedAtLimit.
type Counts struct {
	Advertised       uint64 // own entries published because they were new or changed
	Renewed          uint64 // own entries published again at half their TTL
	Withdrawn        uint64 // own entries withdrawn
	Omitted          uint64 // own observations not published: over a limit, duplicates in one set, or invalid
	Accepted         uint64 // entries of peers that changed the state
	Duplicates       uint64 // already known, including own entries
	ExpiredOnArrival uint64
	Superseded       uint64 // older than the stored entry
	SelfConflicts    uint64 // under this proxy's name, from a previous process or another member
	Invalid          uint64 // a name, number, age or TTL out of range, or an unknown kind
	DroppedAtLimit   uint64 // not stored because of a limit
	Evicted          uint64 // stored, and later removed because of a limit
	Expired          uint64 // entries of peers that expired without being withdrawn

	Own       int // own entries, withdrawn ones included
	Entries   int // of peers, including those retained after their expiry
	Observers int
	Suspended int // overrides that suspend a server
	Resumed   int // tombstones of overrides
}

// observerRetention is how long an observer without entries is remembered, with its incarnation and sequence
// floors.
const observerRetention = 600 * second

// Store holds what one proxy knows of its cluster.
type Store struct {
	identity Identity
	limits   Limits
	now      int64 // latest time passed in; earlier times are treated as this one
	counts   Counts

	own                 observer
	lastSeq             uint64        // of own entries
	incarnationRaisedAt int64         // last time that a member of the same name made it grow
	admitted            []Observation // reused by Publish

	peers          []*observer // sorted by name
	peerEntryCount int
	nextSweep      int64 // no peer and none of its entries becomes removable before this time

	overrides       observer // entries of kind Override only
	overrideVersion uint64   // the highest Lamport version seen
}

// New returns an empty Store.
func New(identity Identity, limits Limits) *Store {
	identity.StartedAtMs = min(max(identity.StartedAtMs, 0), maxWireInteger-1)
	return &Store{identity: identity, limits: limits.withDefaults(), incarnationRaisedAt: math.MinInt64 / 2,
		own: observer{name: identity.Name, zone: identity.Zone, incarnation: identity.StartedAtMs}}
}

// advance moves the store's time forward to now, never back, and returns the store's time.
func (s *Store) advance(now int64) int64 {
	s.now = max(s.now, now)
	return s.now
}

// PeerEntries returns the live entries of peers, without withdrawn ones and overrides, sorted by observer,
// kind and subject.
func (s *Store) PeerEntries(now int64) []Entry {
	now = s.advance(now)
	s.sweep(now)
	live := make([]Entry, 0, s.peerEntryCount)
	for _, peer := range s.peers {
		for _, e := range peer.entries {
			if !e.Withdrawn && e.ExpiresAt() > now {
				live = append(live, *e)
			}
		}
	}
	return live
}

// Entries returns all entries that have not expired, including own entries, withdrawn ones and overrides, for
// a full exchange.
func (s *Store) Entries(now int64) []Entry {
	now = s.advance(now)
	s.sweep(now)
	all := make([]Entry, 0, len(s.own.entries)+s.peerEntryCount+len(s.overrides.entries))
	appendLive := func(o *observer) {
		for _, e := range o.entries {
			if e.ExpiresAt() > now {
				all = append(all, *e)
			}
		}
	}
	appendLive(&s.own)
	for _, peer := range s.peers {
		appendLive(peer)
	}
	appendLive(&s.overrides)
	return all
}

// Counts returns the totals since New and the current sizes.
func (s *Store) Counts() Counts {
	c := s.counts
	c.Own, c.Entries, c.Observers = len(s.own.entries), s.peerEntryCount, len(s.peers)
	for _, e := range s.overrides.entries {
		if e.Withdrawn {
			c.Resumed++
		} else {
			c.Suspended++
		}
	}
	return c
}
