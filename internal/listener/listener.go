// Package listener wraps a net.Listener so that Accept survives temporary errors. It never closes a listener
// by itself and does not depend on what is served.
//
// accept(2) returns network errors that are pending on the new connection, and its callers are expected to
// treat them like EAGAIN and retry. A shortage of file descriptors or memory is temporary too. The server of
// net/http retries only some of these errors, with pauses of up to a second, and stops at the others.
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
	minBackoff  = time.Millisecond
	maxBackoff  = 20 * time.Millisecond // longest wait of a client in the accept queue until the next attempt
	logInterval = time.Second
)

// permanentErrors are the errors of a listener that is closed or invalid, after which no later call succeeds.
var permanentErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// IsPermanent reports whether err means that no later call of Accept can succeed.
func IsPermanent(err error) bool {
	for _, permanent := range permanentErrors {
		if errors.Is(err, permanent) {
			return true
		}
	}
	return false
}

// Retrier waits and logs after failed calls of Accept. It is not safe for concurrent use.
type Retrier struct {
	log      *slog.Logger
	backoff  time.Duration
	failures int // failed calls since the last log line
	loggedAt time.Time
}

// NewRetrier returns a Retrier that logs at most once per second.
func NewRetrier(log *slog.Logger) *Retrier { return &Retrier{log: log} }

// Succeeded resets the backoff after a call that succeeded.
func (r *Retrier) Succeeded() { r.backoff = 0 }

// Failed waits before the next call of Accept, until stop is closed at the latest. It returns nil if Accept
// is to be called again, err if that is permanent, and net.ErrClosed if stop was closed.
func (r *Retrier) Failed(err error, stop <-chan struct{}) error {
	if IsPermanent(err) {
		return err
	}
	r.failures++
	if time.Since(r.loggedAt) >= logInterval {
		r.log.Warn("accept failed, retrying", "error", err, "failures", r.failures)
		r.loggedAt, r.failures = time.Now(), 0
	}
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	wait := time.NewTimer(r.backoff)
	defer wait.Stop()
	select {
	case <-wait.C:
		return nil
	case <-stop:
		return net.ErrClosed
	}
}

// Listener is a net.Listener whose Accept returns permanent errors only.
type Listener struct {
	net.Listener
	stop     chan struct{}
	stopOnce sync.Once

	mu      sync.Mutex // serializes Accept
	retrier *Retrier
}

// Retry returns a Listener that wraps l and retries after temporary errors of Accept.
func Retry(l net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: l, stop: make(chan struct{}), retrier: NewRetrier(log)}
}

// Accept waits for the next connection. It returns permanent errors only (IsPermanent).
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.retrier.Succeeded()
			return conn, nil
		}
		if err := l.retrier.Failed(err, l.stop); err != nil {
			return nil, err
		}
	}
}

// Close closes the listener and ends a call of Accept that is waiting.
func (l *Listener) Close() error {
	l.stopOnce.Do(func() { close(l.stop) })
	return l.Listener.Close()
}
