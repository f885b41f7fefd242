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
	const deadline = 6 * time.Second // required by the protocol; independent of NotifyDeadline, so that a wrong constant fails the test
	struck := func(what func(*heldWatch), next ...callFault) func(*serverModel) {
		return func(model *serverModel) { model.inject(what, next...) }
	}
	trouble := func(f callFault, what func(*heldWatch), d time.Duration) func(*serverModel) {
		return func(model *serverModel) { model.outage(f, what, d) }
	}
	move := func(model *serverModel) {
		model.mu.Lock()
		defer model.mu.Unlock()
		for _, c := range model.callers {
			c.lastAnswer = time.Time{} // the new source has not answered this client before
			c.client.SetSource(Source{Address: "127.0.0.1:2"})
		}
	}
	const two, both, pushed, fleet = 1, 2, 3, 4 // W of 2 s; of 2 s and of 3 s; a local agent; 300 clients
	tests := []struct {
		name  string
		fault func(model *serverModel) // 10 s into the run
		in    int
		calls int // most calls per client after the fault, on average
	}{
		{"nothing", func(*serverModel) {}, both, 0},
		{"silent", struck(silenceWatch), both, 2},
		{"silent from the first byte", struck(keepWatch, neverAnswered), both, 2},
		{"byte by byte", struck(keepWatch, endlessBody), both, 2},
		{"garbled", struck(keepWatch, malformed), both, 2},
		{"reset", struck(resetWatch), both, 2},
		{"silent, 503", struck(silenceWatch, rejected), both, 3},
		{"silent, 503, 503, 503", struck(silenceWatch, rejected, rejected, rejected), both, 5},
		{"reset, 503, 503, 503", struck(resetWatch, rejected, rejected, rejected), both, 5},
		{"silent, reset", struck(silenceWatch, connectionReset), both, 3},
		{"silent, never answered", struck(silenceWatch, neverAnswered), two, 3},
		{"silent, byte by byte", struck(silenceWatch, endlessBody), two, 3},
		{"silent, garbled", struck(silenceWatch, malformed), two, 3},
		{"never answered, and again", struck(keepWatch, neverAnswered, neverAnswered), two, 3},
		{"503 for 20 s", trouble(rejected, resetWatch, 20*time.Second), both, 40},
		{"503 after waits for 10 s", trouble(rejectedAfterWait, resetWatch, 10*time.Second), two, 6},
		{"resets for 20 s", trouble(connectionReset, resetWatch, 20*time.Second), both, 40},
		{"never answered for 20 s", trouble(neverAnswered, silenceWatch, 20*time.Second), both, 14},
		{"byte by byte for 20 s", trouble(endlessBody, silenceWatch, 20*time.Second), both, 14},
		{"garbled for 20 s", trouble(malformed, silenceWatch, 20*time.Second), two, 14},
		{"moved with a call out", move, both, 2},
		{"pushed, silent", struck(silenceWatch), pushed, 2},
		{"pushed, silent, never answered", struck(silenceWatch, neverAnswered), pushed, 3},
		{"pushed, deaf for 8 s", trouble(neverAnswered, silenceWatch, 8*time.Second), pushed, 26},
		{"pushed, down for 8 s", trouble(connectionReset, resetWatch, 8*time.Second), pushed, 60},
		{"all silent", struck(silenceWatch), fleet, 4},
		{"down for 8 s, and all ask", trouble(connectionReset, resetWatch, 8*time.Second), fleet, 18},
		{"deaf for 8 s, and all ask", trouble(neverAnswered, silenceWatch, 8*time.Second), fleet, 7},
		{"a tenth silent as 130 start", func(model *serverModel) {
			for i := range 130 {
				model.join(model.ctx, false, uint64(1000+i), 0)
			}
			time.Sleep(500 * time.Millisecond)
			model.faultsBelow = 30
			model.inject(silenceWatch)
		}, fleet, 2},
		{"a tenth silent as turns are slow", func(model *serverModel) {
			model.mu.Lock()
			model.serviceTime, model.faultsBelow = 3*model.serviceTime, 30
			model.mu.Unlock()
			model.inject(silenceWatch)
		}, fleet, 1},
		{"all moved with a call out", move, fleet, 5},
	}
	for _, tt := range tests {
		for _, wait := range []time.Duration{2 * time.Second, 3 * time.Second} {
			if wait == 3*time.Second && tt.in != both {
				continue
			}
			t.Run(fmt.Sprint(tt.name, ", turns of ", wait), func(t *testing.T) {
				clients, margin := 60, 400*time.Millisecond
				model := &serverModel{maxWait: wait, serviceTime: time.Millisecond, otherLoad: wait - 100*time.Millisecond}
				switch tt.in {
				case pushed:
					model.serviceTime, model.otherLoad = 0, 0
				case fleet:
					clients, margin, model.serviceTime, model.otherLoad = 300, 50*time.Millisecond, 18*time.Millisecond, 0
				}
				model.assumedCallers = clients
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					model.changed, model.ctx = make(chan struct{}), ctx
					for i := range clients {
						model.join(ctx, tt.in == pushed, uint64(i+1), 0)
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
					most := deadline - margin
					if tt.in == pushed { // an agent's changes count as known at once
						most = 1200 * time.Millisecond
					}
					if age > most {
						t.Errorf("a change arrived after %v, want at most %v", age, most)
					}
					if got := model.calls - before; got > tt.calls*clients {
						t.Errorf("%d calls, want at most %d", got, tt.calls*clients)
					}
					t.Logf("changes arrived within %v; %.1f calls per client", age, float64(model.calls-before)/float64(clients))
				})
			})
		}
	}
}
