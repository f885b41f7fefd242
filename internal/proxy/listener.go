package proxy

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"merlinpick/internal/listener"
)

// cappedListener accepts no more connections than there are slots; those beyond wait in the kernel, and
// shed is called for as long as they must.
type cappedListener struct {
	net.Listener
	shed    func()
	retrier *listener.Retrier
	audit   *audit // nil in a test
	lingers lingers
	firsts  *holds        // for heads
	freed   chan struct{} // holds a value after a slot came free
	closed  chan struct{}
	once    sync.Once

	mu         sync.Mutex
	used, most int
}

func newCappedListener(l net.Listener, shed func(), log *slog.Logger) *cappedListener {
	return &cappedListener{Listener: l, shed: shed, retrier: listener.NewRetrier(log), freed: make(chan struct{}, 1),
		closed: make(chan struct{})}
}

// Accept takes a slot, which the connection gives back when its descriptor is closed. It fails only when the listener is
// of no more use: an error of the moment would end the server, and with it all requests that are open.
func (l *cappedListener) Accept() (net.Conn, error) {
	if !l.slot() {
		return nil, net.ErrClosed
	}
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.retrier.Succeeded()
			return newFramedConn(c, l), nil
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.shed() // an idle connection gives its descriptor up
		}
		if err := l.retrier.Failed(err, l.closed); err != nil {
			l.free()
			return nil, err
		}
	}
}

// slot waits for a slot; false if the listener was closed first.
func (l *cappedListener) slot() bool {
	if l.take() {
		return true
	}
	again := time.NewTicker(shedEvery)
	defer again.Stop()
	for {
		l.shed()
		select {
		case <-l.freed:
		case <-l.closed:
			return false
		case <-again.C:
		}
		if l.take() {
			return true
		}
	}
}

func (l *cappedListener) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used >= l.most {
		return false
	}
	l.used++
	return true
}

// full tells whether connections may wait in the kernel since there is no slot for them.
func (l *cappedListener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used >= l.most
}

func (l *cappedListener) free() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// limit sets how many slots there are. Connections that are open stay.
func (l *cappedListener) limit(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = most
}

// Close ends the listener, and a call of Accept that waits.
func (l *cappedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
