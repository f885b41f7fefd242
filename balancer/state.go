package balancer

import "math/rand/v2"

// The records that several rules share. Each rule keeps its part in a struct of its own, which it alone writes.

// shared is what every rule may read. The engine alone writes it.
type shared struct {
	settings *Settings    // in force; Settings.Classes is indexed by class number
	random   *rand.Rand   // the only source of randomness
	classes  []classState // by class number
	arrivals arrivals
}

// randomSpan draws a span from 0 to below limit.
func (s *shared) randomSpan(limit span) span { return span(s.random.Int64N(int64(limit))) }

// arrivals counts the requests that this replica has received.
type arrivals struct {
	firstAt moment        // when the first one came; 0: none yet
	recent  decayingCount // fades over arrivalDecay
}

// record counts one request.
func (a *arrivals) record(now moment) {
	if a.firstAt == 0 {
		a.firstAt = now
	}
	a.recent.add(now)
}

// classState is what the rules know of one class of requests.
type classState struct {
	admission classAdmission
	latency   classLatency
	errorRate float64 // outlier detection: running fraction of failed attempts over all servers, 0 to 1
	retired   bool    // no longer in the settings; its number is free once no open request has it
}

// server is one listed server: its entry in the list and what each rule keeps of it.
type server struct {
	Server              // as last listed
	hash         uint64 // its place on the ring
	inFlight     int    // admission: attempts of this replica that count as in flight
	trialPending bool   // set by membership when an operator resumes it, cleared by selection when it is called
	latency      serverLatency
	outlier      outlierState
	damping      dampingState
	listing      listingState
	load         loadState
	tuning       tuningState
}

// resetLearned drops what was learned of a server, as for another process. Attempts in flight still count.
func (s *server) resetLearned(classes int) {
	s.latency = newServerLatency()
	s.outlier = newOutlierState(classes)
	s.damping = dampingState{}
	s.listing = listingState{}
	s.load = loadState{}
	s.tuning = newTuningState()
}

// request is an open request.
type request struct {
	Request              // Request.Settings, never nil, hold for it to its end
	receivedAt moment    // once a body was pending, when it had been received
	queue      *keyQueue // ordering: nil if it has no place in a queue
	attempts   []*attempt
	pending    int  // attempts without an outcome
	done       bool // the client has its answer, or is gone
}

// classRules is the request's class by the settings that the request began with.
func (r *request) classRules() Class { return r.Settings.Classes[r.Class] }

// triedOn reports whether an attempt of the request went to the server.
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
	sentAt          moment // once a body was pending, when it had been received
	zone, cell      int    // the server's at the time of sending
	pending         bool   // without an outcome
	responseStarted bool   // its response is being streamed: the rest takes the client's time
	mayHaveExecuted bool   // retry: pending, or ended without proof that the server never ran it
	admission       attemptAdmission
	outlier         attemptOutlier
}

// indicator is one observation of a running fraction: 1 if it holds, else 0.
func indicator(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
