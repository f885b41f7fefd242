package transport

import (
	"maps"
	"sync"
	"time"

	"merlinpick/internal/cluster/state"
)

// Metrics holds the metrics of a member. Counters are totals since the node was opened.
type Metrics struct {
	LiveMembers       int              // this one included
	LiveMembersInZone int              // of them, in this one's zone
	Isolated          bool             // no other member was heard from for isolationTimeout, or ever
	Isolations        int64            // how often the member became isolated
	Entries           int              // live entries of peers
	OldestEntry       time.Duration    // age of the oldest of these
	SuspendedServers  int              // by an operator's override
	Queued            int              // entries waiting to be gossiped
	Sent              int64            // transmissions of entries
	BytesIn, BytesOut int64            // including membership traffic
	Dropped           int64            // messages and entries dropped from full queues
	Joined, Left      int64            // members that joined, and members that left or died
	JoinAttempts      int64            // attempts to contact seeds and lost members
	JoinFailures      int64            // attempts that failed
	Rejected          map[string]int64 // what was received and not processed, by reason
	State             state.Counts
}

// Reasons for rejecting what was received. They are part of metric names.
const (
	rejectLabel         = "label"
	rejectLength        = "length"
	rejectLate          = "late"
	rejectTooMany       = "many"
	rejectForeignMember = "member"
	rejectNameConflict  = "name"
	rejectUnreadable    = "unread"
	rejectUnknownKind   = "kind"
	rejectMalformed     = "shape"
	rejectNewerVersion  = "newer"
)

// rejections counts rejections by reason. The zero value is ready to use.
type rejections struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (r *rejections) add(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int64{}
	}
	r.counts[reason]++
}

// addTo copies the counts into a map.
func (r *rejections) addTo(counts map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(counts, r.counts)
}

// Metrics returns the current metrics. Those of the Store are at most snapshotInterval old.
func (n *Node) Metrics() Metrics {
	n.mu.Lock()
	m := n.metrics
	n.mu.Unlock()
	var dropped int64
	m.Queued, m.Sent, dropped = n.outbound.Counts()
	m.LiveMembers, m.LiveMembersInZone = n.members.liveCounts(n.cfg.Zone)
	m.BytesIn, m.BytesOut = n.network.bytesIn.Load(), n.network.bytesOut.Load()
	m.Dropped = n.inboundDropped.Load() + dropped
	m.Joined, m.Left = n.members.joinsAndDepartures()
	m.JoinAttempts, m.JoinFailures = n.joinAttempts.Load(), n.joinFailures.Load()
	rejected := maps.Clone(m.Rejected)
	if rejected == nil {
		rejected = map[string]int64{}
	}
	n.rejected.addTo(rejected)
	m.Rejected = rejected
	return m
}

// updateMetrics stores the metrics that only the owner goroutine knows.
func (n *Node) updateMetrics(now int64) {
	owner := &n.owner
	m := Metrics{Isolated: owner.isolated, Isolations: owner.isolations, State: owner.store.Counts(),
		Rejected: map[string]int64{
			rejectUnreadable:   owner.unreadable,
			rejectUnknownKind:  int64(owner.skipped.UnknownKinds),
			rejectMalformed:    int64(owner.skipped.Malformed),
			rejectNewerVersion: int64(owner.skipped.NewerVersion)}}
	m.SuspendedServers = m.State.Suspended
	for i := range owner.peerEntries {
		if e := &owner.peerEntries[i]; e.ExpiresAt() > now {
			m.Entries++
			m.OldestEntry = max(m.OldestEntry, time.Duration(now-e.ObservedAt)*time.Microsecond)
		}
	}
	n.mu.Lock()
	n.metrics = m
	n.mu.Unlock()
}
