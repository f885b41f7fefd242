// Package linear keeps a history of what was asked of a list service and what it answered, and checks it: there has to
// be one order of all calls, each at some moment between its beginning and its end, in which a plain list answers the
// same. porcupine searches for it, server by server, which is as good as all at once.
package linear

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Kind is what a call says.
type Operation string

// The kinds of calls.
const (
	Register Operation = "register"
	Drain    Operation = "drain"
	Remove   Operation = "gone" // deregistered, or its lease may have ended
	Read     Operation = "read" // one that promises to be current
)

// Absent is the value of a server that the list does not have.
const Absent = ""

// Value is a server's value in the list.
func Value(status, instance string) string { return status + " " + instance }

// input is a call.
type input struct {
	kind           Operation
	name, instance string
}

// History is all calls so far.
type History struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

// New is a history that begins now.
func New() *History { return &History{start: time.Now()} }

// Begin notes that a writer's call begins. The call that it gives notes its end: sure, if the service has said yes. One
// that is not sure may happen at any later moment, or never. A call that the service refused is taken back.
func (h *History) Begin(kind Operation, name, instance string, client int) (end func(sure, refused bool)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := len(h.operations)
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input{kind, name, instance}, Output: Absent,
		Call: int64(time.Since(h.start)), Return: math.MaxInt64})
	return func(sure, refused bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if sure {
			h.operations[at].Return = int64(time.Since(h.start))
		}
		if refused {
			h.operations[at].Input = nil
		}
	}
}

// Seen notes a read of the whole list that began at a time and has just ended: each name's value, Absent included.
func (h *History) RecordRead(client int, begun time.Time, values map[string]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := int64(time.Since(h.start))
	for name, v := range values {
		h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input{Read, name, ""}, Output: v,
			Call: int64(begun.Sub(h.start)), Return: now})
	}
}

// step is what a plain list does.
func applyOperation(state, in, out any) (bool, any) {
	now, call := state.(string), in.(input)
	switch call.kind {
	case Register:
		if now == Value("DRAINING", call.instance) {
			return true, now
		}
		return true, Value("SERVING", call.instance)
	case Drain:
		if now == Value("SERVING", call.instance) {
			return true, Value("DRAINING", call.instance)
		}
		return true, now
	case Remove:
		if now == Value("SERVING", call.instance) || now == Value("DRAINING", call.instance) {
			return true, Absent
		}
		return true, now
	}
	return out.(string) == now, now
}

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

// Verdict is what a check came to.
type CheckResult struct {
	Calls      int
	Violations []string // servers whose calls no order explains
	Undecided  []string // and those for which the search took too long
}

// Check checks all servers' calls, each for at most so long.
func (h *History) Check(patience time.Duration) CheckResult {
	h.mu.Lock()
	all := slices.DeleteFunc(slices.Clone(h.operations), func(o porcupine.Operation) bool { return o.Input == nil })
	h.mu.Unlock()
	v := CheckResult{Calls: len(all)}
	for _, ops := range model.Partition(all) {
		name := ops[0].Input.(input).name
		switch porcupine.CheckOperationsTimeout(model, ops, patience) {
		case porcupine.Illegal:
			v.Violations = append(v.Violations, name)
		case porcupine.Unknown:
			v.Undecided = append(v.Undecided, name)
		}
	}
	return v
}
