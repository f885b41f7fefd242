package proxy

import "sync"

// memoryBudget bounds the bytes of what is buffered for clients. frontend has two: one for bodies beyond
// guaranteedBodyBuffer each, one for the first bytes, which are heads and bodies beyond unmeteredBuffer each.
type memoryBudget struct {
	mu        sync.Mutex
	used, max int
}

// reserve takes so many bytes; false if there are not as many left.
func (b *memoryBudget) reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.max {
		return false
	}
	b.used += n
	return true
}

func (b *memoryBudget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

func (b *memoryBudget) setMax(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.max = n
}
