package state

// mergeResult is the outcome of merging one received entry.
type mergeResult int

const (
	mergeAccepted mergeResult = iota
	mergeDuplicate
	mergeExpired
	mergeSuperseded
	mergeSelfConflict
	mergeInvalid
	mergeDropped
)

// add counts the outcome of merging one entry.
func (c *Counts) add(result mergeResult) {
	switch result {
	case mergeAccepted:
		c.Accepted++
	case mergeDuplicate:
		c.Duplicates++
	case mergeExpired:
		c.ExpiredOnArrival++
	case mergeSuperseded:
		c.Superseded++
	case mergeSelfConflict:
		c.SelfConflicts++
	case mergeInvalid:
		c.Invalid++
	case mergeDropped:
		c.DroppedAtLimit++
	}
}

// Merge merges entries of peers and returns the entries to gossip: those that changed the state, and replies
// to members whose own state is out of date (mergeSelfNamed, replyToOldIncarnation).
func (s *Store) Merge(now int64, entries []Entry) []Entry {
	m := merge{store: s, now: s.advance(now)}
	for i := range entries {
		e := &entries[i]
		result := m.mergeEntry(e)
		s.counts.add(result)
		if result == mergeAccepted {
			m.changed = append(m.changed, *e)
		}
	}
	return m.changed
}

// merge holds the state of one call of Merge.
type merge struct {
	store       *Store
	now         int64
	changed     []Entry   // to gossip
	currentPeer *observer // observer of the previous entry; packets group entries by observer
	swept       bool      // all peers were swept to make room
}

// mergeEntry merges one received entry.
func (m *merge) mergeEntry(e *Entry) mergeResult {
	s := m.store
	switch {
	case !e.valid(m.now, s.limits.NameBytes):
		return mergeInvalid
	case e.ExpiresAt() <= m.now:
		return mergeExpired
	case e.Kind == Override:
		return s.mergeOverride(m.now, e)
	case e.Observer == s.identity.Name:
		return m.mergeSelfNamed(e)
	}
	if m.currentPeer == nil || m.currentPeer.name != e.Observer {
		if m.currentPeer = s.findOrAddObserver(m.now, e.Observer); m.currentPeer == nil {
			return mergeDropped
		}
	}
	result := m.mergePeerEntry(m.currentPeer, e)
	if e.Incarnation < m.currentPeer.incarnation {
		m.replyToOldIncarnation(m.currentPeer, e)
	}
	return result
}

// mergePeerEntry merges a valid entry of a peer.
func (m *merge) mergePeerEntry(peer *observer, e *Entry) mergeResult {
	s := m.store
	if e.Incarnation < peer.incarnation {
		return mergeSuperseded
	}
	peer.lastHeard = m.now
	if e.Incarnation > peer.incarnation {
		s.peerEntryCount -= len(peer.entries)
		peer.reset(e.Incarnation)
	}
	i, known := peer.find(e.Kind, e.Subject)
	if known {
		return m.mergeExisting(peer, peer.entries[i], e)
	}
	if e.Seq <= peer.seqFloor[e.Kind] {
		return mergeExpired
	}
	stored := new(Entry)
	peer.copyInterned(stored, e)
	peer.insert(i, stored)
	s.nextSweep = min(s.nextSweep, peer.nextSweep)
	s.peerEntryCount++
	if m.enforceLimits(peer, stored) {
		return mergeAccepted
	}
	return mergeDropped
}

// mergeExisting merges an entry whose key is stored already. An older copy of the same version changes only
// the expiry.
func (m *merge) mergeExisting(peer *observer, held, e *Entry) mergeResult {
	previousSeq, differs := held.Seq, !e.sameContent(held)
	wins := compareVersions(e, held) > 0
	if wins {
		peer.copyInterned(held, e)
		peer.nextSweep = min(peer.nextSweep, held.retainedUntil())
		m.store.nextSweep = min(m.store.nextSweep, peer.nextSweep)
	}
	switch {
	case e.Seq > previousSeq, wins && differs:
		return mergeAccepted
	case e.Seq < previousSeq:
		return mergeSuperseded
	}
	return mergeDuplicate
}

// replyToOldIncarnation gossips an entry of the observer's newest known incarnation, at most once a second. A
// member that restarted with its clock set back learns from it which incarnation it has to exceed; after its
// previous entries have expired it could not learn this otherwise.
func (m *merge) replyToOldIncarnation(peer *observer, e *Entry) {
	if m.now-peer.lastReply < second {
		return
	}
	peer.lastReply = m.now
	for _, held := range peer.entries {
		if held.ExpiresAt() > m.now {
			m.changed = append(m.changed, *held)
			return
		}
	}
	m.changed = append(m.changed, Entry{Kind: e.Kind, Withdrawn: true, Subject: e.Subject, Observer: peer.name,
		ObserverZone: e.ObserverZone, Incarnation: peer.incarnation, Seq: 1, ObservedAt: m.now, TTL: e.Kind.TTL()})
}

// mergeSelfNamed handles an entry under this proxy's own name. One that it did not publish comes from a
// previous process or from another member with the same name: own entries of a higher incarnation replace it
// at all members.
func (m *merge) mergeSelfNamed(e *Entry) mergeResult {
	s, own := m.store, &m.store.own
	if e.Incarnation == own.incarnation && e.Seq <= s.lastSeq {
		return mergeDuplicate
	}
	if e.Incarnation >= own.incarnation {
		// Rate-limited: two members with the same name would otherwise raise their incarnations without end.
		if m.now-s.incarnationRaisedAt < second || e.Incarnation >= maxWireInteger {
			return mergeSelfConflict
		}
		m.raiseIncarnation(e.Incarnation + 1)
	}
	if len(own.entries) == 0 {
		tombstone := &Entry{Kind: e.Kind, Subject: e.Subject, SubjectStartMs: e.SubjectStartMs, Withdrawn: true}
		s.stamp(m.now, tombstone)
		tombstone.TTL = withdrawalTTL(m.now, e)
		own.insert(0, tombstone)
		m.changed = append(m.changed, *tombstone)
	}
	return mergeSelfConflict
}

// raiseIncarnation publishes all live own entries under a new incarnation.
func (m *merge) raiseIncarnation(incarnation int64) {
	s, own := m.store, &m.store.own
	s.incarnationRaisedAt = m.now
	previous := own.entries
	own.reset(incarnation)
	for _, e := range previous {
		if !e.Withdrawn && e.ExpiresAt() > m.now {
			s.stamp(m.now, e)
			own.insert(len(own.entries), e)
			m.changed = append(m.changed, *e)
		}
	}
}
