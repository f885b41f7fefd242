package balancer

import "math"

// Counts of events by time. They decide nothing.

const (
	second         = int64(1_000_000) // all times are µs
	windowBuckets  = 64               // buckets of a window
	bucketDuration = second / 8       // µs
	maxWindow      = windowBuckets * bucketDuration
)

// window counts events over a sliding time of up to maxWindow.
type window struct {
	buckets    [windowBuckets]int32
	lastBucket int64
}

func (w *window) add(now int64) {
	w.advance(now)
	w.buckets[w.lastBucket%windowBuckets]++
}

// advance empties the buckets whose time has passed.
func (w *window) advance(now int64) {
	bucket := now / bucketDuration
	for i := max(w.lastBucket+1, bucket-windowBuckets+1); i <= bucket; i++ {
		w.buckets[i%windowBuckets] = 0
	}
	w.lastBucket = max(w.lastBucket, bucket)
}

// count returns the number of events within span, in µs, before now.
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

// decayingCount counts events; each fades exponentially with the time constant arrivalDecay.
type decayingCount struct {
	count  float64
	lastAt int64
}

// at returns the count now.
func (c *decayingCount) at(now int64) float64 {
	c.count *= math.Exp(-float64(now-c.lastAt) / float64(arrivalDecay))
	c.lastAt = now
	return c.count
}

func (c *decayingCount) add(now int64) { c.count = c.at(now) + 1 }

// eventTimes holds the times of events in µs, oldest first.
type eventTimes []int64

// add records an event and drops those older than span.
func (e *eventTimes) add(now, span int64) {
	*e = append(*e, now)
	e.countSince(now - span)
}

// countSince drops the events before from and counts the rest.
func (e *eventTimes) countSince(from int64) float64 {
	n := 0
	for n < len(*e) && (*e)[n] < from {
		n++
	}
	*e = (*e)[n:]
	return float64(len(*e))
}
