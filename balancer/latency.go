package balancer

// Latency: how long calls of each class take, how slow each server is against the others, and from when on a
// call counts as slow or late.
//
// Input: the latencies of answered attempts. Output: the mean that other rules measure time in, a server's
// slowness for its weight, and the thresholds for backpressure.

const (
	initialMeanFraction = 0.25 // of the latency objective: the mean before any answer
	initialGuessCalls   = 4.0  // answers that this first guess counts as

	minMeanGain     = 0.05  // of a running mean: what one answer counts at least
	minUnloadedGain = 0.001 // the same of the unloaded mean when it rises

	slownessGain    = 0.1 // how far one answer moves a server's slowness
	maxLatencyRatio = 5.0 // to the mean: a slower answer counts as this

	slowFraction          = 0.6 // of the latency objective: slower calls are slow, well before they are late
	saturatedLatencyRatio = 1.6 // to the unloaded mean: slower calls are slow too
)

// classLatency is what is known of the latencies of a class.
type classLatency struct {
	mean      float64 // µs
	unloaded  float64 // µs: the mean while little waits
	successes float64 // answers
}

// newClassLatency is the first guess at a class's latencies.
func newClassLatency(rules Class) classLatency {
	guess := initialMeanFraction * float64(rules.LatencyObjective)
	return classLatency{mean: guess, unloaded: guess}
}

// serverLatency is what is known of the latencies of a server.
type serverLatency struct {
	slowness float64 // running ratio of its latencies to the class's mean
}

func newServerLatency() serverLatency { return serverLatency{slowness: 1} }

// runningGain is the gain of a running mean: that of a plain mean over the count so far, but no less than
// least.
func runningGain(count, least float64) float64 { return max(least, 1/(initialGuessCalls+count)) }

// recordLatency takes the latency, in µs, of an answer. The slowness moves towards the ratio to the mean:
// fixed steps would add up until one server had all calls where load does not slow it down.
func recordLatency(class *classLatency, server *serverLatency, latency float64) {
	ratio := min(latency/max(class.mean, 1), maxLatencyRatio)
	server.slowness += (ratio - server.slowness) * slownessGain
	class.successes++
	class.mean += (latency - class.mean) * runningGain(class.successes, minMeanGain)
	gain := runningGain(class.successes, minUnloadedGain)
	class.unloaded = min(class.mean, class.unloaded+(class.mean-class.unloaded)*gain)
}

// slowThreshold is the latency, in µs, from which a call counts as slow: well before the objective and,
// while the tier is not overloaded, clearly over the unloaded mean, since servers with long queues stay
// slow for long.
func slowThreshold(settings *Settings, class int, latency classLatency, quotaMultiple float64) float64 {
	threshold := slowFraction * float64(settings.Classes[class].LatencyObjective)
	if settings.Tier > 0 || quotaMultiple <= overloadedQuotaMultiple {
		return threshold
	}
	return min(threshold, saturatedLatencyRatio*latency.unloaded)
}

// isLate reports whether a latency, in µs, counts against the limits of tier and class.
func isLate(rules Class, latency float64) bool {
	return latency > lateFraction*float64(rules.LatencyObjective)
}
