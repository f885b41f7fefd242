package discovery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Clients of one list that answers in turn, each call after others' turns that take nearly all of the longest wait: whatever
// befalls their calls, each has a change 6 s after discovery had it and could be reached, less a margin, and they make no more
// calls than the faults need. Those that befall a fleet at once befall 300, whose own turns are what has to be waited for.
func TestAChangeIsThereInTime(t *testing.T) {
	const told = 6 * time.Second
	struck := func(what func(*held), next ...fate) func(*turns) {
		return func(l *turns) { l.strike(what, next...) }
	}
	trouble := func(f fate, what func(*held), d time.Duration) func(*turns) {
		return func(l *turns) { l.trouble(f, what, d) }
	}
	move := func(l *turns) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, c := range l.callers {
			c.last = time.Time{} // there it is a new watch
			c.client.SetSource(Source{Address: "127.0.0.1:2"})
		}
	}
	const two, both, pushed, fleet = 1, 2, 3, 4 // longest wait of 2 s, or also of 3 s; or none; or 300 clients
	tests := []struct {
		name  string
		fault func(l *turns) // 10 s into the run
		in    int
		calls int // of one client on average, beyond the first
	}{
		{"nothing", func(*turns) {}, both, 0},
		{"silent", struck(silence), both, 2},
		{"silent from the first byte", struck(spare, mute), both, 2},
		{"byte by byte", struck(spare, dripping), both, 2},
		{"garbled", struck(spare, garbled), both, 2},
		{"reset", struck(reset), both, 2},
		{"silent, 503", struck(silence, refused), both, 3},
		{"silent, 503, 503, 503", struck(silence, refused, refused, refused), both, 5},
		{"reset, 503, 503, 503", struck(reset, refused, refused, refused), both, 5},
		{"silent, reset", struck(silence, broken), both, 3},
		{"silent, never answered", struck(silence, mute), two, 3},
		{"silent, byte by byte", struck(silence, dripping), two, 3},
		{"silent, garbled", struck(silence, garbled), two, 3},
		{"never answered, and again", struck(spare, mute, mute), two, 3},
		{"503 for 20 s", trouble(refused, reset, 20*time.Second), both, 40},
		{"503 after waits for 10 s", trouble(vainly, reset, 10*time.Second), two, 6},
		{"resets for 20 s", trouble(broken, reset, 20*time.Second), both, 40},
		{"never answered for 20 s", trouble(mute, silence, 20*time.Second), both, 14},
		{"byte by byte for 20 s", trouble(dripping, silence, 20*time.Second), both, 14},
		{"garbled for 20 s", trouble(garbled, silence, 20*time.Second), two, 14},
		{"moved with a call out", move, both, 2},
		{"pushed, silent", struck(silence), pushed, 2},
		{"pushed, silent, never answered", struck(silence, mute), pushed, 3},
		{"pushed, deaf for 8 s", trouble(mute, silence, 8*time.Second), pushed, 26},
		{"pushed, down for 8 s", trouble(broken, reset, 8*time.Second), pushed, 60},
		{"all silent", struck(silence), fleet, 4},
		{"down for 8 s, and all ask", trouble(broken, reset, 8*time.Second), fleet, 18},
		{"deaf for 8 s, and all ask", trouble(mute, silence, 8*time.Second), fleet, 7},
		{"a tenth silent as 130 start", func(l *turns) {
			for i := range 130 {
				l.join(l.ctx, false, uint64(1000+i), 0)
			}
			time.Sleep(500 * time.Millisecond)
			l.spared = 30
			l.strike(silence)
		}, fleet, 2},
		{"a tenth silent as turns are slow", func(l *turns) {
			l.mu.Lock()
			l.slow, l.spared = 3*l.slow, 30
			l.mu.Unlock()
			l.strike(silence)
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
				l := &turns{wait: wait, slow: time.Millisecond, others: wait - 100*time.Millisecond}
				switch tt.in {
				case pushed:
					l.slow, l.others = 0, 0
				case fleet:
					clients, margin, l.slow, l.others = 300, 50*time.Millisecond, 18*time.Millisecond, 0
				}
				l.clients = clients
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					l.moved, l.ctx = make(chan struct{}), ctx
					for i := range clients {
						l.join(ctx, tt.in == pushed, uint64(i+1), 0)
					}
					time.Sleep(10 * time.Second)
					l.mu.Lock()
					before := l.calls
					l.mu.Unlock()
					go func() { // a release; its first change comes with the fault
						for range 30 {
							l.change()
							time.Sleep(700 * time.Millisecond)
						}
					}()
					tt.fault(l)
					time.Sleep(25 * time.Second)
					stop()
					synctest.Wait()
					age := l.age(t)
					most := told - margin
					if tt.in == pushed { // what an agent has counts as told at once; silence is found within a watch's time
						most = 1200 * time.Millisecond
					}
					if age > most {
						t.Errorf("a change was heard of after %v, want %v", age, most)
					}
					if got := l.calls - before; got > tt.calls*clients {
						t.Errorf("%d calls, want at most %d", got, tt.calls*clients)
					}
					t.Logf("age %v; %.1f calls a client", age, float64(l.calls-before)/float64(clients))
				})
			})
		}
	}
}
