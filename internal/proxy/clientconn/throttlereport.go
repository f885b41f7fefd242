package clientconn

import (
	"cmp"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"merlinpick/internal/proxy/audit"
)

const (
	throttleLogInterval  = time.Second // between two reports in the log
	maxThrottledInReport = 4           // clients of a report: those that were throttled longest
	// minThrottledInReport is how long a client has to be throttled between two reports to be in the second one.
	minThrottledInReport = 10 * time.Millisecond
)

// throttleReport counts and logs which clients are throttled. Any goroutine may use it.
type throttleReport struct {
	audit  *audit.Recorder
	logger *slog.Logger // nil: nothing is logged

	mu       sync.Mutex
	clients  map[netip.Addr]*throttledClient // since the last report
	loggedAt time.Time
}

// throttledClient is what a report says of a client.
type throttledClient struct {
	address netip.Addr
	class   string // the last one that it has named
	waits   int
	total   time.Duration
	longest time.Duration
}

func newThrottleReport(recorder *audit.Recorder, logger *slog.Logger) *throttleReport {
	return &throttleReport{audit: recorder, logger: logger, clients: map[netip.Addr]*throttledClient{}}
}

// add records that a connection was throttled for some time, and logs a report if none was logged for
// throttleLogInterval.
func (r *throttleReport) add(c *Conn, throttled time.Duration) {
	r.audit.Count(audit.ClientThrottled)
	r.audit.Add(audit.ClientThrottledMicros, throttled.Microseconds())
	r.mu.Lock()
	defer r.mu.Unlock()
	address := clientAddress(c)
	entry := r.clients[address]
	if entry == nil {
		entry = &throttledClient{address: address}
		r.clients[address] = entry
	}
	entry.class = cmp.Or(c.Class(), entry.class)
	entry.waits++
	entry.total += throttled
	entry.longest = max(entry.longest, throttled)
	if now := time.Now(); now.Sub(r.loggedAt) >= throttleLogInterval {
		r.loggedAt = now
		r.logLocked()
	}
}

// logLocked logs the clients that were throttled longest, and begins anew.
func (r *throttleReport) logLocked() {
	entries := slices.SortedFunc(maps.Values(r.clients), func(a, b *throttledClient) int { return cmp.Compare(b.total, a.total) })
	for _, entry := range entries[:min(len(entries), maxThrottledInReport)] {
		if r.logger != nil && entry.total >= minThrottledInReport {
			r.logger.Warn("client throttled", "address", entry.address, "class", entry.class, "waits", entry.waits,
				"total", entry.total, "longest", entry.longest, "throttled_clients", len(entries))
		}
	}
	clear(r.clients)
}
