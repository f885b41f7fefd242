package clientconn

import "sync"

// MemoryBudget limits how many bytes are buffered for clients. Any goroutine may use it.
type MemoryBudget struct {
	mu        sync.Mutex
	used, max int
}

// NewMemoryBudget returns a budget of the given number of bytes.
func NewMemoryBudget(bytes int) *MemoryBudget { return &MemoryBudget{max: bytes} }

// Reserve reserves bytes from the budget. It returns false, and reserves none, if fewer are left.
func (b *MemoryBudget) Reserve(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+bytes > b.max {
		return false
	}
	b.used += bytes
	return true
}

// Release returns reserved bytes to the budget.
func (b *MemoryBudget) Release(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}

// SetMax sets the size of the budget. Reserved bytes stay reserved, even if they exceed it.
func (b *MemoryBudget) SetMax(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.max = bytes
}

// Used returns how many bytes are reserved.
func (b *MemoryBudget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
