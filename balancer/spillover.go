package balancer

// Spillover: how much weight the servers of other zones have while the local zone is slow or fails.
//
// Input: calls to the local zone, as bad or not. Output: a weight from 0 to 1 for each server of another
// zone, against 1 for a local one. How locality uses it: remoteWeight.

const (
	minSpillover   = 0.02 // weight
	startSpillover = 0.3  // weight at a new replica of the front tier

	spilloverIncrease = 0.15 // added to the weight after a bad round
	spilloverDecay    = 0.9  // factor of the weight after a good one
)

// spillover holds the weight that this replica has learned from its own calls.
type spillover struct {
	weight   float64 // minSpillover to 1
	feedback feedbackRound
}

func newSpillover(settings *Settings) *spillover {
	if settings.Tier > 0 {
		return &spillover{weight: minSpillover}
	}
	return &spillover{weight: startSpillover}
}

// configure takes the duration of a feedback round.
func (s *spillover) configure(roundDuration span) {
	s.feedback.maxBadFraction, s.feedback.maxDuration = maxSlowFraction, roundDuration
}

// learn takes a call to the local zone, slow or failed or neither, and adjusts the weight when its round
// ends.
func (s *spillover) learn(now, sentAt moment, bad bool) {
	if factor := s.feedback.record(now, sentAt, bad); factor == 1 {
		s.weight = max(minSpillover, s.weight*spilloverDecay)
	} else if factor > 0 {
		s.weight = min(1, s.weight+spilloverIncrease)
	}
}

// reset drops what was learned of a local zone that has recovered.
func (s *spillover) reset() { s.weight = min(s.weight, startSpillover) }
