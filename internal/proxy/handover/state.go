// Package handover passes a proxy's listening socket, and the state that must outlive a process, from the
// serving process to a successor process that is started while the first one runs. It does not decide when
// either process serves or exits.
//
// The two processes share one listening socket, so that no client connection is lost in the accept queue of a
// closed socket. The successor gets the socket through a Unix socket in the proxy's state directory. The
// connection between the processes shows each that the other is running: the kernel closes it when the
// process at the other end exits for any reason. While both run, each tells the other on it what binds both: see
// execution.go and endpointlist.go.
package handover

import (
	"time"

	"merlinpick/balancer"
)

const (
	socketName = "handover.sock"
	// ioTimeout limits each side's part of the exchange. It is generous since a process may have only a
	// fraction of a core.
	ioTimeout     = 2 * time.Second
	maxStateBytes = 1 << 20
)

// State is the state that a successor inherits, encoded as one line of JSON. Its JSON keys are older names,
// which other versions of the proxy read.
type State struct {
	RetryBudget  RetryBudgetUsage `json:"spent"`
	KnownServers []string         `json:"seen"` // every server that an endpoint list has named
	// Now is the time on the predecessor's clock when it wrote the state, in microseconds; 0 from versions
	// that do not send it.
	Now int64 `json:"now"`
	// SharesExecutions states that the predecessor reads updates on executed requests; false from versions
	// that do not.
	SharesExecutions bool `json:"shares_executions,omitempty"`
	// SharesList states that the predecessor tells its endpoint list, and reads the successor's; false from
	// versions that do not.
	SharesList bool `json:"shares_list,omitempty"`
}

// RetryBudgetUsage is the encoding of balancer.RetryBudgetUsage: times on the predecessor's clock, in
// microseconds.
type RetryBudgetUsage struct {
	Requests []int64 `json:"Taken"`
	Retries  []int64 `json:"Further"`
}

// RetryBudgetAt converts the inherited usage to the successor's clock, whose current time is now, in
// microseconds. The clocks differ: each starts at the wall clock time when its process started, and the wall
// clock may have been set in between.
func (s State) RetryBudgetAt(now int64) balancer.RetryBudgetUsage {
	if s.Now == 0 {
		return balancer.RetryBudgetUsage{Requests: s.RetryBudget.Requests, Retries: s.RetryBudget.Retries}
	}
	shift := func(times []int64) []int64 {
		shifted := make([]int64, len(times))
		for i, t := range times {
			shifted[i] = t - s.Now + now
		}
		return shifted
	}
	return balancer.RetryBudgetUsage{Requests: shift(s.RetryBudget.Requests), Retries: shift(s.RetryBudget.Retries)}
}
