package override

import (
	"maps"
	"slices"
	"sync"
)

const maxRememberedNames = 4096 // of a NameSet, including names that are no longer in the list

// NameSet is a bounded set of the servers, or zones, that any endpoint list has named. It is safe for
// concurrent use.
type NameSet struct {
	mu       sync.Mutex
	lastSeen map[string]int // by name, the number of the last list that had it
	lists    int            // number of lists added
}

// NewNameSet returns an empty set.
func NewNameSet() *NameSet { return &NameSet{lastSeen: map[string]int{}} }

// Add adds the names of one list. If the set is then too large, it drops those that have been missing from
// lists for longest.
func (s *NameSet) Add(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	for _, name := range names {
		s.lastSeen[name] = s.lists
	}
	for len(s.lastSeen) > max(maxRememberedNames, len(names)) {
		oldest := s.lists
		for _, seen := range s.lastSeen {
			oldest = min(oldest, seen)
		}
		maps.DeleteFunc(s.lastSeen, func(_ string, seen int) bool { return seen == oldest })
	}
}

// Has reports whether the set contains a name.
func (s *NameSet) Has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.lastSeen[name]
	return ok
}

// All returns the names in no particular order.
func (s *NameSet) All() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.lastSeen))
}
