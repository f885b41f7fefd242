package state

import (
	"cmp"
	"slices"
	"strings"
)

// Publish replaces the set of observations that this proxy advertises and returns the entries to gossip: new
// and changed ones, those that are due for renewal, and withdrawals of those no longer in the set. Of several
// observations with the same kind and subject the first is used. Beyond a limit, the last ones in the order
// of kind and subject are omitted.
func (s *Store) Publish(now int64, observations []Observation) []Entry {
	now = s.advance(now)
	s.sweep(now)
	wanted := s.admit(observations)
	previous := s.own.entries
	s.own.entries = make([]*Entry, 0, len(wanted)+8)
	s.own.countByKind = [kindCount]int{}
	p := publication{store: s, now: now}
	for len(previous) > 0 || len(wanted) > 0 {
		switch order := compareHeads(previous, wanted); {
		case order < 0:
			p.withdraw(previous[0])
			previous = previous[1:]
		case order > 0:
			p.advertise(&wanted[0])
			wanted = wanted[1:]
		default:
			p.update(previous[0], &wanted[0])
			previous, wanted = previous[1:], wanted[1:]
		}
	}
	for len(s.own.entries) > s.limits.EntriesPerObserver {
		s.own.evict(0, func(e *Entry) bool { return e.Withdrawn })
	}
	return p.changed
}

// compareHeads compares the first elements of two lists by kind and subject; an empty list comes last.
func compareHeads(entries []*Entry, observations []Observation) int {
	switch {
	case len(entries) == 0:
		return 1
	case len(observations) == 0:
		return -1
	}
	return compareKey(entries[0], entryKey{observations[0].Kind, observations[0].Subject})
}

// publication holds the state of one call of Publish, which rebuilds the own entries in the order of their
// keys.
type publication struct {
	store   *Store
	now     int64
	changed []Entry // to gossip
}

// keep appends an entry to the own entries.
func (p *publication) keep(e *Entry) { p.store.own.insert(len(p.store.own.entries), e) }

// withdraw replaces an entry that is no longer observed with a tombstone, which is kept until it expires.
func (p *publication) withdraw(e *Entry) {
	if e.ExpiresAt() <= p.now {
		return
	}
	if !e.Withdrawn {
		ttl := withdrawalTTL(p.now, e)
		e = &Entry{Kind: e.Kind, Subject: e.Subject, SubjectStartMs: e.SubjectStartMs, Withdrawn: true}
		p.store.stamp(p.now, e)
		e.TTL = ttl
		p.changed = append(p.changed, *e)
		p.store.counts.Withdrawn++
	}
	p.keep(e)
}

// advertise adds an observation that was not published before.
func (p *publication) advertise(observation *Observation) {
	e := &Entry{Kind: observation.Kind, Subject: observation.Subject,
		SubjectStartMs: observation.SubjectStartMs, Body: observation.Body}
	p.store.stamp(p.now, e)
	p.changed = append(p.changed, *e)
	p.store.counts.Advertised++
	p.keep(e)
}

// update publishes an observation again if it changed or half of its TTL has passed.
func (p *publication) update(e *Entry, observation *Observation) {
	changed := e.needsUpdate(p.now, observation)
	due := e.ExpiresAt()-p.now < paramsByKind[e.Kind].ttl/2
	switch {
	case changed:
		p.store.counts.Advertised++
	case due:
		p.store.counts.Renewed++
	}
	if changed || due {
		e.Withdrawn, e.SubjectStartMs, e.Body = false, observation.SubjectStartMs, observation.Body
		p.store.stamp(p.now, e)
		p.changed = append(p.changed, *e)
	}
	p.keep(e)
}

// needsUpdate reports whether an observation must be published before its renewal is due: at once if its
// fault, zone or subject's start changed, and after the kind's update interval if only its numbers changed.
func (e *Entry) needsUpdate(now int64, observation *Observation) bool {
	if e.Withdrawn || e.ExpiresAt() <= now || e.SubjectStartMs != observation.SubjectStartMs ||
		e.Body.Fault != observation.Body.Fault || e.Body.SubjectZone != observation.Body.SubjectZone {
		return true
	}
	return e.Body != observation.Body && now-e.ObservedAt >= paramsByKind[e.Kind].updateInterval
}

// stamp makes an entry the newest one of this proxy: it sets the observer, the version, the time and the full
// TTL.
func (s *Store) stamp(now int64, e *Entry) {
	s.lastSeq++
	e.Observer, e.ObserverZone = s.identity.Name, s.identity.Zone
	e.Incarnation, e.Seq = s.own.incarnation, s.lastSeq
	e.ObservedAt, e.TTL = now, paramsByKind[e.Kind].ttl
}

// withdrawalTTL returns the TTL of a tombstone in microseconds. It ends when the withdrawn entry would have
// expired, rounded up to full milliseconds, as the wire format carries it.
func withdrawalTTL(now int64, e *Entry) int64 {
	return min((e.ExpiresAt()-now+millisecond-1)/millisecond*millisecond, paramsByKind[e.Kind].ttl)
}

// admit returns the valid observations within the limits, with rounded numbers, sorted by kind and subject.
// The next call reuses the slice.
func (s *Store) admit(observations []Observation) []Observation {
	order := func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Subject, b.Subject))
	}
	admitted := s.admitted[:0]
	for _, observation := range observations {
		body := &observation.Body
		body.Calls, body.BadFraction = roundNumber(body.Calls), roundNumber(body.BadFraction)
		body.Value = roundNumber(body.Value)
		if observation.valid(s.limits.NameBytes) {
			admitted = append(admitted, observation)
		}
	}
	if !slices.IsSortedFunc(admitted, order) {
		slices.SortStableFunc(admitted, order)
	}
	s.admitted = admitted
	var countByKind [kindCount]int
	n := 0
	for _, observation := range admitted {
		duplicate := n > 0 && order(admitted[n-1], observation) == 0
		if duplicate || countByKind[observation.Kind] == paramsByKind[observation.Kind].maxPerObserver ||
			n == s.limits.EntriesPerObserver {
			continue
		}
		countByKind[observation.Kind]++
		admitted[n] = observation
		n++
	}
	s.counts.Omitted += uint64(len(observations) - n)
	return admitted[:n]
}

func (o *Observation) valid(maxNameBytes int) bool {
	return o.Kind.Known() && o.Kind != Override && validName(o.Subject, maxNameBytes) && o.Body.valid(maxNameBytes) &&
		o.SubjectStartMs >= 0 && o.SubjectStartMs <= maxWireInteger
}
