package transport

import (
	"maps"
	"time"

	"merlinpick/internal/cluster/state"
)

// Figures are how a member stands with its fleet. Counts are totals since the start.
type Metrics struct {
	LiveMembers, LiveMembersInZone int           // members alive, this one included, and of them in its zone
	Isolated                       bool          // nobody is heard
	Isolations                     int64         // that this was said
	Entries                        int           // of others, acted on now
	OldestEntry                    time.Duration // age of the oldest of them
	SuspendedServers               int           // servers, by hand
	Queued                         int           // entries that are to be passed on
	Sent                           int64         // entries passed on, each time
	BytesIn, BytesOut              int64         // bytes, membership included
	Dropped                        int64         // messages and entries for which there was no room
	Joined, Left                   int64         // members that came, and that left or died
	JoinAttempts                   int64         // calls to seeds and lost members
	JoinFailures                   int64         // of them, without an answer
	Rejected                       map[string]int64
	State                          state.Counts
}

// Figures are as of the last publishEvery.
func (n *Node) Metrics() Metrics {
	n.mu.Lock()
	f := n.metrics
	n.mu.Unlock()
	var dropped int64
	f.Queued, f.Sent, dropped = n.outbound.Counts()
	f.LiveMembers, f.LiveMembersInZone = n.members.count(n.cfg.Zone)
	f.BytesIn, f.BytesOut, f.Dropped = n.network.in.Load(), n.network.out.Load(), n.inboundDropped.Load()+dropped
	f.Joined, f.Left = n.members.moved()
	f.JoinAttempts, f.JoinFailures = n.joinAttempts.Load(), n.joinFailures.Load()
	n.rejected.mu.Lock()
	defer n.rejected.mu.Unlock()
	refused := maps.Clone(n.rejected.counts)
	if refused == nil {
		refused = map[string]int64{}
	}
	maps.Copy(refused, f.Rejected)
	f.Rejected = refused
	return f
}

// note keeps what only the owner knows.
func (n *Node) note(now int64) {
	o := &n.own
	f := Metrics{Isolated: o.alone, Isolations: o.times, State: o.view.Counts(), Rejected: map[string]int64{
		"unread": o.unread, "kind": int64(o.skipped.UnknownKinds), "shape": int64(o.skipped.Malformed), "newer": int64(o.skipped.NewerVersion)}}
	f.SuspendedServers = f.State.Suspended
	for i := range o.others {
		if e := &o.others[i]; e.ExpiresAt() > now {
			f.Entries++
			f.OldestEntry = max(f.OldestEntry, time.Duration(now-e.ObservedAt)*time.Microsecond)
		}
	}
	n.mu.Lock()
	n.metrics = f
	n.mu.Unlock()
}
