package program

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedulingDelayMetric is the runtime's histogram of how long goroutines have waited for a processor, in seconds. It
// holds one in eight waits.
const schedulingDelayMetric = "/sched/latencies:seconds"

// schedulingDelayBounds are the delays that are counted, by the name of their count in the metrics.
var schedulingDelayBounds = map[string]time.Duration{
	"scheduling_delays.over_10ms":  10 * time.Millisecond,
	"scheduling_delays.over_100ms": 100 * time.Millisecond,
}

// countSchedulingDelays adds to counts how often a goroutine has waited longer than each bound for a processor since
// the process started. Where these grow, the process needs more processor time than it has, or holds it too long.
func countSchedulingDelays(counts map[string]int64) {
	sample := []metrics.Sample{{Name: schedulingDelayMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return
	}
	histogram := sample[0].Value.Float64Histogram()
	for name, bound := range schedulingDelayBounds {
		counts[name] = countAbove(histogram, bound)
	}
}

// countAbove returns how many values of a histogram are in buckets that begin at a bound or above it.
func countAbove(histogram *metrics.Float64Histogram, bound time.Duration) (n int64) {
	for i, count := range histogram.Counts {
		if lower := histogram.Buckets[i]; !math.IsInf(lower, -1) && lower >= bound.Seconds() {
			n += int64(count)
		}
	}
	return n
}
