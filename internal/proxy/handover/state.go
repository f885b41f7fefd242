// Package handover passes a proxy's listening socket, and the state that must outlive a process, from the process that
// serves to the successor process that is started beside it. It does not decide when either serves or ends.
//
// The two share one listening socket, so that no connection waits in an accept queue that is closed. The successor gets
// the socket over a Unix socket in the proxy's state directory. The connection between them tells each that the other lives:
// it closes with the process that holds it, however that ends.
package handover

import (
	"time"

	"merlinpick/balancer"
)

const (
	socketName = "handover.sock"
	// ioTimeout is for each side's part of the exchange: a process may have little of a core.
	ioTimeout     = 2 * time.Second
	maxStateBytes = 1 << 20
)

// State is what a successor inherits, one line of JSON on the wire. Its keys are older names, which other versions read.
type State struct {
	RetryBudget  RetryBudgetUsage `json:"spent"`
	KnownServers []string         `json:"seen"` // all that endpoint lists have named
	// Now is the predecessor's clock as it wrote this, in microseconds; 0 from versions that do not send it.
	Now int64 `json:"now"`
}

// RetryBudgetUsage is balancer.RetryBudgetUsage on the wire: moments on the predecessor's clock, in microseconds.
type RetryBudgetUsage struct {
	Requests []int64 `json:"Taken"`
	Retries  []int64 `json:"Further"`
}

// RetryBudgetAt is the inherited usage on the clock of a successor that shows now, in microseconds. The clocks differ:
// each begins at the wall clock of its process's start, which may have been set in between.
func (s State) RetryBudgetAt(now int64) balancer.RetryBudgetUsage {
	if s.Now == 0 {
		return balancer.RetryBudgetUsage{Requests: s.RetryBudget.Requests, Retries: s.RetryBudget.Retries}
	}
	shift := func(moments []int64) []int64 {
		shifted := make([]int64, len(moments))
		for i, moment := range moments {
			shifted[i] = moment - s.Now + now
		}
		return shifted
	}
	return balancer.RetryBudgetUsage{Requests: shift(s.RetryBudget.Requests), Retries: shift(s.RetryBudget.Retries)}
}
