package clientconn

import "bytes"

// What heads take of the listener's memory budget. A head is charged while it is buffered, and what net/http
// makes of it until its request has been answered. Heads that take little of both are not charged.

// parsedFieldBytes is about what a field takes beside its text once it is parsed: an entry of a map with names
// and values, and a place in the request to the backend.
const parsedFieldBytes = 128

// parsedSize returns about how many bytes a request takes whose head has this text, which is kept once by
// net/http and once in the request to the backend.
func parsedSize(head []byte) int {
	return 2*len(head) + parsedFieldBytes*bytes.Count(head, []byte("\r\n"))
}

// headMemory is what the heads on a connection have reserved from a budget. The connection's lock guards it.
type headMemory struct {
	budget *MemoryBudget
	buffer int // bytes of the buffered head
	parsed int // bytes of the request in flight
	next   int // bytes of a request whose head was passed behind one in flight
}

// reserveBuffer reserves the memory of the longest head that is buffered, once; it returns false if there is
// not enough.
func (c *Conn) reserveBuffer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memory.buffer == 0 && !c.closed && c.memory.budget.Reserve(maxBufferedHead) {
		c.memory.buffer = maxBufferedHead
	}
	return c.memory.buffer > 0
}

// releaseBuffer releases the memory of a head that is not buffered any more.
func (c *Conn) releaseBuffer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.release(c.memory.buffer)
	c.memory.buffer = 0
}

// reserveParsed reserves the memory of a request with this head. It returns false if there is not enough.
func (c *Conn) reserveParsed(head []byte) bool {
	size := parsedSize(head)
	if size <= UnmeteredBuffer {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.memory.budget.Reserve(size) {
		return false
	}
	if c.phase == PhaseInFlight {
		c.memory.next += size
	} else {
		c.memory.parsed += size
	}
	return true
}

// releaseAnswered releases the memory of the request that has been answered.
func (m *headMemory) releaseAnswered() {
	m.release(m.parsed)
	m.parsed, m.next = m.next, 0
}

func (m *headMemory) release(bytes int) {
	if bytes > 0 {
		m.budget.Release(bytes)
	}
}

// releaseMemory releases all memory that heads have reserved.
func (c *Conn) releaseMemory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.release(c.memory.buffer + c.memory.parsed + c.memory.next)
	c.memory.buffer, c.memory.parsed, c.memory.next = 0, 0, 0
}
