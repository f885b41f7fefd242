// Package listener wraps a net.Listener so that Accept survives temporary errors. It never closes a listener by itself
// and knows nothing of what is served.
//
// accept(2) returns network errors that are pending on the new connection and asks callers to treat them like EAGAIN; a
// shortage of descriptors or memory passes too. net/http's server retries only some of these, with pauses of up to a
// second, and ends at the others.
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
	maxBackoff  = 20 * time.Millisecond // a client in the accept queue waits no longer for the next attempt
	logInterval = time.Second
)

// permanentErrors are those of a listener that is closed or invalid: no later call succeeds.
var permanentErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// IsPermanent reports whether no later call of Accept can succeed after an error.
func IsPermanent(err error) bool {
	for _, permanent := range permanentErrors {
		if errors.Is(err, permanent) {
			return true
		}
	}
	return false
}

// Retrier computes the backoff after failed calls of Accept. It is not safe for concurrent use.
type Retrier struct {
	log      *slog.Logger
	backoff  time.Duration
	failures int // since the last log line
	loggedAt time.Time
}

// NewRetrier returns a Retrier that logs failed calls at most once per second.
func NewRetrier(log *slog.Logger) *Retrier { return &Retrier{log: log} }

// Succeeded resets the backoff.
func (r *Retrier) Succeeded() { r.backoff = 0 }

// Failed waits before the next attempt, until stop is closed at the latest. It returns nil if Accept is to be called
// again, err if that is permanent, and net.ErrClosed after stop.
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

	mu      sync.Mutex // held by one call of Accept at a time
	retrier *Retrier
}

// Retry wraps a listener.
func Retry(l net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: l, stop: make(chan struct{}), retrier: NewRetrier(log)}
}

// Accept waits for the next connection. The error is permanent (IsPermanent).
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

// Close closes the listener and ends a call of Accept that waits.
func (l *Listener) Close() error {
	l.stopOnce.Do(func() { close(l.stop) })
	return l.Listener.Close()
}
