package balancer

import "testing"

// Whatever the poll interval is, a watch that fails is opened again within 2 s.
func TestWatchBackoffIsShort(t *testing.T) {
	for _, every := range []int64{1, second / 2, 10 * second, 600 * second} {
		s := testSettings()
		s.WatchEndpoints, s.PollInterval = true, every
		b, h := newWithServers(t, s, 2)
		w := &timerDelays{recorder: h}
		for range 40 {
			b.UpdateEndpoints(start, w, UpdateFailed, nil)
			b.HandleTimer(start, w, watchTimer)
		}
		if len(w.delays) != 40 {
			t.Fatalf("%d waits", len(w.delays))
		}
		for i, d := range w.delays {
			if d > 2*second || d < second/4 {
				t.Errorf("asked every %d us: wait %d is %d us", every, i, d)
			}
		}
	}
}

// timerDelays records how long each timer is.
type timerDelays struct {
	*recorder
	delays []int64
}

func (w *timerDelays) SetTimer(delay int64, _ string) { w.delays = append(w.delays, delay) }

func TestWatchIsReopenedAfterAFailure(t *testing.T) {
	s := testSettings()
	s.WatchEndpoints, s.PollInterval = true, 10*second
	b, h := newWithServers(t, s, 2)
	if h.watches != 1 {
		t.Fatalf("watched %d times after the first list", h.watches)
	}
	b.UpdateEndpoints(start, h, UpdateFailed, nil)
	if len(h.timers) != 1 {
		t.Fatalf("%d timers after a failure", len(h.timers))
	}
	b.UpdateEndpoints(start, h, UpdateFailed, nil) // the broken subscription and the failed call come one by one
	if len(h.timers) != 1 {
		t.Errorf("%d timers after the same failure came twice", len(h.timers))
	}
	b.HandleTimer(start+second, h, h.timers[0])
	b.HandleTimer(start+second, h, h.timers[0])
	if h.watches != 2 {
		t.Errorf("watched %d times after the timer", h.watches)
	}
}
