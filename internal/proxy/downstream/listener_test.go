package downstream

import (
	"errors"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// accept(2) lists errors that concern one connection, or the moment, and not the listener: the next call may succeed.
var passingAcceptErrors = []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EPROTO,
	syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ETIMEDOUT, syscall.ECONNABORTED, syscall.EINTR}

// An accept that fails temporarily ends neither the proxy nor the wait of the clients that come next.
func TestFailedAcceptEndsNothing(t *testing.T) {
	for _, failure := range passingAcceptErrors {
		t.Run(failure.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := startPiped(t, 4)
				defer p.stop()
				for range 5 { // net/http's own pause would have grown to 80 ms by then
					select {
					case p.pipes.fails <- failure:
					case <-time.After(time.Minute):
						t.Fatal("nobody accepts any more")
					}
				}
				start := time.Now()
				select {
				case p.pipes.fails <- errors.New("again"):
				case <-time.After(time.Minute):
					t.Fatal("nobody accepts any more")
				}
				if waited := time.Since(start); waited > 50*time.Millisecond {
					t.Errorf("the next client waits for %v", waited)
				}
				if !p.serving.Load() {
					t.Error("the frontend has ended")
				}
			})
		})
	}
}
