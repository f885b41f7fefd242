package balancer

import "testing"

// How warm a server is goes by the clock of events, whatever the list's clock says of the same start.
func TestAColdServerIsColdByTheClockOfEvents(t *testing.T) {
	const now, cold = 100 * second, 10 * second
	b := &Balancer{s: &Settings{SlowStartMinCapacity: 0.1, SlowStartDuration: cold}}
	for _, c := range []struct {
		name              string
		launched, started int64
		least, most       float64
	}{
		{"alike", now, 0, 0.1, 0.1},
		{"the list's clock is an hour behind", now - 3600*second, now, 0.1, 0.1},
		{"the list's clock is an hour ahead", now + 3600*second, now - 5*second, 0.54, 0.56},
		{"warm, the list's clock ahead", now + 3600*second, now - cold, 1, 1},
	} {
		s := &server{Server: Server{StartTime: c.launched, LocalStartTime: c.started}}
		if got := b.grown(now, s); got < c.least || got > c.most {
			t.Errorf("%s: %v of its capacity, want %v to %v", c.name, got, c.least, c.most)
		}
	}
}
