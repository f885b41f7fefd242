package main

import (
	"encoding/json"
	"fmt"

	"merlinpick/balancer"
)

// The messages of the wire protocol. The wire's names stand only in the struct tags and in error messages.
// Times and durations are in µs; a time counts from the start of the simulation. Fields that are pointers are
// required, unless their comment says otherwise.

// event is one line of input: a JSON object with a single key.
type event struct {
	BatchStart      *batchStart   `json:"mark"`
	BatchEnd        *struct{}     `json:"your_turn"`
	NewInstance     *newInstance  `json:"new_instance"`
	StopInstance    *instanceOnly `json:"power_off"`
	EndpointList    *endpointList `json:"ledger"`
	ListUpdate      *listUpdate   `json:"membership"`
	Request         *request      `json:"job_in"`
	ResponseStarted *outcome      `json:"established"`
	Outcome         *outcome      `json:"completed"`
	ClientGone      *requestOnly  `json:"withdrawn"`
	Timer           *timer        `json:"tick_due"`
	HealthCheckDone *instanceOnly `json:"probe_done"` // ignored: the balancer sends no health checks
	PeerMessage     *instanceOnly `json:"message"`    // ignored: the balancer sends no messages to peers
}

type batchStart struct {
	Time *int64 `json:"time_us"`
}

type instanceOnly struct {
	Instance *string `json:"who"`
}

type requestOnly struct {
	Instance  *string `json:"who"`
	RequestID *string `json:"ticket"`
}

type newInstance struct {
	Instance *string         `json:"who"`
	Seed     *uint64         `json:"salt"`
	Settings json.RawMessage `json:"options"` // see package settings
}

type endpointList struct {
	Number    *int        `json:"roster_id"`
	Endpoints *[]endpoint `json:"elements"`
}

type endpoint struct {
	ID           *string  `json:"backend"`
	Zone         *int     `json:"dc"`
	Cell         int      `json:"pack"`
	State        *int     `json:"state"`       // index in serverStates
	CapacityHint *float64 `json:"power_hint"`  // nil: 1
	StartTime    int64    `json:"launched_us"` // 0: long ago
}

type listUpdate struct {
	Instance *string `json:"who"`
	Kind     *int    `json:"how"`       // index in updateKinds
	List     *int    `json:"roster_id"` // not needed for a failure
}

type request struct {
	Instance *string `json:"who"`
	ID       *string `json:"ticket"`
	Class    *int    `json:"band"`
	Tenant   int     `json:"owner"`
	Key      string  `json:"affinity"`
	Deadline *int64  `json:"give_up_at_us"`
}

type outcome struct {
	Instance    *string `json:"who"`
	RequestID   *string `json:"ticket"`
	Attempt     *int    `json:"go"`      // counts from 0
	Status      *int    `json:"verdict"` // see statusByCode
	Latency     int64   `json:"took_us"`
	RequestDone bool    `json:"terminal"`
}

type timer struct {
	Instance *string `json:"who"`
	Token    *string `json:"nonce"`
}

// The wire's numbers for the balancer's enumerations.
var (
	statusByCode = map[int]balancer.Status{
		200: balancer.StatusOK, 500: balancer.StatusError, 503: balancer.StatusRejected, 504: balancer.StatusTimedOut,
		502: balancer.StatusConnectFailed, 598: balancer.StatusReset, 499: balancer.StatusCancelled, 410: balancer.StatusNotSent,
	}
	updateKinds  = [...]balancer.UpdateKind{balancer.UpdateDelta, balancer.UpdateSnapshot, balancer.UpdateCached, balancer.UpdateFailed}
	serverStates = [...]balancer.ServerState{balancer.ServerRemoved, balancer.ServerReady, balancer.ServerDraining}
)

// servers converts the list to the balancer's servers.
func (l *endpointList) servers() ([]balancer.Server, error) {
	servers := make([]balancer.Server, 0, len(*l.Endpoints))
	for i, e := range *l.Endpoints {
		if e.ID == nil || e.State == nil || e.Zone == nil {
			return nil, fmt.Errorf("elements[%d]: backend, dc or state is missing", i)
		}
		if *e.State < 0 || *e.State >= len(serverStates) {
			return nil, fmt.Errorf("elements[%d].state: unknown state %d", i, *e.State)
		}
		server := balancer.Server{ID: *e.ID, Zone: *e.Zone, Cell: e.Cell, State: serverStates[*e.State], CapacityHint: 1,
			StartTime: e.StartTime}
		if e.CapacityHint != nil {
			server.CapacityHint = *e.CapacityHint
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// action is one line of output; exactly one field is set.
type action struct {
	Send     *sendAction    `json:"place,omitempty"`
	Reject   *rejectAction  `json:"overload_reply,omitempty"`
	Fail     *requestAction `json:"report_failure,omitempty"`
	SetTimer *timerAction   `json:"schedule,omitempty"`
	Watch    *watchAction   `json:"subscribe,omitempty"`
	Log      *logAction     `json:"emit,omitempty"`
	Done     *struct{}      `json:"done,omitempty"`
}

// The actions. Their fields are encoded in the order in which they are declared.
type (
	sendAction struct {
		Instance  string `json:"who"`
		RequestID string `json:"ticket"`
		Timeout   int64  `json:"timeout_us"`
		Server    string `json:"backend"`
	}
	rejectAction struct {
		Instance   string `json:"who"`
		RequestID  string `json:"ticket"`
		RetryAfter int64  `json:"stay_away_us"`
	}
	requestAction struct {
		Instance  string `json:"who"`
		RequestID string `json:"ticket"`
	}
	timerAction struct {
		Instance string `json:"who"`
		Delay    int64  `json:"sleep_for_us"`
		Token    string `json:"nonce"`
	}
	watchAction struct {
		Instance string `json:"who"`
		Enable   bool   `json:"enable"`
	}
	logAction struct {
		Instance string `json:"who"`
		Line     string `json:"line"`
	}
)
