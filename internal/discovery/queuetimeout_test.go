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

// TestChangeArrivesInTimeAfterReloadToCrowdedSource guards against pauses made for a large fleet in a small one:
// a new configuration moves discovery to an address where the first call fails, and the change of a second later
// is to be known 4 s after the new configuration.
func TestChangeArrivesInTimeAfterReloadToCrowdedSource(t *testing.T) {
	// The protocol's 4 s; independent of SourceChangeDeadline, so that a wrong one fails the test.
	const deadline, margin = 4 * time.Second, 100 * time.Millisecond
	const crowd, outage = 2500 * time.Millisecond, 2800 * time.Millisecond
	fillQueue := func(limit time.Duration) func(*serverModel) {
		return func(model *serverModel) {
			model.mu.Lock()
			defer model.mu.Unlock()
			model.queueFreeAt, model.queueLimit = time.Now().Add(crowd), limit
		}
	}
	takeDown := func(model *serverModel) {
		model.mu.Lock()
		defer model.mu.Unlock()
		model.fault = connectionReset
		time.AfterFunc(outage, func() { model.mu.Lock(); defer model.mu.Unlock(); model.fault = noFault })
	}
	for _, clients := range []int{1, 3, 6, 15, 24} {
		for _, tt := range []struct {
			name  string
			fault func(*serverModel) // at the time of the new configuration
		}{
			{"calls wait in vain", fillQueue(5 * time.Second)},
			{"calls are rejected at once", fillQueue(0)},
			{"discovery is down", takeDown},
		} {
			t.Run(fmt.Sprintf("%d clients, %s", clients, tt.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					model := &serverModel{maxWait: 2 * time.Second, serviceTime: 18 * time.Millisecond, assumedCallers: clients,
						ctx: ctx, changed: make(chan struct{})}
					for i := range clients {
						model.join(ctx, false, uint64(i+1), 0)
					}
					time.Sleep(5 * time.Second)
					model.mu.Lock()
					for _, c := range model.clients {
						c.lastAnswer = time.Time{} // the new source has not answered this client before
						c.client.SetSource(Source{Address: "127.0.0.1:2"})
					}
					model.mu.Unlock()
					tt.fault(model)
					reloaded := time.Now()
					time.Sleep(time.Second)
					model.publishVersion()
					time.Sleep(20 * time.Second)
					stop()
					synctest.Wait()
					known := model.worstAge(t) + model.publishedAt[0].Sub(reloaded)
					t.Logf("the change was known %v after the new configuration", known)
					if known > deadline-margin {
						t.Errorf("the change was known %v after the new configuration, want at most %v", known, deadline-margin)
					}
				})
			})
		}
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
