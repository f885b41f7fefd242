package downstream

import (
	"errors"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// temporaryAcceptErrors are the errors that accept(2) lists which concern one connection, or are temporary:
// the next call may succeed.
var temporaryAcceptErrors = []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE,
	syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
	syscall.EHOSTDOWN, syscall.ENONET, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
	syscall.ETIMEDOUT, syscall.ECONNABORTED, syscall.EINTR}

// TestFailedAcceptEndsNothing checks that a temporary error of accept neither ends the server nor delays the
// next client.
func TestFailedAcceptEndsNothing(t *testing.T) {
	for _, failure := range temporaryAcceptErrors {
		t.Run(failure.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := startPiped(t, 4)
				defer p.stop()
				for range 5 { // net/http's own backoff would be 80 ms after them
					select {
					case p.pipes.fails <- failure:
					case <-time.After(time.Minute):
						t.Fatal("the server no longer accepts connections after a temporary error")
					}
				}
				start := time.Now()
				select {
				case p.pipes.fails <- errors.New("again"):
				case <-time.After(time.Minute):
					t.Fatal("the server no longer accepts connections after 5 temporary errors")
				}
				if waited := time.Since(start); waited > 50*time.Millisecond {
					t.Errorf("the next accept came %v after the errors, want at most 50 ms", waited)
				}
				if !p.serving.Load() {
					t.Error("the server has stopped serving")
				}
			})
		})
	}
}
