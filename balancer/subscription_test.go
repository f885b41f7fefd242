package balancer

import "testing"

// Whatever the asking time, a subscription that fails is asked for again within 2 s: a change counts as told after 6 s.
func TestAFailedSubscriptionIsAskedForAgainSoon(t *testing.T) {
	for _, every := range []int64{1, second / 2, 10 * second, 600 * second} {
		s := testSettings()
		s.WatchEndpoints, s.PollInterval = true, every
		b, h := with(t, s, 2)
		w := &waits{recorder: h}
		for range 40 {
			b.UpdateEndpoints(start, w, UpdateFailed, nil)
			b.HandleTimer(start, w, watchTimer)
		}
		if len(w.waits) != 40 {
			t.Fatalf("%d waits", len(w.waits))
		}
		for i, d := range w.waits {
			if d > 2*second || d < second/4 {
				t.Errorf("asked every %d us: wait %d is %d us", every, i, d)
			}
		}
	}
}

// waits notes how long each timer is.
type waits struct {
	*recorder
	waits []int64
}

func (w *waits) SetTimer(delay int64, _ string) { w.waits = append(w.waits, delay) }

func TestWatchIsAskedForAgainAfterAFailure(t *testing.T) {
	s := testSettings()
	s.WatchEndpoints, s.PollInterval = true, 10*second
	b, h := with(t, s, 2)
	if h.watch != 1 {
		t.Fatalf("watched %d times after the first list", h.watch)
	}
	b.UpdateEndpoints(start, h, UpdateFailed, nil)
	if len(h.timer) != 1 {
		t.Fatalf("%d timers after a failure", len(h.timer))
	}
	b.UpdateEndpoints(start, h, UpdateFailed, nil) // the broken subscription and the failed call are told one by one
	if len(h.timer) != 1 {
		t.Errorf("%d timers after the same failure was told twice", len(h.timer))
	}
	b.HandleTimer(start+second, h, h.timer[0])
	b.HandleTimer(start+second, h, h.timer[0])
	if h.watch != 2 {
		t.Errorf("watched %d times after the timer", h.watch)
	}
}
