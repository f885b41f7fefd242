package state

import (
	"cmp"
	"slices"
	"strings"
)

// Say takes the whole set of what this proxy says now and gives what is to be spread: what is new or moved, what is
// renewed, and what is withdrawn since it is no longer in the set. Of two items for one kind and subject the first
// counts; over a bound those last by kind and subject are left out.
func (v *Store) Publish(now int64, items []Observation) []Entry {
	now = v.tick(now)
	v.sweep(now)
	wanted := v.admit(items)
	var out []Entry
	was := v.own.held
	v.own.held = make([]*Entry, 0, len(wanted)+8)
	v.own.count = [kinds]int{}
	keep := func(e *Entry) { v.own.insert(len(v.own.held), e) }
	for len(was) > 0 || len(wanted) > 0 {
		c := -1
		switch {
		case len(was) == 0:
			c = 1
		case len(wanted) > 0:
			c = byKey(was[0], key{wanted[0].Kind, wanted[0].Subject})
		}
		switch {
		case c < 0: // no longer said
			e := was[0]
			was = was[1:]
			if e.ExpiresAt() <= now {
				continue
			}
			if !e.Withdrawn {
				life := rest(now, e)
				e = &Entry{Kind: e.Kind, Subject: e.Subject, SubjectStartMs: e.SubjectStartMs, Withdrawn: true}
				v.stamp(now, e)
				e.TTL = life
				out = append(out, *e)
				v.counts.Withdrawn++
			}
			keep(e)
		case c > 0: // new
			e := &Entry{Kind: wanted[0].Kind, Subject: wanted[0].Subject, SubjectStartMs: wanted[0].SubjectStartMs, Body: wanted[0].Body}
			wanted = wanted[1:]
			v.stamp(now, e)
			out = append(out, *e)
			v.counts.Advertised++
			keep(e)
		default:
			e, it := was[0], &wanted[0]
			was, wanted = was[1:], wanted[1:]
			moved, due := e.differs(now, it), e.ExpiresAt()-now < terms[e.Kind].life/2
			if moved || due {
				if moved {
					v.counts.Advertised++
				} else {
					v.counts.Renewed++
				}
				e.Withdrawn, e.SubjectStartMs, e.Body = false, it.SubjectStartMs, it.Body
				v.stamp(now, e)
				out = append(out, *e)
			}
			keep(e)
		}
	}
	for len(v.own.held) > v.limits.EntriesPerObserver {
		v.own.evict(0, func(e *Entry) bool { return e.Withdrawn })
	}
	return out
}

// differs says whether an item is to be told anew before it is due.
func (e *Entry) differs(now int64, it *Observation) bool {
	if e.Withdrawn || e.ExpiresAt() <= now || e.SubjectStartMs != it.SubjectStartMs || e.Body.Fault != it.Body.Fault || e.Body.SubjectZone != it.Body.SubjectZone {
		return true
	}
	return e.Body != it.Body && now-e.ObservedAt >= terms[e.Kind].pace
}

// stamp makes an entry this proxy's latest.
func (v *Store) stamp(now int64, e *Entry) {
	v.seq++
	e.Observer, e.ObserverZone, e.Incarnation, e.Seq = v.self.Name, v.self.Zone, v.own.incarnation, v.seq
	e.ObservedAt, e.TTL = now, terms[e.Kind].life
}

// rest is the life of a withdrawal: until what it beats would have ended, in whole milliseconds as the wire has it.
func rest(now int64, e *Entry) int64 {
	return min((e.ExpiresAt()-now+milli-1)/milli*milli, terms[e.Kind].life)
}

// admit gives the items that may be told, with numbers as the wire has them, by kind and subject.
func (v *Store) admit(items []Observation) []Observation {
	order := func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Subject, b.Subject))
	}
	wanted := v.wanted[:0]
	for _, it := range items {
		b := &it.Body
		b.Calls, b.BadFraction, b.Value = number(b.Calls), number(b.BadFraction), number(b.Value)
		if it.Kind.Known() && it.Kind != Override && validName(it.Subject, v.limits.NameBytes) && b.valid(v.limits.NameBytes) &&
			it.SubjectStartMs >= 0 && it.SubjectStartMs <= mostStamp {
			wanted = append(wanted, it)
		}
	}
	if !slices.IsSortedFunc(wanted, order) {
		slices.SortStableFunc(wanted, order)
	}
	v.wanted = wanted
	var count [kinds]int
	n := 0
	for _, it := range wanted {
		if n > 0 && order(wanted[n-1], it) == 0 || count[it.Kind] == terms[it.Kind].most || n == v.limits.EntriesPerObserver {
			continue
		}
		count[it.Kind]++
		wanted[n] = it
		n++
	}
	v.counts.Omitted += uint64(len(items) - n)
	return wanted[:n]
}
