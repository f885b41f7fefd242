package failover

import (
	"sync/atomic"
	"time"
)

// LastSuccess is the time of a client's last successful call. It is safe for concurrent use.
type LastSuccess struct{ time atomic.Pointer[time.Time] }

// Record records a success at the current time.
func (l *LastSuccess) Record() {
	now := time.Now()
	l.time.Store(&now)
}

// Age returns the time since the last success. It is negative if there was none.
func (l *LastSuccess) Age() time.Duration {
	at := l.time.Load()
	if at == nil {
		return -1
	}
	return time.Since(*at)
}
