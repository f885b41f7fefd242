package state

import (
	"fmt"
	"slices"
)

const resumptionTTL = 24 * 3600 * second // microseconds

// OverrideRecord is an operator's override as it is stored across restarts.
type OverrideRecord struct {
	Subject   string `json:"subject"`
	Suspended bool   `json:"suspended"`
	Version   uint64 `json:"version"` // Lamport version
	Actor     string `json:"actor"`   // the member that set it
	AgeMs     int64  `json:"age_ms"`  // since it was set; the caller adds the downtime of the process
}

// LimitError reports a suspension that was rejected because the maximum number of servers is suspended.
type LimitError struct {
	Subject string
	Max     int // suspended servers
}

// Error returns a message with the server, the limit and the remedy.
func (e *LimitError) Error() string {
	return fmt.Sprintf("suspend %q: the limit of %d suspended servers is reached: resume some first", e.Subject, e.Max)
}

// NameError reports a server name that is empty, too long or not valid UTF-8.
type NameError struct {
	Name     string
	MaxBytes int
}

// Error returns a message with the start of the name and what a valid name is.
func (e *NameError) Error() string {
	return fmt.Sprintf("name %.40q: use 1 to %d bytes of UTF-8", e.Name, e.MaxBytes)
}

// Suspend suspends a server for the whole cluster and returns the entries to gossip, none if the server is
// already suspended. The error is a *NameError or a *LimitError.
func (s *Store) Suspend(now int64, server string) ([]Entry, error) {
	return s.setOverride(now, server, true)
}

// Resume ends a suspension and returns the entries to gossip, none if the server is not suspended. The error
// is a *NameError.
func (s *Store) Resume(now int64, server string) ([]Entry, error) {
	return s.setOverride(now, server, false)
}

func (s *Store) setOverride(now int64, server string, suspend bool) ([]Entry, error) {
	now = s.advance(now)
	if !validName(server, s.limits.NameBytes) {
		return nil, &NameError{server, s.limits.NameBytes}
	}
	if i, known := s.overrides.find(Override, server); suspend == (known && !s.overrides.entries[i].Withdrawn) {
		return nil, nil
	}
	e := newOverride(server, suspend)
	e.Observer, e.Seq, e.ObservedAt = s.identity.Name, min(s.overrideVersion+1, maxWireInteger), now
	if s.mergeOverride(now, &e) == mergeDropped {
		return nil, &LimitError{server, s.limits.Overrides}
	}
	return []Entry{e}, nil
}

func newOverride(server string, suspend bool) Entry {
	e := Entry{Kind: Override, Subject: server, Withdrawn: !suspend}
	if e.Withdrawn {
		e.TTL = resumptionTTL
	}
	return e
}

// mergeOverride merges a valid override into its server's register: the last writer wins.
func (s *Store) mergeOverride(now int64, e *Entry) mergeResult {
	s.overrideVersion = max(s.overrideVersion, e.Seq)
	i, known := s.overrides.find(Override, e.Subject)
	if !known {
		return s.addOverride(now, i, e)
	}
	held := s.overrides.entries[i]
	same := e.Seq == held.Seq && e.Observer == held.Observer && e.sameContent(held)
	wins := compareVersions(e, held) > 0
	switch {
	case same && wins: // an older copy
		held.ObservedAt = e.ObservedAt
	case wins:
		*held = *e
	}
	if wins {
		s.overrides.nextSweep = min(s.overrides.nextSweep, held.retainedUntil())
	}
	switch {
	case same:
		return mergeDuplicate
	case wins:
		return mergeAccepted
	}
	return mergeSuperseded
}

// addOverride inserts an override of a server that had none. At the limit the oldest tombstone is evicted,
// never a suspension.
func (s *Store) addOverride(now int64, index int, e *Entry) mergeResult {
	stored := new(*e)
	s.overrides.insert(index, stored)
	if len(s.overrides.entries) > s.limits.Overrides {
		s.overrides.sweep(now)
	}
	if len(s.overrides.entries) <= s.limits.Overrides {
		return mergeAccepted
	}
	oldest := s.overrides.evict(0, func(e *Entry) bool { return e.Withdrawn })
	if oldest == nil {
		index, _ = s.overrides.find(Override, e.Subject)
		s.overrides.entries = slices.Delete(s.overrides.entries, index, index+1)
	}
	if oldest == nil || oldest == stored {
		return mergeDropped
	}
	s.counts.Evicted++
	return mergeAccepted
}

// SuspendedServers returns the servers that are suspended by an override.
func (s *Store) SuspendedServers(now int64) map[string]bool {
	s.advance(now)
	suspended := make(map[string]bool)
	for _, e := range s.overrides.entries {
		if !e.Withdrawn {
			suspended[e.Subject] = true
		}
	}
	return suspended
}

// OverrideRecords returns all overrides, tombstones included, sorted by server.
func (s *Store) OverrideRecords(now int64) []OverrideRecord {
	now = s.advance(now)
	s.overrides.sweep(now)
	records := make([]OverrideRecord, 0, len(s.overrides.entries))
	for _, e := range s.overrides.entries {
		records = append(records, OverrideRecord{e.Subject, !e.Withdrawn, e.Seq, e.Observer, ageMs(now, e)})
	}
	return records
}

// RestoreOverrides merges stored records and returns how many were rejected because they are invalid, expired
// or over the limit.
func (s *Store) RestoreOverrides(now int64, records []OverrideRecord) (rejected int) {
	now = s.advance(now)
	for _, r := range records {
		if !s.restoreOverride(now, &r) {
			rejected++
		}
	}
	return rejected
}

func (s *Store) restoreOverride(now int64, r *OverrideRecord) bool {
	if r.AgeMs < 0 || r.AgeMs > maxAgeMs {
		return false
	}
	e := newOverride(r.Subject, r.Suspended)
	e.Observer, e.Seq, e.ObservedAt = r.Actor, r.Version, now-r.AgeMs*millisecond
	return e.valid(now, s.limits.NameBytes) && e.ExpiresAt() > now && s.mergeOverride(now, &e) != mergeDropped
}
