package override

import (
	"maps"
	"slices"
	"sync"
)

const maxRememberedNames = 4096 // including servers that have left the list

// NameSet is the servers, or zones, that some endpoint list has named. It is safe for concurrent use.
type NameSet struct {
	mu       sync.Mutex
	lastSeen map[string]int // number of the list that named it last
	lists    int
}

// NewNameSet returns an empty set.
func NewNameSet() *NameSet { return &NameSet{lastSeen: map[string]int{}} }

// Add adds the names of one list. If there are too many, those that no list has named for the longest are removed.
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

// Has reports whether a name is in the set.
func (s *NameSet) Has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.lastSeen[name]
	return ok
}

// All returns the names, in no order.
func (s *NameSet) All() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.lastSeen))
}
