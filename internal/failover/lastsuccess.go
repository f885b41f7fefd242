package failover

import (
	"sync/atomic"
	"time"
)

// LastSuccess is when a client's call last succeeded. It is safe for concurrent use.
type LastSuccess struct{ time atomic.Pointer[time.Time] }

// Record notes a success now.
func (l *LastSuccess) Record() {
	now := time.Now()
	l.time.Store(&now)
}

// Age returns the time since the last success; negative if there was none.
func (l *LastSuccess) Age() time.Duration {
	at := l.time.Load()
	if at == nil {
		return -1
	}
	return time.Since(*at)
}
