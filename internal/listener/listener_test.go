package listener

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedListener is a listener whose Accept returns the given errors, and then a connection.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (s *scriptedListener) Accept() (net.Conn, error) {
	if len(s.errs) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: err}
}

func (s *scriptedListener) Close() error { return nil }

// Accept retries after temporary errors, with pauses of at most maxBackoff.
func TestTemporaryErrorsAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var errs []error
		for range 20 {
			errs = append(errs, syscall.ENOBUFS)
		}
		l := Retry(&scriptedListener{errs: errs}, slog.New(slog.DiscardHandler))
		start := time.Now()
		if _, err := l.Accept(); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > 20*maxBackoff {
			t.Errorf("Accept took %v to retry after 20 failures", took)
		}
	})
}

// Accept returns permanent errors.
func TestPermanentErrorsAreReturned(t *testing.T) {
	for _, want := range permanentErrors {
		l := Retry(&scriptedListener{errs: []error{want}}, slog.New(slog.DiscardHandler))
		if _, err := l.Accept(); !errors.Is(err, want) {
			t.Errorf("got %v, want %v", err, want)
		}
	}
}

// Close ends a call of Accept that waits to retry.
func TestCloseEndsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := make([]error, 1000)
		for i := range errs {
			errs[i] = syscall.ENOMEM
		}
		l := Retry(&scriptedListener{errs: errs}, slog.New(slog.DiscardHandler))
		ended := make(chan error, 1)
		go func() { _, err := l.Accept(); ended <- err }()
		time.Sleep(maxBackoff)
		l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Errorf("Accept returned %v after Close, want net.ErrClosed", err)
		}
	})
}
