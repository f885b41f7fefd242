package balancer

import "testing"

// A failed watch is opened again after 250 ms to 2 s, whatever the poll interval is.
func TestWatchBackoffIsShort(t *testing.T) {
	for _, interval := range []int64{1, second / 2, 10 * second, 600 * second} {
		s := testSettings()
		s.WatchEndpoints, s.PollInterval = true, interval
		b, h := newWithServers(t, s, 2)
		host := &timerDelays{recorder: h}
		for range 40 {
			b.UpdateEndpoints(start, host, UpdateFailed, nil)
			b.HandleTimer(start, host, watchTimer)
		}
		if len(host.delays) != 40 {
			t.Fatalf("%d timers were set after 40 failures of a watch", len(host.delays))
		}
		for i, d := range host.delays {
			if d > 2*second || d < second/4 {
				t.Errorf("backoff %d is %d µs with a poll interval of %d µs, want 250 ms to 2 s",
					i, d, interval)
			}
		}
	}
}

// timerDelays is a Host that records the delay of each timer.
type timerDelays struct {
	*recorder
	delays []int64 // µs
}

// SetTimer records the delay.
func (d *timerDelays) SetTimer(delay int64, _ string) { d.delays = append(d.delays, delay) }

// A failed watch is opened again once, after one backoff, even if its failure is reported twice.
func TestWatchIsReopenedAfterAFailure(t *testing.T) {
	s := testSettings()
	s.WatchEndpoints, s.PollInterval = true, 10*second
	b, h := newWithServers(t, s, 2)
	if h.watches != 1 {
		t.Fatalf("%d watches were opened after the first list, want 1", h.watches)
	}
	b.UpdateEndpoints(start, h, UpdateFailed, nil)
	if len(h.timers) != 1 {
		t.Fatalf("%d timers were set after a failure, want 1", len(h.timers))
	}
	b.UpdateEndpoints(start, h, UpdateFailed, nil) // a broken watch and its failed call are separate reports
	if len(h.timers) != 1 {
		t.Errorf("%d timers were set after the same failure was reported twice, want 1", len(h.timers))
	}
	b.HandleTimer(start+second, h, h.timers[0])
	b.HandleTimer(start+second, h, h.timers[0])
	if h.watches != 2 {
		t.Errorf("%d watches were opened in total after the timer fired twice, want 2", h.watches)
	}
}
