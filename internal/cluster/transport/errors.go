package transport

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// OpenError tells why the fleet's own address could not be opened. Err is the cause.
type OpenError struct {
	Addr string
	Err  error
}

func (e *OpenError) Error() string {
	return fmt.Sprintf("fleet address %s cannot be opened: %v; give fleet.bind an address of this machine that no other process "+
		"listens on, for UDP and TCP", e.Addr, e.Err)
}

func (e *OpenError) Unwrap() error { return e.Err }

// JoinError tells that none of the fleet's seeds took this proxy in. It is tried again, so nothing needs to be done
// where the seeds are merely late.
type JoinError struct {
	Seeds []string
	Err   error
}

func (e *JoinError) Error() string {
	return fmt.Sprintf("no member of the fleet answers at %s: %v; it is tried again, and until then the proxy decides alone; "+
		"if it stays, see that fleet.seeds names members' addresses and fleet.label is theirs, and that UDP and TCP pass",
		strings.Join(e.Seeds, ", "), e.Err)
}

func (e *JoinError) Unwrap() error { return e.Err }

// KeepError tells that what must outlive the process could not be put on disk or read from it.
type StoreError struct {
	Path string
	Err  error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("%s, the fleet's suspensions by hand: %v; see that the disk has room and the folder can be written, "+
		"and give the call again", e.Path, e.Err)
}

func (e *StoreError) Unwrap() error { return e.Err }

// ConfigError tells which part of a Config cannot be used.
type ConfigError struct{ Key, Problem, Remedy string }

func (e *ConfigError) Error() string {
	return fmt.Sprintf("fleet.%s: %s; %s", e.Key, e.Problem, e.Remedy)
}

// LateError is the answer to a call that was not confirmed in time, as on a slow disk. It may still be carried out.
type NotConfirmedError struct{ After time.Duration }

func (e *NotConfirmedError) Error() string {
	return fmt.Sprintf("the fleet did not confirm the call within %v, as on a slow disk; it may hold all the same: give it again",
		e.After)
}

// ErrEnded is the answer to a call on a link that is not open, or has ended.
var ErrClosed = errors.New("the fleet's address is not open: its members were not told; give the call again at one that is")
