package failover

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

var members = []string{"a", "b", "c"}

// Each failure moves on to another member. Backoffs are below Jitter until all members have failed, and then
// double with each round, up to the maximum.
func TestRing(t *testing.T) {
	const maxBackoff = 2 * time.Second
	first := map[string]int{}
	for seed := range uint64(300) {
		r := NewRing(members, rand.New(rand.NewPCG(seed, 1)), maxBackoff)
		first[r.Current()]++
		for i := 1; i <= 40; i++ {
			before := r.Current()
			f := r.RecordFailure()
			low, high := time.Duration(0), Jitter
			if round := i / len(members); round > 0 {
				high = min(Jitter<<min(round, 8), maxBackoff)
				low = high / 2
			}
			if f.Backoff < low || f.Backoff >= high {
				t.Fatalf("seed %d, failure %d: backoff %v, want one from %v to %v",
					seed, i, f.Backoff, low, high)
			}
			if !f.FailedOver || f.Next == before || f.Next != r.Current() || f.Consecutive != i || f.ShouldLog != (i == 1 || i%3 == 0) {
				t.Fatalf("seed %d, failure %d: %+v after %s", seed, i, f, before)
			}
		}
		r.RecordSuccess()
		if f := r.RecordFailure(); f.Consecutive != 1 || f.Backoff >= Jitter {
			t.Fatalf("seed %d, first failure after an answer: %+v", seed, f)
		}
	}
	for _, m := range members {
		if n := first[m]; n < 70 || n > 130 {
			t.Errorf("%s is the first member of %d of 300 rings", m, n)
		}
	}
	one := NewRing(members[:1], rand.New(rand.NewPCG(1, 1)), maxBackoff)
	if f := one.RecordFailure(); f.FailedOver || f.Next != "a" {
		t.Errorf("ring of a single member: %+v", f)
	}
}

// Lower versions are rejected, except those of another epoch when the previous one has not been confirmed for
// EpochWait.
func TestAcceptedVersion(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		epoch    string
		version  int64
		silent   time.Duration
		accepted bool
	}{
		{"one", 10, 0, true}, {"one", 11, 0, true}, {"one", 9, 0, false}, {"one", 9, time.Hour, false},
		{"two", 11, 0, true}, {"two", 9, 0, false}, {"two", 9, EpochWait - 1, false}, {"two", 9, EpochWait, true},
	} {
		l := AcceptedVersion{Epoch: "one", Version: 10, ConfirmedAt: now.Add(-c.silent)}
		if err := l.Check(c.epoch, c.version, now); (err == nil) != c.accepted || err != nil && !errors.Is(err, ErrStaleVersion) {
			t.Errorf("%+v: %v", c, err)
		}
	}
	if err := (AcceptedVersion{}).Check("one", 0, now); err != nil {
		t.Errorf("the first version was rejected: %v", err)
	}
}
