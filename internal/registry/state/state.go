// Package state is what the members of the list service agree on: the list of nodos, its versions, and what a command
// makes of them. It is a deterministic machine without clock, network or files; consensus feeds every member the same
// commands in the same order, and what leases do to it comes as commands too (package lease decides them, on the
// leader alone).
//
// Versions. Each command that changes the list makes the next version, and versions never go back within a line. A line
// is the life of one set of data: it begins when a service starts empty or from a restored snapshot, has a random
// name, and its first version lies above all that the line before it can have reached (see Base). So versions grow over
// restores too; the name is for callers that have to know that entries may be missing without having been taken out.
//
// A command may come twice: its caller repeats it when no answer came. Register, drain and deregister are all sayings
// of a state to be, by (name, instance), so that the second changes nothing and makes no version. A late repeat of a
// registration that was taken back since is told apart by its instance, which is remembered (Ended) for the last
// EndedMost of them.
package state

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"strings"
	"time"
)

// The words of Status, as the platform's list has them.
const (
	StatusServing  = "SERVING"
	StatusDraining = "DRAINING"
	StatusDeleted  = "DELETED"
)

const (
	// NodosMost bounds the list. It has to stay under what a proxy reads of an answer, 4 MiB: 300 bytes a nodo.
	MaxEndpoints = 13_000
	// EndedMost is how many instances that were taken back are remembered.
	MaxEndedInstances = 4096
	// ChangesMost is how many versions are kept for watches; a caller that is further behind gets the whole list.
	MaxRetainedChanges = 4096

	maxNameBytes           = 64
	maxFieldBytes          = 128
	MinLease               = time.Second
	MaxLease               = 10 * time.Minute
	versionsPerSecondShift = 21 // versions a second that a line may make on average before the next line's first
	maxVersion             = 1 << 53
)

// Entry is a nodo in the published form.
type Endpoint struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Type        string  `json:"type"`
	Cell        int     `json:"group"`
	Status      string  `json:"status"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"since_ms"` // the last start, Unix time in ms; 0 is long ago
}

// Record is an entry with what the service keeps beside it.
type Record struct {
	Endpoint
	Instance string `json:"instance"` // one process of the nodo; a restarted one has another
	LeaseMs  int64  `json:"lease_ms"`
}

// Check tells what of a record cannot be taken, naming the key.
func (r *Record) Check() error {
	if r.Name == "" || len(r.Name) > maxNameBytes || strings.ContainsAny(r.Name, "/ ?#%\r\n\t") {
		return fmt.Errorf("name %q: 1 to %d characters without spaces, slashes, ?, # and %% are needed", r.Name, maxNameBytes)
	}
	if _, _, err := net.SplitHostPort(r.Address); err != nil || len(r.Address) > maxFieldBytes {
		return fmt.Errorf("address %q: HOST:PORT is needed, at most %d characters", r.Address, maxFieldBytes)
	}
	for key, word := range map[string]string{"zone": r.Zone, "type": r.Type, "instance": r.Instance} {
		if len(word) > maxFieldBytes {
			return fmt.Errorf("%s: at most %d characters", key, maxFieldBytes)
		}
	}
	if r.Instance == "" {
		return fmt.Errorf("instance: is missing; any word that is new with each start of the nodo's process")
	}
	if !(r.Weight > 0 && r.Weight <= 1e6) {
		return fmt.Errorf("weight %v: over 0 and at most 1e6 is needed", r.Weight)
	}
	if r.StartedAtMs < 0 || r.Cell < 0 {
		return fmt.Errorf("since_ms and group: 0 or more is needed")
	}
	if l := time.Duration(r.LeaseMs) * time.Millisecond; r.LeaseMs > MaxLease.Milliseconds() || l < MinLease {
		return fmt.Errorf("lease_ms %d: from %d to %d is needed", r.LeaseMs, MinLease.Milliseconds(), MaxLease.Milliseconds())
	}
	if r.Status != StatusServing {
		return fmt.Errorf("status %q: a nodo registers as %s", r.Status, StatusServing)
	}
	return nil
}

// Ref names one process of a nodo.
type InstanceRef struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
}

// The kinds of commands.
const (
	CommandBegin      = "begin" // a line, unless there is one
	CommandRegister   = "register"
	CommandDrain      = "drain"
	CommandDeregister = "deregister"
	CommandExpire     = "expire" // leases that ended
)

// Command is one change asked for. Members of another version of the program may know kinds that this one does not:
// those change nothing.
type Command struct {
	Kind         string        `json:"kind"`
	Epoch        string        `json:"line,omitempty"`
	FirstVersion int64         `json:"base,omitempty"`
	Record       *Record       `json:"record,omitempty"`
	Refs         []InstanceRef `json:"refs,omitempty"`

	// Of Configure.
	Service  string          `json:"service,omitempty"`
	After    int64           `json:"after,omitempty"` // the version that its caller has seen
	Document json.RawMessage `json:"document,omitempty"`
}

// The ends of a command.
const (
	ResultDone     = "done"
	ResultUnknown  = "unknown"  // no such nodo in the list
	ResultEnded    = "ended"    // that instance was taken back: it does not return
	ResultReplaced = "replaced" // another instance, started later, has the name
	ResultFull     = "full"     // the list has NodosMost
	ResultIgnored  = "ignored"  // a kind that this version does not know
)

// Result is what a command came to.
type Result struct {
	Code    string
	Version int64 // the version in which its effect is to be seen
	Changed bool
}

// Change is one version: the entries that it changed, in the published form, DELETED ones included.
type Change struct {
	Version   int64
	Endpoints []Endpoint
}

// State is the machine. Its owner allows no two calls at once.
type State struct {
	epoch          string
	version        int64
	records        map[string]Record
	endedInstances []InstanceRef // the oldest first
	isEnded        map[InstanceRef]bool
	changes        []Change // the last ones, not part of what is agreed on: a restored member has none

	configs       map[string]Configuration // by service
	documentBytes int                      // their bytes
}

// New is a machine before its first line.
func New() *State {
	return &State{records: map[string]Record{}, isEnded: map[InstanceRef]bool{}, configs: map[string]Configuration{}}
}

// Base is the first version of a line that begins at some time above a former version. Over the time that lines last a
// service makes far fewer than 2^21 versions a second, so that the clock alone keeps lines apart even where what came
// before was lost; former keeps them so where it is known and the clock is wrong.
func FirstVersion(at time.Time, former int64) int64 {
	return max(at.Unix()<<versionsPerSecondShift, (former>>versionsPerSecondShift+1)<<versionsPerSecondShift)
}

// Line is the name of the line; empty before the first.
func (s *State) Epoch() string { return s.epoch }

// Index is the newest version.
func (s *State) Version() int64 { return s.version }

// Len is how many nodos the list has.
func (s *State) Len() int { return len(s.records) }

// Get is a nodo's record.
func (s *State) Get(name string) (Record, bool) {
	r, ok := s.records[name]
	return r, ok
}

// Records are all nodos, by name.
func (s *State) Records() []Record {
	out := slices.Collect(maps.Values(s.records))
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// IsEnded tells whether an instance was taken back.
func (s *State) IsEnded(r InstanceRef) bool { return s.isEnded[r] }

// Changes are the versions after from; false if they are not all kept.
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
	at, _ := slices.BinarySearchFunc(s.changes, from+1, func(c Change, i int64) int { return cmp.Compare(c.Version, i) })
	return slices.Clone(s.changes[at:]), true
}

// Apply carries a command out.
func (s *State) Apply(c Command) Result {
	if c.Kind == CommandConfigure {
		return s.configure(c)
	}
	end, changed := s.apply(c)
	if len(changed) > 0 {
		s.version++
		s.changes = append(s.changes, Change{s.version, changed})
		if over := len(s.changes) - MaxRetainedChanges; over > MaxRetainedChanges/4 {
			s.changes = slices.Clone(s.changes[over:])
		}
	}
	return Result{Code: end, Version: s.version, Changed: len(changed) > 0}
}

func (s *State) apply(c Command) (end string, changed []Endpoint) {
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
		end = ResultDone
		for _, ref := range c.Refs {
			one, entry := s.take(c.Kind, ref)
			if entry != nil {
				changed = append(changed, *entry)
			}
			if one != ResultDone {
				end = one
			}
		}
		return end, changed
	}
	return ResultIgnored, nil
}

func (s *State) register(r Record) (string, []Endpoint) {
	if s.isEnded[InstanceRef{r.Name, r.Instance}] {
		return ResultEnded, nil
	}
	was, ok := s.records[r.Name]
	switch {
	case !ok && len(s.records) >= MaxEndpoints:
		return ResultFull, nil
	case ok && was.Instance != r.Instance && was.StartedAtMs > r.StartedAtMs:
		return ResultReplaced, nil
	case ok && was.Instance == r.Instance:
		r.Status = was.Status // one that drains goes on draining, however often it repeats that it began
	}
	s.records[r.Name] = r
	if ok && was.Endpoint == r.Endpoint {
		return ResultDone, nil // a lease of another length is no news to a proxy
	}
	return ResultDone, []Endpoint{r.Endpoint}
}

// take has one process of a nodo drain or go.
func (s *State) take(kind string, ref InstanceRef) (string, *Endpoint) {
	was, ok := s.records[ref.Name]
	switch {
	case !ok && kind == CommandDeregister && s.isEnded[ref]:
		return ResultDone, nil // said before
	case !ok:
		return ResultUnknown, nil
	case was.Instance != ref.Instance:
		if s.isEnded[ref] {
			return ResultDone, nil
		}
		return ResultReplaced, nil
	}
	if kind == CommandDrain {
		if was.Status == StatusDraining {
			return ResultDone, nil
		}
		was.Status = StatusDraining
		s.records[ref.Name] = was
		return ResultDone, &was.Endpoint
	}
	delete(s.records, ref.Name)
	if kind == CommandDeregister { // one whose lease ended may come back: contact was lost, not the nodo
		s.isEnded[ref] = true
		s.endedInstances = append(s.endedInstances, ref)
		if over := len(s.endedInstances) - MaxEndedInstances; over > 0 {
			for _, old := range s.endedInstances[:over] {
				delete(s.isEnded, old)
			}
			s.endedInstances = slices.Clone(s.endedInstances[over:])
		}
	}
	was.Status = StatusDeleted
	return ResultDone, &was.Endpoint
}

// Image is all of a state that is agreed on, for snapshots.
type Snapshot struct {
	Epoch          string        `json:"line"`
	Version        int64         `json:"index"`
	Records        []Record      `json:"nodos"`
	EndedInstances []InstanceRef `json:"ended"`

	Configs []Configuration `json:"configurations,omitempty"`
}

// Image copies the state.
func (s *State) Snapshot() Snapshot {
	return Snapshot{s.epoch, s.version, s.Records(), slices.Clone(s.endedInstances), s.Configurations()}
}

// Check tells what is wrong with an image.
func (i *Snapshot) Check() error {
	if i.Version < 0 || i.Version >= maxVersion || (i.Epoch == "") != (i.Version == 0) {
		return fmt.Errorf("index %d of line %q makes no sense", i.Version, i.Epoch)
	}
	if len(i.Records) > MaxEndpoints || len(i.EndedInstances) > MaxEndedInstances {
		return fmt.Errorf("%d nodos and %d ended instances are more than a list holds", len(i.Records), len(i.EndedInstances))
	}
	seen := map[string]bool{}
	for n, r := range i.Records {
		if seen[r.Name] {
			return fmt.Errorf("nodos[%d]: %q stands twice", n, r.Name)
		}
		seen[r.Name] = true
		if r.Status == StatusDraining {
			r.Status = StatusServing
		}
		if err := r.Check(); err != nil {
			return fmt.Errorf("nodos[%d]: %w", n, err)
		}
	}
	return i.checkConfigs()
}

// Load has the machine hold an image in place of what it held.
func (s *State) Load(i Snapshot) error {
	if err := i.Check(); err != nil {
		return err
	}
	*s = *New()
	s.epoch, s.version = i.Epoch, i.Version
	for _, r := range i.Records {
		s.records[r.Name] = r
	}
	s.endedInstances = slices.Clone(i.EndedInstances)
	for _, r := range i.EndedInstances {
		s.isEnded[r] = true
	}
	for _, c := range i.Configs {
		s.configs[c.Service] = c
		s.documentBytes += c.size()
	}
	return nil
}

// Decode reads a command of the log.
func Decode(data []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("a command of the log: %w", err)
	}
	return c, nil
}

// Encode is a command as the log holds it.
func (c Command) Encode() []byte {
	if r := c.Record; r != nil && (math.IsNaN(r.Weight) || math.IsInf(r.Weight, 0)) {
		panic("a record that was not checked")
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and checked numbers
	}
	return data
}
