package referee

import "time"

// Outcome is how a client's attempt ended.
type Outcome int

const (
	Pending    Outcome = iota
	Served             // 200 with a server's body
	Rejected           // 429 or 503
	Failed             // any other response, or an incomplete one
	Unreached          // no connection, or closed before the request was written
	Unanswered         // no response before the deadline
)

// String returns the outcome's name in results.
func (o Outcome) String() string {
	return [...]string{"pending", "served", "refused", "failed", "unreached", "unanswered"}[o]
}

// ClientAttempt is one request that a client sends for an arrival. A retry by the client is another one.
type ClientAttempt struct {
	ID            string
	Arrival       int // index in the plan
	Number        int // 0 for the first
	Class         int
	Zone          string
	Proxy         string
	StartedAt     time.Time // before the connection is opened
	Deadline      time.Time
	Method        string
	Path          string
	Key           string
	RequestDigest uint64 // of the body

	CanceledAt       time.Time // when the client closed the connection early; zero: it did not
	WrittenAt        time.Time // last byte written to the proxy's socket; zero: never
	ReceivedAt       time.Time // last byte of the response read from the socket; zero: unknown
	EndedAt          time.Time
	Outcome          Outcome
	Status           int
	closedUnanswered bool // closed without a response after it was written
	rejected         bool // closedUnanswered, as the first request on its connection

	attempts []*Attempt
}

// dueAt returns when the proxy has to have answered: its time counts from the last byte of the request, which the lab may
// have written late.
func (a *ClientAttempt) dueAt() time.Time {
	if byWrite := a.WrittenAt.Add(a.Deadline.Sub(a.StartedAt)); byWrite.After(a.Deadline) {
		return byWrite
	}
	return a.Deadline
}

// lateness returns how long after dueAt a response came that the client saw at a time.
func (a *ClientAttempt) lateness(seenAt time.Time) time.Duration {
	if !a.ReceivedAt.IsZero() {
		return a.ReceivedAt.Sub(a.dueAt())
	}
	return seenAt.Sub(a.dueAt())
}

// Attempt is a request that reached a server completely.
type Attempt struct {
	clientAttempt  *ClientAttempt
	Server         string
	Zone           string
	Cell           int
	FirstByteAt    time.Time // sent by the proxy
	LastByteAt     time.Time // received by the server
	state          attemptState
	outcomeWritten bool   // the outcome is written to the proxy's socket
	ended          bool   // no longer in flight: outcome written, or connection closed
	ResponseDigest uint64 // of the response's body
	Work           time.Duration
	WorkDone       time.Duration // by the server
}

type attemptState int

const (
	stateInFlight attemptState = iota
	stateServed
	stateError
	stateRejected // never executed
	stateCanceled
)

// mayHaveExecuted reports whether the proxy cannot rule out that the attempt was executed: only a rejection
// that the server wrote to it does.
func (a *Attempt) mayHaveExecuted() bool { return a.state != stateRejected || !a.outcomeWritten }

// ClientAttempt returns the client's attempt that the proxy forwarded as this one.
func (a *Attempt) ClientAttempt() *ClientAttempt { return a.clientAttempt }

// Served reports whether the server answered 200.
func (a *Attempt) Served() bool { return a.state == stateServed }
