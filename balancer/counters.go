package balancer

import "math"

// Counts of events by time.

const (
	second         = int64(1_000_000) // all times are microseconds
	windowBuckets  = 64               // buckets of the sliding window
	bucketDuration = second / 8
	maxWindow      = windowBuckets * bucketDuration
)

// window counts events over a sliding time of up to windowTicks buckets.
type window struct {
	buckets    [windowBuckets]int32
	lastBucket int64
}

func (w *window) add(now int64) {
	w.advance(now)
	w.buckets[w.lastBucket%windowBuckets]++
}

func (w *window) advance(now int64) {
	b := now / bucketDuration
	for i := max(w.lastBucket+1, b-windowBuckets+1); i <= b; i++ {
		w.buckets[i%windowBuckets] = 0
	}
	w.lastBucket = max(w.lastBucket, b)
}

func (w *window) count(now, span int64) float64 {
	w.advance(now)
	total := int32(0)
	for i := int64(0); i < span/bucketDuration; i++ {
		if w.lastBucket-i >= 0 {
			total += w.buckets[(w.lastBucket-i)%windowBuckets]
		}
	}
	return float64(total)
}

// tally counts events and forgets them over about tallySpan.
type decayingCount struct {
	count  float64
	lastAt int64
}

func (t *decayingCount) at(now int64) float64 {
	t.count *= math.Exp(-float64(now-t.lastAt) / float64(arrivalDecay))
	t.lastAt = now
	return t.count
}

func (t *decayingCount) add(now int64) { t.count = t.at(now) + 1 }

// timeline holds the times of events, oldest first.
type eventTimes []int64

// add takes an event and forgets those that are older than span.
func (l *eventTimes) add(now, span int64) {
	*l = append(*l, now)
	l.countSince(now - span)
}

// since forgets the events before from and counts the rest.
func (l *eventTimes) countSince(from int64) float64 {
	n := 0
	for n < len(*l) && (*l)[n] < from {
		n++
	}
	*l = (*l)[n:]
	return float64(len(*l))
}
