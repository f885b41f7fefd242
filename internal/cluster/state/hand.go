package state

import (
	"fmt"
	"slices"
)

const resumedLife = 24 * 3600 * second

// HandRecord is a server's state by hand, as it is kept over a restart.
type OverrideRecord struct {
	Subject   string `json:"subject"`
	Suspended bool   `json:"suspended"`
	Version   uint64 `json:"version"`
	Actor     string `json:"actor"`
	Age       int64  `json:"age_ms"` // since the change; the caller adds the time that it was down
}

// FullError is a suspension that there is no room for, as all that is kept holds.
type LimitError struct {
	Subject string
	Max     int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("suspend %q: %d servers are suspended by hand, and no more are kept: resume some first",
		e.Subject, e.Max)
}

// NameError is a name that no entry may carry.
type NameError struct {
	Name     string
	MaxBytes int
}

func (e *NameError) Error() string {
	return fmt.Sprintf("name %.40q: give one of 1 to %d bytes in UTF-8", e.Name, e.MaxBytes)
}

// Suspend suspends a server by hand for the whole fleet, and gives what is to be spread: nothing if it is suspended
// already. The error is a *NameError or a *FullError.
func (v *Store) Suspend(now int64, nodo string) ([]Entry, error) { return v.act(now, nodo, true) }

// Resume ends a suspension. It gives nothing for a server that is not suspended as far as is known here. The error is
// a *NameError.
func (v *Store) Resume(now int64, nodo string) ([]Entry, error) { return v.act(now, nodo, false) }

func (v *Store) act(now int64, nodo string, suspend bool) ([]Entry, error) {
	now = v.tick(now)
	if !validName(nodo, v.limits.NameBytes) {
		return nil, &NameError{nodo, v.limits.NameBytes}
	}
	if i, known := v.hands.find(Override, nodo); suspend == (known && !v.hands.held[i].Withdrawn) {
		return nil, nil
	}
	e := Entry{Kind: Override, Subject: nodo, Withdrawn: !suspend, Observer: v.self.Name, Seq: min(v.version+1, mostStamp), ObservedAt: now}
	if e.Withdrawn {
		e.TTL = resumedLife
	}
	if v.mergeHand(now, &e) == &v.counts.DroppedAtLimit {
		return nil, &LimitError{nodo, v.limits.Overrides}
	}
	return []Entry{e}, nil
}

// mergeHand merges a valid Hand, and gives what it is to be counted as.
func (v *Store) mergeHand(now int64, e *Entry) *uint64 {
	v.version = max(v.version, e.Seq)
	i, known := v.hands.find(Override, e.Subject)
	if known {
		held := v.hands.held[i]
		same := e.Seq == held.Seq && e.Observer == held.Observer && e.same(held)
		switch wins := compare(e, held) > 0; {
		case same && wins:
			held.ObservedAt = e.ObservedAt
			v.hands.due = min(v.hands.due, held.kept())
			return &v.counts.Duplicates
		case wins:
			*held = *e
			v.hands.due = min(v.hands.due, held.kept())
			return &v.counts.Accepted
		case same:
			return &v.counts.Duplicates
		}
		return &v.counts.Superseded
	}
	kept := new(*e)
	v.hands.insert(i, kept)
	if len(v.hands.held) > v.limits.Overrides {
		v.hands.sweep(now)
	}
	if len(v.hands.held) > v.limits.Overrides {
		oldest := v.hands.evict(0, func(e *Entry) bool { return e.Withdrawn })
		if oldest == nil {
			i, _ = v.hands.find(Override, e.Subject)
			v.hands.held = slices.Delete(v.hands.held, i, i+1)
		}
		if oldest == nil || oldest == kept {
			return &v.counts.DroppedAtLimit
		}
		v.counts.Evicted++
	}
	return &v.counts.Accepted
}

// Hand gives the servers that are suspended by hand.
func (v *Store) SuspendedServers(now int64) map[string]bool {
	v.tick(now)
	suspended := make(map[string]bool)
	for _, e := range v.hands.held {
		if !e.Withdrawn {
			suspended[e.Subject] = true
		}
	}
	return suspended
}

// Hands gives all that is known by hand, resumptions included, by subject.
func (v *Store) OverrideRecords(now int64) []OverrideRecord {
	now = v.tick(now)
	v.hands.sweep(now)
	records := make([]OverrideRecord, 0, len(v.hands.held))
	for _, e := range v.hands.held {
		records = append(records, OverrideRecord{e.Subject, !e.Withdrawn, e.Seq, e.Observer, age(now, e)})
	}
	return records
}

// Restore takes in what Hands gave, and gives how many records were not taken in, as not valid, ended or over the bound.
func (v *Store) RestoreOverrides(now int64, records []OverrideRecord) (refused int) {
	now = v.tick(now)
	for _, r := range records {
		e := Entry{Kind: Override, Subject: r.Subject, Withdrawn: !r.Suspended, Observer: r.Actor, Seq: r.Version}
		if e.Withdrawn {
			e.TTL = resumedLife
		}
		ok := r.Age >= 0 && r.Age <= mostAge
		if ok {
			e.ObservedAt = now - r.Age*milli
			ok = e.valid(now, v.limits.NameBytes) && e.ExpiresAt() > now && v.mergeHand(now, &e) != &v.counts.DroppedAtLimit
		}
		if !ok {
			refused++
		}
	}
	return refused
}
