package balancer

import "merlinpick/internal/tailweights"

// The data that decisions read. What here decides, or why it does not: docs/policy.md.

// classState is a class's rule and what is known of its times.
type classState struct {
	rule      concurrencyLimit
	yield     feedbackRound // evidence of classes that are worth clearly more
	mean      float64       // of successes
	base      float64       // the mean when little waits
	seen      float64       // successes
	errorRate float64       // running part of failed calls over all servers
	waiting   []*attempt    // at the front: in order of sending, those not yet slow
	retired   bool          // the settings have it no more; it is free once no request of it is open
}

type server struct {
	Server
	slowness     float64 // running time of its calls against the mean of all
	whole        health
	classes      []health // for the calls of each class
	inFlight     int
	hash         uint64
	warmFraction float64 // least part of its capacity, as of the last draw among cold ones
	probePending bool    // back from a ban and not tried since
	seen         callStats
	okAt         int64         // when this copy was last answered by it
	told         float64       // part of its weight that the verdicts of others leave
	verdict      serverReports // what copies say of it now
	refused      bool          // it refused a connection, and has answered nothing since
	damped       bool          // removals and returns are not acted on
	since        int64         // since then
	load         loadStats
	sum          fleetLoad // as of the last round of tuning
	fit          tailweights.CurveFit
	tune         float64 // logarithm of the factor that its weight is tuned by
	tuneWas      float64 // before the last step
	tuned        float64 // the factor

	provenUntil int64 // until then it is shown to be listed, see staleness.go
	disprovenAt int64 // a call sent then was not taken
}

// forget drops what was learned of a server.
func (s *server) resetLearned(classes int) {
	s.slowness, s.whole, s.classes = 1, health{score: 1}, make([]health, classes)
	s.seen, s.okAt, s.told, s.verdict = callStats{}, 0, 1, serverReports{}
	s.damped, s.refused, s.provenUntil, s.disprovenAt = false, false, 0, 0
	s.load, s.sum, s.fit, s.tune, s.tuneWas, s.tuned = loadStats{}, fleetLoad{}, tailweights.CurveFit{}, 0, 0, 1
	for i := range s.classes {
		s.classes[i].score = 1
	}
}

// partOf is one observation of a running part: 1 if it is so, else 0.
func indicator(so bool) float64 {
	if so {
		return 1
	}
	return 0
}

type attempt struct {
	server          *server
	sentAt          int64
	zone            int // as listed at the time of sending
	cell            int
	slow            bool // counted as slow before its end
	quiet           bool // counted as bad before its end
	responseStarted bool // its answer has begun
	counted         bool // in flight, see count
	mayHaveExecuted bool // outstanding, or ended without proof that it never ran
	pending         bool
}

type request struct {
	Request
	Settings   *Settings // those that it began with hold for it to its end
	receivedAt int64
	queue      *keyQueue // nil if it need not wait its turn
	attempts   []*attempt
	done       bool
	pending    int // attempts without outcome
}

// tried tells whether an attempt of the request went to the server.
func (q *request) triedOn(s *server) bool {
	for _, a := range q.attempts {
		if a.server == s {
			return true
		}
	}
	return false
}
