package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// What a client has learned of an overloaded queue does not apply to another source, after discovery was
// down, or in a fleet too small to fill a queue: a change still arrives within NotifyDeadline.
func TestQueueEstimateIsReset(t *testing.T) {
	const bound = 6*time.Second - 400*time.Millisecond // the protocol's 6 s; independent of NotifyDeadline
	for _, tt := range []struct {
		name    string
		clients int
		fault   func(model *serverModel) // runs from 10 s on; all calls after it are served
	}{
		{"by an outage after it", 300, func(model *serverModel) {
			model.outage(rejectedAfterWait, resetWatch, 25*time.Second)
			model.outage(connectionReset, keepWatch, 15*time.Second)
		}},
		{"at another address", 300, func(model *serverModel) {
			model.outage(rejectedAfterWait, resetWatch, 25*time.Second)
			model.mu.Lock()
			for _, c := range model.clients {
				c.nextFaults = []callFault{connectionReset}
				c.client.SetSource(Source{Address: "127.0.0.1:2"})
			}
			model.mu.Unlock()
		}},
		{"where few call", 12, func(model *serverModel) { model.outage(rejectedAfterWait, resetWatch, 40*time.Second) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				model := &serverModel{maxWait: 2 * time.Second, queueLimit: 5 * time.Second, serviceTime: time.Millisecond,
					assumedCallers: tt.clients, ctx: ctx,
					changed: make(chan struct{})}
				for i := range tt.clients {
					model.join(ctx, false, uint64(i+1), 0)
				}
				time.Sleep(10 * time.Second)
				tt.fault(model)
				model.publishVersion()
				time.Sleep(2 * time.Minute)
				stop()
				synctest.Wait()
				if age := model.worstAge(t); age > bound {
					t.Errorf("the change arrived %v after it was available, want at most %v", age, bound)
				}
			})
		})
	}
}
