package proxy

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

// limitedListener accepts no more connections than there are slots. Those beyond wait in the kernel, and makeRoom is called
// again and again for as long as they must. Its Accept is called by net/http's one accepting goroutine.
type limitedListener struct {
	net.Listener
	makeRoom   func()
	retrier    *listener.Retrier
	audit      *audit.Recorder // nil in a test
	lingering  lingeringConns
	headMemory *memoryBudget
	slotFreed  chan struct{} // holds a value after a slot was released
	closed     chan struct{}
	closeOnce  sync.Once

	mu        sync.Mutex
	used, max int // slots
}

func newLimitedListener(l net.Listener, shed func(), log *slog.Logger) *limitedListener {
	return &limitedListener{Listener: l, makeRoom: shed, retrier: listener.NewRetrier(log), slotFreed: make(chan struct{}, 1),
		closed: make(chan struct{})}
}

// Accept takes a slot, which the connection gives back when its descriptor is closed. It fails only when the listener cannot
// be used any more: a temporary error would end the server, and with it all requests in flight.
func (l *limitedListener) Accept() (net.Conn, error) {
	if !l.acquireSlot() {
		return nil, net.ErrClosed
	}
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.retrier.Succeeded()
			return newClientConn(c, l), nil
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
func (l *limitedListener) acquireSlot() bool {
	if l.tryAcquireSlot() {
		return true
	}
	retry := time.NewTicker(makeRoomInterval)
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

func (l *limitedListener) tryAcquireSlot() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used >= l.max {
		return false
	}
	l.used++
	return true
}

// isFull tells whether connections may wait in the kernel since there is no slot for them.
func (l *limitedListener) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used >= l.max
}

func (l *limitedListener) releaseSlot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	select {
	case l.slotFreed <- struct{}{}:
	default:
	}
}

// setLimit sets how many slots there are. Connections that are open stay.
func (l *limitedListener) setLimit(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.max = slots
}

// Close ends the listener, and a call of Accept that waits for a slot.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
