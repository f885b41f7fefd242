package balancer

// Latency: measures how long calls of each class take and how slow each server is compared with the others,
// and sets the latencies above which a call counts as slow or late.
//
// Input: the latencies of answered attempts. Output: the mean latency of each class, a slowness by which the
// weight of each server is reduced, and the thresholds for backpressure.

const (
	initialMeanFraction = 0.25 // of the latency objective: the mean before any answer
	initialGuessCalls   = 4.0  // answers that the initial mean counts as

	minMeanGain     = 0.05  // smallest weight of one answer in a running mean
	minUnloadedGain = 0.001 // the same in the unloaded mean

	slownessGain    = 0.1 // weight of one answer in the slowness of a server
	maxLatencyRatio = 5.0 // of a latency to the mean: slower answers count as this

	slowFraction          = 0.6 // of the latency objective: a longer call is slow, well before it is late
	saturatedLatencyRatio = 1.6 // of a latency to the unloaded mean: a call above it is slow, too
)

// classLatency holds the latencies of a class.
type classLatency struct {
	mean      float64 // µs
	unloaded  float64 // µs: estimated mean while hardly any call waits
	successes float64 // number of answers
}

// newClassLatency returns the initial estimate of the latencies of a class.
func newClassLatency(rules Class) classLatency {
	guess := initialMeanFraction * float64(rules.LatencyObjective)
	return classLatency{mean: guess, unloaded: guess}
}

// serverLatency holds the latency of a server compared with the others.
type serverLatency struct {
	slowness float64 // running ratio of its latencies to the mean of their class
}

// newServerLatency returns the latency of a server that is as fast as the mean.
func newServerLatency() serverLatency { return serverLatency{slowness: 1} }

// runningGain returns the weight of the next value in a running mean over count values: that of a plain mean,
// but no less than least.
func runningGain(count, least float64) float64 { return max(least, 1/(initialGuessCalls+count)) }

// recordLatency records the latency of an answer in µs. The slowness moves towards the ratio of latency to
// mean by a fraction of the distance: fixed steps would add up until one server had all calls where load does
// not slow it down.
func recordLatency(class *classLatency, server *serverLatency, latency float64) {
	ratio := min(latency/max(class.mean, 1), maxLatencyRatio)
	server.slowness += (ratio - server.slowness) * slownessGain
	class.successes++
	class.mean += (latency - class.mean) * runningGain(class.successes, minMeanGain)
	gain := runningGain(class.successes, minUnloadedGain)
	class.unloaded = min(class.mean, class.unloaded+(class.mean-class.unloaded)*gain)
}

// slowThreshold returns the latency, in µs, above which a call counts as slow. It is well below the
// objective and, at the front tier while it is not overloaded, not far above the unloaded mean, since servers
// with long queues stay slow for a long time.
func slowThreshold(settings *Settings, class int, latency classLatency, quotaMultiple float64) float64 {
	threshold := slowFraction * float64(settings.Classes[class].LatencyObjective)
	if settings.Tier > 0 || quotaMultiple <= overloadedQuotaThreshold {
		return threshold
	}
	return min(threshold, saturatedLatencyRatio*latency.unloaded)
}

// isLate reports whether a latency, in µs, counts against the limits of the tier and the class.
func isLate(rules Class, latency float64) bool {
	return latency > lateFraction*float64(rules.LatencyObjective)
}
