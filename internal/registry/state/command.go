package state

import (
	"encoding/json"
	"fmt"
	"math"
)

// CommandKind identifies what a command does.
type CommandKind string

// The kinds of commands.
const (
	CommandBegin      CommandKind = "begin" // begins the first epoch; no effect if there is one
	CommandRegister   CommandKind = "register"
	CommandDrain      CommandKind = "drain"
	CommandDeregister CommandKind = "deregister"
	CommandExpire     CommandKind = "expire"    // removes endpoints whose leases expired
	CommandConfigure  CommandKind = "configure" // writes a service's configuration
)

// Command is one entry of the raft log. Members of another build may write other kinds: a kind that this
// build does not know changes nothing.
type Command struct {
	Kind         CommandKind   `json:"kind"`
	Epoch        string        `json:"line,omitempty"`   // CommandBegin
	FirstVersion int64         `json:"base,omitempty"`   // CommandBegin
	Record       *Record       `json:"record,omitempty"` // CommandRegister
	Refs         []InstanceRef `json:"refs,omitempty"`   // CommandDrain, CommandDeregister, CommandExpire

	// Fields of CommandConfigure.
	Service  string          `json:"service,omitempty"`
	After    int64           `json:"after,omitempty"` // the newest version that the writer has seen
	Document json.RawMessage `json:"document,omitempty"`
}

// ResultCode is the outcome of a command.
type ResultCode string

// The codes of a Result.
const (
	ResultDone     ResultCode = "done"
	ResultUnknown  ResultCode = "unknown"  // the endpoint is not in the list
	ResultEnded    ResultCode = "ended"    // the instance was deregistered and cannot return
	ResultReplaced ResultCode = "replaced" // an instance that started later has the name
	ResultFull     ResultCode = "full"     // the list has MaxEndpoints
	ResultIgnored  ResultCode = "ignored"  // unknown kind, or invalid content
	ResultConflict ResultCode = "conflict" // the configuration's newest version is not Command.After
	ResultNoRoom   ResultCode = "no_room"  // exceeds MaxDocumentBytes or MaxServices
)

// Result is the outcome of a command and the version that shows its effect.
type Result struct {
	Code    ResultCode
	Version int64 // the version in which the effect is visible
	Changed bool  // whether the command changed the state
}

// Decode decodes a command from the data of a log entry.
func Decode(data []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("decode a command of the raft log: %w", err)
	}
	return c, nil
}

// Encode returns the command as the data of a log entry. It panics if the record's weight is NaN or infinite,
// which Record.Check rejects.
func (c Command) Encode() []byte {
	if r := c.Record; r != nil && (math.IsNaN(r.Weight) || math.IsInf(r.Weight, 0)) {
		panic("encode a command: the record has no finite weight; Record.Check was not called")
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // cannot happen: all fields are strings and finite numbers
	}
	return data
}
