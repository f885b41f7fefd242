package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/socket"
)

const (
	connReaderBytes     = 4 << 10 // buffer size of a connection's reader
	responseReaderBytes = 1 << 10 // buffer size of a response's reader, which awaitBodyStart fills
)

// This file opens connections, keeps them for reuse, and closes them.

var (
	errConnLimit = errors.New("upstream: the limit of connections to backends is reached and none is idle")

	errGenerationChanged = errors.New(
		"upstream: the backend was drained, suspended, moved, restarted or removed in the meantime")
)

// takeIdle returns the most recently used idle connection that has been idle for at least its reuse delay,
// has nothing to read, and is unlikely to be closed by the backend during the request. It returns nil if
// there is none.
func (p *Pool) takeIdle(b *backend, generation int, nonIdempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.generation != generation {
		return nil
	}
	now := time.Now()
	delay := p.reuseDelayLocked(b)
	// The learned bound leaves the same time for reuse in all zones, however long the delay is.
	maxIdle := p.idleTracker.MaxIdle(now, p.idleTimeout, nonIdempotent) + delay - p.reuseDelay
	maxIdle = min(maxIdle, p.idleTimeout)
	for i := len(b.idleConns) - 1; i >= 0; i-- {
		c := b.idleConns[i]
		if c.idleFor = now.Sub(c.idleSince); c.idleFor < delay {
			continue
		}
		b.idleConns = slices.Delete(b.idleConns, i, i+1)
		if c.idleFor < maxIdle && socket.IsIdle(c.Conn) {
			return c
		}
		p.closeUnusableLocked(c)
	}
	return nil
}

// awaitReusable is called if no idle connection has passed its reuse delay. It takes the one whose delay ends
// first and waits for that: a new connection would take longer and cost the backend work. It returns nil if
// none is idle, if the backend's generation has changed, or if the connection has something to read by then;
// in that case it closes the connection. If ctx ends first, it returns the connection, which the caller must
// put back.
func (p *Pool) awaitReusable(ctx context.Context, b *backend, generation int) *conn {
	p.mu.Lock()
	if b.generation != generation || len(b.idleConns) == 0 {
		p.mu.Unlock()
		return nil
	}
	c := b.idleConns[0]
	b.idleConns = slices.Delete(b.idleConns, 0, 1)
	delay := time.NewTimer(time.Until(c.idleSince.Add(p.reuseDelayLocked(b))))
	p.mu.Unlock()
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done(): // the caller will send nothing
		return c
	}
	if c.idleFor = time.Since(c.idleSince); socket.IsIdle(c.Conn) {
		return c
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeUnusableLocked(c)
	return nil
}

// dial opens a connection within the dial timeout and before ctx ends. It fails with errConnLimit, with the
// dialer's error, or with errGenerationChanged if the backend's generation changes first.
func (p *Pool) dial(ctx context.Context, b *backend, address string, generation int) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	switch {
	case b.generation != generation:
		p.mu.Unlock()
		return nil, fmt.Errorf("dial %s: %w", b.name, errGenerationChanged)
	case !p.reserveConnLocked():
		p.mu.Unlock()
		return nil, errConnLimit
	}
	if b.pendingDials == nil {
		b.pendingDials = map[*context.CancelFunc]bool{}
	}
	b.pendingDials[&cancel] = true
	dial := p.dialContext
	p.mu.Unlock()
	nc, err := dial(ctx, "tcp", address)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(b.pendingDials, &cancel)
	if err != nil {
		p.openConns--
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.idleTracker.RecordBackendExit(time.Now(), b.name)
		}
		if b.generation != generation {
			err = errGenerationChanged
		}
		return nil, fmt.Errorf("dial %s: %w", b.name, err)
	}
	c := &conn{Conn: nc, backend: b, generation: generation}
	c.reader = bufio.NewReaderSize(responseStartReader{c}, connReaderBytes)
	c.responseReader = bufio.NewReaderSize(nil, responseReaderBytes)
	return c, nil
}

// reserveConnLocked counts a new connection. At the limit it closes the one that has been idle longest; it
// returns false if none is idle.
func (p *Pool) reserveConnLocked() bool {
	if p.openConns >= p.maxOpen && !p.closeOldestIdleLocked() {
		return false
	}
	p.openConns++
	return true
}

// closeOldestIdleLocked closes the connection that has been idle longest. It returns false if none is idle.
func (p *Pool) closeOldestIdleLocked() bool {
	var oldest *backend
	for _, b := range p.byName {
		if len(b.idleConns) > 0 && (oldest == nil || b.idleConns[0].idleSince.Before(oldest.idleConns[0].idleSince)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	p.audit.Count(audit.BackendConnNoRoom)
	p.closeLocked(oldest.idleConns[0])
	oldest.idleConns = oldest.idleConns[1:]
	return true
}

// putIdle keeps a connection for the next request, unless its backend has changed since it was opened.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.backend.generation != c.generation || !c.backend.available {
		p.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	c.backend.idleConns = append(c.backend.idleConns, c)
}

// recordStaleReuse records that a reused connection broke before the first byte of a response.
func (p *Pool) recordStaleReuse(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTracker.RecordBrokenReuse(time.Now(), c.backend.name, c.idleFor, p.idleTimeout)
}

// resetAndClose resets a connection whose request has no complete response, so that the kernel discards the
// part of the request that it has not delivered. After an orderly close it would keep retransmitting, and a
// backend that was cut off or hung could execute the request much later.
func (p *Pool) resetAndClose(c *conn) {
	p.audit.Count(audit.BackendConnNoResponse)
	socket.ResetOnClose(c.Conn)
	p.closeConn(c)
}

func (p *Pool) closeConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// closeUnusableLocked closes a connection that was idle for too long, was closed by the backend, or has
// unsolicited bytes to read, and counts which.
func (p *Pool) closeUnusableLocked(c *conn) {
	reason := audit.BackendConnIdle
	if socket.Unread(c.Conn) > 0 {
		reason = audit.BackendConnUnsolicited
	}
	p.audit.Count(reason)
	p.closeLocked(c)
}

// closeLocked closes a connection and subtracts it from the open ones.
func (p *Pool) closeLocked(c *conn) {
	c.Close()
	p.openConns--
}

// SweepIdle closes the connections that have been idle for idleTimeout, and those that the backend has
// closed.
func (p *Pool) SweepIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.byName {
		kept := b.idleConns[:0]
		for _, c := range b.idleConns {
			if now.Sub(c.idleSince) < p.idleTimeout && socket.IsIdle(c.Conn) {
				kept = append(kept, c)
			} else {
				p.closeUnusableLocked(c)
			}
		}
		clear(b.idleConns[len(kept):])
		b.idleConns = kept
	}
}
