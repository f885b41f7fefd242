// Package linear records the history of calls to a registry and checks that it is linearizable: that all
// calls can be ordered, each at a moment between its start and its end, so that a sequential list gives the
// same answers. Package porcupine searches for such an order, separately for each server, which is
// equivalent. The package never calls the registry itself.
package linear

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Operation is the kind of a call.
type Operation string

// Operations of a history.
const (
	Register Operation = "register"
	Drain    Operation = "drain"
	Remove   Operation = "gone" // the server deregisters, or its lease may expire
	Read     Operation = "read" // a linearizable read
)

// Absent is the value of a server that is not listed.
const Absent = ""

// Value returns the value of a listed server, by its status and instance.
func Value(status, instance string) string { return status + " " + instance }

// input is the input of a call.
type input struct {
	kind           Operation
	name, instance string
}

// History holds the calls so far. Its methods are safe for concurrent use.
type History struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

// New returns an empty history that starts now.
func New() *History { return &History{start: time.Now()} }

// Begin records the start of a write. The returned function records its end: acknowledged if the registry
// confirmed the write, rejected if the registry refused it, which removes the call from the history. Any
// other write may take effect at any later time, or never.
func (h *History) Begin(kind Operation, name, instance string, client int) (end func(acknowledged, rejected bool)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := len(h.operations)
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input{kind, name, instance}, Output: Absent,
		Call: int64(time.Since(h.start)), Return: math.MaxInt64})
	return func(acknowledged, rejected bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if acknowledged {
			h.operations[at].Return = int64(time.Since(h.start))
		}
		if rejected {
			h.operations[at].Input = nil
		}
	}
}

// RecordRead records a read of the complete list that began at a time and has just ended. values holds the
// value of each server; it is Absent for servers that were not listed.
func (h *History) RecordRead(client int, begun time.Time, values map[string]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := int64(time.Since(h.start))
	for name, v := range values {
		h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input{Read, name, ""}, Output: v,
			Call: int64(begun.Sub(h.start)), Return: now})
	}
}

// applyOperation is the sequential specification of a server's entry: it returns whether an output is correct
// in a state, and the next state.
func applyOperation(state, in, out any) (bool, any) {
	current, call := state.(string), in.(input)
	switch call.kind {
	case Register:
		if current == Value("DRAINING", call.instance) {
			return true, current
		}
		return true, Value("SERVING", call.instance)
	case Drain:
		if current == Value("SERVING", call.instance) {
			return true, Value("DRAINING", call.instance)
		}
		return true, current
	case Remove:
		if current == Value("SERVING", call.instance) || current == Value("DRAINING", call.instance) {
			return true, Absent
		}
		return true, current
	}
	return out.(string) == current, current
}

// model is the specification for porcupine: the state is the value of one server, and the history is
// partitioned by server.
var model = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		var names []string
		for _, o := range all {
			name := o.Input.(input).name
			if byName[name] == nil {
				names = append(names, name)
			}
			byName[name] = append(byName[name], o)
		}
		var out [][]porcupine.Operation
		for _, name := range names {
			out = append(out, byName[name])
		}
		return out
	},
	Init:  func() any { return Absent },
	Step:  applyOperation,
	Equal: func(a, b any) bool { return a == b },
}

// CheckResult is the result of a linearizability check.
type CheckResult struct {
	Calls      int      // checked calls
	Violations []string // names of the servers whose calls are not linearizable
	Undecided  []string // names of the servers whose check timed out
}

// Check checks the calls of all servers, with the timeout for each server.
func (h *History) Check(timeout time.Duration) CheckResult {
	h.mu.Lock()
	all := slices.DeleteFunc(slices.Clone(h.operations), func(o porcupine.Operation) bool { return o.Input == nil })
	h.mu.Unlock()
	v := CheckResult{Calls: len(all)}
	for _, ops := range model.Partition(all) {
		name := ops[0].Input.(input).name
		switch porcupine.CheckOperationsTimeout(model, ops, timeout) {
		case porcupine.Illegal:
			v.Violations = append(v.Violations, name)
		case porcupine.Unknown:
			v.Undecided = append(v.Undecided, name)
		}
	}
	return v
}
