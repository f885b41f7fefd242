package balancer

import "math"

// Counters of events over time. They make no decisions themselves.

const (
	windowBuckets  = 64 // buckets of a window
	bucketDuration = 125 * milliseconds
	maxWindow      = windowBuckets * bucketDuration
)

// window counts events in a sliding window of up to maxWindow.
type window struct {
	buckets    [windowBuckets]int32
	lastBucket int64 // number of the newest bucket, counted from time 0 of the clock
}

// add counts one event.
func (w *window) add(now moment) {
	w.advance(now)
	w.buckets[w.lastBucket%windowBuckets]++
}

// advance empties the buckets that have left the window.
func (w *window) advance(now moment) {
	bucket := int64(now) / int64(bucketDuration)
	for i := max(w.lastBucket+1, bucket-windowBuckets+1); i <= bucket; i++ {
		w.buckets[i%windowBuckets] = 0
	}
	w.lastBucket = max(w.lastBucket, bucket)
}

// count returns the number of events in the given length of time before now.
func (w *window) count(now moment, length span) float64 {
	w.advance(now)
	total := int32(0)
	for i := int64(0); i < int64(length/bucketDuration); i++ {
		if w.lastBucket-i >= 0 {
			total += w.buckets[(w.lastBucket-i)%windowBuckets]
		}
	}
	return float64(total)
}

// decayingCount counts events; each decays exponentially with the time constant arrivalDecay.
type decayingCount struct {
	count  float64 // as of lastAt
	lastAt moment
}

// at returns the decayed count as of now.
func (c *decayingCount) at(now moment) float64 {
	c.count *= math.Exp(-float64(now.since(c.lastAt)) / float64(arrivalDecay))
	c.lastAt = now
	return c.count
}

// add counts one event.
func (c *decayingCount) add(now moment) { c.count = c.at(now) + 1 }

// eventTimes holds the times of events in µs, oldest first.
type eventTimes []int64

// add records an event and drops the events that are older than length.
func (e *eventTimes) add(now moment, length span) {
	*e = append(*e, int64(now))
	e.countSince(now.add(-length))
}

// countSince drops the events before from and returns the number of the others.
func (e *eventTimes) countSince(from moment) float64 {
	n := 0
	for n < len(*e) && (*e)[n] < int64(from) {
		n++
	}
	*e = (*e)[n:]
	return float64(len(*e))
}
