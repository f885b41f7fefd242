package listener

import (
	"testing"
	"time"
)

// TestPaceAllowsBurstThenRate checks that a burst passes at once, that the rate holds behind it, and that a pause
// restores the burst.
func TestPaceAllowsBurstThenRate(t *testing.T) {
	p := Pace(nil, 100, 5)
	now := time.Unix(1000, 0)
	for range 2 {
		for i := range 6 {
			if wait := p.delay(now); wait > 0 {
				t.Errorf("connection %d of a burst waits %v, want none", i, wait)
			}
		}
		for i := 1; i <= 20; i++ {
			if wait, want := p.delay(now), time.Duration(i)*10*time.Millisecond; wait != want {
				t.Errorf("connection %d behind a burst waits %v, want %v", i, wait, want)
			}
		}
		now = now.Add(time.Second)
	}
}
