package clientconn

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"merlinpick/internal/listener"
	"merlinpick/internal/proxy/audit"
)

// Listener accepts no more connections than there are slots. Those beyond wait in the kernel, and ListenerConfig.MakeRoom is
// called again and again for as long as they must. Its Accept is called by net/http's one accepting goroutine.
type Listener struct {
	net.Listener
	makeRoom   func()
	retrier    *listener.Retrier
	audit      *audit.Recorder // nil in a test
	Lingering  LingeringConns  // shut down and not closed yet
	headMemory *MemoryBudget
	slotFreed  chan struct{} // holds a value after a slot was released
	closed     chan struct{}
	closeOnce  sync.Once

	mu        sync.Mutex
	used, max int // slots
}

// MakeRoomInterval is between two calls of ListenerConfig.MakeRoom.
const MakeRoomInterval = 20 * time.Millisecond

// ListenerConfig is what a Listener starts with.
type ListenerConfig struct {
	MakeRoom   func()          // called while connections wait for a slot; it may close one
	HeadMemory *MemoryBudget   // for heads beyond UnmeteredBuffer
	Audit      *audit.Recorder // nil: closes are not counted
	Logger     *slog.Logger
}

// NewListener wraps a listener. It has no slots before SetLimit.
func NewListener(l net.Listener, cfg ListenerConfig) *Listener {
	return &Listener{Listener: l, makeRoom: cfg.MakeRoom, headMemory: cfg.HeadMemory, audit: cfg.Audit,
		retrier: listener.NewRetrier(cfg.Logger), slotFreed: make(chan struct{}, 1), closed: make(chan struct{})}
}

// Accept takes a slot, which the connection gives back when its descriptor is closed. It fails only when the listener cannot
// be used any more: a temporary error would end the server, and with it all requests in flight.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.acquireSlot() {
		return nil, net.ErrClosed
	}
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.retrier.Succeeded()
			return newConn(c, l), nil
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.makeRoom() // an idle connection's descriptor
		}
		if err := l.retrier.Failed(err, l.closed); err != nil {
			l.releaseSlot()
			return nil, err
		}
	}
}

// acquireSlot waits for a slot; false if the listener was closed first.
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

// IsFull reports whether connections may wait in the kernel since there is no slot for them.
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

// SetLimit sets how many slots there are. Connections that are open stay.
func (l *Listener) SetLimit(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.max = slots
}

// Close ends the listener, and a call of Accept that waits for a slot.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
