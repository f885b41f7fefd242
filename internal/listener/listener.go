// Package accept keeps a listener going through errors of accept that are of the moment or of one connection.
//
// accept(2) hands on network errors that are already pending on the new connection, and asks for them to be treated as
// EAGAIN. A shortage of descriptors or memory passes, too. net/http's server retries only some of these, with pauses that
// grow to a second, and ends at the others.
package listener

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	firstPause = time.Millisecond
	maxBackoff = 20 * time.Millisecond // a client in the system's queue waits no longer for the next call
	logEvery   = time.Second
)

// lasting are the errors that say that the listener itself is of no use; no later call succeeds.
var permanentErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// Lasts tells whether an error of accept is one that no later call mends.
func IsPermanent(err error) bool {
	for _, l := range permanentErrors {
		if errors.Is(err, l) {
			return true
		}
	}
	return false
}

// Retrier paces the calls after failed ones. One goroutine uses it.
type Retrier struct {
	log    *slog.Logger
	pause  time.Duration
	failed int // since the log last said so
	logged time.Time
}

// NewRetrier logs failed calls to log, now and then.
func NewRetrier(log *slog.Logger) *Retrier { return &Retrier{log: log} }

// Succeeded notes a call that gave a connection.
func (r *Retrier) Succeeded() { r.pause = 0 }

// Failed notes a call that failed and waits before the next one, no longer than until stop is closed. It returns nil if there
// is to be a next one, else the error to give out: net.ErrClosed after stop.
func (r *Retrier) Failed(err error, stop <-chan struct{}) error {
	if IsPermanent(err) {
		return err
	}
	r.failed++
	if time.Since(r.logged) >= logEvery {
		r.log.Warn("accept failed, and is tried again", "error", err, "failed", r.failed)
		r.logged, r.failed = time.Now(), 0
	}
	r.pause = min(max(2*r.pause, firstPause), maxBackoff)
	wait := time.NewTimer(r.pause)
	defer wait.Stop()
	select {
	case <-wait.C:
		return nil
	case <-stop:
		return net.ErrClosed
	}
}

// Listener is a listener whose Accept fails only when no later call could succeed.
type Listener struct {
	net.Listener
	stop chan struct{}
	once sync.Once

	mu      sync.Mutex // of one call at a time
	retrier *Retrier
}

// Retry wraps a listener.
func Retry(l net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: l, stop: make(chan struct{}), retrier: NewRetrier(log)}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.retrier.Succeeded()
			return c, nil
		}
		if err := l.retrier.Failed(err, l.stop); err != nil {
			return nil, err
		}
	}
}

// Close ends the listener, and a call of Accept that waits.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.stop) })
	return l.Listener.Close()
}
