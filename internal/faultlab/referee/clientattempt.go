package referee

import "time"

// End is how a try ended for the client.
type End int

const (
	Pending    End = iota
	Served         // 200 and what a server made
	Rejected       // 429 or 503
	Failed         // any other answer, or one that broke off in the middle
	Unreached      // no connection, or one that ended before the request was taken
	Unanswered     // nothing in its time
)

func (e End) String() string {
	return [...]string{"pending", "served", "refused", "failed", "unreached", "unanswered"}[e]
}

// ClientAttempt is one try of a client.
type ClientAttempt struct {
	ID       string
	Arrival  int // of the plan
	N        int // 0 for the first
	Class    int
	Zone     string
	Proxy    string
	Sent     time.Time // when it was begun
	Deadline time.Time
	Method   string
	Path     string
	Key      string
	Body     uint64 // digest

	Left     time.Time // when its client closed its connection without waiting any longer; zero: it did not
	Taken    time.Time // last byte written to the proxy's socket; zero: it was not
	Ended    time.Time
	End      End
	Status   int
	broken   bool // its connection ended without an answer, after it was taken
	rejected bool // and it was the first on that connection

	attempts []*Attempt
}

// Attempt is a request that reached a server whole.
type Attempt struct {
	clientAttempt *ClientAttempt
	Server        string
	Zone          string
	Cell          int
	First         time.Time // when its first byte left the proxy
	Last          time.Time // when its last arrived
	state         attemptState
	notified      bool   // its outcome is written to the proxy
	ended         bool   // no longer out: told, or its connection has ended
	Made          uint64 // digest of the answer's body
	Work          time.Duration
	Spent         time.Duration // of work that the server did for it
}

type attemptState int

const (
	stateOut attemptState = iota
	stateServed
	stateError
	stateRejected // never ran
	stateDropped
)

// mayHaveRun tells whether the proxy cannot know that the attempt never ran.
func (a *Attempt) mayHaveRun() bool { return a.state != stateRejected || !a.notified }

// Of is the try that an attempt belongs to.
func (a *Attempt) Of() *ClientAttempt { return a.clientAttempt }

// Served tells whether the server answered it 200.
func (a *Attempt) Served() bool { return a.state == stateServed }
