// Package state holds the registry's replicated state: the endpoint list with its versions, the
// configurations of services, and the effect of each command. It is deterministic and uses no clock, network
// or files. Raft applies the same commands in the same order on every member. Lease expiry arrives as a
// command too; package lease decides it, on the leader only.
//
// Versions. Each command that changes the list creates the next version. Versions never decrease within an
// epoch. An epoch is the lifetime of one data set: it begins when a cluster starts empty or from a restored
// snapshot, has a random name, and its first version is above every version of the previous epoch (see
// FirstVersion). So versions grow across restores; the epoch's name tells clients that endpoints may be
// missing without having been removed.
//
// Retries. A client repeats a command if it got no answer. Register, drain and deregister name the desired
// state of one (name, instance) pair, so a repeated command changes nothing and creates no version. A late
// registration of an instance that was deregistered in the meantime is recognised by the instance; the last
// MaxEndedInstances deregistered instances are kept for that.
package state

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MaxEndpoints is the maximum length of the list: a proxy reads at most 4 MiB of a response, and an
	// endpoint takes about 300 bytes.
	MaxEndpoints = 13_000
	// MaxEndedInstances is the maximum number of deregistered instances that are kept.
	MaxEndedInstances = 4096
	// MaxRetainedChanges is the number of versions that are kept for watches. A client that is further behind
	// gets the whole list.
	MaxRetainedChanges = 4096

	versionsPerSecondShift = 21      // an epoch creates fewer than 2^21 versions per second on average
	maxVersion             = 1 << 53 // JSON readers that use float64 represent integers up to it exactly
)

// Change is one version of the list with the endpoints that changed in it. Removed endpoints have
// StatusDeleted.
type Change struct {
	Version   int64
	Endpoints []Endpoint
}

// State holds the replicated state. It is not safe for concurrent use.
type State struct {
	epoch          string
	version        int64
	records        map[string]Record // by name
	endedInstances []InstanceRef     // deregistered ones, the oldest first
	isEnded        map[InstanceRef]bool
	changes        []Change // the newest versions; not replicated: empty after a snapshot was loaded

	configs       map[string]Configuration // by service
	documentBytes int                      // total size of all configurations' documents
}

// New returns an empty state, before its first epoch.
func New() *State {
	return &State{records: map[string]Record{}, isEnded: map[InstanceRef]bool{}, configs: map[string]Configuration{}}
}

// FirstVersion returns the first version of an epoch that begins at the given time. It is above the earlier
// version. The time keeps epochs apart if the earlier version is lost; the earlier version does if the clock
// is wrong.
func FirstVersion(at time.Time, earlier int64) int64 {
	return max(at.Unix()<<versionsPerSecondShift, (earlier>>versionsPerSecondShift+1)<<versionsPerSecondShift)
}

// Epoch returns the name of the current epoch; it is empty before the first one.
func (s *State) Epoch() string { return s.epoch }

// Version returns the newest version of the list.
func (s *State) Version() int64 { return s.version }

// Len returns the number of endpoints.
func (s *State) Len() int { return len(s.records) }

// Get returns an endpoint's record.
func (s *State) Get(name string) (Record, bool) {
	r, ok := s.records[name]
	return r, ok
}

// Records returns all records, ordered by name.
func (s *State) Records() []Record {
	out := slices.Collect(maps.Values(s.records))
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// IsEnded reports whether an instance was deregistered.
func (s *State) IsEnded(ref InstanceRef) bool { return s.isEnded[ref] }

// Changes returns the versions after from. It returns false if some of them are no longer retained or the
// list has not reached from yet.
func (s *State) Changes(from int64) ([]Change, bool) {
	if from > s.version {
		return nil, false
	}
	if from == s.version {
		return nil, true
	}
	if len(s.changes) == 0 || s.changes[0].Version > from+1 {
		return nil, false
	}
	byVersion := func(c Change, version int64) int { return cmp.Compare(c.Version, version) }
	first, _ := slices.BinarySearchFunc(s.changes, from+1, byVersion)
	return slices.Clone(s.changes[first:]), true
}

// Apply applies a command to the state.
func (s *State) Apply(c Command) Result {
	if c.Kind == CommandConfigure {
		return s.configure(c)
	}
	code, changed := s.applyToList(c)
	if len(changed) > 0 {
		s.version++
		s.changes = append(s.changes, Change{s.version, changed})
		if excess := len(s.changes) - MaxRetainedChanges; excess > MaxRetainedChanges/4 {
			s.changes = slices.Clone(s.changes[excess:])
		}
	}
	return Result{Code: code, Version: s.version, Changed: len(changed) > 0}
}

func (s *State) applyToList(c Command) (code ResultCode, changed []Endpoint) {
	switch c.Kind {
	case CommandBegin:
		if s.epoch == "" {
			s.epoch, s.version = c.Epoch, max(c.FirstVersion, s.version)
		}
		return ResultDone, nil
	case CommandRegister:
		if c.Record == nil || c.Record.Check() != nil {
			return ResultIgnored, nil
		}
		return s.register(*c.Record)
	case CommandDrain, CommandDeregister, CommandExpire:
		code = ResultDone
		for _, ref := range c.Refs {
			refCode, endpoint := s.drainOrRemove(c.Kind, ref)
			if endpoint != nil {
				changed = append(changed, *endpoint)
			}
			if refCode != ResultDone {
				code = refCode
			}
		}
		return code, changed
	}
	return ResultIgnored, nil
}

func (s *State) register(r Record) (code ResultCode, changed []Endpoint) {
	if s.isEnded[InstanceRef{r.Name, r.Instance}] {
		return ResultEnded, nil
	}
	current, listed := s.records[r.Name]
	switch {
	case !listed && len(s.records) >= MaxEndpoints:
		return ResultFull, nil
	case listed && current.Instance != r.Instance && current.StartedAtMs > r.StartedAtMs:
		return ResultReplaced, nil
	case listed && current.Instance == r.Instance:
		r.Status = current.Status // a repeated registration does not end the draining
	}
	s.records[r.Name] = r
	if listed && current.Endpoint == r.Endpoint {
		return ResultDone, nil // only unpublished fields such as the lease changed
	}
	return ResultDone, []Endpoint{r.Endpoint}
}

func (s *State) drainOrRemove(kind CommandKind, ref InstanceRef) (code ResultCode, changed *Endpoint) {
	current, listed := s.records[ref.Name]
	switch {
	case !listed && kind == CommandDeregister && s.isEnded[ref]:
		return ResultDone, nil // repeated
	case !listed:
		return ResultUnknown, nil
	case current.Instance != ref.Instance && s.isEnded[ref]:
		return ResultDone, nil
	case current.Instance != ref.Instance:
		return ResultReplaced, nil
	case kind == CommandDrain && current.Status == StatusDraining:
		return ResultDone, nil
	case kind == CommandDrain:
		current.Status = StatusDraining
		s.records[ref.Name] = current
		return ResultDone, &current.Endpoint
	}
	delete(s.records, ref.Name)
	if kind == CommandDeregister { // an expired instance may return: only contact to it was lost
		s.rememberEnded(ref)
	}
	current.Status = StatusDeleted
	return ResultDone, &current.Endpoint
}

func (s *State) rememberEnded(ref InstanceRef) {
	s.isEnded[ref] = true
	s.endedInstances = append(s.endedInstances, ref)
	if excess := len(s.endedInstances) - MaxEndedInstances; excess > 0 {
		for _, old := range s.endedInstances[:excess] {
			delete(s.isEnded, old)
		}
		s.endedInstances = slices.Clone(s.endedInstances[excess:])
	}
}
