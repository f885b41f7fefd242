package cpushare

import "time"

// bucket is a token bucket of processor time. It fills at a rate up to its size, and may be overdrawn.
type bucket struct {
	rate     float64       // processor time a second, in seconds
	size     time.Duration // the most that it holds
	level    time.Duration // at filledAt; negative if it is overdrawn
	filledAt time.Duration // on the caller's clock
}

// newBucket returns a full bucket.
func newBucket(now time.Duration, rate float64, size time.Duration) bucket {
	return bucket{rate: rate, size: size, level: size, filledAt: now}
}

// fill adds what has come in until now. A clock that stands still or goes back adds nothing.
func (b *bucket) fill(now time.Duration) {
	if now <= b.filledAt {
		return
	}
	b.level = min(b.size, b.level+time.Duration(b.rate*float64(now-b.filledAt)))
	b.filledAt = now
}

// take takes processor time out of the bucket, which is overdrawn by at most maxDebt.
func (b *bucket) take(now, used, maxDebt time.Duration) {
	b.fill(now)
	b.level = max(-maxDebt, b.level-used)
}

// untilPositive returns how long after now the bucket holds something again; 0 if it does.
func (b *bucket) untilPositive(now time.Duration) time.Duration {
	b.fill(now)
	if b.level > 0 {
		return 0
	}
	return time.Duration(float64(1-b.level)/b.rate) + 1
}

// allowance is a bucket that, once it is empty, counts as exceeded until it is half full again.
type allowance struct {
	bucket
	exceeded bool
}

// isExceeded reports whether more was taken than the allowance gives.
func (a *allowance) isExceeded(now time.Duration) bool {
	a.fill(now)
	switch {
	case a.level <= 0:
		a.exceeded = true
	case a.level >= a.size/2:
		a.exceeded = false
	}
	return a.exceeded
}
