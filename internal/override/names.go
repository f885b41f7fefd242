package override

import (
	"maps"
	"slices"
	"sync"
)

// maxNames bounds the names that are kept of servers that have left the list.
const maxRememberedNames = 4096

// Names are the servers that some list has named. It may be used from many goroutines.
type NameSet struct {
	mu       sync.Mutex
	lastSeen map[string]int // when it was last named, in lists
	lists    int
}

// NewNames has no names yet.
func NewNameSet() *NameSet { return &NameSet{lastSeen: map[string]int{}} }

// Add notes the servers of a list. Where there are too many the ones not named for the longest go.
func (s *NameSet) Add(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	for _, id := range ids {
		s.lastSeen[id] = s.lists
	}
	for len(s.lastSeen) > max(maxRememberedNames, len(ids)) {
		oldest := s.lists
		for _, n := range s.lastSeen {
			oldest = min(oldest, n)
		}
		for id, n := range s.lastSeen {
			if n == oldest {
				delete(s.lastSeen, id)
			}
		}
	}
}

// Has tells whether a server is among them.
func (s *NameSet) Has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.lastSeen[id]
	return ok
}

// All are the names, in no order.
func (s *NameSet) All() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.lastSeen))
}
