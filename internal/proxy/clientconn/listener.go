package clientconn

import (
	"errors"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"merlinpick/internal/listener"
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/socket"
)

// Listener accepts no more connections than it has slots. Further connections wait in the kernel, and while
// no slot is free ListenerConfig.MakeRoom is called repeatedly. Accept is called only by net/http's accepting
// goroutine.
type Listener struct {
	net.Listener
	makeRoom   func()
	retrier    *listener.Retrier
	audit      *audit.Recorder // nil: closes are not counted
	Lingering  LingeringConns  // connections that are shut down and not closed yet
	headMemory *MemoryBudget
	turns      *turns
	slotFreed  chan struct{} // has a value after a slot was released
	closed     chan struct{}
	closeOnce  sync.Once

	mu        sync.Mutex
	used, max int // slots
}

// MakeRoomInterval is the time between two calls of ListenerConfig.MakeRoom.
const MakeRoomInterval = 20 * time.Millisecond

// ListenerConfig holds what NewListener needs.
type ListenerConfig struct {
	MakeRoom   func()          // called while connections wait for a slot; it may close a connection
	HeadMemory *MemoryBudget   // for heads longer than UnmeteredBuffer
	Audit      *audit.Recorder // nil: closes are not counted
	Logger     *slog.Logger
}

// NewListener wraps a listener. The result has no slots before SetLimit is called.
func NewListener(l net.Listener, cfg ListenerConfig) *Listener {
	return &Listener{Listener: l, makeRoom: cfg.MakeRoom, headMemory: cfg.HeadMemory, audit: cfg.Audit,
		turns: newTurns(cfg.Audit, cfg.Logger), retrier: listener.NewRetrier(cfg.Logger), slotFreed: make(chan struct{}, 1), closed: make(chan struct{})}
}

// Accept waits for a slot and returns the next connection, which releases the slot when its descriptor is
// closed and Finished was called. It fails only when the listener cannot be used any more: net/http would end the server on a
// temporary error, and with it all requests in flight.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.acquireSlot() {
		return nil, net.ErrClosed
	}
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.retrier.Succeeded()
			runtime.Gosched() // else this goroutine alone runs while connections keep coming
			if socket.PeerReset(c) {
				l.audit.Count(audit.ClientConnDone)
				c.Close()
				continue
			}
			return newConn(c, l), nil
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.makeRoom() // frees the descriptor of a connection
		}
		if err := l.retrier.Failed(err, l.closed); err != nil {
			l.releaseSlot()
			return nil, err
		}
	}
}

// acquireSlot waits for a slot. It returns false if the listener is closed first.
func (l *Listener) acquireSlot() bool {
	if l.tryAcquireSlot() {
		return true
	}
	retry := time.NewTicker(MakeRoomInterval)
	defer retry.Stop()
	for {
		l.makeRoom()
		select {
		case <-l.slotFreed:
		case <-l.closed:
			return false
		case <-retry.C:
		}
		if l.tryAcquireSlot() {
			return true
		}
	}
}

func (l *Listener) tryAcquireSlot() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used >= l.max {
		return false
	}
	l.used++
	return true
}

// IsFull reports whether no slot is free, so that connections may wait in the kernel.
func (l *Listener) IsFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used >= l.max
}

func (l *Listener) releaseSlot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	select {
	case l.slotFreed <- struct{}{}:
	default:
	}
}

// SetLimit sets the number of slots. Connections that are already open stay open.
func (l *Listener) SetLimit(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.max = slots
}

// Close closes the listener, and ends a call of Accept that waits for a slot.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
