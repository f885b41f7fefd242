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

// cappedListener accepts no more connections than there are slots; those beyond wait in the kernel, and
// shed is called for as long as they must.
type limitedListener struct {
	net.Listener
	makeRoom   func()
	retrier    *listener.Retrier
	audit      *audit.Recorder // nil in a test
	lingering  lingeringConns
	headMemory *memoryBudget // for heads
	slotFreed  chan struct{} // holds a value after a slot came free
	closed     chan struct{}
	closeOnce  sync.Once

	mu        sync.Mutex
	used, max int
}

func newLimitedListener(l net.Listener, shed func(), log *slog.Logger) *limitedListener {
	return &limitedListener{Listener: l, makeRoom: shed, retrier: listener.NewRetrier(log), slotFreed: make(chan struct{}, 1),
		closed: make(chan struct{})}
}

// Accept takes a slot, which the connection gives back when its descriptor is closed. It fails only when the listener is
// of no more use: an error of the moment would end the server, and with it all requests that are open.
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
			l.makeRoom() // an idle connection gives its descriptor up
		}
		if err := l.retrier.Failed(err, l.closed); err != nil {
			l.releaseSlot()
			return nil, err
		}
	}
}

// slot waits for a slot; false if the listener was closed first.
func (l *limitedListener) acquireSlot() bool {
	if l.tryAcquireSlot() {
		return true
	}
	again := time.NewTicker(makeRoomInterval)
	defer again.Stop()
	for {
		l.makeRoom()
		select {
		case <-l.slotFreed:
		case <-l.closed:
			return false
		case <-again.C:
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

// full tells whether connections may wait in the kernel since there is no slot for them.
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

// limit sets how many slots there are. Connections that are open stay.
func (l *limitedListener) setLimit(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.max = most
}

// Close ends the listener, and a call of Accept that waits.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
