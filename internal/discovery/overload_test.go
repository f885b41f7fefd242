package discovery

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Clients poll slowly enough that an overloaded queue drains, whatever has filled it: all are answered within
// the sum of the constants in polling.go. While the queue is longer than W no call is answered, but each
// takes its service time all the same.
func TestPollingDrainsOverloadedQueue(t *testing.T) {
	const (
		callTime = 18 * time.Millisecond
		maxWait  = 2 * time.Second
		// untilBackoff is the time until the poll period doubles.
		untilBackoff = maxQueueDrain + timeoutsUntilBackoff*maxSmallFleetPeriod
		// untilSecondPoll is for a poll that times out, another one, and their service time.
		untilSecondPoll = minPollPeriod + maxWait + maxSmallFleetPeriod - maxWait + 1500*time.Millisecond
		// untilLongestPeriod is the time until each client has polled in the longest period.
		untilLongestPeriod = untilBackoff + maxSmallFleetPeriod*3/2*(2+4+8)
	)
	tests := []struct {
		name      string
		clients   int
		callTime  time.Duration
		fault     callFault // for 8 s; noFault: all clients start at the same time instead
		within    time.Duration
		wasted    int // most served calls per client that got no answer
		failEvery int // one of this many served calls ends with a 503; 0: none
	}{
		{"no call times out", 300, callTime, rejectedAfterWait, 300*callTime + 550*time.Millisecond, 0, 0},
		{"after rejections", 300, callTime, rejected, untilSecondPoll, 1, 0},
		{"after resets", 300, callTime, connectionReset, untilSecondPoll, 1, 0},
		{"as they start", 300, callTime, noFault, maxWait + untilBackoff + maxWait, 2, 0},
		{"slow service", 300, 25 * time.Millisecond, rejectedAfterWait,
			untilBackoff + maxSmallFleetPeriod*3/2*(2+4) + maxWait, 2, 0},
		{"one in four calls fails", 300, callTime, rejectedAfterWait, untilBackoff + maxWait, 1, 4},
		{"one in four calls of few fails", 12, callTime, rejectedAfterWait, 6 * time.Second, 0, 4},
		{"1,300", 1300, callTime, rejectedAfterWait, untilLongestPeriod + maxWait, 3, 0},
		{"1,300 as they start", 1300, callTime, noFault, maxWait + untilLongestPeriod + maxWait, 3, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				model := &serverModel{maxWait: maxWait, queueLimit: 5 * time.Second, serviceTime: tt.callTime,
					failEvery: tt.failEvery, assumedCallers: tt.clients, ctx: ctx, changed: make(chan struct{})}
				if tt.fault != noFault {
					model.serviceTime = time.Millisecond // so that all clients are answered before the outage
				}
				for i := range tt.clients {
					model.join(ctx, false, uint64(i+1), 0)
				}
				if tt.fault != noFault {
					time.Sleep(3 * time.Second)
					model.mu.Lock()
					model.serviceTime = tt.callTime
					model.mu.Unlock()
					model.outage(tt.fault, resetWatch, 8*time.Second)
				}
				model.mu.Lock()
				model.availableSince, model.served, model.wasted = time.Now(), 0, 0
				model.mu.Unlock()
				model.publishVersion()
				for range 120 {
					if time.Sleep(time.Second); model.allUpdated() {
						break
					}
				}
				stop()
				synctest.Wait()
				model.mu.Lock()
				defer model.mu.Unlock()
				never, worst := 0, time.Duration(0)
				for _, c := range model.clients {
					if len(c.receivedAt) == 0 {
						never++
					} else {
						worst = max(worst, c.receivedAt[0].Sub(model.availableSince))
					}
				}
				result := fmt.Sprintf(
					"%d of %d clients received no list, the last one after %v; %d calls served, %d wasted",
					never, tt.clients, worst, model.served, model.wasted)
				if t.Log(result); never > 0 || worst > tt.within || model.wasted > tt.wasted*tt.clients {
					t.Errorf("want all clients updated within %v and at most %d calls wasted",
						tt.within, tt.wasted*tt.clients)
				}
			})
		})
	}
}

// allUpdated reports whether each client has received a version.
func (m *serverModel) allUpdated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.ContainsFunc(m.clients, func(c *modelClient) bool { return len(c.receivedAt) == 0 })
}
