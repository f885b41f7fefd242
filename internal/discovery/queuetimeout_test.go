package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"
)

// ageAfterOutageAndLongQueue plays an outage of discovery of 8 s, and 24 s after it in which each call waits in
// the queue for maxWait, in vain. It returns how long after that a change took to arrive at the last client.
func ageAfterOutageAndLongQueue(t *testing.T, clients int, maxWait time.Duration) (age time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		model := &serverModel{maxWait: maxWait, queueLimit: 3 * maxWait, serviceTime: 18 * time.Millisecond,
			assumedCallers: clients, ctx: ctx, changed: make(chan struct{})}
		for i := range clients {
			model.join(ctx, false, uint64(i+1), 0)
		}
		time.Sleep(10 * time.Second)
		model.outage(connectionReset, resetWatch, 8*time.Second)
		model.outage(rejectedAfterWait, keepWatch, 24*time.Second)
		model.publishVersion()
		time.Sleep(time.Minute)
		stop()
		synctest.Wait()
		age = model.worstAge(t)
	})
	return age
}

// maxAgeAfterQueue is the protocol's 6 s, less a margin, as in TestQueueEstimateIsReset.
const maxAgeAfterQueue = 6*time.Second - 400*time.Millisecond

// TestPollingSurvivesWaitsBeyondPollPeriod guards against the end of a process by "invalid argument to Int64N":
// discovery is down, and each call then waits in its queue for longer than the poll period, in vain.
func TestPollingSurvivesWaitsBeyondPollPeriod(t *testing.T) {
	for _, clients := range []int{5, 50} {
		for _, maxWait := range []time.Duration{time.Second, 2 * time.Second, minPollPeriod, 3 * time.Second, 5 * time.Second} {
			t.Run(fmt.Sprintf("%d clients, calls wait %v", clients, maxWait), func(t *testing.T) {
				if age := ageAfterOutageAndLongQueue(t, clients, maxWait); age > maxAgeAfterQueue {
					t.Errorf("the change arrived after %v, want at most %v", age, maxAgeAfterQueue)
				}
			})
		}
	}
}

// TestChangeArrivesInTimeAfterLongQueueOfManyClients guards against poll periods that are still long when the
// queue is short again: 200 clients need 3.6 s of discovery's time.
func TestChangeArrivesInTimeAfterLongQueueOfManyClients(t *testing.T) {
	if age := ageAfterOutageAndLongQueue(t, 200, 2*time.Second); age > maxAgeAfterQueue {
		t.Errorf("the change arrived after %v, want at most %v", age, maxAgeAfterQueue)
	}
}

// TestDelayAfterRejectionIsNeverNegative checks the pause after a 503 for fleets of any size and waits of any
// length, after an outage: the scheduler neither panics nor returns a time in the past.
func TestDelayAfterRejectionIsNeverNegative(t *testing.T) {
	const step, longestWait = 250 * time.Millisecond, 4 * hedgeDelayMax // a hedged call ends sooner
	for _, callers := range []int{1, 5, 25, 100, 300, 900, 3600} {
		for wait := time.Duration(0); wait <= longestWait; wait += step {
			for _, synced := range []bool{true, false} {
				client := New(Config{Callers: callers, Seed: 1, Logger: slog.New(slog.DiscardHandler)})
				s := &client.platform.scheduler
				s.synced = synced
				failures := 0
				for range failuresUntilOverload { // discovery is down
					failures++
					s.delayAfter(errConnectionLost, failures)
				}
				for range 2 * timeoutsUntilBackoff { // and then busy
					failures++
					s.rejectedAfter = wait
					if delay := s.delayAfter(errUnavailable, failures); delay < 0 {
						t.Errorf("%d callers, synced %t: got a pause of %v after a wait of %v, want 0 or more",
							callers, synced, delay, wait)
					}
				}
			}
		}
	}
}
