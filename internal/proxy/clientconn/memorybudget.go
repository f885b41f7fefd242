package clientconn

import "sync"

// MemoryBudget bounds the bytes that are buffered for clients. It may be used from any goroutine.
type MemoryBudget struct {
	mu        sync.Mutex
	used, max int
}

// NewMemoryBudget returns a budget of so many bytes.
func NewMemoryBudget(bytes int) *MemoryBudget { return &MemoryBudget{max: bytes} }

// Reserve takes so many bytes; false if there are not as many left.
func (b *MemoryBudget) Reserve(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+bytes > b.max {
		return false
	}
	b.used += bytes
	return true
}

// Release gives back what was reserved.
func (b *MemoryBudget) Release(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}

// SetMax changes the budget. What is reserved stays so, also beyond it.
func (b *MemoryBudget) SetMax(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.max = bytes
}

// Used is how many bytes are reserved.
func (b *MemoryBudget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
