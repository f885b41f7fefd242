package referee

import "time"

// End is how a try ended for the client.
type Outcome int

const (
	Pending    Outcome = iota
	Served             // 200 and what a server made
	Rejected           // 429 or 503
	Failed             // any other answer, or one that broke off in the middle
	Unreached          // no connection, or one that ended before the request was taken
	Unanswered         // nothing in its time
)

func (e Outcome) String() string {
	return [...]string{"pending", "served", "refused", "failed", "unreached", "unanswered"}[e]
}

// ClientAttempt is one try of a client.
type ClientAttempt struct {
	ID            string
	Arrival       int // of the plan
	Number        int // 0 for the first
	Class         int
	Zone          string
	Proxy         string
	StartedAt     time.Time // when it was begun
	Deadline      time.Time
	Method        string
	Path          string
	Key           string
	RequestDigest uint64 // digest

	CanceledAt       time.Time // when its client closed its connection without waiting any longer; zero: it did not
	WrittenAt        time.Time // last byte written to the proxy's socket; zero: it was not
	EndedAt          time.Time
	Outcome          Outcome
	Status           int
	closedUnanswered bool // its connection ended without an answer, after it was taken
	rejected         bool // and it was the first on that connection

	attempts []*Attempt
}

// Attempt is a request that reached a server whole.
type Attempt struct {
	clientAttempt  *ClientAttempt
	Server         string
	Zone           string
	Cell           int
	FirstByteAt    time.Time // when its first byte left the proxy
	LastByteAt     time.Time // when its last arrived
	state          attemptState
	outcomeWritten bool   // its outcome is written to the proxy
	ended          bool   // no longer out: told, or its connection has ended
	ResponseDigest uint64 // digest of the answer's body
	Work           time.Duration
	WorkDone       time.Duration // of work that the server did for it
}

type attemptState int

const (
	stateInFlight attemptState = iota
	stateServed
	stateError
	stateRejected // never ran
	stateCanceled
)

// mayHaveRun tells whether the proxy cannot know that the attempt never ran.
func (a *Attempt) mayHaveExecuted() bool { return a.state != stateRejected || !a.outcomeWritten }

// Of is the try that an attempt belongs to.
func (a *Attempt) ClientAttempt() *ClientAttempt { return a.clientAttempt }

// Served tells whether the server answered it 200.
func (a *Attempt) Served() bool { return a.state == stateServed }
