package state

import (
	"encoding/json"
	"fmt"
	"math"
)

// CommandKind is what a command does.
type CommandKind string

// The kinds of commands.
const (
	CommandBegin      CommandKind = "begin" // the first epoch; nothing if there is one
	CommandRegister   CommandKind = "register"
	CommandDrain      CommandKind = "drain"
	CommandDeregister CommandKind = "deregister"
	CommandExpire     CommandKind = "expire"    // of leases that are over
	CommandConfigure  CommandKind = "configure" // a service's configuration
)

// Command is one entry of the log. Members of another build may know further kinds: a kind that this build does not know
// changes nothing.
type Command struct {
	Kind         CommandKind   `json:"kind"`
	Epoch        string        `json:"line,omitempty"`   // CommandBegin
	FirstVersion int64         `json:"base,omitempty"`   // CommandBegin
	Record       *Record       `json:"record,omitempty"` // CommandRegister
	Refs         []InstanceRef `json:"refs,omitempty"`   // CommandDrain, CommandDeregister, CommandExpire

	// CommandConfigure.
	Service  string          `json:"service,omitempty"`
	After    int64           `json:"after,omitempty"` // the newest version that the writer has seen
	Document json.RawMessage `json:"document,omitempty"`
}

// ResultCode is how a command ended.
type ResultCode string

// The codes of a Result.
const (
	ResultDone     ResultCode = "done"
	ResultUnknown  ResultCode = "unknown"  // the endpoint is not in the list
	ResultEnded    ResultCode = "ended"    // the instance was deregistered and cannot return
	ResultReplaced ResultCode = "replaced" // an instance that started later has the name
	ResultFull     ResultCode = "full"     // the list has MaxEndpoints
	ResultIgnored  ResultCode = "ignored"  // unknown kind, or invalid content
	ResultConflict ResultCode = "conflict" // a configuration's newest version is not Command.After
	ResultNoRoom   ResultCode = "no_room"  // over MaxDocumentBytes or MaxServices
)

// Result is what a command did.
type Result struct {
	Code    ResultCode
	Version int64 // the version in which the effect is visible
	Changed bool  // whether the state was changed
}

// Decode reads a command of the log.
func Decode(data []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("a command of the log: %w", err)
	}
	return c, nil
}

// Encode returns the command as the log has it. It panics on a record whose weight is no number, which Record.Check
// excludes.
func (c Command) Encode() []byte {
	if r := c.Record; r != nil && (math.IsNaN(r.Weight) || math.IsInf(r.Weight, 0)) {
		panic("a record that was not checked")
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and checked numbers
	}
	return data
}
