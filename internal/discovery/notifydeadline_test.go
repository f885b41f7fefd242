package discovery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Each client receives a change within NotifyDeadline, less a margin, whatever failure its calls have, and
// makes no more calls than the failure requires. The cases are those of the table in freshness.go, while the
// calls of other callers fill nearly all of discovery's queue. Failures of a whole fleet are tested with 300
// clients, whose own calls fill the queue.
func TestChangeArrivesWithinNotifyDeadline(t *testing.T) {
	// The protocol requires 6 s. The constant is independent of NotifyDeadline, so that a wrong one fails the
	// test.
	const deadline = 6 * time.Second
	withFaults := func(watchFault func(*heldWatch), next ...callFault) func(*serverModel) {
		return func(model *serverModel) { model.inject(watchFault, next...) }
	}
	withOutage := func(fault callFault, watchFault func(*heldWatch), d time.Duration) func(*serverModel) {
		return func(model *serverModel) { model.outage(fault, watchFault, d) }
	}
	changeSource := func(model *serverModel) {
		model.mu.Lock()
		defer model.mu.Unlock()
		for _, c := range model.clients {
			c.lastAnswer = time.Time{} // the new source has not answered this client before
			c.client.SetSource(Source{Address: "127.0.0.1:2"})
		}
	}
	// Setups: W of 2 s; W of 2 s and W of 3 s; a local agent; a fleet of 300 clients.
	const wait2s, waitBoth, localAgent, wholeFleet = 1, 2, 3, 4
	tests := []struct {
		name     string
		fault    func(model *serverModel) // 10 s into the run
		setup    int
		maxCalls int // most calls per client after the fault, on average
	}{
		{"nothing", func(*serverModel) {}, waitBoth, 0},
		{"silent", withFaults(silenceWatch), waitBoth, 2},
		{"silent from the first byte", withFaults(keepWatch, neverAnswered), waitBoth, 2},
		{"byte by byte", withFaults(keepWatch, endlessBody), waitBoth, 2},
		{"garbled", withFaults(keepWatch, malformed), waitBoth, 2},
		{"reset", withFaults(resetWatch), waitBoth, 2},
		{"silent, 503", withFaults(silenceWatch, rejected), waitBoth, 3},
		{"silent, 503, 503, 503", withFaults(silenceWatch, rejected, rejected, rejected), waitBoth, 5},
		{"reset, 503, 503, 503", withFaults(resetWatch, rejected, rejected, rejected), waitBoth, 5},
		{"silent, reset", withFaults(silenceWatch, connectionReset), waitBoth, 3},
		{"silent, never answered", withFaults(silenceWatch, neverAnswered), wait2s, 3},
		{"silent, byte by byte", withFaults(silenceWatch, endlessBody), wait2s, 3},
		{"silent, garbled", withFaults(silenceWatch, malformed), wait2s, 3},
		{"never answered, and again", withFaults(keepWatch, neverAnswered, neverAnswered), wait2s, 3},
		{"reset, 503 after a wait", withFaults(resetWatch, rejectedAfterWait), wait2s, 2},
		{"503 for 20 s", withOutage(rejected, resetWatch, 20*time.Second), waitBoth, 40},
		{"503 after waits for 10 s", withOutage(rejectedAfterWait, resetWatch, 10*time.Second), wait2s, 6},
		{"resets for 20 s", withOutage(connectionReset, resetWatch, 20*time.Second), waitBoth, 40},
		{"never answered for 20 s", withOutage(neverAnswered, silenceWatch, 20*time.Second), waitBoth, 14},
		{"byte by byte for 20 s", withOutage(endlessBody, silenceWatch, 20*time.Second), waitBoth, 14},
		{"garbled for 20 s", withOutage(malformed, silenceWatch, 20*time.Second), wait2s, 14},
		{"moved with a call out", changeSource, waitBoth, 2},
		{"pushed, silent", withFaults(silenceWatch), localAgent, 2},
		{"pushed, silent, never answered", withFaults(silenceWatch, neverAnswered), localAgent, 3},
		{"pushed, deaf for 8 s", withOutage(neverAnswered, silenceWatch, 8*time.Second), localAgent, 26},
		{"pushed, down for 8 s", withOutage(connectionReset, resetWatch, 8*time.Second), localAgent, 60},
		{"all silent", withFaults(silenceWatch), wholeFleet, 4},
		{"down for 8 s, and all ask", withOutage(connectionReset, resetWatch, 8*time.Second), wholeFleet, 18},
		{"deaf for 8 s, and all ask", withOutage(neverAnswered, silenceWatch, 8*time.Second), wholeFleet, 7},
		{"a tenth silent as 130 start", func(model *serverModel) {
			for i := range 130 {
				model.join(model.ctx, false, uint64(1000+i), 0)
			}
			time.Sleep(500 * time.Millisecond)
			model.faultsBelow = 30
			model.inject(silenceWatch)
		}, wholeFleet, 2},
		{"a tenth silent as turns are slow", func(model *serverModel) {
			model.mu.Lock()
			model.serviceTime, model.faultsBelow = 3*model.serviceTime, 30
			model.mu.Unlock()
			model.inject(silenceWatch)
		}, wholeFleet, 1},
		{"all moved with a call out", changeSource, wholeFleet, 5},
	}
	for _, tt := range tests {
		for _, wait := range []time.Duration{2 * time.Second, 3 * time.Second} {
			if wait == 3*time.Second && tt.setup != waitBoth {
				continue
			}
			t.Run(fmt.Sprint(tt.name, ", turns of ", wait), func(t *testing.T) {
				clients, margin := 60, 400*time.Millisecond
				model := &serverModel{maxWait: wait, serviceTime: time.Millisecond, otherLoad: wait - 100*time.Millisecond}
				switch tt.setup {
				case localAgent:
					model.serviceTime, model.otherLoad = 0, 0
				case wholeFleet:
					clients, margin, model.serviceTime, model.otherLoad = 300, 50*time.Millisecond, 18*time.Millisecond, 0
				}
				model.assumedCallers = clients
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					model.changed, model.ctx = make(chan struct{}), ctx
					for i := range clients {
						model.join(ctx, tt.setup == localAgent, uint64(i+1), 0)
					}
					time.Sleep(10 * time.Second)
					model.mu.Lock()
					before := model.calls
					model.mu.Unlock()
					go func() { // the first change is published at the time of the fault
						for range 30 {
							model.publishVersion()
							time.Sleep(700 * time.Millisecond)
						}
					}()
					tt.fault(model)
					time.Sleep(25 * time.Second)
					stop()
					synctest.Wait()
					age := model.worstAge(t)
					maxAge := deadline - margin
					if tt.setup == localAgent { // an agent's changes count as known at once
						maxAge = 1200 * time.Millisecond
					}
					if age > maxAge {
						t.Errorf("a change arrived after %v, want at most %v", age, maxAge)
					}
					if got := model.calls - before; got > tt.maxCalls*clients {
						t.Errorf("%d calls, want at most %d", got, tt.maxCalls*clients)
					}
					t.Logf("changes arrived within %v; %.1f calls per client",
						age, float64(model.calls-before)/float64(clients))
				})
			})
		}
	}
}
