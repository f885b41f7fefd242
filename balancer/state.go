package balancer

import "math/rand/v2"

// The records that several rules use. Each rule keeps its part in a struct of its own, which only that rule
// writes.

// shared holds what every rule may read. Only the methods of Balancer write its fields.
type shared struct {
	settings *Settings    // the current settings; Settings.Classes is indexed by class number
	random   *rand.Rand   // the only source of randomness
	classes  []classState // by class number
	arrivals arrivals
}

// randomSpan returns a random span, 0 or more and below limit.
func (s *shared) randomSpan(limit span) span { return span(s.random.Int64N(int64(limit))) }

// arrivals counts the requests that this replica has received.
type arrivals struct {
	firstAt moment        // when the first request was received; 0: none yet
	recent  decayingCount // decays with arrivalDecay
}

// record counts one request.
func (a *arrivals) record(now moment) {
	if a.firstAt == 0 {
		a.firstAt = now
	}
	a.recent.add(now)
}

// classState holds what the rules know of one class of requests.
type classState struct {
	admission classAdmission
	latency   classLatency
	errorRate float64 // outlier detection: running fraction of failed attempts over all servers, 0 to 1
	retired   bool    // no longer in the settings; its number is free once no open request uses it
}

// server is one listed server: its entry in the list and the state that each rule keeps of it.
type server struct {
	Server              // as last listed
	hash         uint64 // its position on the ring
	inFlight     int    // admission: attempts of this replica that count as in flight
	trialPending bool   // set by membership when an operator resumes the server, cleared by selection
	latency      serverLatency
	outlier      outlierState
	damping      dampingState
	listEvidence listEvidenceState
	load         loadState
	tuning       tuningState
}

// resetLearned discards what was learned of a server, for example when its process is a new one. Attempts in
// flight still count.
func (s *server) resetLearned(classes int) {
	s.latency = newServerLatency()
	s.outlier = newOutlierState(classes)
	s.damping = dampingState{}
	s.listEvidence = listEvidenceState{}
	s.load = loadState{}
	s.tuning = newTuningState()
}

// request is an open request.
type request struct {
	Request              // Request.Settings is never nil and applies until the request ends
	receivedAt moment    // for a request that was sent with BodyPending, when its body was complete
	queue      *keyQueue // ordering: nil if the request is in no queue
	attempts   []*attempt
	pending    int  // attempts without an outcome
	done       bool // the client has its answer or disconnected
}

// classRules returns the request's class from the settings with which the request began.
func (r *request) classRules() Class { return r.Settings.Classes[r.Class] }

// triedOn reports whether an attempt of the request was sent to the server.
func (r *request) triedOn(server *server) bool {
	for _, attempt := range r.attempts {
		if attempt.server == server {
			return true
		}
	}
	return false
}

// attempt is one Send of a request.
type attempt struct {
	server          *server
	sentAt          moment // for a request that was sent with BodyPending, when its body was complete
	zone, cell      int    // those of the server when the attempt was sent
	pending         bool   // has no outcome yet
	responseStarted bool   // its response is being streamed; how long that takes depends on the client
	mayHaveExecuted bool   // retry: pending, or ended without proof that the server did not execute it
	admission       attemptAdmission
	outlier         attemptOutlier
}

// indicator returns 1 if holds is true, else 0.
func indicator(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
