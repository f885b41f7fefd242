// Package balancer decides, for one proxy of one tier, which server gets each request and which requests are
// rejected. It never opens a socket, reads a clock, starts a goroutine, takes a lock or keeps global state:
// events come in as method calls, and actions go out through Host. All random draws come from one seed, so
// the same events give the same actions.
//
// One Balancer serves one proxy. It is not safe for concurrent use: its owner calls one method at a time, in
// the order in which the events happened, and passes the time of its clock as nowMicros. All times and
// durations are integers in microseconds (µs). The clock may start at any value and never goes back; "the
// event clock" below means this clock.
//
// The public interface is in this file and settings.go. The decision logic is in the files that
// deploy/balancer.toml lists under policy; docs/policy.md describes all rules with inputs, units and reasons.
package balancer

// ServerState is the state of a server in the endpoint list.
type ServerState int

// The states of a server.
const (
	ServerRemoved  ServerState = iota // no longer in the list
	ServerReady                       // may get requests
	ServerDraining                    // finishes its open requests and gets no new ones
)

// Server is an entry of the endpoint list.
type Server struct {
	ID    string // unique in the list
	Zone  int
	Cell  int
	State ServerState

	// CapacityHint is the server's capacity relative to other servers; 0 if unknown. It is used only with
	// Settings.CapacityHints.
	CapacityHint float64

	// StartTime is when the server's process started, in µs on the clock of the list; 0 if long ago. A
	// different value means that a different process runs under this ID.
	StartTime int64

	// LocalStartTime is StartTime in µs on the event clock, for lists whose clock may differ from it; 0: the
	// same as StartTime.
	LocalStartTime int64
}

// UpdateKind is the kind of an endpoint update.
type UpdateKind int

// The kinds of update.
const (
	UpdateDelta    UpdateKind = iota // only the entries that changed; no entries: the list is unchanged
	UpdateSnapshot                   // the complete list
	UpdateCached                     // the complete list as last known, possibly out of date
	UpdateFailed                     // a poll or the watch failed; the previous list stays in use
)

// Request is a request that a client has sent to this proxy.
type Request struct {
	ID       string // unique among the open requests
	Class    int    // class number: index in Settings.Classes
	Tenant   int    // index in Settings.Tenants; out of range: no tenant
	Key      string // with Class.Ordered: requests with the same key run in order; empty: not ordered
	Deadline int64  // when the client stops waiting, in µs on the event clock

	// Settings are those that the request was parsed with, as Balancer.Settings returned them; nil means the
	// current ones.
	Settings *Settings

	// BodyPending says that the request's body is still being received. The request may be sent already, but
	// its deadline runs only from HandleBodyReceived on, with Timeout as its duration.
	BodyPending bool
	Timeout     int64 // how long the client waits after the last byte of the body, in µs; 0: unknown
}

// ReportKind is what a Report is about.
type ReportKind int

// The kinds of report. Replicas exchange these numbers, so they must not change.
const (
	ReportServerUnhealthy ReportKind = iota // the observer's calls to a server fail, see Fault
	ReportServerHealthy                     // its calls are answered; others report the server as unhealthy
	ReportZoneUnhealthy                     // most of the observer's latest calls to SubjectZone fail
	ReportZoneHealthy                       // most are answered, or there are none; with FaultSlow: saturated
	ReportServerFlap                        // the observer saw a server fail or recover
	ReportServerLoad                        // load and latency of a server
)

// Fault is the way in which calls fail.
type Fault int

// The faults. Replicas exchange these numbers, so they must not change.
const (
	NoFault           Fault = iota
	FaultErrors             // answered with an error
	FaultUnresponsive       // no response, no connection, or a broken connection
	FaultSlow               // answered, but late
	FaultSaturated          // rejected without being executed
)

// Report is an observation of one replica, sent to the others with its age.
type Report struct {
	Kind         ReportKind
	Fault        Fault
	Observer     string // name of the observing replica; empty: this replica
	ObserverZone int    // zone of the observing replica
	Server       string // ReportServer…: ID of the server
	StartTime    int64  // ReportServer…: Server.StartTime in the observer's list, in µs
	SubjectZone  int    // ReportZone…: the observed zone

	// Calls is the number of calls that the report is based on. Older calls count less: they fade over about
	// a second, in load reports over several. For ReportServerFlap it is the number of flaps.
	Calls float64

	// BadFraction is the fraction of bad calls, 0 to 1; for ReportServerFlap it is 1 if the server failed and
	// 0 if it recovered.
	BadFraction float64

	// Value depends on the kind: the weight fraction of a zone, 0 to 1; the mean latency of a server, in µs;
	// the penalty of a flapping server.
	Value float64

	// LastObserved is when the observation last held, in µs on the event clock of the replica that reads the
	// report.
	LastObserved int64
}

// PeerReports is what the other replicas of the tier report. Without reports, or while Isolated, a Balancer
// decides on its own observations.
type PeerReports struct {
	LiveReplicas       int      // replicas of the tier that are known to be alive, this one included
	LiveReplicasInZone int      // those of them in this replica's zone, this one included
	Isolated           bool     // no other replica was heard from for so long that all their reports expired
	Reports            []Report // all unexpired reports of other replicas; they replace the previous ones
}

// ZonePhase is how the replicas of this proxy's zone use a zone.
type ZonePhase int

// The phases of a zone.
const (
	ZoneHealthy    ZonePhase = iota
	ZoneSaturated            // the local zone is slow: other zones get a part of its calls
	ZoneEvacuating           // most calls fail; the zone gets less traffic until this is confirmed
	ZoneEvacuated            // gets only trial calls
	ZoneRecovering           // gets its weight back in steps
	ZoneDrained              // drained by an operator: gets no calls
)

// ZoneState is how a zone is used, and why.
type ZoneState struct {
	Zone              int
	Phase             ZonePhase
	WeightFraction    float64 // fraction of its full weight that the zone gets, 0 to 1
	Transitions       int     // number of changes of Phase
	ChangedAt         int64   // when Phase or WeightFraction last changed, in µs
	Fault             Fault   // of the zone's bad calls at ChangedAt
	Calls             float64 // to the zone by all replicas of this proxy's zone, by their latest reports
	BadFraction       float64 // fraction of Calls that were bad, 0 to 1
	ReportingReplicas int     // replicas of this proxy's zone with enough calls to count
	UnhealthyVotes    int     // how many of ReportingReplicas report the zone as unhealthy
}

// Status is how an attempt ended.
type Status int

// The ways in which an attempt ends. StatusConnectFailed and StatusNotSent prove that the server did not
// execute it, and so does StatusRejected unless Settings.RejectedMayHaveExecuted is set.
const (
	StatusOK            Status = iota
	StatusError                // answered with an error
	StatusRejected             // the server had no capacity
	StatusTimedOut             // no response within the timeout
	StatusConnectFailed        // no connection could be opened
	StatusReset                // the connection broke
	StatusCancelled            // the client disconnected
	StatusNotSent              // the proxy did not send it
)

// Outcome is the end of an attempt; each Host.Send has exactly one.
type Outcome struct {
	RequestID     string
	Attempt       int // 0 for the first Send of the request
	Status        Status
	Latency       int64 // µs since the Send
	RequestDone   bool  // the client has its response or disconnected; otherwise it still waits
	NotReplayable bool  // the request's body is no longer available, so it can't be sent again
}

// RejectReason is why a request was rejected.
type RejectReason int

// The reasons for a rejection.
const (
	RejectOverLimit        RejectReason = iota // its tier's or class's limit or its tenant's quota is reached
	RejectNoTimeLeft                           // it could not be answered by its deadline
	RejectNoServer                             // no server is available for it
	RejectQueueTimeout                         // earlier requests with the same key take too long
	RejectRetriesExhausted                     // its attempts failed and it may not be retried
	rejectReasonCount
)

// RetryBudgetUsage is what was used of the retry budget: the times at which requests were received and
// retries were sent, in µs on the event clock, oldest first.
type RetryBudgetUsage struct {
	Requests, Retries []int64
}

// Host carries out the decisions of a Balancer. Its methods are called from inside the Balancer's methods;
// they must return at once and must not call the Balancer.
type Host interface {
	// Send sends an attempt of a request to a server. The last byte of the request must be sent within
	// sendWindow or not at all; 0 means no limit. The attempt is cancelled after timeout; 0 means the
	// client's deadline. Both are in µs from now.
	Send(id, server string, sendWindow, timeout int64)
	// Reject ends a request without serving it. The client may safely repeat it after retryAfter, in µs.
	Reject(id string, retryAfter int64)
	// Fail ends a request with an error; it may have been executed, so repeating it may not be safe.
	Fail(id string)
	// SetTimer asks for a call of HandleTimer with this token after delay, in µs.
	SetTimer(delay int64, token string)
	// Watch opens a watch of the endpoint list.
	Watch()
	// Log shows an event to the on-call staff.
	Log(event Event)
}
